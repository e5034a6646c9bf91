"""A small site on loopback: log, targets, instances, callers."""

import collections.abc
import dataclasses
import functools
import random
import typing

import gevent
import h11

from agatewing import _clock
from agatewing import gateway
from agatewing import harness
from agatewing import net
from agatewing import platform
from agatewing.platform.standins import _engine
from agatewing.platform.standins import _store

#: Time limit of waiting for a condition or an answer, in seconds.
WAIT_TIMEOUT_S = 10.0

#: Host of every route and request.
HOST = "site.example"

#: Time after which an engine that crashed is back under a new id, in seconds.
RESTART_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An answer as a caller received it."""

    #: Status; 0 if the connection closed without an answer.
    status: int
    #: Headers; names are in lower case.
    headers: dict[str, str]
    #: Body as far as it was received.
    body: bytes
    #: Whether the body was received completely.
    complete: bool


class DisconnectableLog:
    """Log client of one instance that can be disconnected from the log."""

    def __init__(self, address: str) -> None:
        self._log = platform.PlatformLog(address)
        #: Whether every call fails.
        self.disconnected = False

    def read_newest(
        self, topic: gateway.Topic
    ) -> gateway.Page | gateway.LogUnavailable:
        """Return the newest values, or :class:`LogUnavailable`."""
        if self.disconnected:
            return gateway.LogUnavailable("cut off")
        return self._log.read_newest(topic)

    def read(
        self, topic: gateway.Topic, offset: int, wait_s: float
    ) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
        """Return records; :class:`LogUnavailable` if disconnected by then."""
        page = self._log.read(topic, offset, wait_s)
        return gateway.LogUnavailable("cut off") if self.disconnected else page

    def read_past(
        self, topic: gateway.Topic, offset: int
    ) -> gateway.Page | gateway.HistoryLost | gateway.LogUnavailable:
        """Return records, or :class:`LogUnavailable`."""
        if self.disconnected:
            return gateway.LogUnavailable("cut off")
        return self._log.read_past(topic, offset)

    def arriving(self, topic: gateway.Topic) -> bool:
        """Return whether a part of an answer to a read has arrived."""
        return not self.disconnected and self._log.arriving(topic)

    def put(
        self, topic: gateway.Topic, key: str, value: bytes
    ) -> gateway.Stored | gateway.LogUnavailable:
        """Write a value; :class:`LogUnavailable` while disconnected."""
        if self.disconnected:
            return gateway.LogUnavailable("cut off")
        return self._log.put(topic, key, value)

    def put_if_end(
        self, topic: gateway.Topic, key: str, value: bytes, end: int
    ) -> gateway.Written | gateway.EndMismatch | gateway.LogUnavailable:
        """Write at the end of a topic, or return :class:`LogUnavailable`."""
        if self.disconnected:
            return gateway.LogUnavailable("cut off")
        return self._log.put_if_end(topic, key, value, end)


class AdvancingClock(_clock.SystemClock):
    """The system's clock, which a test can set forward."""

    __slots__ = ("_ahead_s",)

    def __init__(self) -> None:
        self._ahead_s = 0.0

    def monotonic(self) -> float:
        """Return the monotonic time in seconds."""
        return super().monotonic() + self._ahead_s

    def wall(self) -> float:
        """Return the wall-clock time in seconds since the Unix epoch."""
        return super().wall() + self._ahead_s

    def advance(self, seconds: float) -> None:
        """Set the clock forward."""
        self._ahead_s += seconds


