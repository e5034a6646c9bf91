"""Log, address and network of the tests of usage."""

import collections.abc
import dataclasses

import result

from agatewing import _clock
from agatewing import duties
from agatewing import fleetlog
from agatewing import wire

WINDOW_S = 5.0
LATE_S = 10.0
GAP_S = 3.0
SECRET = "secret of the tests"


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A report as the address got it."""

    at: float
    window: int
    counts: dict[str, int]
    holder: str
    token: int


class SteppedClock(_clock.ManualClock):
    """A clock whose wall time may be off, and whose process may stop."""

    def __init__(self, start: float = 1000.0) -> None:
        super().__init__(start)
        self.off_s = 0.0

    def wall(self) -> float:
        return super().wall() + self.off_s

    def sleep(self, seconds: float) -> None:
        """Return at once: one step of a test takes no time."""


class FakeLog:
    """One topic, whose answers may be lost, and writes late."""

    def __init__(self, era: int | None = None) -> None:
        self.records: list[bytes] = []
        self.era = era
        self.down = False
        self.lose_answer = False
        self.late = False
        #: Delayed writes, with the end offset that they require.
        self.delayed: list[tuple[bytes, int]] = []

    def arriving(self, topic: fleetlog.Topic) -> bool:
        return False

    def read_newest(
        self, topic: fleetlog.Topic
    ) -> fleetlog.Page | fleetlog.LogUnavailable:
        if self.down:
            return fleetlog.LogUnavailable("down")
        records = tuple(
            fleetlog.KeyedRecord(duties.CLAIM_KEY, value)
            for value in self.records[-1:]
        )
        return fleetlog.Page(records, len(self.records), self.era)

    def put_if_end(
        self, topic: fleetlog.Topic, key: str, value: bytes, end: int
    ) -> fleetlog.Written | fleetlog.EndMismatch | fleetlog.LogUnavailable:
        if self.down:
            return fleetlog.LogUnavailable("down")
        if self.late:
            self.delayed.append((value, end))
            return fleetlog.LogUnavailable("no answer")
        if end != len(self.records):
            return fleetlog.EndMismatch(self.era)
        self.records.append(value)
        if self.lose_answer:
            return fleetlog.LogUnavailable("no answer")
        return fleetlog.Written(end, self.era)

    def apply_delayed(self) -> None:
        for value, end in self.delayed:
            if end == len(self.records):
                self.records.append(value)
        self.delayed.clear()

    def restore(self, lost: int) -> None:
        """Lose the last records, as a copy does that is some seconds old."""
        del self.records[max(0, len(self.records) - lost) :]
        self.era = (self.era or 1) + 1

    def read_past(
        self, topic: fleetlog.Topic, offset: int
    ) -> fleetlog.Page | fleetlog.HistoryLost | fleetlog.LogUnavailable:
        return self.read(topic, offset, 0.0)

    def read(
        self, topic: fleetlog.Topic, offset: int, wait_s: float
    ) -> fleetlog.Page | fleetlog.HistoryLost | fleetlog.LogUnavailable:
        raise AssertionError("claims are not followed")

    def put(
        self, topic: fleetlog.Topic, key: str, value: bytes
    ) -> fleetlog.Stored | fleetlog.LogUnavailable:
        raise AssertionError("a claim is written under a condition")


class FakePort:
    """The address for duties; its answers are those of the test."""

    def __init__(self, clock: _clock.Clock) -> None:
        self.clock = clock
        self.sent: list[Sent] = []
        self.answer: duties.CallResult = duties.Accepted()
        #: Whether a call without an answer was taken.
        self.takes = True
        #: Windows whose reports are refused.
        self.refused: set[int] = set()
        #: Called before a call is sent, as a process may stop there.
        self.before: collections.abc.Callable[[], None] = lambda: None

    def report_usage(
        self,
        window: int,
        counts: collections.abc.Mapping[str, int],
        holder: str,
        token: int,
        may_send: collections.abc.Callable[[], bool],
    ) -> duties.CallResult:
        self.before()
        if not may_send():
            return duties.NoAnswer("not sent")
        if window in self.refused:
            return duties.Refused("status 400")
        taken = isinstance(self.answer, duties.Accepted) or (
            self.takes and isinstance(self.answer, duties.NoAnswer)
        )
        if taken:
            self.sent.append(
                Sent(
                    self.clock.monotonic(), window, dict(counts), holder, token
                )
            )
        return self.answer


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Entry of an instance."""

    address: str
    zone: str


