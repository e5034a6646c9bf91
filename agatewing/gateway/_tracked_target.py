"""State of one target as this instance sees it: load, health, connections."""

import dataclasses
import logging
import typing

import gevent.event

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import detour
from agatewing.gateway import _back_offs
from agatewing.gateway import _channel
from agatewing.gateway import _contracts
from agatewing.gateway import _departures
from agatewing.gateway import _request_limits

_log = logging.getLogger("agatewing.targets")

#: First and longest backoff for a target that accepts no connections, in
#: seconds; the platform removes the entry of a dead target after three
#: missed heartbeats, about four seconds.
AVOID_FIRST_S = 0.5
AVOID_LIMIT_S = 4.0
#: Consecutive requests without an answer after which a target that accepts
#: connections gets no requests for ``AVOID_FIRST_S``; targets lose one answer
#: in thirty at times.
MAX_CONSECUTIVE_LOSSES = 3
#: Time for which an engine that rejected a request as busy gets no requests,
#: in seconds: a tenth of the duration of a role change.
BUSY_BACKOFF_S = 0.3
#: Time for which an engine whose KV caches could not be fetched gets no
#: prompts to prefill for other engines, in seconds.
NO_PREFILL_S = 1.0
#: Consecutive failed fetches of KV caches after which that time begins.
MAX_FAILED_FETCHES = 3
#: Time after the end of a lost path to a target in which failures of requests
#: that were under way do not count, in seconds; callers wait about as long.
FORGIVEN_S = 3.0
#: Weight of a new measurement in a target's smoothed slowness and losses: five
#: slow answers, which an engine gives within a second or two, reduce its
#: traffic share.
RATIO_ALPHA = 0.25
#: Half-life of both, in seconds: a target whose traffic share fell to nothing
#: is tried again within a few seconds.
RATIO_HALF_LIFE_S = 3.0
#: Largest ratio that one measurement counts with: one request that hung says
#: little about the next, and admission uses the smoothed slowness.
RATIO_LIMIT = 5.0
#: Number of instances among which an engine's slots are divided: 1, so every
#: instance may use all slots, as the load of the others is known from their
#: reports and engines queue by priority class.
SHARING_INSTANCES = 1


class Meter(typing.Protocol):
    """Accounts for one request in the load of its engine."""

    def drop_if_lost(self, now: float) -> None:
        """Remove the request from the load if it is probably lost."""


