"""Decodes JSON that other processes have written."""

import typing

import msgspec
import result

T = typing.TypeVar("T")


def decode_json(raw: bytes | str, kind: type[T]) -> result.Result[T, str]:
    """Decode JSON into a type; an error is the reason why it cannot be.

    Whatever the bytes are, no exception leaves: nesting beyond the depth that
    the decoder follows is no ``MsgspecError``, nor is a text that is not
    UTF-8.
    """
    try:
        return result.Ok(msgspec.json.decode(raw, type=kind))
    except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
        return result.Err(str(exc))
