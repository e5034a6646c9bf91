"""At-most-once calls, as a function of the calls stream."""

import collections
import enum
import typing

import msgspec

from agatewing.replica import _records


class CallPhase(enum.StrEnum):
    """Phase of the at-most-once call of a key."""

    # An attempt may run the call; no outcome is recorded yet.
    CLAIMED = "claimed"
    # The target's answer is recorded.
    ANSWERED = "answered"
    # The outcome is unknown; a later answer still replaces this.
    LOST = "lost"


class Call(msgspec.Struct):
    """The at-most-once call of one key, after the last applied record."""

    # Attempt that may run the call.
    attempt: str
    # Author of that attempt, as ``instance/incarnation``.
    owner: str
    # Digest of method, path and body.
    digest: str
    # Phase of the call.
    phase: CallPhase
    # Offset of the intent.
    offset: int
    # Recorded answer; ``None`` before.
    answer: _records.Answer | None = None


class CallsState:
    """Calls by key; the first intent of a key claims its call."""

    __slots__ = ("calls", "_abandoned", "_keys_by_offset", "_state_version")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Restore the state without any key."""
        #: Call by key.
        self.calls: dict[str, Call] = {}
        # Offset by abandoned attempt; a later intent of it has no effect.
        self._abandoned: dict[str, int] = {}
        # Intent offset and key of each claimed call, in order of offset.
        self._keys_by_offset: collections.deque[tuple[int, str]] = (
            collections.deque()
        )
        self._state_version = 0

    def state_version(self) -> int:
        """Return the offset of the last applied record."""
        return self._state_version

    def apply(
        self,
        offset: int,
        author: _records.Author,
        record: _records.Record,
    ) -> None:
        """Apply one record of the calls stream."""
        self._state_version = offset
        match record:
            case _records.Intent():
                self._apply_intent(offset, str(author), record)
            case _records.Answer():
                self._store_answer(record)
            case _records.AnswerLost():
                self._mark_lost(record)
            case _records.Abandon():
                self._abandon(offset, record)

    def owns(self, key: str, attempt: str) -> bool:
        """Return whether this attempt may run the call of the key."""
        call = self.calls.get(key)
        if call is None or call.attempt != attempt:
            return False
        return call.phase is CallPhase.CLAIMED

    def forget_before(self, offset: int) -> int:
        """Drop keys and abandoned attempts recorded before ``offset``.

        Returns the number of keys dropped.
        """
        dropped = 0
        while self._keys_by_offset and self._keys_by_offset[0][0] < offset:
            intent_offset, key = self._keys_by_offset.popleft()
            call = self.calls.get(key)
            if call is not None and call.offset == intent_offset:
                del self.calls[key]
                dropped += 1
        expired = [
            k
            for k, intent_offset in self._abandoned.items()
            if intent_offset < offset
        ]
        for attempt in expired:
            del self._abandoned[attempt]
        return dropped

    def owned_by_others(self, live: frozenset[str]) -> list[str]:
        """Return claimed keys whose owner is not among ``live``."""
        return [
            key
            for key, call in self.calls.items()
            if call.phase is CallPhase.CLAIMED and call.owner not in live
        ]

    def _apply_intent(
        self, offset: int, process: str, record: _records.Intent
    ) -> None:
        if record.attempt in self._abandoned or record.key in self.calls:
            return
        self.calls[record.key] = Call(
            record.attempt, process, record.digest, CallPhase.CLAIMED, offset
        )
        self._keys_by_offset.append((offset, record.key))

    def _store_answer(self, record: _records.Answer) -> None:
        call = self.calls.get(record.key)
        if call is None or call.attempt != record.attempt:
            return
        if call.phase is not CallPhase.ANSWERED:
            call.phase = CallPhase.ANSWERED
            call.answer = record

    def _mark_lost(self, record: _records.AnswerLost) -> None:
        call = self.calls.get(record.key)
        if call is None or call.attempt != record.attempt:
            return
        if call.phase is CallPhase.CLAIMED:
            call.phase = CallPhase.LOST

    def _abandon(self, offset: int, record: _records.Abandon) -> None:
        self._abandoned[record.attempt] = offset
        call = self.calls.get(record.key)
        if call is None or call.attempt != record.attempt:
            return
        if call.phase is not CallPhase.ANSWERED:
            del self.calls[record.key]

    def dump(self) -> dict[str, typing.Any]:
        """Return only the state version: this stream is always replayed."""
        return {"rank": self._state_version}

    def load(self, state: dict[str, typing.Any]) -> None:
        """Raise ValueError: the calls stream has no snapshots."""
        raise ValueError(
            "the calls stream has no snapshots; replay it from the log"
        )
