"""Holds leases that the log's order grants; trusts only its own clock."""

import dataclasses
import random

import result

from agatewing import _clock
from agatewing import replica
from agatewing import timeline

#: Time that a lease holds without renewal, in seconds.
DURATION_S = 9.0
#: Time between renewals, in seconds.
RENEW_S = 2.5
#: Time that a holder stops before, and a claimant waits after, the end.
MARGIN_S = 1.0
#: Time between two looks, in seconds.
PERIOD_S = 0.5
#: Jump of the clock that voids all leases, in seconds.
PAUSE_LIMIT_S = 2.0


@dataclasses.dataclass(slots=True)
class Held:
    """A lease held by this process."""

    #: Fencing number: offset of the grant.
    fence: int
    #: Monotonic time from which it must not be used.
    valid_until: float


@dataclasses.dataclass(slots=True)
class _Seen:
    """When a record of a lease was first read here."""

    touched: int
    at: float


class LeaseKeeper:
    """Claims, renews and gives up leases of this process."""

    __slots__ = (
        "_clock",
        "_state",
        "_follower",
        "_commit",
        "_events",
        "_random",
        "_held",
        "_seen",
        "_checked_at",
        "_wall_offset",
        "_renewed_at",
        "pauses",
        "wanted",
        "stopped",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        state: replica.ControlState,
        follower: replica.Follower,
        commit: replica.GroupCommit,
        events: timeline.Timeline,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._state = state
        self._follower = follower
        self._commit = commit
        self._events = events
        self._random = rng
        self._held: dict[str, Held] = {}
        self._seen: dict[str, _Seen] = {}
        self._checked_at = clock.monotonic()
        self._wall_offset = clock.wall() - clock.monotonic()
        self._renewed_at = float("-inf")
        #: Number of pauses found.
        self.pauses = 0
        #: Names of the leases that somebody should hold.
        self.wanted: frozenset[str] = frozenset()
        #: Whether this process claims nothing any more.
        self.stopped = False

    def fence(self, lease: str) -> int | None:
        """Return the fencing number if the lease may be used now.

        Callers must not yield between this check and what it allows.
        """
        held = self._held.get(lease)
        if held is None or self._clock.monotonic() >= held.valid_until:
            return None
        return held.fence

    def held(self) -> dict[str, int]:
        """Return the leases that may be used now."""
        return {
            name: held.fence
            for name, held in self._held.items()
            if self.fence(name) is not None
        }

    def run(self) -> None:
        """Look after the leases for ever."""
        while True:
            self._clock.sleep(PERIOD_S * self._random.uniform(0.8, 1.2))
            self.step()

    def step(self) -> None:
        """Notice pauses, drop lapsed leases, renew and claim."""
        self.detect_pause()
        self._drop_lost()
        self._note_touches()
        self._renew()
        if not self.stopped and self._follower.replay.known:
            self._claim_lapsed()

    def detect_pause(self) -> bool:
        """Void all leases if the process or its clock stood still."""
        now, wall = self._clock.monotonic(), self._clock.wall()
        stood = now - self._checked_at
        jumped = abs((wall - now) - self._wall_offset)
        self._checked_at = now
        self._wall_offset = wall - now
        if max(stood - PERIOD_S, jumped) <= PAUSE_LIMIT_S:
            return False
        self.pauses += 1
        self._events.add(
            timeline.EventKind.PAUSE_DETECTED,
            detail=f"stood {stood:.1f} s, wall jumped {jumped:.1f} s",
        )
        for name in list(self._held):
            self._lose(name, "pause")
        return True

    def release_all(self) -> None:
        """Give up all leases; nothing is claimed after this."""
        self.stopped = True
        fences = {name: held.fence for name, held in self._held.items()}
        if not fences:
            return
        for name in list(self._held):
            self._lose(name, "released")
        pending = self._commit.submit(replica.LeaseRelease(fences), 2.0)
        pending.wait(2.0)

    def _lose(self, name: str, reason: str) -> None:
        del self._held[name]
        self._events.add(
            timeline.EventKind.LEASE_LOST, lease=name, detail=reason
        )

    def _drop_lost(self) -> None:
        now = self._clock.monotonic()
        me = str(self._commit.author)
        for name, held in list(self._held.items()):
            if now >= held.valid_until:
                self._lose(name, "lapsed")
            elif not self._state.holds(name, held.fence, me):
                self._lose(name, "taken over")

    def _note_touches(self) -> None:
        now = self._clock.monotonic()
        for name in self.wanted:
            touched = self._state.touched(name)
            seen = self._seen.get(name)
            if seen is None or seen.touched != touched:
                self._seen[name] = _Seen(touched, now)

    def _renew(self) -> None:
        now = self._clock.monotonic()
        fences = self.held()
        if not fences or now - self._renewed_at < RENEW_S:
            return
        self._renewed_at = now
        pending = self._commit.submit(
            replica.LeaseRenew(fences), DURATION_S / 2
        )
        pending.done.rawlink(lambda _: self._extend(pending, fences))

    def _extend(
        self, pending: replica.Pending, fences: dict[str, int]
    ) -> None:
        """Count the renewal from before it was first sent."""
        committed = pending.done.value
        if not isinstance(committed, result.Ok) or not pending.first_sent:
            return
        until = pending.first_sent + DURATION_S - MARGIN_S
        for name, fence in fences.items():
            held = self._held.get(name)
            if held is not None and held.fence == fence:
                held.valid_until = max(held.valid_until, until)

    def _claim_lapsed(self) -> None:
        for name in sorted(self.wanted):
            if name in self._held or not self._has_lapsed(name):
                continue
            self._claim(name)

    def _has_lapsed(self, name: str) -> bool:
        lease = self._state.leases.get(name)
        if lease is None or not lease.holder:
            return self._random.random() < 0.5
        seen = self._seen[name]
        waited = self._clock.monotonic() - seen.at
        jitter = self._random.uniform(0, MARGIN_S)
        return waited > lease.duration_s + MARGIN_S + jitter

    def _claim(self, name: str) -> None:
        over = self._state.touched(name)
        pending = self._commit.submit(
            replica.LeaseClaim(name, over, DURATION_S), 2.0
        )
        committed = pending.wait(2.5)
        if not isinstance(committed, result.Ok) or not pending.first_sent:
            return
        offset = committed.ok_value
        if not self._follower.wait_for(offset, 2.0):
            return
        if self._state.holds(name, offset, str(self._commit.author)):
            until = pending.first_sent + DURATION_S - MARGIN_S
            self._held[name] = Held(offset, until)
            self._renewed_at = float("-inf")
            self._events.add(
                timeline.EventKind.LEASE_GRANTED,
                lease=name,
                detail=f"fencing number {offset}",
            )
