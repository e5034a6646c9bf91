"""State of one engine or service target, as this instance sees it."""

import collections
import typing

import msgspec

from agatewing import _types
from agatewing import config
from agatewing import decisions
from agatewing import net

#: Time after which the engine's load report is assumed to include a sequence
#: that this instance sent, in seconds.
REPORT_LAG_S = 1.0
#: Failed polls and refused connections, without a load report between them,
#: after which an engine gets no new requests.
UNREACHABLE_AFTER_FAILURES = 2
#: Age after which the counts of a load report are ignored, in seconds.
REPORT_STALE_S = 5.0
#: Time for which other targets are preferred after a failure, in seconds.
AVOID_AFTER_FAILURE_S = 2.0
#: Time without data after which a stream is resumed on a new connection or
#: moved to another engine, in seconds.
STREAM_SILENCE_TIMEOUT_S = 3.0
#: Time without an answer after which another target of a plain service is
#: tried as well, in seconds.
SERVICE_SILENCE_TIMEOUT_S = 5.0


class ClientFactory(typing.Protocol):
    """Factory for the HTTP client, with pooled connections, of a target."""

    def __call__(
        self, address: str, *, silence_timeout_s: float
    ) -> net.HttpClient:
        """Return a client whose calls fail after so long without data."""


class LoadReport(msgspec.Struct, frozen=True):
    """Load report of an engine; omitted fields keep their defaults."""

    # Current role.
    role: _types.Role
    # Whether a role change is in progress.
    changing: bool = False
    # Whether the engine refuses new requests because it is draining.
    draining: bool = False
    # Number of sequences in the batch.
    running: int = 0
    # Number of sequences queued for the batch.
    queued: int = 0
    # Number of prompt tokens not yet processed.
    queued_tokens: int = 0
    # Batch size, in sequences.
    slots: int = 32
    # Prefill rate, in prompt tokens per second.
    prefill_tokens_per_s: float = 8_000.0
    # Duration of a step at the current load, in seconds.
    step_s: float = 0.02
    # Version of the engine's software, not of its models.
    software: str = ""


class EngineTarget:
    """An engine with its connections, load and last report."""

    __slots__ = (
        "name",
        "spec",
        "client",
        "load",
        "slowness",
        "report",
        "reported_at",
        "failures",
        "changing",
        "draining",
        "cache_offset",
        "live_instances",
        "inactive_since",
        "_unreported",
    )

    def __init__(
        self,
        name: str,
        spec: config.Engine,
        slots: int,
        make_client: "ClientFactory",
    ) -> None:
        #: Name in the inventory.
        self.name = name
        #: Row of the inventory.
        self.spec = spec
        #: Connections to it.
        self.client = make_client(
            spec.address, silence_timeout_s=STREAM_SILENCE_TIMEOUT_S
        )
        #: Load as routing and admission use it.
        self.load = decisions.EngineLoad(
            name,
            spec.zone,
            spec.roles[0],
            decisions.Speed(slots=slots),
            routable=False,
        )
        #: Smoothed ratio of measured to expected answer times.
        self.slowness = decisions.SmoothedRatio()
        #: Last load report; ``None`` before the first.
        self.report: LoadReport | None = None
        #: Monotonic time of the last load report, in seconds.
        self.reported_at = float("-inf")
        #: Failed polls and refused connections since the last load report.
        self.failures = 0
        #: Whether the last report says that a role change is in progress.
        self.changing = False
        #: Whether the last report says that the engine is draining.
        self.draining = False
        #: Offset of the next cache event to read.
        self.cache_offset = 0
        #: Monotonic time at which this instance learned that the operators
        #: had drained or withdrawn the engine, in seconds; infinite while
        #: it is active.
        self.inactive_since = float("inf")
        #: Number of live instances that share the engine.
        self.live_instances = 1
        # Send time and prompt tokens of each sequence that the load report
        # may not include yet.
        self._unreported: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def update_spec(self, spec: config.Engine, now: float) -> None:
        """Apply a new inventory row with the same address."""
        self.spec = spec
        if spec.state is _types.TargetState.ACTIVE:
            self.inactive_since = float("inf")
        else:
            self.inactive_since = min(self.inactive_since, now)
        self._update_routable()

    def record_route(self) -> None:
        """Do nothing: engines of this interface name no limits."""

    def record_sent(self, tokens: int, now: float) -> None:
        """Count a sequence with so many prompt tokens sent to the engine."""
        self.load.own_sequences += 1
        self._unreported.append((now, tokens))
        self._update_unreported(now)

    def record_ended(self) -> None:
        """Count the end of a sequence that this instance sent."""
        self.load.own_sequences -= 1
        self.load.credits = decisions.credits(self.load, self.live_instances)

    def handle_load_report(self, report: LoadReport, now: float) -> None:
        """Update the load from a load report."""
        self.report = report
        self.reported_at = now
        self.failures = 0
        self.changing = report.changing
        self.draining = report.draining
        load = self.load
        load.role = report.role
        load.software = report.software
        load.reported_sequences = report.running + report.queued
        load.reported_tokens = float(report.queued_tokens)
        speed = load.speed
        load.speed = decisions.Speed(
            prefill_tokens_per_s=max(1.0, report.prefill_tokens_per_s),
            step_base_s=speed.step_base_s,
            step_per_sequence_s=speed.step_per_sequence_s,
            slots=max(1, report.slots),
        )
        self._update_unreported(now)
        self._update_routable()

    def record_unreachable(self) -> None:
        """Count a failed poll or a refused connection."""
        self.failures += 1
        self._update_routable()

    def refresh(self, now: float) -> None:
        """Drop expired counts.

        Sent sequences expire after ``REPORT_LAG_S``, the counts of a load
        report after ``REPORT_STALE_S``.
        """
        self._update_unreported(now)
        if now - self.reported_at > REPORT_STALE_S:
            self.load.reported_sequences = 0
            self.load.reported_tokens = 0.0

    def _update_routable(self) -> None:
        self.load.routable = (
            self.spec.state is _types.TargetState.ACTIVE
            and self.report is not None
            and not self.changing
            and not self.draining
            and self.failures < UNREACHABLE_AFTER_FAILURES
        )

    def _update_unreported(self, now: float) -> None:
        entries = self._unreported
        while entries and now - entries[0][0] > REPORT_LAG_S:
            entries.popleft()
        self.load.unreported_sequences = len(entries)
        self.load.unreported_tokens = float(sum(t for _, t in entries))
        self.load.credits = decisions.credits(self.load, self.live_instances)


