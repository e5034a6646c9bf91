"""Serialise, sign and check messages between instances."""

import hashlib
import hmac
import typing

import result
from thrift.protocol import TCompactProtocol
from thrift import Thrift  # type: ignore[attr-defined]
from thrift.transport import TTransport

from agatewing import _exceptions

#: Largest message accepted, in bytes.
MAX_MESSAGE_BYTES = 16_000_000
#: Longest string and container accepted inside a message.
MAX_STRING_BYTES = 16_000_000
MAX_CONTAINER_ITEMS = 4_096
#: Bytes of the keyed digest in front of each message.
DIGEST_BYTES = 16

T = typing.TypeVar("T")


class Codec:
    """Compact thrift behind a keyed BLAKE2 digest."""

    __slots__ = ("_key", "_factory")

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(secret.encode()).digest()
        self._factory = TCompactProtocol.TCompactProtocolAcceleratedFactory(
            string_length_limit=MAX_STRING_BYTES,
            container_length_limit=MAX_CONTAINER_ITEMS,
        )

    def encode(self, message: typing.Any) -> bytes:
        """Return the signed bytes of a message."""
        transport = TTransport.TMemoryBuffer()
        protocol = self._factory.getProtocol(transport)
        message.write(protocol)
        payload = transport.getvalue()
        return self._digest(payload) + payload

    def decode(
        self, kind: type[T], data: bytes
    ) -> result.Result[T, _exceptions.ProtocolError]:
        """Check and decode the bytes of a message."""
        digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(payload)):
            return result.Err(
                _exceptions.ProtocolError("peer", "wrong signature")
            )
        message: typing.Any = kind()
        transport = TTransport.TMemoryBuffer(payload)
        try:
            message.read(self._factory.getProtocol(transport))
            message.validate()
        except (
            Thrift.TException,
            EOFError,
            ValueError,
            TypeError,
            OverflowError,
            MemoryError,
        ) as exc:
            return result.Err(_exceptions.ProtocolError("peer", str(exc)))
        return result.Ok(message)

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key, digest_size=DIGEST_BYTES
        ).digest()