class TrackedTarget:
    """One target with its connections, load and health."""

    __slots__ = (
        "target",
        "link",
        "load",
        "slowness",
        "loss_ratio",
        "channels",
        "in_flight",
        "failures",
        "avoid_until",
        "back_off_until",
        "no_prefill_until",
        "failed_fetches",
        "changing_until",
        "ordered_until",
        "meters",
        "_limits",
        "_departures",
        "_back_offs",
        "_clock",
        "_changed",
    )

    def __init__(
        self,
        target: _contracts.Target,
        speed: decisions.Speed,
        clock: _clock.Clock,
        changed: gevent.event.Event,
        limits: _request_limits.RequestLimits,
        departures: _departures.Departures,
        back_offs: _back_offs.BackOffs,
        kv_limit: int = 0,
        link: detour.TargetLink | None = None,
    ) -> None:
        #: What this instance knows of its path to the target.
        self.link = link or detour.LinkRecorder(clock).open()
        self._limits = limits
        self._departures = departures
        self._back_offs = back_offs
        #: Its last announcement; one that leaves drains.
        self.target = self._draining_if_leaving(target)
        #: Load and speed, as routing decisions read them.
        self.load = decisions.EngineLoad(
            target.id,
            target.zone,
            target.role or _types.Role.MIXED,
            speed,
        )
        self.load.kv_limit = kv_limit
        self.load.software = target.software
        #: Smoothed ratio of measured to expected duration.
        self.slowness = _new_ratio()
        #: Lost answers, smoothed like the slowness; 1 means none.
        self.loss_ratio = _new_ratio()
        #: Connections to the target.
        self.channels = _channel.ChannelPool(target.address, clock, self.link)
        #: Requests of this instance in flight.
        self.in_flight = 0
        #: Consecutive failures.
        self.failures = 0
        #: Monotonic time until which it gets no new requests.
        self.avoid_until = float("-inf")
        #: Monotonic time until which it wants no requests.
        self.back_off_until = back_offs.until(target)
        #: Monotonic time until which it gets no prefills for other engines.
        self.no_prefill_until = float("-inf")
        #: Consecutive failed fetches of KV caches from it.
        self.failed_fetches = 0
        #: Monotonic time until which it is assumed to change its role.
        self.changing_until = float("-inf")
        #: Monotonic time until which it is assumed to change its role by an
        #: order of this instance, which reports that to other instances.
        self.ordered_until = float("-inf")
        #: Meters of this instance's requests in flight, oldest first.
        self.meters: dict[Meter, None] = {}
        self._clock = clock
        self._changed = changed

    def mark_role_change(self, duration_s: float) -> None:
        """Mark the engine as changing its role for a time in seconds."""
        until = self._clock.monotonic() + duration_s
        self.ordered_until = self.changing_until = until
        self._changed.set()

    def update(self, target: _contracts.Target) -> None:
        """Apply a new announcement of the same incarnation."""
        if target.role is not self.target.role:
            self.changing_until = self.ordered_until = float("-inf")
        self.target = self._draining_if_leaving(target)
        self.load.software = target.software
        if target.role is not None:
            self.load.role = target.role

    def _draining_if_leaving(
        self, target: _contracts.Target
    ) -> _contracts.Target:
        active = target.state is _types.TargetState.ACTIVE
        if not active or not self._departures.leaves(target):
            return target
        draining = _types.TargetState.DRAINING
        return dataclasses.replace(target, state=draining)

    def record_leaving(self) -> None:
        """Record an answer which says that the target leaves."""
        self._departures.record(self.target)
        self.apply_departure("answer")

    def apply_departure(self, source: str) -> None:
        """Send no new requests to the target if it leaves.

        ``source`` says how this instance learned of it, for the log.
        """
        target = self._draining_if_leaving(self.target)
        if target is self.target:
            return
        self.target = target
        self.load.routable = False
        _log.info(
            "targets: a target leaves",
            extra={
                "target": target.id,
                "service": target.service,
                "source": source,
            },
        )

    def record_back_off(self, back_off_s: float) -> None:
        """Record an answer by which the target wants no requests for a time.

        ``back_off_s`` is that time in seconds. Other answers don't end it.
        """
        until, begins = self._back_offs.record(self.target, back_off_s)
        self.back_off_until = until
        self.load.routable = False
        if begins:
            _log.info(
                "targets: a target backs off",
                extra={
                    "target": self.target.id,
                    "service": self.target.service,
                    "back_off_s": back_off_s,
                },
            )

    def withdraw(self) -> None:
        """Mark the target as withdrawn and close its connections."""
        withdrawn = _types.TargetState.WITHDRAWN
        self.target = dataclasses.replace(self.target, state=withdrawn)
        self.channels.close()

    @property
    def _blameless(self) -> bool:
        """Whether what fails now may be due to a lost path to the target.

        Requests that were under way at the end of such a time end later.
        """
        link = self.link
        now = self._clock.monotonic()
        return link.lost or now - link.lost_until < FORGIVEN_S

    def record_failure(self) -> None:
        """Back off from a target that cannot be reached; longer each time.

        Unless this instance lost its path to the target.
        """
        if self._blameless:
            return
        self.failures += 1
        backoff_s = AVOID_FIRST_S * 2 ** min(self.failures - 1, 10)
        now = self._clock.monotonic()
        self.avoid_until = now + min(AVOID_LIMIT_S, backoff_s)

    def record_no_answer(self) -> None:
        """Count a request that brought no answer.

        A lost answer counts like a very slow one: a target that loses many
        answers gets fewer requests, one that loses a few recovers with its
        next answers. The target's other requests take no longer because of
        it, so the slowness is not changed. An answer that may be lost due to
        a lost path to the target does not count.
        """
        if self._blameless:
            return
        self.failures += 1
        now = self._clock.monotonic()
        self.loss_ratio.observe(RATIO_LIMIT, now)
        if self.failures >= MAX_CONSECUTIVE_LOSSES:
            self.avoid_until = max(self.avoid_until, now + AVOID_FIRST_S)

    def record_slowness(self, ratio: float) -> None:
        """Record the ratio of a measured to the expected duration.

        Unless a lost path to the target may have caused it.
        """
        if not self._blameless:
            self.slowness.observe(ratio, self._clock.monotonic())

    def record_busy(self) -> None:
        """Send nothing for ``BUSY_BACKOFF_S`` after a rejected request."""
        until = self._clock.monotonic() + BUSY_BACKOFF_S
        self.avoid_until = max(self.avoid_until, until)

    def record_answer(self) -> None:
        """Record an answer: reset the failures and the backoff."""
        self.loss_ratio.observe(1.0, self._clock.monotonic())
        self.failures = 0
        self.avoid_until = float("-inf")

    def forgive(self) -> None:
        """Forget failures that this instance's lost path may have caused."""
        self.failures = 0
        self.avoid_until = float("-inf")
        self.loss_ratio = _new_ratio()
        self.slowness = _new_ratio()
        self._changed.set()

    def record_cache_fetch_failure(self) -> None:
        """Count a KV cache that could not be fetched from the engine.

        A single failure may be due to the engine that fetches. After several
        in a row the engine gets no prefills for other engines for a while.
        """
        self.failed_fetches += 1
        if self.failed_fetches >= MAX_FAILED_FETCHES:
            self.no_prefill_until = self._clock.monotonic() + NO_PREFILL_S

    def record_cache_fetch(self) -> None:
        """Reset the count of failed fetches after a successful one."""
        self.failed_fetches = 0

    @property
    def address(self) -> str:
        """IP address and port."""
        return self.target.address

    @property
    def active(self) -> bool:
        """Whether the target announced that it accepts new requests."""
        return self.target.state is _types.TargetState.ACTIVE

    @property
    def half_full(self) -> bool:
        """Whether at least half of its batch slots are known to be in use."""
        return 2 * self.load.sequences >= self.load.speed.slots

    def takes_requests(self, now: float) -> bool:
        """Return whether the target has not said otherwise."""
        return self.active and now >= self.back_off_until

    def usable(self, now: float) -> bool:
        """Return whether new requests may be sent to the target."""
        until = max(self.avoid_until, self.changing_until)
        return self.takes_requests(now) and now >= until and not self.link.lost

    @property
    def limited(self) -> bool:
        """Whether it limits the requests of all instances together."""
        return self._limits.limits(self.target)

    def may_get(self, begun: bool = False) -> bool:
        """Return whether its limit, if it names one, leaves room now.

        ``begun`` says that an engine has worked on the request already.
        """
        return self._limits.may_send(self.target, begun)

    def record_route(self) -> None:
        """Record a request that was routed to it and is not sent yet."""
        self._limits.record_route(self.target)

    def record_sent(
        self, tokens: int, kv_tokens: int = 0, is_long: bool | None = None
    ) -> None:
        """Add a sent request to the load.

        ``tokens`` are the prompt tokens to process; ``kv_tokens`` is the
        size of the KV cache that it occupies. ``is_long`` says whether the
        prompt counts as long; ``None`` leaves that to the present speed.
        """
        self.in_flight += 1
        self.load.own_kv_tokens += kv_tokens
        self.load.own_sequences += 1
        self.load.unreported_sequences += 1
        self._add_tokens(tokens, is_long)

    def record_prompt_processed(
        self, tokens: int, is_long: bool | None = None
    ) -> None:
        """Remove processed prompt tokens from the load."""
        self._add_tokens(-tokens, is_long)

    def _add_tokens(self, tokens: int, is_long: bool | None) -> None:
        load = self.load
        load.unreported_tokens += tokens
        if is_long is None:
            is_long = load.is_long(abs(tokens))
        if is_long:
            load.unreported_long_tokens += tokens
        self._changed.set()

    def record_end(self, kv_tokens: int = 0) -> None:
        """Remove an ended request and its KV cache from the load."""
        self.in_flight -= 1
        self.load.own_kv_tokens -= kv_tokens
        self.load.own_sequences -= 1
        self.load.unreported_sequences -= 1
        self._changed.set()
        self.load.credits = decisions.credits(self.load, SHARING_INSTANCES)


def _new_ratio() -> decisions.SmoothedRatio:
    return decisions.SmoothedRatio(
        alpha=RATIO_ALPHA, half_life_s=RATIO_HALF_LIFE_S, limit=RATIO_LIMIT
    )
