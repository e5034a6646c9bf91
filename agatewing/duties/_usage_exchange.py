"""Exchange of usage counts between instances.

Each instance sends its counts to the keepers of its zone, a few times a
second while they change: datagrams with sums that only grow, each sent
several times. Who reports a window asks the keepers of all zones, once, for
what they hold; between zones, where bytes are billed, nothing else passes.
"""

import collections.abc
import dataclasses
import logging
import typing
import zlib

import gevent
import msgspec
import result

from agatewing import _decoding
from agatewing.duties import _usage_counts
from agatewing import wire

_log = logging.getLogger("agatewing.usage")

#: Instances of a zone that keep the counts of all of it. With a third of all
#: instances lost at once, all three are in one case of 27.
KEEPERS = 3
#: Largest size of a datagram, in bytes, so that it fits into a packet.
NOTE_BYTES = 1_400
#: Name of the counts in a request to a peer.
USAGE_STREAM = "usage-counts"
#: Answers that are wanted of a zone: one keeper may have started lately, or
#: may have been cut off.
WANTED_ANSWERS = 2
#: Instances of a zone that are asked, first to last by rank.
MAX_ASKED = 9
#: Largest size of an answer, in bytes: all windows of a large zone.
MAX_TOLD_BYTES = 16_000_000


class Peer(typing.Protocol):
    """Entry of another instance."""

    @property
    def address(self) -> str:
        """IP address and port for other instances."""

    @property
    def zone(self) -> str:
        """Availability zone."""


class _Told(msgspec.Struct, frozen=True):
    # Incarnation that counted.
    instance: str
    start_ms: int
    window: int
    # Requests that began, by account.
    counts: dict[str, int]


Names: typing.TypeAlias = collections.abc.Iterable[str]


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeContext:
    """What the exchange needs of the instance."""

    #: Availability zone of the instance.
    zone: str
    #: Encodes and decodes messages.
    codec: wire.Codec
    #: Returns the entries of the other instances by name.
    known: collections.abc.Callable[[], collections.abc.Mapping[str, Peer]]
    #: Returns the names of the other instances of the zone that live.
    zone_peers: collections.abc.Callable[[], Names]
    #: Returns the first ones of some names, by rank.
    first: collections.abc.Callable[[Names, int], list[str]]
    #: Sends a datagram to some addresses.
    send: collections.abc.Callable[[bytes, list[str]], None]
    #: Asks the instance at an address, in a time that is bounded.
    ask: collections.abc.Callable[
        [str, wire.StateRequest], result.Result[wire.StateReply, str]
    ]


