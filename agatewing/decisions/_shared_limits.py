"""Keeps the requests of all instances within the limits of targets.

A target in need names the requests a second that it takes from all instances
together. Instances tell each other how many requests they sent it lately, and
send only while the sum is below the limit. The sum of a peer is some 100 ms
old, so instances that see the same room at once wait for different times;
those that have sent least go first.

In a large fleet not every instance hears every other soon enough. So each
target with a limit gets requests from a few instances only, which all
instances choose alike by a rendezvous hash and which report to each other.
"""

import collections
import collections.abc
import dataclasses
import random

import xxhash

#: Length of the window in which requests are counted, in seconds. Targets are
#: held to a limit over 4 s. Half of that spreads the requests: whoever uses up
#: a window at once sends nothing until its end, and does not learn before that
#: the limit has ended. A limit of less than one request in that time lengthens
#: the window.
WINDOW_S = 2.0
#: Share of a limit for requests that begin. The rest is for those that have
#: begun: prompts that were prefilled elsewhere, and streams that go on.
NEW_SHARE = 0.8
#: Longest time by which an instance lets each other one go first, in seconds;
#: two report periods, so that it learns whether they did.
STAGGER_S = 0.1
#: Largest number of instances that send to one target with a limit: that of
#: the peers which get each load report, and the instance itself.
MAX_SENDERS = 9
#: Time after which a limit that no answer has named again is forgotten, in
#: seconds: three times the longest deadline on the users' sites.
KEEP_S = 30.0
#: Difference up to which two ages of one observation count as equal, in
#: seconds; the transit of a report takes milliseconds.
AGE_TOLERANCE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """What an instance knows of a target's limit, and what it sent there."""

    #: Hash of the target's incarnation.
    target: int
    #: Requests a second from all instances; ``None`` if there is no limit any
    #: more.
    limit: float | None
    #: Time since an answer said so, in seconds.
    age_s: float
    #: Requests of this instance in the window.
    sends: int


@dataclasses.dataclass(slots=True)
class _Target:
    """Limit of one target and requests sent to it."""

    #: Requests a second from all instances; ``None`` for no limit.
    limit: float | None = None
    #: Monotonic time at which an answer last said so, in seconds.
    said_at: float = float("-inf")
    #: Monotonic times of this instance's sends, oldest first, in seconds.
    sends: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    #: Monotonic times at which requests were routed to it that are not sent
    #: yet, oldest first, in seconds.
    routed: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    #: Requests of each peer in the window, and when it said so.
    peers: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )
    #: Monotonic time at which this instance uses the room that there is, in
    #: seconds; ``None`` if there is none.
    room_at: float | None = None
    #: Monotonic time at which it was last put into a report, in seconds.
    published_at: float = float("-inf")

    @property
    def window_s(self) -> float:
        """Length of the window, in seconds."""
        return max(WINDOW_S, 1.0 / self.limit if self.limit else 0.0)

    def own_count(self, now: float) -> int:
        """Return this instance's requests in the window."""
        start = now - self.window_s
        for times in (self.sends, self.routed):
            while times and times[0] <= start:
                times.popleft()
        return len(self.sends) + len(self.routed)

    def count_since(self, start: float) -> int:
        """Return this instance's requests since a monotonic time."""
        return sum(at > start for at in (*self.sends, *self.routed))

    def peer_count(self, now: float) -> int:
        """Return the peers' requests in the window, as last reported."""
        start = now - self.window_s
        self.peers = {
            name: (count, at)
            for name, (count, at) in self.peers.items()
            if at > start
        }
        return sum(count for count, _ in self.peers.values())