class Site:
    """Log, targets and instances; a context manager that stops them."""

    def __init__(self, settings: dict[str, typing.Any] | None = None) -> None:
        self.store = _store.StoreStandin()
        #: Ports of instances and of targets that keep theirs.
        self.ports = harness.PortLease()
        #: Engines and plain targets, by id.
        self.targets: dict[str, _engine.EngineStandin] = {}
        #: Log client of each instance, by its name.
        self.logs: dict[str, DisconnectableLog] = {}
        self.instances: list[gateway.GatewayInstance] = []
        # Override the settings of every instance.
        self._settings = settings or {}
        self._version = 0
        # The last configuration.
        self._published: dict[str, typing.Any] = {}
        self._restarts: list[gevent.Greenlet] = []
        #: Clock of all instances.
        self.clock = AdvancingClock()
        #: Routes of the next configuration to be published.
        self.routes: list[dict[str, typing.Any]] = []
        #: Ids of prefix blocks on which every engine crashes.
        self.crash_blocks: set[str] = set()
        #: Requests on which every target crashes.
        self.crash_requests: set[_engine.CrashRequest] = set()
        #: Names of the engines that crashed, in that order.
        self.crashed: list[str] = []
        #: Client accounts of the next configuration, as the platform writes
        #: them; ``None`` for a configuration without accounts.
        self.tenants: list[dict[str, typing.Any]] | None = None
        #: Connections that one target accepts, of every service.
        self.max_conns = 64

    def __enter__(self) -> "Site":
        return self

    def __exit__(self, *args: object) -> None:
        gevent.killall(self._restarts)
        for instance in self.instances:
            instance.kill()
        for engine in self.targets.values():
            engine.stop()
        self.store.stop()
        self.ports.close()

    def add_target(
        self,
        name: str,
        service: str = "chat",
        role: str | None = "decode",
        events: int = 3,
        **changes: object,
    ) -> _engine.EngineStandin:
        """Start a target and write its entry to the log.

        ``role`` is ``None`` for a target of a plain service; ``changes``
        override fields of the entry.
        """
        engine = self.start_engine(name, events)
        engine.crash_blocks = self.crash_blocks
        engine.on_crash = functools.partial(
            self._replace_crashed, name, service, role, events, **changes
        )
        self.announce(name, service, role, **changes)
        return engine

    def start_engine(self, name: str, events: int) -> _engine.EngineStandin:
        """Start a target, without an entry in the log.

        Nobody who still asks at a port of an earlier target meets it.
        """
        [port] = self.ports.take(1)
        engine = _engine.EngineStandin(name, events, port)
        engine.crash_requests = self.crash_requests
        self.targets[name] = engine
        return engine

    def _replace_crashed(
        self,
        name: str,
        service: str,
        role: str | None,
        events: int,
        **changes: object,
    ) -> None:
        """Start a new engine for one that crashed, after ``RESTART_S``."""
        self.crashed.append(name)

        def replace() -> None:
            self.withdraw(name)
            new_name = f"{name}-{len(self.crashed)}"
            self.add_target(new_name, service, role, events, **changes)

        self._restarts.append(gevent.spawn_later(RESTART_S, replace))

    def announce(
        self,
        name: str,
        service: str = "chat",
        role: str | None = "decode",
        **changes: object,
    ) -> None:
        """Write the entry of a target; ``changes`` override its fields.

        Without an ``address`` among them, the target is one of this site.
        """
        entry: dict[str, object] = {
            "service": service,
            "address": changes.get("address") or self.targets[name].address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
        }
        if role is not None:
            entry["stage"] = role
        entry.update(changes)
        self.store.put("keyed.servers", name, entry)

    def withdraw(self, name: str) -> None:
        """Remove the entry of a target."""
        self.store.put("keyed.servers", name, None)

    def route(
        self,
        prefix: str,
        kind: str,
        service: str = "chat",
        **changes: object,
    ) -> None:
        """Add a route; it applies after the next :meth:`publish`.

        ``changes`` override fields of the route.
        """
        rule: dict[str, object] = {
            "name": f"r{len(self.routes)}",
            "host": HOST,
            "path_prefix": prefix,
            "kind": kind,
            "timeout_ms": 3_000,
            "target_latency_ms": 500,
            "priority": 0,
            "service": service,
            "max_attempts": 2,
        }
        rule.update(changes)
        self.routes.append(rule)

    def publish(self, **limits: object) -> int:
        """Write the configuration to the log; return its version.

        ``limits`` are its limits on callers.
        """
        self._version += 3
        names = {name for rule in self.routes for name in _services(rule)}
        services = [
            {
                "name": name,
                "health_path": "/health",
                "max_conns": self.max_conns,
            }
            for name in sorted(names)
        ]
        document = {
            "version": self._version,
            "routes": list(self.routes),
            "services": services,
            "limits": limits,
        }
        if self.tenants is not None:
            document["tenants"] = list(self.tenants)
        self._published = document
        self.publish_again()
        return self._version

    def publish_again(self) -> None:
        """Write the last configuration to the log once more."""
        self.store.put("keyed.op", "config", self._published)

    @property
    def version(self) -> int:
        """Version of the last configuration that was published."""
        return self._version

    def settings(self, name: str, log_address: str) -> dict[str, typing.Any]:
        """Return settings of an instance, with ports of its own."""
        return {
            "instance": name,
            "zone": "z1",
            "caller_address": self._new_address(),
            "ready_address": self._new_address(),
            "peer_address": self._new_address(),
            "log_address": log_address,
            "peer_secret": "secret of the stand-ins",
            **self._settings,
        }

    def _new_address(self) -> str:
        return f"127.0.0.1:{self.ports.take(1)[0]}"

    def start(self, name: str = "i1") -> gateway.GatewayInstance:
        """Start an instance; it may not be ready yet when this returns."""
        raw = self.settings(name, self.store.address)
        self.logs[name] = DisconnectableLog(self.store.address)
        settings = gateway.GatewaySettings(**raw)
        adapter = platform.connect(
            self.store.address, settings.duties.address, settings.duties.kinds
        )
        instance = gateway.GatewayInstance(
            settings,
            self.clock,
            dataclasses.replace(adapter, log=self.logs[name]),
            random.Random(name),
        )
        instance.start()
        self.instances.append(instance)
        return instance

    def wait(self, condition: collections.abc.Callable[[], object]) -> None:
        """Wait until a condition holds; fail after WAIT_TIMEOUT_S."""
        with gevent.Timeout(
            WAIT_TIMEOUT_S, AssertionError("condition not met in time")
        ):
            while not condition():
                gevent.sleep(0.005)

    def ask(
        self,
        instance: gateway.GatewayInstance,
        path: str,
        request_id: str = "a1",
        headers: collections.abc.Mapping[str, str] | None = None,
        method: str = "POST",
        body: bytes = b"",
    ) -> Reply:
        """Send one request to an instance; return the answer."""
        address = f"127.0.0.1:{instance.server.port}"
        return self.ask_at(address, path, request_id, headers, method, body)

    def ask_at(
        self,
        address: str,
        path: str,
        request_id: str = "a1",
        headers: collections.abc.Mapping[str, str] | None = None,
        method: str = "POST",
        body: bytes = b"",
    ) -> Reply:
        """Send one request on a new connection; return the answer."""
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            **(headers or {}),
        }
        if body:
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {v}\r\n" for name, v in fields.items())
        head = f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()
        with net.connect(address, WAIT_TIMEOUT_S) as sock:
            sock.sendall(head + body)
            return read_reply(sock)

    def connect(self, instance: gateway.GatewayInstance) -> net.ClientSocket:
        """Open a connection to the port for callers."""
        address = f"127.0.0.1:{instance.server.port}"
        return net.connect(address, WAIT_TIMEOUT_S)


