"""Deterministic answers of the stand-in engines as server-sent events."""

import msgspec
import xxhash

#: Length of one token, in characters.
CHARS_PER_TOKEN = 4

_WORDS = (
    "rice", "beans", "oil", "salt", "flour", "soap", "milk", "tea",
    "sugar", "corn", "fish", "bread", "eggs", "honey", "tile", "door",
    "crack", "paint", "hinge", "grout", "leak", "stain", "loose", "chip",
    "order", "crate", "shop", "van", "unit", "floor", "wall", "check",
)  # fmt: skip


def text_key(model: str, seed: int, prompt: str) -> int:
    """Return the hash that determines all tokens of an answer."""
    digest = xxhash.xxh3_64(f"{model}\0{seed}\0".encode())
    digest.update(prompt.encode())
    return digest.intdigest()


class EventWriter:
    """Encodes the events of one answer, each from its index alone.

    Event ``n`` carries token ``n``; the last event is ``[DONE]``.
    """

    __slots__ = ("_before_word", "_before_finish", "_key", "_tokens", "last")

    def __init__(
        self,
        stream_id: str,
        model: str,
        shape: str,
        created: int,
        key: int,
        tokens: int,
    ) -> None:
        chat = shape == "chat"
        kind = "chat.completion.chunk" if chat else "text_completion"
        envelope = msgspec.json.encode(
            {
                "id": stream_id,
                "object": kind,
                "created": created,
                "model": model,
            }
        )[:-1]
        field = b'"delta":{"content":' if chat else b'"text":'
        self._before_word = envelope + b',"choices":[{"index":0,' + field
        self._before_finish = (
            b'},"finish_reason":' if chat else (b',"finish_reason":')
        )
        self._key = key
        self._tokens = tokens
        #: Index of the last event.
        self.last = tokens + 1

    def events(self, first: int, end: int) -> bytes:
        """Return the events from ``first`` to ``end``, both included."""
        return b"".join(self._event(n) for n in range(first, end + 1))

    def _event(self, index: int) -> bytes:
        if index == self.last:
            return b"id: %d\ndata: [DONE]\n\n" % index
        word = _WORDS[(self._key >> (index % 59) ^ index) % len(_WORDS)]
        finish = b'"stop"' if index == self._tokens else b"null"
        return b'id: %d\ndata: %s" %s"%s%s}]}\n\n' % (
            index,
            self._before_word,
            word.encode(),
            self._before_finish,
            finish,
        )