class SharedLimits:
    """Limits of targets as one instance knows them."""

    __slots__ = (
        "_name",
        "_random",
        "_members",
        "_targets",
        "_senders",
        "_active_until",
    )

    def __init__(self, name: str, rng: random.Random) -> None:
        self._name = name
        self._random = rng
        # Names of all instances, this one included.
        self._members: frozenset[str] = frozenset((name,))
        self._targets: dict[int, _Target] = {}
        # Instances that send to each target with a limit, by target.
        self._senders: dict[int, frozenset[str]] = {}
        self._active_until = float("-inf")

    def set_members(self, peers: collections.abc.Iterable[str]) -> None:
        """Set the names of the other instances."""
        members = frozenset((self._name, *peers))
        if members != self._members:
            self._members = members
            self._senders.clear()

    def retain_targets(self, targets: collections.abc.Container[int]) -> None:
        """Remove all targets but these."""
        for key in [key for key in self._targets if key not in targets]:
            del self._targets[key]
            self._senders.pop(key, None)

    def observe(
        self, target: int, limit: float | None, sent_at: float, now: float
    ) -> bool:
        """Record what an answer says; return whether the limit changed.

        ``sent_at`` is when its request was sent: an answer without a limit
        that was under way when another named one says nothing.
        """
        state = self._targets.setdefault(target, _Target())
        if limit is None and (state.limit is None or sent_at < state.said_at):
            return False
        return self._set_limit(state, limit, now)

    def _set_limit(
        self, state: _Target, limit: float | None, at: float
    ) -> bool:
        """Set what was said at a time; return whether the limit changed."""
        changed = limit != state.limit
        state.limit, state.said_at = limit, at
        if changed:
            state.published_at = float("-inf")
        if limit is not None:
            self._active_until = max(self._active_until, at + KEEP_S)
        return changed

    def active(self, now: float) -> bool:
        """Return whether any target has a limit, or had one lately."""
        return now < self._active_until

    def record_send(self, target: int, now: float) -> None:
        """Record a request that is sent to a target now."""
        state = self._targets.setdefault(target, _Target())
        if state.routed:
            state.routed.popleft()
        state.sends.append(now)
        state.own_count(now)
        state.room_at = None
        if state.limit is not None:
            state.published_at = float("-inf")

    def record_route(self, target: int, now: float) -> None:
        """Record a request that will be sent to a target soon."""
        state = self._targets.get(target)
        if state is not None and state.limit is not None:
            state.routed.append(now)
            state.room_at = None

    def limit(self, target: int, now: float) -> float | None:
        """Return the limit of a target; ``None`` if there is none."""
        state = self._targets.get(target)
        if state is None or now - state.said_at >= KEEP_S:
            return None
        return state.limit

    def may_send(self, target: int, now: float, begun: bool = False) -> bool:
        """Return whether a request may be sent to a target now.

        ``begun`` says that an engine has worked on the request already. If
        there is room that other instances may see too, the first call only
        sets the time from which this one uses it.
        """
        limit = self.limit(target, now)
        if limit is None:
            return True
        senders = self.senders(target)
        if limit <= 0 or self._name not in senders:
            return False
        state = self._targets[target]
        allowed = limit * state.window_s
        if not begun:
            allowed = max(1.0, NEW_SHARE * allowed)
        own = state.own_count(now)
        count = own + state.peer_count(now) + 1
        if count > allowed:
            state.room_at = None
            return False
        others = len(senders) - 1
        unseen = others * (1 + state.count_since(now - STAGGER_S))
        if begun or count + unseen <= allowed:
            # There is room even if all others have sent as many as this
            # instance since their last reports, and send one more now.
            return True
        if state.room_at is None:
            if allowed >= 2 * len(senders):
                others = sum(number > 0 for number, _ in state.peers.values())
            fair = min(1.0, own * len(senders) / allowed)
            delay_s = STAGGER_S * others * (fair + self._random.random()) / 2
            state.room_at = now + delay_s
        return now >= state.room_at

    def room_after_s(self, target: int, now: float) -> float | None:
        """Return the time until a target may have room, in seconds.

        0 if it has room now; ``None`` if it takes nothing from this instance.
        """
        if self.may_send(target, now):
            return 0.0
        limit = self.limit(target, now)
        if not limit or self._name not in self.senders(target):
            return None
        room_at = self._targets[target].room_at
        if room_at is not None:
            return room_at - now
        # All instances together send so many in the time until then.
        return len(self.senders(target)) / limit

    def co_senders(self, now: float) -> frozenset[str]:
        """Return the names of the peers that send to targets like this one.

        Only targets with a limit count.
        """
        groups = [
            self.senders(key)
            for key in self._targets
            if self.limit(key, now) is not None
        ]
        return frozenset().union(
            *(group for group in groups if self._name in group)
        ) - {self._name}

    def senders(self, target: int) -> frozenset[str]:
        """Return the names of the instances that send to a target.

        All of them in a small fleet.
        """
        if len(self._members) <= MAX_SENDERS:
            return self._members
        if target not in self._senders:
            ranked = sorted(
                self._members,
                key=lambda name: xxhash.xxh64_intdigest(
                    f"{name}/{target}".encode()
                ),
            )
            self._senders[target] = frozenset(ranked[:MAX_SENDERS])
        return self._senders[target]

    def take_reports(self, now: float, limit: int) -> list[LimitReport]:
        """Return the targets for the next report, ``limit`` at most.

        New facts come first, then those reported longest ago.
        """
        known = [
            (state.published_at, key)
            for key, state in self._targets.items()
            if now - state.said_at < KEEP_S
        ]
        reports = []
        for _, key in sorted(known)[:limit]:
            state = self._targets[key]
            state.published_at = now
            reports.append(
                LimitReport(
                    key,
                    state.limit,
                    max(0.0, now - state.said_at),
                    state.own_count(now),
                )
            )
        return reports

    def merge(self, sender: str, report: LimitReport, now: float) -> bool:
        """Add a report of a peer; return whether a limit changed."""
        state = self._targets.setdefault(report.target, _Target())
        state.peers[sender] = (report.sends, now)
        at = now - report.age_s
        if at <= state.said_at + AGE_TOLERANCE_S:
            return False
        return self._set_limit(state, report.limit, at)
