"""Test of a role change across processes: plan, lease, order, engine."""

import pathlib
import random

import gevent
import msgspec

from agatewing import _types
from agatewing import config
from agatewing import harness

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def test_a_fleet_without_decode_engines_gets_one(
    tmp_path: pathlib.Path,
) -> None:
    document = config.load_document(EXAMPLES / "aldeias.jsonc").unwrap()
    roles = (_types.Role.PREFILL, _types.Role.DECODE)
    engines = {
        name: msgspec.structs.replace(engine, roles=roles)
        for name, engine in document.engines.items()
    }
    changed = msgspec.structs.replace(document, engines=engines)
    path = tmp_path / "prefill-only.json"
    path.write_bytes(msgspec.json.encode(changed))
    with harness.Deployment(path, instances=2, role_change_s=0.5) as d:
        d.start()
        d.wait_ready(d.version)
        balancer = harness.Balancer(d, 1)
        token = d.tokens["back-office"]
        client = harness.LoadClient(balancer, token, random.Random(1))
        orders: list[object] = []
        for number in range(150):
            gevent.spawn(
                client.generate, "q", "restock-draft", f"q{number}", 20, 20.0
            )
            gevent.sleep(0.3)
            orders = [
                order
                for name in d.engines
                for order in d.engine_stats(name)["orders"]
            ]
            changed_roles = [
                name
                for name in d.engines
                if d.engine_stats(name)["role"] == "decode"
            ]
            if changed_roles:
                break
        assert orders and changed_roles
        leases = d.admin("entry-1").get("leases").unwrap().body
        order_row = leases["orders"][0]
        assert "delivered" in order_row["deliverers"].values()
