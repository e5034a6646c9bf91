"""Counts one request as load of an engine, from its send to its end."""

import enum

from agatewing import decisions
from agatewing.gateway import _tracked_target

#: Smallest expected prefill time that a measurement is compared with, in
#: seconds: a few decode steps. Below it the ratio of measured to expected
#: time is meaningless.
MIN_EXPECTED_S = 0.03


class _Phase(enum.Enum):
    """Progress of the request as seen from its answer."""

    #: The prompt is not processed yet.
    WAITING = enum.auto()
    #: No event arrived before the stall timeout; it no longer counts as load.
    LOST = enum.auto()
    #: The prompt is processed: the first event or the answer to a separate
    #: prefill arrived.
    PROCESSED = enum.auto()


class LoadMeter:
    """Load of one request at its engine.

    Counts the prompt's tokens until the prompt is processed, and the KV
    cache and the sequence until the request ends.
    """

    __slots__ = (
        "_tracked",
        "_tokens",
        "_kv_tokens",
        "_slowness",
        "_sent_at",
        "_phase",
        "_long",
        "unqueued",
        "expected_s",
        "stall_timeout_s",
    )

    def __init__(
        self,
        tracked: _tracked_target.TrackedTarget,
        profile: decisions.RequestProfile,
        prompt_fetched: bool,
        now: float,
    ) -> None:
        load = tracked.load
        self._tracked = tracked
        self._tokens = (
            0
            if prompt_fetched
            else decisions.prefill_cost_tokens(profile, load)
        )
        expected_s = load.speed.step_base_s
        if not prompt_fetched:
            expected_s = decisions.prefill_s(profile, load)
        #: Expected time until the prompt is processed, in seconds.
        self.expected_s = expected_s
        #: Time after the send at which the answer counts as lost, in
        #: seconds.
        self.stall_timeout_s = decisions.stall_timeout_s(expected_s)
        self._slowness = load.slowness
        self._sent_at = now
        self._phase = _Phase.WAITING
        self._kv_tokens = profile.kv_tokens
        # Decided once, as the learned speed may change meanwhile.
        # Shorter prompts go ahead of those that yield, as of long ones.
        self._long = bool(profile.yields_until) or load.is_long(self._tokens)
        #: Whether the engine begins with the prompt at once, as it has no
        #: other request by what is known, and fetches nothing for it.
        self.unqueued = not (
            load.sequences or decisions.fetchable_tokens(profile, load)
        )
        tracked.meters[self] = None
        tracked.record_sent(self._tokens, self._kv_tokens, self._long)

    def drop_if_lost(self, now: float) -> None:
        """Stop counting the request if its answer counts as lost."""
        waiting = self._phase is _Phase.WAITING
        if waiting and now - self._sent_at > self.stall_timeout_s:
            self._phase = _Phase.LOST
            self._tracked.record_prompt_processed(self._tokens, self._long)
            self._tracked.record_end(self._kv_tokens)

    def mark_prompt_processed(self, now: float) -> None:
        """Count only the sequence and its KV cache from now on.

        Called at the first event, or at the end of a separate prefill. The
        ratio of measured to expected prefill time updates the engine's
        slowness. A request that counted as lost counts again.
        """
        match self._phase:
            case _Phase.PROCESSED:
                return
            case _Phase.LOST:
                self._tracked.record_sent(0, self._kv_tokens)
            case _Phase.WAITING:
                self._tracked.record_prompt_processed(self._tokens, self._long)
        self._phase = _Phase.PROCESSED
        expected_s = self.expected_s / self._slowness
        ratio = (now - self._sent_at) / max(MIN_EXPECTED_S, expected_s)
        self._tracked.record_slowness(ratio)

    def end(self) -> None:
        """Stop counting the request, which has ended."""
        self._tracked.meters.pop(self, None)
        if self._phase is _Phase.WAITING:
            self._tracked.record_prompt_processed(self._tokens, self._long)
        if self._phase is not _Phase.LOST:
            self._tracked.record_end(self._kv_tokens)
