"""Counts one request at an engine, from its send to its end."""

import enum

from agatewing import decisions
from agatewing.gateway import _machine

#: Least time expected of an engine, in seconds: a few steps; below it the
#: ratio of measured to expected time says nothing.
LEAST_EXPECTED_S = 0.03


class _Phase(enum.Enum):
    """How far the request is, as far as its answer shows."""

    #: Its prompt is not processed.
    WAITING = enum.auto()
    #: Nothing came for so long that it does not count any more.
    LOST = enum.auto()
    #: Its prompt is processed.
    PROCESSED = enum.auto()


class WorkMeter:
    """The prompt until it is processed, the sequence until it ends."""

    __slots__ = (
        "_machine",
        "_tokens",
        "_kv_tokens",
        "_slowness",
        "_sent_at",
        "_phase",
        "expected_s",
        "stall_s",
    )

    def __init__(
        self,
        machine: _machine.Machine,
        work: decisions.Work,
        prompt_held: bool,
        now: float,
    ) -> None:
        load = machine.load
        self._machine = machine
        self._tokens = 0 if prompt_held else decisions.work_on(work, load)
        expected_s = load.speed.step_base_s
        if not prompt_held:
            expected_s = decisions.prefill_s(work, load)
        #: Time that the prompt is expected to take, in seconds.
        self.expected_s = expected_s
        #: Time after which nothing is expected any more, in seconds.
        self.stall_s = decisions.stall_s(expected_s)
        self._slowness = load.slowness
        self._sent_at = now
        self._phase = _Phase.WAITING
        self._kv_tokens = work.kv_tokens
        machine.meters[self] = None
        machine.note_sent(self._tokens, self._kv_tokens)

    def check(self, now: float) -> None:
        """Count the request no more if it is probably lost."""
        waiting = self._phase is _Phase.WAITING
        if waiting and now - self._sent_at > self.stall_s:
            self._phase = _Phase.LOST
            self._machine.note_processed(self._tokens)
            self._machine.note_ended(self._kv_tokens)

    def processed(self, now: float) -> None:
        """Note that the prompt is processed; learn the engine's pace."""
        match self._phase:
            case _Phase.PROCESSED:
                return
            case _Phase.LOST:
                self._machine.note_sent(0, self._kv_tokens)
            case _Phase.WAITING:
                self._machine.note_processed(self._tokens)
        self._phase = _Phase.PROCESSED
        expected_s = self.expected_s / self._slowness
        ratio = (now - self._sent_at) / max(LEAST_EXPECTED_S, expected_s)
        self._machine.pace.observe(ratio, now)

    def end(self) -> None:
        """Note the end of the request."""
        self._machine.meters.pop(self, None)
        if self._phase is _Phase.WAITING:
            self._machine.note_processed(self._tokens)
        if self._phase is not _Phase.LOST:
            self._machine.note_ended(self._kv_tokens)
