"""One target as one instance sees it: its work and what was seen of it."""

import dataclasses
import typing

import gevent.event

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _contracts

#: First and longest time for which a target that accepts no connections is
#: left alone, in seconds; the platform removes the entry of one that is
#: gone after three heartbeats, about four seconds.
AVOID_FIRST_S = 0.5
AVOID_LIMIT_S = 4.0
#: Requests without an answer in a row after which a target that accepts
#: connections is left alone; targets lose one answer in thirty at times.
LOST_IN_A_ROW = 3
#: Time for which an engine that turned work away gets no more, in seconds:
#: a tenth of a change of its role.
BUSY_S = 0.3
#: Time for which a target whose KV caches could not be fetched gets no
#: prompts to prefill for others, in seconds.
NO_CACHE_S = 1.0
#: Caches in a row that could not be fetched until then.
CACHES_IN_A_ROW = 3
#: Smoothing of measured paces: five slow answers, a second or two of an
#: engine's work, ease it off.
PACE_ALPHA = 0.25
#: Time after which a measured pace loses half its weight, in seconds: a
#: target that is eased off entirely is tried again within a few.
PACE_HALF_LIFE_S = 3.0
#: Largest pace that one measurement counts with; one request that hung says
#: little of the next, and admission reckons with the pace.
PACE_LIMIT = 5.0
#: Instances among which the slots of an engine are split: none, as the work
#: of the others is known and engines queue by urgency.
SHARING = 1


class Meter(typing.Protocol):
    """Counts one request as work of its engine."""

    def check(self, now: float) -> None:
        """Count the request no more if it is probably lost."""


class Machine:
    """One target with its connections and what was seen of it."""

    __slots__ = (
        "target",
        "load",
        "pace",
        "losses",
        "channels",
        "in_flight",
        "failures",
        "avoid_until",
        "no_cache_until",
        "caches_lost",
        "changing_until",
        "ordered_until",
        "meters",
        "_clock",
        "_changed",
    )

    def __init__(
        self,
        target: _contracts.Target,
        speed: decisions.Speed,
        clock: _clock.Clock,
        changed: gevent.event.Event,
        kv_limit: int = 0,
    ) -> None:
        #: Its own announcement.
        self.target = target
        #: State for the decisions.
        self.load = decisions.EngineLoad(
            target.id,
            target.zone,
            target.role or _types.Role.MIXED,
            speed,
        )
        self.load.kv_limit = kv_limit
        #: Measured pace.
        self.pace = decisions.Pace(
            alpha=PACE_ALPHA, half_life_s=PACE_HALF_LIFE_S, limit=PACE_LIMIT
        )
        #: Lost answers, measured like a pace; 1 is none.
        self.losses = decisions.Pace(
            alpha=PACE_ALPHA, half_life_s=PACE_HALF_LIFE_S, limit=PACE_LIMIT
        )
        #: Connections to it.
        self.channels = _channel.ChannelPool(target.address, clock)
        #: Requests sent from here and not ended.
        self.in_flight = 0
        #: Failures in a row.
        self.failures = 0
        #: Monotonic time until which it gets no new work.
        self.avoid_until = float("-inf")
        #: Monotonic time until which it prefills for no other engine.
        self.no_cache_until = float("-inf")
        #: KV caches in a row that could not be fetched from it.
        self.caches_lost = 0
        #: Monotonic time until which it probably changes its role.
        self.changing_until = float("-inf")
        #: The same by an order of this instance, which the others are told.
        self.ordered_until = float("-inf")
        #: Requests from here that are under way, oldest first.
        self.meters: dict[Meter, None] = {}
        self._clock = clock
        self._changed = changed

    def note_ordered(self, for_s: float) -> None:
        """Send nothing for a while to an engine that is told to change."""
        until = self._clock.monotonic() + for_s
        self.ordered_until = self.changing_until = until
        self._changed.set()

    def update(self, target: _contracts.Target) -> None:
        """Take a new announcement of the same start in."""
        if target.role is not self.target.role:
            self.changing_until = self.ordered_until = float("-inf")
        self.target = target
        if target.role is not None:
            self.load.role = target.role

    def withdraw(self) -> None:
        """Take no new work for a target that is gone."""
        gone = _types.TargetState.WITHDRAWN
        self.target = dataclasses.replace(self.target, state=gone)
        self.channels.close()

    def note_failure(self) -> None:
        """Leave a target that cannot be reached alone; longer each time."""
        self.failures += 1
        pause = AVOID_FIRST_S * 2 ** min(self.failures - 1, 10)
        now = self._clock.monotonic()
        self.avoid_until = now + min(AVOID_LIMIT_S, pause)

    def note_lost(self) -> None:
        """Count a request that brought no answer.

        One counts like a very slow answer: a target that loses many gets
        less work, one that loses a few recovers with its next answers. What
        is left of its work takes no longer, so its pace stays as it is.
        """
        self.failures += 1
        now = self._clock.monotonic()
        self.losses.observe(PACE_LIMIT, now)
        if self.failures >= LOST_IN_A_ROW:
            self.avoid_until = max(self.avoid_until, now + AVOID_FIRST_S)

    def note_busy(self) -> None:
        """Send nothing for a moment to a target that turned work away."""
        until = self._clock.monotonic() + BUSY_S
        self.avoid_until = max(self.avoid_until, until)

    def note_answer(self) -> None:
        """Trust the target again."""
        self.losses.observe(1.0, self._clock.monotonic())
        self.failures = 0
        self.avoid_until = float("-inf")

    def note_cache_lost(self) -> None:
        """Count a KV cache that could not be fetched from the engine.

        One may be due to the engine that fetches. After several in a row
        the engine prefills for no other one for a while.
        """
        self.caches_lost += 1
        if self.caches_lost >= CACHES_IN_A_ROW:
            self.no_cache_until = self._clock.monotonic() + NO_CACHE_S

    def note_cache_fetched(self) -> None:
        """Note that a KV cache of the engine was fetched."""
        self.caches_lost = 0

    @property
    def active(self) -> bool:
        """Whether the target announced that it takes new work."""
        return self.target.state is _types.TargetState.ACTIVE

    @property
    def crowded(self) -> bool:
        """Whether half of its batch is in use, as far as known."""
        return 2 * self.load.sequences >= self.load.speed.slots

    def usable(self, now: float) -> bool:
        """Return whether new work may go to the target."""
        until = max(self.avoid_until, self.changing_until)
        return self.active and now >= until

    def note_sent(self, tokens: int, kv_tokens: int = 0) -> None:
        """Count a request sent: prompt tokens to process, memory to hold."""
        self.in_flight += 1
        self.load.own_kv_tokens += kv_tokens
        self.load.own_sequences += 1
        self.load.unreported_sequences += 1
        self._add_tokens(tokens)

    def note_processed(self, tokens: int) -> None:
        """Count prompt tokens as processed."""
        self._add_tokens(-tokens)

    def _add_tokens(self, tokens: int) -> None:
        load = self.load
        load.unreported_tokens += tokens
        if load.is_long(abs(tokens)):
            load.unreported_long_tokens += tokens
        self._changed.set()

    def note_ended(self, kv_tokens: int = 0) -> None:
        """Count the end of a request, which frees its memory."""
        self.in_flight -= 1
        self.load.own_kv_tokens -= kv_tokens
        self.load.own_sequences -= 1
        self.load.unreported_sequences -= 1
        self._changed.set()
        self.load.credits = decisions.credits(self.load, SHARING)