class Fleet:
    """Instances that count, with one log and one address."""

    def __init__(self, zones: collections.abc.Mapping[str, str]) -> None:
        self.clock = SteppedClock()
        self.log = FakeLog()
        self.port = FakePort(self.clock)
        self.entries = {name: Entry(name, z) for name, z in zones.items()}
        self.instances: dict[str, Instance] = {}
        #: Names of instances that nobody reaches.
        self.cut: set[str] = set()
        #: Datagrams that were sent.
        self.datagrams: list[bytes] = []
        #: What instances answer instead of their counts.
        self.answers: dict[str, wire.StateReply] = {}
        for name in zones:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance, or start it anew."""
        self.instances[name] = Instance(self, name)

    def kill(self, name: str) -> None:
        del self.instances[name]

    def live(self, name: str, zone: str) -> list[str]:
        return [
            other
            for other in self.instances
            if other != name
            and self.entries[other].zone == zone
            and not {name, other} & self.cut
        ]

    def window(self) -> int:
        """Return the present window, by the true time."""
        wall_s = self.clock.monotonic() + 1.8e9 - 1000.0
        return int(wall_s // WINDOW_S)

    def advance(self, seconds: float) -> None:
        """Let time pass; each instance acts four times a second."""
        for _ in range(round(seconds * 4)):
            self.clock.advance(0.25)
            for instance in list(self.instances.values()):
                instance.reports.push()
            for instance in list(self.instances.values()):
                if instance.acts:
                    instance.reports.step()

    def reported(self) -> dict[int, dict[str, int]]:
        """Return what was reported by window; fail if that differs."""
        windows: dict[int, dict[str, int]] = {}
        for sent in self.port.sent:
            assert windows.setdefault(sent.window, sent.counts) == sent.counts
        return windows


class Instance:
    """One instance of a fleet."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet = fleet
        self.name = name
        self.acts = True
        zone = fleet.entries[name].zone
        start_ms = int(fleet.clock.wall() * 1_000)
        self.counts = duties.UsageCounts(duties.Lifetime(name, start_ms))
        self.era = fleetlog.LogEra()
        self.claims = duties.Claims(
            fleet.log,
            fleet.clock,
            duties.ClaimRecord(name, str(start_ms)),
            GAP_S,
            self.era,
            fleetlog.Topic.USAGE,
        )
        self.exchange = duties.UsageExchange(
            duties.ExchangeContext(
                zone,
                wire.Codec(SECRET),
                lambda: {n: e for n, e in fleet.entries.items() if n != name},
                lambda: fleet.live(name, zone),
                lambda names, count: sorted(names)[:count],
                self._send,
                self._ask,
            ),
            self.counts,
        )
        self.reports = duties.UsageReports(
            duties.ReportsContext(
                fleet.clock,
                duties.FleetTime(fleet.clock),
                name,
                duties.Windows(WINDOW_S, LATE_S),
                self.counts,
                self.exchange,
                self.claims,
                self.era,
                fleet.port,
                50.0,
                lambda: sum(other < name for other in fleet.live(name, zone)),
                lambda: True,
            )
        )

    def _reaches(self, address: str) -> bool:
        fleet = self.fleet
        return address in fleet.instances and not (
            {self.name, address} & fleet.cut
        )

    def _send(self, data: bytes, addresses: list[str]) -> None:
        self.fleet.datagrams.append(data)
        for address in addresses:
            if self._reaches(address):
                self.fleet.instances[address].exchange.receive(data)

    def _ask(
        self, address: str, request: wire.StateRequest
    ) -> result.Result[wire.StateReply, str]:
        if not self._reaches(address):
            return result.Err("no connection")
        if address in self.fleet.answers:
            return result.Ok(self.fleet.answers[address])
        exchange = self.fleet.instances[address].exchange
        return result.Ok(exchange.reply(request.key or ""))
