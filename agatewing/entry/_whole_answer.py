"""Merges the events of a stream into one answer body."""

import collections.abc

import msgspec

from agatewing.entry import _bodies
from agatewing.entry import _relay_types


class _Choice(msgspec.Struct, frozen=True):
    """One choice of a completion or chat event."""

    text: str = ""
    delta: dict[str, str] = {}
    finish_reason: str | None = None


class _Event(msgspec.Struct, frozen=True):
    """Data of one event; fields not used here are ignored."""

    choices: tuple[_Choice, ...]


_event_decoder = msgspec.json.Decoder(_Event)


def collect(
    blocks: collections.abc.Iterator[bytes],
) -> tuple[str, str | None]:
    """Return the text and the finish reason of a stream."""
    texts: list[str] = []
    finish: str | None = None
    for block in blocks:
        for line in block.split(b"\n"):
            if not line.startswith(b"data: {"):
                continue
            choice = _event_decoder.decode(line[6:]).choices[0]
            texts.append(choice.text or choice.delta.get("content", ""))
            finish = choice.finish_reason or finish
    return "".join(texts), finish


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
