"""Request bodies of the completion and chat endpoints."""

import typing

import msgspec

from agatewing import _exceptions
from agatewing import _types

#: Characters per token, for estimates of prompt lengths.
CHARS_PER_TOKEN = 4

MaxTokens = typing.Annotated[int, msgspec.Meta(ge=1, le=131_072)]
Seed = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
#: Priority that a caller sets. Among requests of the same priority class the
#: lowest runs first.
Priority = typing.Annotated[int, msgspec.Meta(ge=0, le=9)]

DEFAULT_MAX_TOKENS = 256


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    # Role of the author.
    role: str
    # Text of the message.
    content: str


class _Common(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of both bodies; unknown fields are ignored."""

    model: str
    max_tokens: MaxTokens = DEFAULT_MAX_TOKENS
    stream: bool = False
    seed: Seed | None = None
    priority: Priority = 4


class CompletionBody(_Common, frozen=True, kw_only=True):
    """Body of /v1/completions."""

    prompt: str


class ChatBody(_Common, frozen=True, kw_only=True):
    """Body of /v1/chat/completions."""

    messages: tuple[ChatMessage, ...]


class GenerationRequest(msgspec.Struct, frozen=True):
    """A completion or chat request in one common form."""

    # Kind of the body: ``completions`` or ``chat``.
    shape: str
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    seed: int | None
    priority: int

    @property
    def prompt_tokens(self) -> int:
        """Estimated length of the prompt, in tokens."""
        return max(1, len(self.prompt) // CHARS_PER_TOKEN)


_completion_decoder = msgspec.json.Decoder(CompletionBody)
_chat_decoder = msgspec.json.Decoder(ChatBody)


def parse_body(shape: str, raw: bytes) -> GenerationRequest:
    """Decode a request body; raise ``RefusedError`` if it is malformed."""
    try:
        if shape == "chat":
            return _from_chat(_chat_decoder.decode(raw))
        return _from_completion(_completion_decoder.decode(raw))
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as exc:
        raise _exceptions.RefusedError(
            _exceptions.Refusal(
                _types.RefusalKind.BAD_REQUEST,
                f"the body cannot be read: {exc}",
                "send a JSON object as docs/INTERFACES.md describes it",
            )
        ) from exc


def _from_completion(body: CompletionBody) -> GenerationRequest:
    return GenerationRequest(
        "completions",
        body.model,
        body.prompt,
        body.max_tokens,
        body.stream,
        body.seed,
        body.priority,
    )


def _from_chat(body: ChatBody) -> GenerationRequest:
    prompt = "".join(f"{m.role}: {m.content}\n" for m in body.messages)
    return GenerationRequest(
        "chat",
        body.model,
        prompt,
        body.max_tokens,
        body.stream,
        body.seed,
        body.priority,
    )