class ServiceTarget:
    """A target of a plain service with its connections and state."""

    __slots__ = (
        "name",
        "spec",
        "client",
        "in_flight",
        "avoid_until",
        "slowness",
        "_make_client",
        "_silence_timeout_s",
    )

    def __init__(
        self,
        name: str,
        spec: config.Target,
        make_client: "ClientFactory",
        deadline_s: float,
    ) -> None:
        #: Name in the inventory.
        self.name = name
        #: Row of the inventory.
        self.spec = spec
        self._make_client = make_client
        self._silence_timeout_s = _service_timeout_s(deadline_s)
        #: Connections to it.
        self.client = make_client(
            spec.address, silence_timeout_s=self._silence_timeout_s
        )
        #: Calls from this instance in flight.
        self.in_flight = 0
        #: Monotonic time until which it gets no new call if there is another
        #: target, in seconds.
        self.avoid_until = float("-inf")
        #: Unused: nothing updates or reads it.
        self.slowness = decisions.SmoothedRatio()

    def update_spec(self, spec: config.Target, deadline_s: float) -> None:
        """Apply a new inventory row with the same address.

        ``deadline_s`` is the deadline of the service. Calls in progress keep
        the timeout with which they began.
        """
        self.spec = spec
        silence_timeout_s = _service_timeout_s(deadline_s)
        if silence_timeout_s != self._silence_timeout_s:
            self._silence_timeout_s = silence_timeout_s
            self.client = self._make_client(
                spec.address, silence_timeout_s=silence_timeout_s
            )

    def record_failure(self, now: float) -> None:
        """Prefer other targets for ``AVOID_AFTER_FAILURE_S`` seconds."""
        self.avoid_until = now + AVOID_AFTER_FAILURE_S

    @property
    def active(self) -> bool:
        """Whether new calls may go to the target."""
        return self.spec.state is _types.TargetState.ACTIVE

    def usable(self, now: float) -> bool:
        """Return whether the target is active and did not fail lately."""
        return self.active and now >= self.avoid_until


def _service_timeout_s(deadline_s: float) -> float:
    """Return the silence after which a call of a service has failed.

    A silent target may still answer in time.
    """
    return max(SERVICE_SILENCE_TIMEOUT_S, deadline_s)
