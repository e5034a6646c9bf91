"""Engines and service targets as this instance sees them."""

import collections
import typing

import msgspec

from agatewing import _types
from agatewing import config
from agatewing import decisions
from agatewing import net

#: Time after which work that was sent counts as reported, in seconds.
REPORT_LAG_S = 1.0
#: Failed polls in a row after which an engine gets no new work.
DOWN_AFTER = 2
#: Time without a report after which a load is not trusted, in seconds.
REPORT_STALE_S = 5.0
#: Time for which a target that failed is avoided, in seconds.
AVOID_S = 2.0
#: Silence after which a stream is resumed elsewhere, in seconds.
STREAM_SILENCE_S = 3.0
#: Silence after which a call of a plain service is given up, in seconds.
SERVICE_SILENCE_S = 5.0


class MakeClient(typing.Protocol):
    """Makes the pooled client of one target."""

    def __call__(
        self, address: str, *, silence_timeout_s: float
    ) -> net.HttpClient:
        """Return a client."""


class LoadReport(msgspec.Struct, frozen=True):
    """What an engine reports; fields that it leaves out keep defaults."""

    # Present role.
    role: _types.Role
    # Whether a change of role is under way.
    changing: bool = False
    # Whether the engine takes no new work.
    draining: bool = False
    # Sequences in the batch.
    running: int = 0
    # Sequences that wait for the batch.
    queued: int = 0
    # Prompt tokens not yet processed.
    queued_tokens: int = 0
    # Sequences that the batch can hold.
    slots: int = 32
    # Prompt tokens a second.
    prefill_tokens_per_s: float = 8_000.0
    # Time of a step now, in seconds.
    step_s: float = 0.02


class EngineMachine:
    """One engine."""

    __slots__ = (
        "name",
        "spec",
        "client",
        "load",
        "pace",
        "report",
        "reported_at",
        "failures",
        "changing",
        "draining",
        "cache_offset",
        "instances",
        "inactive_since",
        "_unreported",
    )

    def __init__(
        self,
        name: str,
        spec: config.Engine,
        slots: int,
        make_client: "MakeClient",
    ) -> None:
        #: Name in the inventory.
        self.name = name
        #: Row of the inventory.
        self.spec = spec
        #: Connections to it.
        self.client = make_client(
            spec.address, silence_timeout_s=STREAM_SILENCE_S
        )
        #: State for the decisions.
        self.load = decisions.EngineLoad(
            name,
            spec.zone,
            spec.roles[0],
            decisions.Speed(slots=slots),
            routable=False,
        )
        #: Measured pace.
        self.pace = decisions.Pace()
        #: Last report; ``None`` before the first.
        self.report: LoadReport | None = None
        #: Monotonic time of the last report.
        self.reported_at = float("-inf")
        #: Failed polls in a row.
        self.failures = 0
        #: Whether it reports a change of role.
        self.changing = False
        #: Whether it reports that it is draining.
        self.draining = False
        #: Next cache event to read.
        self.cache_offset = 0
        #: Monotonic time since which operators withhold new work.
        self.inactive_since = float("inf")
        #: Live instances that share the engine.
        self.instances = 1
        self._unreported: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def update_spec(self, spec: config.Engine, now: float) -> None:
        """Take a new row of the inventory for the same address."""
        self.spec = spec
        if spec.state is _types.TargetState.ACTIVE:
            self.inactive_since = float("inf")
        else:
            self.inactive_since = min(self.inactive_since, now)
        self._update_routable()

    def note_sent(self, tokens: int, now: float) -> None:
        """Count a sequence that was sent to the engine."""
        self.load.own_sequences += 1
        self._unreported.append((now, tokens))
        self._sum_unreported(now)

    def note_ended(self) -> None:
        """Count the end of a sequence."""
        self.load.own_sequences -= 1
        self.load.credits = decisions.credits(self.load, self.instances)

    def take_report(self, report: LoadReport, now: float) -> None:
        """Take a load report in."""
        self.report = report
        self.reported_at = now
        self.failures = 0
        self.changing = report.changing
        self.draining = report.draining
        load = self.load
        load.role = report.role
        load.reported_sequences = report.running + report.queued
        load.reported_tokens = float(report.queued_tokens)
        speed = load.speed
        load.speed = decisions.Speed(
            prefill_tokens_per_s=max(1.0, report.prefill_tokens_per_s),
            step_base_s=speed.step_base_s,
            step_per_sequence_s=speed.step_per_sequence_s,
            slots=max(1, report.slots),
        )
        self._sum_unreported(now)
        self._update_routable()

    def note_unreachable(self) -> None:
        """Count a failed poll or a refused connection."""
        self.failures += 1
        self._update_routable()

    def refresh(self, now: float) -> None:
        """Let old knowledge expire."""
        self._sum_unreported(now)
        if now - self.reported_at > REPORT_STALE_S:
            self.load.reported_sequences = 0
            self.load.reported_tokens = 0.0

    def _update_routable(self) -> None:
        self.load.routable = (
            self.spec.state is _types.TargetState.ACTIVE
            and self.report is not None
            and not self.changing
            and not self.draining
            and self.failures < DOWN_AFTER
        )

    def _sum_unreported(self, now: float) -> None:
        entries = self._unreported
        while entries and now - entries[0][0] > REPORT_LAG_S:
            entries.popleft()
        self.load.unreported_sequences = len(entries)
        self.load.unreported_tokens = float(sum(t for _, t in entries))
        self.load.credits = decisions.credits(self.load, self.instances)


class ServiceMachine:
    """One target of a plain service."""

    __slots__ = ("name", "spec", "client", "in_flight", "avoid_until", "pace")

    def __init__(
        self, name: str, spec: config.Target, make_client: "MakeClient"
    ) -> None:
        #: Name in the inventory.
        self.name = name
        #: Row of the inventory.
        self.spec = spec
        #: Connections to it.
        self.client = make_client(
            spec.address, silence_timeout_s=SERVICE_SILENCE_S
        )
        #: Calls sent from here and not ended.
        self.in_flight = 0
        #: Monotonic time until which it gets no new call.
        self.avoid_until = float("-inf")
        #: Measured pace.
        self.pace = decisions.Pace()

    def note_failure(self, now: float) -> None:
        """Avoid the target for a while."""
        self.avoid_until = now + AVOID_S

    def usable(self, now: float) -> bool:
        """Return whether new calls may go to the target."""
        active = self.spec.state is _types.TargetState.ACTIVE
        return active and now >= self.avoid_until
