"""Puts the events of a stream together into one answer."""

import collections.abc

import msgspec

from agatewing.entry import _bodies
from agatewing.entry import _relay_types


class _Choice(msgspec.Struct, frozen=True):
    """One choice of an event, in either shape."""

    text: str = ""
    delta: dict[str, str] = {}
    finish_reason: str | None = None


class _Event(msgspec.Struct, frozen=True):
    """One event of an engine."""

    choices: tuple[_Choice, ...]


_event_decoder = msgspec.json.Decoder(_Event)


def collect(
    blocks: collections.abc.Iterator[bytes],
) -> tuple[str, str | None]:
    """Return text and finish reason of a whole stream."""
    parts: list[str] = []
    finish: str | None = None
    for block in blocks:
        for line in block.split(b"\n"):
            if not line.startswith(b"data: {"):
                continue
            choice = _event_decoder.decode(line[6:]).choices[0]
            parts.append(choice.text or choice.delta.get("content", ""))
            finish = choice.finish_reason or finish
    return "".join(parts), finish


def whole_answer(
    call: _relay_types.GenerateCall,
    body: _bodies.GenerationRequest,
    text: str,
    finish: str | None,
    tokens: int,
) -> dict[str, object]:
    """Return the body of an answer in one piece."""
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
