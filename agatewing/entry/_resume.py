"""Event ids with which any instance can resume a stream."""

import base64
import dataclasses
import hashlib
import hmac

import msgspec

from agatewing import _exceptions
from agatewing import _types
from agatewing import decisions

#: Length of the signature, a keyed digest before the encoded handle, in bytes.
SIGNATURE_BYTES = 10
#: Largest length of an accepted event id, in characters.
MAX_ID_CHARS = 1_024


class StreamHandle(msgspec.Struct, frozen=True, array_like=True):
    """What is needed to resume a stream besides the repeated request."""

    # Caller account.
    caller: str
    # Name of the engine that generates the stream.
    engine: str
    # Id of the stream at the engine.
    stream: str
    # Seed with which another engine generates the same answer.
    seed: int
    # Creation time in the events, in seconds since the epoch.
    created: int
    # Digest of the request body.
    body_digest: bytes
    # Software version of the engine that sent the first event; empty if not
    # known.
    software: str = ""


def bind_to_version(
    profile: decisions.RequestProfile, handle: StreamHandle
) -> decisions.RequestProfile:
    """Return the profile of a request that takes a stream up.

    A handle without a version is of engines that announced none; it says
    nothing of those that do.
    """
    return dataclasses.replace(profile, software=handle.software)


def body_digest(raw: bytes) -> bytes:
    """Return the digest of a request body.

    A resuming request must have the same digest as the original one.
    """
    return hashlib.blake2b(raw, digest_size=8).digest()


class HandleCodec:
    """Signs and verifies the handle in event ids: ``HANDLE.POSITION``."""

    __slots__ = ("_key",)

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(b"resume\0" + secret.encode()).digest()

    def encode(self, handle: StreamHandle) -> str:
        """Return the signed text of a handle."""
        payload = msgspec.msgpack.encode(handle)
        raw = self._sign(payload) + payload
        return base64.urlsafe_b64encode(raw).decode().rstrip("=")

    def decode(self, event_id: str) -> tuple[StreamHandle, int]:
        """Return the handle and the position of an event id.

        Raises ``RefusedError`` if the id is malformed or its signature does
        not match.
        """
        text, _, position = event_id.rpartition(".")
        if len(event_id) > MAX_ID_CHARS or not position.isdecimal():
            raise _exceptions.RefusedError(_bad_id("it is malformed"))
        try:
            raw = base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))
            signature, payload = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
            if not hmac.compare_digest(signature, self._sign(payload)):
                raise _exceptions.RefusedError(_bad_id("it is not ours"))
            handle = msgspec.msgpack.decode(payload, type=StreamHandle)
        except (ValueError, msgspec.MsgspecError, RecursionError) as exc:
            raise _exceptions.RefusedError(_bad_id("it is malformed")) from exc
        # The assembler accepts positions of at most 12 digits.
        return handle, int(position[:12])

    def _sign(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key, digest_size=SIGNATURE_BYTES
        ).digest()


def _bad_id(reason: str) -> _exceptions.Refusal:
    """Return the refusal of an event id that cannot be used."""
    return _exceptions.Refusal(
        _types.RefusalKind.BAD_RESUME,
        f"Last-Event-ID cannot be used: {reason}",
        "repeat the request with its body and the last id received, or "
        "without Last-Event-ID to start again",
    )


def check_resume(handle: StreamHandle, caller: str, digest: bytes) -> None:
    """Raise ``RefusedError`` if the caller or the body digest differs."""
    if handle.caller != caller:
        raise _exceptions.RefusedError(_bad_id("it is another caller's"))
    if handle.body_digest != digest:
        raise _exceptions.RefusedError(
            _bad_id("it belongs to another request body")
        )
