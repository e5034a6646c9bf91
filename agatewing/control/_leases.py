"""Leases granted by the order of log records and timed by the local clock."""

import dataclasses
import random

import result

from agatewing import _clock
from agatewing import replica
from agatewing import timeline

#: Time for which a lease is valid without renewal, in seconds.
LEASE_DURATION_S = 9.0
#: Interval between renewals, in seconds.
RENEW_INTERVAL_S = 2.5
#: Margin in seconds: the holder stops this long before the lease ends, and a
#: claimant waits this long, plus a random time of up to as long, after the
#: end.
SAFETY_MARGIN_S = 1.0
#: Mean interval between two steps of the keeper, in seconds.
PERIOD_S = 0.5
#: Pause of the process or jump of its wall clock, in seconds, above which all
#: leases are dropped. A pause is the time beyond ``PERIOD_S`` since the last
#: check, so a step in which ``_claim`` waits that long for the log counts too.
PAUSE_LIMIT_S = 2.0


@dataclasses.dataclass(slots=True)
class HeldLease:
    """A lease held by this process."""

    #: Fencing token: offset of the granting record.
    fence: int
    #: Monotonic time from which the lease must not be used, in seconds.
    valid_until: float


@dataclasses.dataclass(slots=True)
class _Observation:
    """When this process first read the last record of a lease."""

    #: Offset of that record.
    record_offset: int
    #: Monotonic time at which it was first read, in seconds.
    observed_at: float


