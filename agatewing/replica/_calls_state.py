"""At-most-once calls, as a function of the calls stream."""

import collections
import enum
import typing

import msgspec

from agatewing.replica import _records


class CallPhase(enum.StrEnum):
    """How far the call of a key has come."""

    CLAIMED = "claimed"
    ANSWERED = "answered"
    LOST = "lost"


class Call(msgspec.Struct):
    """The call of one key as of the last record."""

    # Attempt that may run the call.
    attempt: str
    # Author of that attempt, as ``instance/incarnation``.
    owner: str
    # Digest of method, path and body.
    digest: str
    # How far the call has come.
    phase: CallPhase
    # Offset of the intent.
    offset: int
    # Answer, once there is one.
    answer: _records.Answer | None = None


class CallsState:
    """The first intent of a key wins; its answer is replayed."""

    __slots__ = ("calls", "_abandoned", "_by_offset", "_rank")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Return to the state that knows no key."""
        #: Call by key.
        self.calls: dict[str, Call] = {}
        self._abandoned: dict[str, int] = {}
        self._by_offset: collections.deque[tuple[int, str]] = (
            collections.deque()
        )
        self._rank = 0

    def rank(self) -> int:
        """Return the last offset that was applied."""
        return self._rank

    def apply(
        self,
        offset: int,
        author: _records.Author,
        record: _records.Record,
    ) -> None:
        """Apply one record of the calls stream."""
        self._rank = offset
        match record:
            case _records.Intent():
                self._intend(offset, str(author), record)
            case _records.Answer():
                self._answer(record)
            case _records.AnswerLost():
                self._lose(record)
            case _records.Abandon():
                self._abandon(offset, record)

    def owns(self, key: str, attempt: str) -> bool:
        """Return whether this attempt may run the call of the key."""
        call = self.calls.get(key)
        if call is None or call.attempt != attempt:
            return False
        return call.phase is CallPhase.CLAIMED

    def forget_before(self, offset: int) -> int:
        """Drop keys whose intent lies before ``offset``."""
        dropped = 0
        while self._by_offset and self._by_offset[0][0] < offset:
            at, key = self._by_offset.popleft()
            call = self.calls.get(key)
            if call is not None and call.offset == at:
                del self.calls[key]
                dropped += 1
        stale = [k for k, at in self._abandoned.items() if at < offset]
        for attempt in stale:
            del self._abandoned[attempt]
        return dropped

    def owned_by_others(self, live: frozenset[str]) -> list[str]:
        """Return claimed keys whose owner is not among ``live``."""
        return [
            key
            for key, call in self.calls.items()
            if call.phase is CallPhase.CLAIMED and call.owner not in live
        ]

    def _intend(self, offset: int, who: str, record: _records.Intent) -> None:
        if record.attempt in self._abandoned or record.key in self.calls:
            return
        self.calls[record.key] = Call(
            record.attempt, who, record.digest, CallPhase.CLAIMED, offset
        )
        self._by_offset.append((offset, record.key))

    def _answer(self, record: _records.Answer) -> None:
        call = self.calls.get(record.key)
        if call is None or call.attempt != record.attempt:
            return
        if call.phase is not CallPhase.ANSWERED:
            call.phase = CallPhase.ANSWERED
            call.answer = record

    def _lose(self, record: _records.AnswerLost) -> None:
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
        """Return an empty dump: the window is replayed, not copied."""
        return {"rank": self._rank}

    def load(self, state: dict[str, typing.Any]) -> None:
        """Reject snapshots; this stream is only ever replayed."""
        raise ValueError("the calls stream has no snapshots")
