"""Merges the events of a stream into one answer body."""

import collections.abc

import msgspec

from agatewing import _exceptions
from agatewing import _types
from agatewing.entry import _bodies
from agatewing.entry import _relay_types
from agatewing import net


class _Choice(msgspec.Struct, frozen=True):
    """One choice of a completion or chat event."""

    text: str = ""
    delta: dict[str, str] = {}
    finish_reason: str | None = None


class _Event(msgspec.Struct, frozen=True):
    """Data of one event; fields not used here are ignored."""

    choices: tuple[_Choice, ...]


_event_decoder = msgspec.json.Decoder(_Event)


class _Text:
    """Text of an answer, as far as it has come."""

    __slots__ = ("_room", "_parts", "_broken_off", "held")

    def __init__(self, room: net.BufferRoom) -> None:
        self._room = room
        self._parts: list[str] = []
        # Whether it was dropped, as answers take too much memory together.
        self._broken_off = False
        #: Size of the events that the text is from, in bytes.
        self.held = 0

    def add(self, part: str, size: int) -> None:
        """Add the text of an event of ``size`` bytes.

        Raises ``RefusedError`` if there is no room for the answer.
        """
        self._parts.append(part)
        self._room.record(self, self.held + size)
        if self.held > net.MAX_ANSWER_BYTES:
            self.break_off()
        self._check()

    def break_off(self) -> None:
        """Drop the text; the answer ends with its next event."""
        self._broken_off = True
        self.close()

    def close(self) -> None:
        """Drop the text."""
        self._parts.clear()
        self._room.record(self, 0)

    def whole(self) -> str:
        """Return the text; raise ``RefusedError`` if it was dropped."""
        self._check()
        return "".join(self._parts)

    def _check(self) -> None:
        if self._broken_off:
            raise _exceptions.RefusedError(_no_room())


def _no_room() -> _exceptions.Refusal:
    """Return the refusal of an answer that takes too much memory."""
    return _exceptions.Refusal(
        _types.RefusalKind.TARGET_FAILED,
        "the answer takes too much memory",
        "ask for less, or for a stream",
        _types.Outcome.UNKNOWN,
        retry_after_s=5.0,
    )


def collect(
    blocks: collections.abc.Iterator[bytes], room: net.BufferRoom
) -> tuple[str, str | None]:
    """Return the text and the finish reason of a stream.

    Raises ``RefusedError`` if there is no room for the text.
    """
    text = _Text(room)
    finish: str | None = None
    try:
        for block in blocks:
            for line in block.split(b"\n"):
                if not line.startswith(b"data: {"):
                    continue
                choice = _event_decoder.decode(line[6:]).choices[0]
                part = choice.text or choice.delta.get("content", "")
                text.add(part, len(line))
                finish = choice.finish_reason or finish
        return text.whole(), finish
    finally:
        text.close()


def whole_answer(
    call: _relay_types.GenerateCall,
    body: _bodies.GenerationRequest,
    text: str,
    finish: str | None,
    tokens: int,
) -> dict[str, object]:
    """Return the body of an answer that is not streamed."""
    choice: dict[str, object] = {"index": 0, "finish_reason": finish}
    if body.shape == "chat":
        kind = "chat.completion"
        choice["message"] = {"role": "assistant", "content": text}
    else:
        kind = "text_completion"
        choice["text"] = text
    return {
        "id": call.id,
        "object": kind,
        "created": call.created,
        "model": call.model,
        "choices": [choice],
        "usage": {
            "prompt_tokens": body.prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": body.prompt_tokens + tokens,
        },
    }
