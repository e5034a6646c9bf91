"""Counts one request at an engine, from its send to its end."""

from agatewing import decisions
from agatewing.gateway import _machines

#: Least time expected of an engine, in seconds: a few steps; below it the
#: ratio of measured to expected time says nothing.
LEAST_EXPECTED_S = 0.03


class WorkMeter:
    """The prompt until it is processed, the sequence until it ends."""

    __slots__ = (
        "_machine",
        "_tokens",
        "_kv_tokens",
        "_expected_s",
        "_sent_at",
        "_first",
    )

    def __init__(
        self,
        machine: _machines.Machine,
        work: decisions.Work,
        prompt_held: bool,
        now: float,
    ) -> None:
        load = machine.load
        self._machine = machine
        self._tokens = 0 if prompt_held else decisions.work_on(work, load)
        expected_s = load.speed.step_base_s
        if not prompt_held:
            expected_s = decisions.prefill_s(work, load) / load.slowness
        self._expected_s = max(LEAST_EXPECTED_S, expected_s)
        self._sent_at = now
        self._first = True
        self._kv_tokens = work.kv_tokens
        machine.note_sent(self._tokens, self._kv_tokens)

    def processed(self, now: float) -> None:
        """Note that the prompt is processed; learn the engine's pace."""
        if not self._first:
            return
        self._first = False
        self._machine.note_processed(self._tokens)
        ratio = (now - self._sent_at) / self._expected_s
        self._machine.pace.observe(ratio, now)

    def end(self) -> None:
        """Note the end of the request."""
        if self._first:
            self._machine.note_processed(self._tokens)
        self._machine.note_ended(self._kv_tokens)
