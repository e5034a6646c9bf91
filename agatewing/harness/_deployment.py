"""A deployment of real instances with stand-ins of targets and platform."""

import hashlib
import pathlib
import tempfile
import types
import typing

import gevent
import msgspec
import result

from agatewing import _admin_client
from agatewing import _exceptions
from agatewing import config
from agatewing.harness import _ports
from agatewing.harness import _processes
from agatewing import net

OPERATOR_TOKEN = "harness-operator-token"
HOST = "127.0.0.1"
#: Longest wait for a process to open its port, in seconds.
START_TIMEOUT_S = 20.0


def _caller_tokens(document: config.Document) -> dict[str, str]:
    """Return the bearer token of each caller, by its name.

    Only callers whose configured digest is that of ``NAME-token``, as in
    the examples, are included.
    """
    tokens = {}
    for name, caller in document.rules.callers.items():
        token = f"{name}-token"
        digest = hashlib.sha256(token.encode()).hexdigest()
        if digest == caller.token_sha256:
            tokens[name] = token
    return tokens


class Ports:
    """Loopback ports of one instance."""

    __slots__ = ("caller", "admin", "peer")

    def __init__(self, caller: int, admin: int, peer: int) -> None:
        #: Port for callers.
        self.caller = caller
        #: Port of the administration API.
        self.admin = admin
        #: Port of the links between instances.
        self.peer = peer