class LeaseKeeper:
    """Claims, renews and releases the leases of this process."""

    __slots__ = (
        "_clock",
        "_state",
        "_follower",
        "_commit",
        "_events",
        "_random",
        "_held",
        "_observations",
        "_checked_at",
        "_wall_offset",
        "_renewed_at",
        "pauses",
        "required",
        "stopped",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        state: replica.ControlState,
        follower: replica.Follower,
        commit: replica.GroupCommit,
        events: timeline.EventRecorder,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._state = state
        self._follower = follower
        self._commit = commit
        self._events = events
        self._random = rng
        # Leases of this process by name, also those past ``valid_until``.
        self._held: dict[str, HeldLease] = {}
        self._observations: dict[str, _Observation] = {}
        self._checked_at = clock.monotonic()
        # Wall time minus monotonic time at the last check, in seconds.
        self._wall_offset = clock.wall() - clock.monotonic()
        self._renewed_at = float("-inf")
        #: Number of pauses of the process or clock jumps detected.
        self.pauses = 0
        #: Names of the leases that some instance should hold.
        self.required: frozenset[str] = frozenset()
        #: Whether this process has stopped claiming leases.
        self.stopped = False

    def fence(self, lease: str) -> int | None:
        """Return the fencing token; ``None`` if the lease is not usable.

        Callers must not yield to another greenlet between this check and
        the action that it permits.
        """
        held = self._held.get(lease)
        if held is None or self._clock.monotonic() >= held.valid_until:
            return None
        return held.fence

    def held(self) -> dict[str, int]:
        """Return the fencing tokens of all usable leases, by name."""
        return {
            name: held.fence
            for name, held in self._held.items()
            if self.fence(name) is not None
        }

    def run(self) -> None:
        """Run ``step`` periodically; never returns."""
        while True:
            self._clock.sleep(PERIOD_S * self._random.uniform(0.8, 1.2))
            self.step()

    def step(self) -> None:
        """Detect pauses; drop, renew and claim leases."""
        self.detect_pause()
        self._drop_unusable()
        self._observe_leases()
        self._renew()
        if not self.stopped and self._follower.replay.known:
            self._claim_available()

    def detect_pause(self) -> bool:
        """Drop all leases if the process paused or its wall clock jumped.

        Returns whether either was detected.
        """
        now, wall = self._clock.monotonic(), self._clock.wall()
        elapsed = now - self._checked_at
        wall_jump = abs((wall - now) - self._wall_offset)
        self._checked_at = now
        self._wall_offset = wall - now
        if max(elapsed - PERIOD_S, wall_jump) <= PAUSE_LIMIT_S:
            return False
        self.pauses += 1
        self._events.add(
            timeline.EventKind.PAUSE_DETECTED,
            detail=f"stood {elapsed:.1f} s, wall jumped {wall_jump:.1f} s",
        )
        for name in list(self._held):
            self._drop(name, "pause")
        return True

    def release_all(self) -> None:
        """Release all leases and stop claiming.

        Waits up to 2 s for the log to accept the release.
        """
        self.stopped = True
        fences = {name: held.fence for name, held in self._held.items()}
        if not fences:
            return
        for name in list(self._held):
            self._drop(name, "released")
        pending = self._commit.submit(replica.LeaseRelease(fences), 2.0)
        pending.wait(2.0)

    def _drop(self, name: str, reason: str) -> None:
        """Stop using a lease; record it as lost, also if it is released."""
        del self._held[name]
        self._events.add(
            timeline.EventKind.LEASE_LOST, lease=name, detail=reason
        )

    def _drop_unusable(self) -> None:
        now = self._clock.monotonic()
        own_id = str(self._commit.author)
        for name, held in list(self._held.items()):
            if now >= held.valid_until:
                self._drop(name, "lapsed")
            elif not self._state.holds(name, held.fence, own_id):
                self._drop(name, "taken over")

    def _observe_leases(self) -> None:
        now = self._clock.monotonic()
        for name in self.required:
            last_offset = self._state.touched(name)
            observation = self._observations.get(name)
            if observation is None or observation.record_offset != last_offset:
                self._observations[name] = _Observation(last_offset, now)

    def _renew(self) -> None:
        now = self._clock.monotonic()
        fences = self.held()
        if not fences or now - self._renewed_at < RENEW_INTERVAL_S:
            return
        self._renewed_at = now
        pending = self._commit.submit(
            replica.LeaseRenew(fences), LEASE_DURATION_S / 2
        )
        pending.done.rawlink(lambda _: self._extend(pending, fences))

    def _extend(
        self, pending: replica.PendingRecord, fences: dict[str, int]
    ) -> None:
        """Extend the leases from the time just before the first send.

        Claimants count from when they read the renewal, which may be
        before its acknowledgement arrives here.
        """
        committed = pending.done.value
        if not isinstance(committed, result.Ok) or not pending.first_sent_at:
            return
        until = pending.first_sent_at + LEASE_DURATION_S - SAFETY_MARGIN_S
        for name, fence in fences.items():
            held = self._held.get(name)
            if held is not None and held.fence == fence:
                held.valid_until = max(held.valid_until, until)

    def _claim_available(self) -> None:
        for name in sorted(self.required):
            if name in self._held or not self._should_claim(name):
                continue
            self._claim(name)

    def _should_claim(self, name: str) -> bool:
        """Return whether to claim the lease now.

        A lease that was released or never claimed is claimed with a
        probability of 0.5 at each step. A held lease is claimed once this
        process has read no newer record of it for its duration plus
        ``SAFETY_MARGIN_S`` and a random time of up to as long.
        """
        lease = self._state.leases.get(name)
        if lease is None or not lease.holder:
            return self._random.random() < 0.5
        observation = self._observations[name]
        waited_s = self._clock.monotonic() - observation.observed_at
        jitter = self._random.uniform(0, SAFETY_MARGIN_S)
        return waited_s > lease.duration_s + SAFETY_MARGIN_S + jitter

    def _claim(self, name: str) -> None:
        last_offset = self._state.touched(name)
        pending = self._commit.submit(
            replica.LeaseClaim(name, last_offset, LEASE_DURATION_S), 2.0
        )
        committed = pending.wait(2.5)
        if not isinstance(committed, result.Ok) or not pending.first_sent_at:
            return
        offset = committed.ok_value
        if not self._follower.wait_for(offset, 2.0):
            return
        if self._state.holds(name, offset, str(self._commit.author)):
            until = pending.first_sent_at + LEASE_DURATION_S - SAFETY_MARGIN_S
            self._held[name] = HeldLease(offset, until)
            self._renewed_at = float("-inf")
            self._events.add(
                timeline.EventKind.LEASE_GRANTED,
                lease=name,
                detail=f"fencing number {offset}",
            )
