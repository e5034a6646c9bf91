"""Configurations as peers exchange them: what differs, compressed.

A configuration may have hundreds of kilobytes, of which a change touches a
few bytes. A peer that has one of the last configurations gets the new one
compressed against it, any other peer gets it compressed by itself.
"""

import collections
import dataclasses
import hashlib

import msgspec
import result
import zstandard

from agatewing import _decoding
from agatewing.gateway import _contracts

#: Name of the compression, as instances tell each other.
ENCODING = "zstd"
#: Number of configurations from which differences can be made. A peer that is
#: further behind gets the whole one.
MAX_VERSIONS = 8
#: Number of compressed configurations that are kept for further peers.
MAX_PATCHES = 16
#: Level of compression: 336 kB with another one as its base take 1 ms.
LEVEL = 3
#: Length of the digest of a configuration, in bytes.
DIGEST_BYTES = 16
#: Maximum size of what is decompressed, in bytes: forty times the largest
#: configuration that fits into a record of the log.
MAX_DECOMPRESSED_BYTES = 16_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """A compressed configuration."""

    #: Compressed JSON.
    data: bytes
    #: Digest of the configuration that is needed to decompress it; ``None``
    #: if none is.
    base: bytes | None


class ConfigPatches:
    """The last configurations of an instance, as JSON, by their digests."""

    __slots__ = ("_encoded", "_patches")

    def __init__(self) -> None:
        # JSON of the last configurations by digest, the newest one last.
        self._encoded: dict[bytes, bytes] = {}
        # Patches by the digests of what they result in and of their base.
        self._patches: collections.OrderedDict[
            tuple[bytes, bytes | None], Patch
        ] = collections.OrderedDict()

    def record(self, configuration: _contracts.Configuration) -> None:
        """Record the configuration that was put in force."""
        encoded = msgspec.json.encode(configuration)
        digest = _digest(encoded)
        self._encoded.pop(digest, None)
        self._encoded[digest] = encoded
        while len(self._encoded) > MAX_VERSIONS:
            del self._encoded[next(iter(self._encoded))]

    @property
    def newest(self) -> bytes | None:
        """Digest of the configuration in force; ``None`` before the first."""
        return next(reversed(self._encoded), None)

    def patch(self, base: bytes | None) -> Patch | None:
        """Return the configuration in force for a peer that has ``base``.

        ``None`` before the first configuration.
        """
        newest = self.newest
        if newest is None:
            return None
        known = self._encoded.get(base) if base is not None else None
        key = (newest, base if known is not None else None)
        if key not in self._patches:
            data = compress(self._encoded[newest], known)
            self._patches[key] = Patch(data, key[1])
        self._patches.move_to_end(key)
        while len(self._patches) > MAX_PATCHES:
            self._patches.popitem(last=False)
        return self._patches[key]

    def apply(
        self, patch: Patch
    ) -> result.Result[_contracts.Configuration, str]:
        """Return the configuration of a patch, or why there is none."""
        base = None
        if patch.base is not None:
            base = self._encoded.get(patch.base)
            if base is None:
                return result.Err("its base is not known any more")
        return decompress(patch.data, base).and_then(
            lambda raw: _decoding.decode_json(raw, _contracts.Configuration)
        )


def compress(data: bytes, base: bytes | None = None) -> bytes:
    """Compress data, as its differences from ``base`` if there is one.

    The result has a checksum of the data.
    """
    size = len(data) + len(base or b"")
    # Differences are found only within the window.
    params = zstandard.ZstdCompressionParameters.from_level(
        LEVEL,
        source_size=size,
        window_log=max(zstandard.WINDOWLOG_MIN, size.bit_length()),
        write_checksum=True,
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=params
    )
    return compressor.compress(data)


def decompress(
    data: bytes, base: bytes | None = None
) -> result.Result[bytes, str]:
    """Return what was compressed against ``base``, or why it cannot be."""
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_DECOMPRESSED_BYTES:
            return result.Err(
                f"its size is not within 0 to {MAX_DECOMPRESSED_BYTES} bytes"
            )
        decompressor = zstandard.ZstdDecompressor(dict_data=_dictionary(base))
        return result.Ok(decompressor.decompress(data))
    except zstandard.ZstdError as exc:
        return result.Err(str(exc))


def _dictionary(base: bytes | None) -> zstandard.ZstdCompressionDict | None:
    if not base:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _digest(encoded: bytes) -> bytes:
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