def _services(rule: dict[str, typing.Any]) -> list[str]:
    """Return the services to which a route leads."""
    if rule["service"] is not None:
        return [rule["service"]]
    return [share["service"] for share in rule["traffic_split"]]


def read_reply(sock: net.ClientSocket) -> Reply:
    """Read one answer from a connection.

    A connection that breaks or closes early gives an incomplete reply.
    """
    return ReplyReader(sock).read()


class ReplyReader:
    """Reads one answer after the other, also of pipelined requests."""

    __slots__ = ("_sock", "_unread")

    def __init__(self, sock: net.ClientSocket) -> None:
        self._sock = sock
        # Bytes that were received after the last answer.
        self._unread = b""

    @property
    def ended(self) -> bool:
        """Whether the other side has closed, with nothing left to read."""
        return not self._unread and self._sock.peek() == b""

    def read(self, timeout_s: float = WAIT_TIMEOUT_S) -> Reply:
        """Read one answer, as :func:`read_reply` does."""
        conn = h11.Connection(h11.CLIENT)
        request = h11.Request(
            method="GET", target="/", headers=[("Host", "x")]
        )
        conn.send(request)
        conn.send(h11.EndOfMessage())
        if self._unread:
            conn.receive_data(self._unread)
        status, body = 0, b""
        headers: dict[str, str] = {}
        with gevent.Timeout(timeout_s, AssertionError("no answer")):
            while True:
                try:
                    event = conn.next_event()
                    if event is h11.NEED_DATA:
                        conn.receive_data(self._sock.recv(65_536))
                        continue
                except (OSError, h11.RemoteProtocolError):
                    return Reply(status, headers, body, False)
                if isinstance(event, h11.Response):
                    status = event.status_code
                    if status not in net.STATUS_CODES:
                        return Reply(status, headers, body, False)
                    headers = {
                        k.decode(): v.decode() for k, v in event.headers
                    }
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self._unread = conn.trailing_data[0]
                    return Reply(status, headers, body, True)
                elif isinstance(event, h11.ConnectionClosed):
                    return Reply(status, headers, body, False)
