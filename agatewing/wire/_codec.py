"""Encode, authenticate and decode messages between instances."""

import functools
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

    __slots__ = ("_key", "_factory", "_decoder")

    def __init__(self, secret: str) -> None:
        self._key = hashlib.sha256(secret.encode()).digest()
        self._factory = TCompactProtocol.TCompactProtocolAcceleratedFactory(
            string_length_limit=MAX_STRING_BYTES,
            container_length_limit=MAX_CONTAINER_ITEMS,
        )
        # Protocol of the messages that are decoded; making one takes as long
        # as decoding a small message.
        self._decoder = self._make_decoder()

    def _make_decoder(self) -> typing.Any:
        return self._factory.getProtocol(TTransport.TMemoryBuffer())

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
        self._decoder.trans = TTransport.TMemoryBuffer(payload)
        try:
            message.read(self._decoder)
            _validate(message)
        except (
            Thrift.TException,
            EOFError,
            ValueError,
            TypeError,
            OverflowError,
            MemoryError,
        ) as exc:
            # The protocol may have stopped in the middle of a structure.
            self._decoder = self._make_decoder()
            return result.Err(_exceptions.ProtocolError("peer", str(exc)))
        # A message may have megabytes.
        self._decoder.trans = None
        return result.Ok(message)

    def _digest(self, payload: bytes) -> bytes:
        return hashlib.blake2b(
            payload, key=self._key, digest_size=DIGEST_BYTES
        ).digest()


def _validate(message: typing.Any) -> None:
    """Raise ``TProtocolException`` if a required field is missing.

    The generated method looks at the fields of the message itself only, not
    at those of the structures in it.
    """
    message.validate()
    for name in _structure_fields(message.__class__):
        value = getattr(message, name)
        if isinstance(value, list):
            for part in value:
                _validate(part)
        elif value is not None:
            _validate(value)


@functools.cache
def _structure_fields(message_type: typing.Any) -> tuple[str, ...]:
    """Return the fields of a message that hold structures or lists of them.

    Instances decode a hundred messages a second, and most fields are plain.
    """
    return tuple(
        name
        for _, field_type, name, details, *_ in filter(
            None, message_type.thrift_spec
        )
        if field_type == Thrift.TType.STRUCT
        or (
            field_type == Thrift.TType.LIST
            and details[0] == Thrift.TType.STRUCT
        )
    )