class UsageExchange:
    """Tells other instances of the own counts, and asks for theirs."""

    __slots__ = ("_context", "_counts", "_keepers", "notes_sent", "malformed")

    def __init__(
        self, context: ExchangeContext, counts: _usage_counts.UsageCounts
    ) -> None:
        self._context = context
        self._counts = counts
        self._keepers: list[str] = []
        #: Number of datagrams sent, each to all keepers.
        self.notes_sent = 0
        #: Number of datagrams and answers that did not fit.
        self.malformed = 0

    def push(self) -> None:
        """Send the own counts that are due to the keepers."""
        keepers = self._choose_keepers()
        if keepers != self._keepers:
            self._keepers = keepers
            self._counts.send_again()
        known = self._context.known()
        addresses = [known[name].address for name in keepers if name in known]
        if not addresses:
            return
        for part in self._counts.take_unsent():
            for data in self._encode(part):
                self._context.send(data, addresses)
                self.notes_sent += 1

    def _choose_keepers(self) -> list[str]:
        """Return the keepers; where the zone is small, of other zones too."""
        context = self._context
        keepers = context.first(context.zone_peers(), KEEPERS)
        missing = KEEPERS - len(keepers)
        if missing:
            far = [
                name
                for name, peer in context.known().items()
                if peer.zone != context.zone
            ]
            keepers = keepers + context.first(far, missing)
        return keepers

    def _encode(
        self, part: _usage_counts.WindowCounts
    ) -> collections.abc.Iterator[bytes]:
        """Encode counts, in halves if they exceed a datagram."""
        note = wire.UsageNote(
            instance=part.lifetime.instance,
            start_ms=part.lifetime.start_ms,
            window=part.window,
            accounts=list(part.counts),
            counts=list(part.counts.values()),
        )
        data = self._context.codec.encode(note)
        if len(data) <= NOTE_BYTES or len(part.counts) == 1:
            yield data
            return
        names = sorted(part.counts)
        middle = len(names) // 2
        for half in (names[:middle], names[middle:]):
            counts = {name: part.counts[name] for name in half}
            yield from self._encode(dataclasses.replace(part, counts=counts))

    def receive(self, data: bytes) -> bool:
        """Take a datagram; return whether it holds counts."""
        match self._context.codec.decode(wire.UsageNote, data):
            case result.Ok(note) if len(note.accounts) == len(note.counts):
                part = _usage_counts.WindowCounts(
                    _usage_counts.Lifetime(note.instance, note.start_ms),
                    note.window,
                    dict(zip(note.accounts, note.counts, strict=True)),
                )
                if not self._counts.merge(part):
                    self.malformed += 1
                return True
        return False

    def reply(self, key: str) -> wire.StateReply:
        """Return what is known of the windows that a peer asks for."""
        windows = _decode_windows(key)
        parts = self._counts.known(*windows) if windows else []
        told = [
            _Told(
                part.lifetime.instance,
                part.lifetime.start_ms,
                part.window,
                dict(part.counts),
            )
            for part in parts
        ]
        state = zlib.compress(msgspec.json.encode(told))
        return wire.StateReply(known=True, through=0, state=state)

    def gather(self, first: int, last: int) -> float:
        """Ask for the counts of some windows, and merge them.

        Returns the share of the zones from which there are answers; of the
        own one too, if it has other instances.
        """
        zones: dict[str, list[str]] = {}
        for name, peer in self._context.known().items():
            zones.setdefault(peer.zone, []).append(name)
        if not zones:
            return 1.0
        request = wire.StateRequest(stream=USAGE_STREAM, key=f"{first}:{last}")
        asked = [
            gevent.spawn(self._ask_zone, names, request)
            for names in zones.values()
        ]
        gevent.joinall(asked)
        answered = sum(bool(greenlet.value) for greenlet in asked)
        return answered / len(asked)

    def _ask_zone(self, names: list[str], request: wire.StateRequest) -> int:
        """Ask instances of a zone, some at a time; return the answers."""
        known = self._context.known()
        ranked = self._context.first(names, MAX_ASKED)
        answers = 0
        for begin in range(0, len(ranked), KEEPERS):
            asked = [
                gevent.spawn(self._ask, known[name].address, request)
                for name in ranked[begin : begin + KEEPERS]
                if name in known
            ]
            gevent.joinall(asked)
            answers += sum(bool(greenlet.value) for greenlet in asked)
            if answers >= min(WANTED_ANSWERS, len(names)):
                break
        return answers

    def _ask(self, address: str, request: wire.StateRequest) -> bool:
        match self._context.ask(address, request):
            case result.Ok(reply):
                told = _decode_told(reply.state)
            case result.Err(reason):
                _log.debug("usage: %s told no counts: %s", address, reason)
                return False
        if told is None:
            # An earlier release answers with something else.
            self.malformed += 1
            return False
        for item in told:
            lifetime = _usage_counts.Lifetime(item.instance, item.start_ms)
            if lifetime != self._counts.own:
                self._counts.merge(
                    _usage_counts.WindowCounts(
                        lifetime, item.window, item.counts
                    )
                )
        return True


def _decode_windows(key: str) -> tuple[int, int] | None:
    """Return the first and last window asked for; ``None`` if unreadable."""
    first, colon, last = key.partition(":")
    if not (colon and first.isdecimal() and last.isdecimal()):
        return None
    return int(first), int(last)


def _decode_told(state: bytes) -> list[_Told] | None:
    """Return what a peer told; ``None`` if it cannot be read."""
    try:
        raw = zlib.decompressobj().decompress(state, MAX_TOLD_BYTES)
    except zlib.error:
        return None
    return _decoding.decode_json(raw, list[_Told]).unwrap_or(None)
