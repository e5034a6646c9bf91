"""Encode, authenticate and decode messages between instances."""

import hashlib
import hmac
import typing

import result
from thrift.protocol import TCompactProtocol
from thrift import Thrift  # type: ignore[attr-defined]
from thrift.transport import TTransport

from agatewing import _exceptions

#: Maximum size of an accepted message, in bytes.
MAX_MESSAGE_BYTES = 16_000_000
#: Maximum length of a string inside a message, in bytes.
MAX_STRING_BYTES = 16_000_000
#: Maximum number of items of a list inside a message.
MAX_CONTAINER_ITEMS = 4_096
#: Length of the keyed digest in front of each message, in bytes.
DIGEST_BYTES = 16

T = typing.TypeVar("T")


class Codec:
    """Encodes messages in the thrift compact protocol.

    A keyed BLAKE2b digest in front of each message authenticates it. The
    key derives from a secret that all instances share.
    """

    __slots__ = ("_key", "_factory")

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(secret.encode()).digest()
        self._factory = TCompactProtocol.TCompactProtocolAcceleratedFactory(
            string_length_limit=MAX_STRING_BYTES,
            container_length_limit=MAX_CONTAINER_ITEMS,
        )

    def encode(self, message: typing.Any) -> bytes:
        """Return the digest and the encoded message."""
        transport = TTransport.TMemoryBuffer()
        protocol = self._factory.getProtocol(transport)
        message.write(protocol)
        payload = transport.getvalue()
        return self._digest(payload) + payload

    def decode(
        self, message_type: type[T], data: bytes
    ) -> result.Result[T, _exceptions.ProtocolError]:
        """Verify the digest and decode a message of class ``message_type``."""
        digest, payload = data[:DIGEST_BYTES], data[DIGEST_BYTES:]
        if not hmac.compare_digest(digest, self._digest(payload)):
            return result.Err(
                _exceptions.ProtocolError(
                    "peer", "wrong digest; compare peer_secret in the settings"
                )
            )
        message: typing.Any = message_type()
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