class Deployment:
    """Runs the processes of one deployment and injects faults.

    Raises ``SettingsError`` if the inventory is invalid.
    """

    def __init__(
        self,
        inventory: pathlib.Path,
        instances: int = 6,
        role_change_s: float = 3.0,
        retention_s: float = 600.0,
        log_appends_per_s: float = 300.0,
        settings: dict[str, typing.Any] | None = None,
        engine_speed: float = 1.0,
    ) -> None:
        parsed = config.load_document(inventory)
        if isinstance(parsed, result.Err):
            raise _exceptions.SettingsError(
                tuple(str(f) for f in parsed.err_value)
            )
        self._dir = tempfile.TemporaryDirectory(prefix="agatewing-")
        self.path = pathlib.Path(self._dir.name)
        self._setting_overrides = settings or {}
        self._role_change_s = role_change_s
        self._engine_speed = engine_speed
        self._lease = _ports.PortLease()
        self.document = _with_ports(parsed.ok_value, self._lease)
        self.tokens = _caller_tokens(self.document)
        self.version = 0
        log_port, list_port, weights_port = self._lease.take(3)
        self.log_address = f"{HOST}:{log_port}"
        self.list_address = f"{HOST}:{list_port}"
        self.weights_address = f"{HOST}:{weights_port}"
        self.platform = {
            "log": self._standin_process(
                "log",
                log_port,
                f"--retention={retention_s}",
                f"--rate={log_appends_per_s}",
            ),
            "instances": self._standin_process(
                "instances", list_port, "--lag=1.0"
            ),
            "weights": self._standin_process("weights", weights_port),
        }
        self.engines = {
            name: self._engine_process(name, engine)
            for name, engine in self.document.engines.items()
        }
        self.targets = {
            name: self._standin_process(
                "service",
                int(target.address.rpartition(":")[2]),
                f"--name={name}",
                process_name=name,
            )
            for name, target in self.document.targets.items()
        }
        zones = [
            zone
            for region in self.document.regions.values()
            for zone in region.zones
        ]
        self.instances: dict[str, _processes.Process] = {}
        self.ports: dict[str, Ports] = {}
        self.zones: dict[str, str] = {}
        for index in range(instances):
            name = f"entry-{index + 1}"
            self.zones[name] = zones[index % len(zones)]
            self.ports[name] = Ports(*self._lease.take(3))
            self.instances[name] = self._instance_process(name)

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        self.close()

    def start(self) -> None:
        """Start all processes and publish the inventory.

        Raises ``AgatewingError``, with the logs of processes that exited, if
        one does not open its port in time.
        """
        for process in self.all_processes():
            process.start()
        try:
            for address in self.standin_addresses():
                wait_open(address)
            for name in self.instances:
                self.list_instance(name)
                wait_open(self.caller_address(name))
        except _exceptions.ConnectRefusedError as exc:
            exited = [
                p.describe() for p in self.all_processes() if not p.running
            ]
            raise _exceptions.AgatewingError(
                "\n".join((str(exc), *exited))
            ) from exc
        self.publish(self.document)

    def publish(self, document: config.Document) -> int:
        """Publish a configuration over the administration API.

        Returns the accepted version; raises ``AgatewingError`` if no
        instance accepts it within 50 rounds.
        """
        body = {
            "base": self.version,
            "document": config.to_plain(document),
        }
        for _ in range(50):
            for name in self.instances:
                answer = self.admin(name).post("config", body)
                if isinstance(answer, result.Ok):
                    if answer.ok_value.body.get("result") == "accepted":
                        self.version = int(answer.ok_value.body["version"])
                        return self.version
            gevent.sleep(0.1)
        raise _exceptions.AgatewingError(
            "the configuration was not accepted; read the instances' logs"
        )

    def wait_ready(self, version: int, timeout_s: float = 20.0) -> float:
        """Wait until every instance is ready with a version in force.

        Returns the time waited, in seconds; raises ``AgatewingError`` after
        the timeout, with the logs of the instances that are not ready.
        """
        waited = 0.0
        missing = list(self.instances.values())
        while waited < timeout_s:
            missing = [
                process
                for name, process in self.instances.items()
                if self.version_in_force(name) < version
            ]
            if not missing:
                return waited
            gevent.sleep(0.05)
            waited += 0.05
        logs = "\n".join(process.describe() for process in missing)
        raise _exceptions.AgatewingError(
            f"not every instance became ready; their logs end so:\n{logs}"
        )

    def version_in_force(self, name: str) -> int:
        """Return the version in force at a ready instance, or 0."""
        status = self.status(name)
        if not status.get("ready"):
            return 0
        return int(status["config_version"])

    def status(self, name: str) -> dict[str, typing.Any]:
        """Return the status of an instance; empty if it gives no answer."""
        answer = self.admin(name).get("status")
        if isinstance(answer, result.Err):
            return {}
        return answer.ok_value.body

    def admin(self, name: str) -> _admin_client.AdminClient:
        """Return a client of the administration API of an instance."""
        return _admin_client.AdminClient(
            self.admin_address(name), OPERATOR_TOKEN
        )

    def caller_address(self, name: str) -> str:
        """Return IP address and port for callers."""
        return f"{HOST}:{self.ports[name].caller}"

    def admin_address(self, name: str) -> str:
        """Return IP address and port of the administration API."""
        return f"{HOST}:{self.ports[name].admin}"

    def list_instance(self, name: str, state: str = "live") -> None:
        """Add an instance to the platform's list, or change its state."""
        row = {
            "instance": name,
            "zone": self.zones[name],
            "peer_address": f"{HOST}:{self.ports[name].peer}",
            "admin_address": self.admin_address(name),
            "state": state,
        }
        self.call_standin(
            self.list_address, "PUT", f"/standin/instances/{name}", row
        )

    def unlist_instance(self, name: str) -> None:
        """Remove an instance from the platform's list."""
        self.call_standin(
            self.list_address, "DELETE", f"/standin/instances/{name}", {}
        )

    def call_standin(
        self, address: str, method: str, path: str, body: object
    ) -> typing.Any:
        """Call a control path of a stand-in; return the decoded answer."""
        client = net.HttpClient(address, silence_timeout_s=5.0)
        try:
            answer = client.call(method, path, msgspec.json.encode(body))
        finally:
            client.close()
        return msgspec.json.decode(answer.body)

    def set_log_faults(self, **faults: float | bool) -> None:
        """Set faults of the log stand-in by name."""
        self.call_standin(self.log_address, "POST", "/standin/faults", faults)

    def effects(self) -> dict[str, int]:
        """Return the effects of all targets, counted by idempotency key."""
        totals: dict[str, int] = {}
        for target in self.document.targets.values():
            counts = self.call_standin(
                target.address, "GET", "/standin/effects", {}
            )
            for key, count in counts.items():
                totals[key] = totals.get(key, 0) + count
        return totals

    def engine_stats(self, name: str) -> dict[str, typing.Any]:
        """Return the counters of an engine stand-in."""
        address = self.document.engines[name].address
        stats: dict[str, typing.Any] = self.call_standin(
            address, "GET", "/standin/stats", {}
        )
        return stats

    def standin_addresses(self) -> list[str]:
        """Return the addresses of all stand-ins."""
        return [
            self.log_address,
            self.list_address,
            self.weights_address,
            *(e.address for e in self.document.engines.values()),
            *(t.address for t in self.document.targets.values()),
        ]

    def all_processes(self) -> list[_processes.Process]:
        """Return every process of the deployment."""
        return [
            *self.platform.values(),
            *self.engines.values(),
            *self.targets.values(),
            *self.instances.values(),
        ]

    def close(self) -> None:
        """End every started process by its pid and delete the directory."""
        processes = [p for p in self.all_processes() if p.running]
        for process in processes:
            process.thaw()
            process.stop()
        for process in processes:
            if process.wait(2.0) is None:
                process.kill()
        self._lease.close()
        self._dir.cleanup()

    def _instance_process(self, name: str) -> _processes.Process:
        ports = self.ports[name]
        settings = {
            "instance": name,
            "zone": self.zones[name],
            "host": HOST,
            "caller_port": ports.caller,
            "admin_port": ports.admin,
            "peer_port": ports.peer,
            "log_url": f"http://{self.log_address}",
            "instance_list_url": f"http://{self.list_address}",
            "stream_secret": "harness-stream-secret",
            "peer_secret": "harness-peer-secret",
            "admin_tokens": [
                {
                    "name": "harness",
                    "sha256": hashlib.sha256(
                        OPERATOR_TOKEN.encode()
                    ).hexdigest(),
                    "permissions": ["read", "publish", "drain"],
                }
            ],
            "limits": {"admin_rate_per_s": 500},
            "leave_delay_s": 0.5,
            **self._setting_overrides,
        }
        path = self.path / f"{name}.jsonc"
        path.write_bytes(msgspec.json.encode(settings))
        return _processes.Process(
            name, "agatewing.daemon", ["--settings", str(path)], self.path
        )

    def _standin_process(
        self, kind: str, port: int, *args: str, process_name: str = ""
    ) -> _processes.Process:
        return _processes.Process(
            process_name or kind,
            "agatewing.standins.tool",
            [kind, f"--port={port}", *args],
            self.path,
        )

    def _engine_process(
        self, name: str, engine: config.Engine
    ) -> _processes.Process:
        args = [
            f"--name={name}",
            f"--role={engine.roles[0]}",
            f"--role-change={self._role_change_s}",
            f"--speed={self._engine_speed}",
            f"--weights={self.weights_address}",
        ]
        if engine.checks_fencing:
            args.append("--checks-fencing")
        port = int(engine.address.rpartition(":")[2])
        return self._standin_process("engine", port, *args, process_name=name)


def wait_open(address: str) -> None:
    """Wait for a server; raise ``ConnectRefusedError`` if none answers."""
    client = net.HttpClient(address, connect_timeout_s=0.5)
    for _ in range(int(START_TIMEOUT_S / 0.05)):
        try:
            client.call("GET", "/healthz")
            return
        except _exceptions.AgatewingError:
            gevent.sleep(0.05)
    raise _exceptions.ConnectRefusedError(
        address, "did not open in time; read the log of its process"
    )


def _with_ports(
    document: config.Document, lease: _ports.PortLease
) -> config.Document:
    """Return the document with loopback ports for all targets."""
    count = len(document.engines) + len(document.targets)
    ports = iter(lease.take(count))
    engines = {
        name: msgspec.structs.replace(e, address=f"{HOST}:{next(ports)}")
        for name, e in document.engines.items()
    }
    targets = {
        name: msgspec.structs.replace(t, address=f"{HOST}:{next(ports)}")
        for name, t in document.targets.items()
    }
    return msgspec.structs.replace(document, engines=engines, targets=targets)
