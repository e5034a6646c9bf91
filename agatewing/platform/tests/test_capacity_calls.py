"""What goes to the platform's address for engines, and what comes back."""

import msgspec
import pytest

from agatewing import decisions
from agatewing import duties
from agatewing import gateway
from agatewing import net
from agatewing import platform
from agatewing.platform import _capacity_calls

LASTING = decisions.EngineKind.LASTING
RECLAIMABLE = decisions.EngineKind.RECLAIMABLE


@pytest.mark.parametrize(
    ("kind", "body"),
    (
        (LASTING, {"service": "chat", "zone": "a", "desired": 6}),
        (
            RECLAIMABLE,
            {"service": "chat", "zone": "a", "desired": 6, "spot": True},
        ),
    ),
)
@pytest.mark.parametrize(
    ("status", "outcome"),
    (
        (200, duties.OrderOutcome.ACCEPTED),
        (409, duties.OrderOutcome.NONE_THERE),
        (429, duties.OrderOutcome.BUSY),
        (400, duties.OrderOutcome.REFUSED),
        (503, duties.OrderOutcome.UNKNOWN),
    ),
)
def test_an_order_and_its_answer(
    kind: decisions.EngineKind,
    body: dict[str, object],
    status: int,
    outcome: duties.OrderOutcome,
) -> None:
    seen: list[tuple[object, ...]] = []

    def answer(
        environ: net.Environ, start_response: net.StartResponse
    ) -> list[bytes]:
        raw = environ["wsgi.input"].read()
        seen.append(
            (
                environ["PATH_INFO"],
                environ["HTTP_X_LEASE_HOLDER"],
                environ["HTTP_X_FENCING_TOKEN"],
                msgspec.json.decode(raw),
            )
        )
        start_response(net.status_line(status), [("Content-Length", "0")])
        return []

    server = net.Server("127.0.0.1", 0, answer, max_connections=4)
    server.start()
    order = decisions.EngineOrder(
        "chat", decisions.Place("a", kind), 6, 4, "test"
    )
    try:
        client = _capacity_calls.PlatformCapacity(f"127.0.0.1:{server.port}")
        found = client.order_engines(order, "i1", 12, lambda: True)
        barred = client.order_engines(order, "i1", 12, lambda: False)
    finally:
        server.stop(timeout=0)
    assert (found, barred) == (outcome, duties.OrderOutcome.NOT_SENT)
    assert seen == [("/scale", "i1", "12", body)]


def test_records_tell_of_numbers_and_kinds_of_engines() -> None:
    decoder = platform.RecordDecoder()
    scaling = {
        "min": 1,
        "max": 9,
        "boot_s": 4.0,
        "spot_price": 0.2,
        "zone_prices": {"a": 0.9},
    }
    services = [{"name": "chat", "scaling": scaling}, {"name": "shop"}]
    raw = {"version": 1, "routes": [], "services": services}
    configuration = decoder.configuration(
        gateway.KeyedRecord("config", msgspec.json.encode(raw))
    )
    assert configuration is not None
    assert configuration.services["chat"].scaling == decisions.Scaling(
        1, 9, 4.0, 0.2, {"a": 0.9}
    )
    assert configuration.services["shop"].scaling is None
    entry = {
        "service": "chat",
        "address": "10.0.0.1:80",
        "zone": "a",
        "slots": 4,
        "state": "draining",
        "stage": "decode",
    }
    for extra, expected in (
        ({}, (False, None)),
        ({"spot": True, "leaves_ms": 2_500}, (True, 2.5)),
    ):
        target = decoder.target(
            gateway.KeyedRecord("e1", msgspec.json.encode(entry | extra))
        )
        assert target is not None
        assert (target.reclaimable, target.leaves_in_s) == expected


@pytest.mark.parametrize(
    ("address", "kinds", "connected"),
    (
        ("10.0.0.1:80", ("usage_report", "autoscale"), True),
        ("10.0.0.1:80", ("usage_report",), False),
        ("", (), False),
    ),
)
def test_engines_are_ordered_only_where_the_settings_say_so(
    address: str, kinds: tuple[str, ...], connected: bool
) -> None:
    adapter = platform.connect("10.0.0.2:80", address, kinds)
    assert (adapter.capacity_port is not None) == connected
