"""Instances tell each other their work at engines and what they know.

Every instance sees only its own requests; with six of them, five sixths of
an engine's queue are invisible, and an engine's own report lags and is paid
for. A short datagram after a change, at most twenty a second and to a few
peers, makes the queues visible within one period.
"""

import dataclasses
import logging
import random
import socket

import gevent
import gevent.socket
import result

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _catalog
from agatewing.gateway import _machines
from agatewing.gateway import _peers
from agatewing import net
from agatewing import wire

_log = logging.getLogger("agatewing.work")

#: Least time between two notes of one instance, in seconds: half of the
#: time in which an engine reads a prompt of 6,600 tokens.
PERIOD_S = 0.05
#: Peers that get one note; beyond that they are drawn at random, so that
#: the traffic of one instance does not grow with their number.
FANOUT = 8
#: Those of them in other zones, where bytes are paid for.
FAR_FANOUT = 2
#: Age at which a note counts no more, in seconds; the sender may be gone.
KEEP_S = 1.0
#: Age of its last note at which an instance counts as alive, in seconds:
#: five notes of an idle instance.
ALIVE_S = 2.0
#: Time between two looks for notes that count no more, in seconds.
EXPIRY_PERIOD_S = 0.2
#: Time after which an unchanged note is sent again, in seconds.
REPEAT_S = 0.4
#: Largest datagram, in bytes; engines beyond it are left out.
DATAGRAM_BYTES = 1_400
#: Engines in one note at most, so that it fits into a datagram.
MAX_ENGINES = 30
#: Placements, and engines that change, in one note at most, for the same
#: reason.
MAX_PLACEMENTS = 12
MAX_CHANGING = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Noted:
    """The last note of another instance."""

    #: Monotonic time at which it came.
    at: float
    #: Number of the note.
    sequence: int
    #: Work by engine.
    work: dict[str, wire.EngineWork]


class WorkNotes:
    """Sends own notes and adds up those of others."""

    __slots__ = (
        "_name",
        "_address",
        "_clock",
        "_peers",
        "_catalog",
        "_machines",
        "_codec",
        "_index",
        "_zone",
        "_random",
        "_socket",
        "_loops",
        "_sequence",
        "_notes",
        "_stale",
        "_added_at",
        "sent_bytes",
        "malformed",
    )

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        clock: _clock.Clock,
        peers: _peers.Peers,
        catalog: _catalog.Catalog,
        machines: _machines.Machines,
        codec: wire.Codec,
        rng: random.Random,
        index: decisions.PartIndex,
        zone: str,
    ) -> None:
        self._zone = zone
        self._index = index
        self._name = name
        self._address = address
        self._clock = clock
        self._peers = peers
        self._catalog = catalog
        self._machines = machines
        self._codec = codec
        self._random = rng
        self._socket: gevent.socket.socket | None = None
        self._loops: list[gevent.Greenlet] = []
        # Later starts of an instance begin above earlier ones.
        self._sequence = int(clock.wall() * 1_000)
        self._notes: dict[str, Noted] = {}
        self._stale = False
        self._added_at = float("-inf")
        machines.catch_up = self.add_up
        #: Bytes sent.
        self.sent_bytes = 0
        #: Datagrams that could not be read.
        self.malformed = 0

    def start(self) -> None:
        """Open the port; send and receive."""
        sock = gevent.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(self._address)
        self._socket = sock
        self._loops = [
            gevent.spawn(self._send_always, sock),
            gevent.spawn(self._receive_always, sock),
        ]

    def stop(self) -> None:
        """Close the port."""
        gevent.killall(self._loops)
        if self._socket is not None:
            self._socket.close()

    def _send_always(self, sock: gevent.socket.socket) -> None:
        while True:
            self._machines.changed.wait(REPEAT_S)
            self._machines.changed.clear()
            self._send(sock, self._own_work())
            self._clock.sleep(PERIOD_S)

    def _own_work(self) -> list[wire.EngineWork]:
        found = []
        for name, machine in self._machines.by_id.items():
            load = machine.load
            if load.own_sequences and machine.target.role is not None:
                found.append(
                    wire.EngineWork(
                        engine=name,
                        tokens=max(0, int(load.unreported_tokens)),
                        sequences=load.own_sequences,
                        long_tokens=max(0, int(load.unreported_long_tokens)),
                        kv_tokens=load.own_kv_tokens,
                    )
                )
        return found[:MAX_ENGINES]

    def _send(
        self, sock: gevent.socket.socket, work: list[wire.EngineWork]
    ) -> None:
        data = self._encode(work)
        for address in self.receivers():
            try:
                sock.sendto(data, net.split_address(address))
            except OSError as exc:
                _log.debug("work: %s not reached: %s", address, exc)
                continue
            self.sent_bytes += len(data)

    def _encode(self, work: list[wire.EngineWork]) -> bytes:
        """Return the next note, shortened where names are long."""
        self._sequence += 1
        note = wire.WorkNote(
            instance=self._name,
            sequence=self._sequence,
            work=work,
            config_version=self._catalog.config_version,
            through=self._catalog.through,
            changing=self._machines.ordered()[:MAX_CHANGING],
            held=self._placements(),
        )
        data = self._codec.encode(note)
        while len(data) > DATAGRAM_BYTES and (note.work or note.held):
            note.work = note.work[: len(note.work) // 2]
            note.held = note.held[: len(note.held) // 2]
            data = self._codec.encode(note)
        return data

    def _placements(self) -> list[wire.PartsHeld]:
        now = self._clock.monotonic()
        return [
            wire.PartsHeld(
                engine=told.engine,
                chain=told.key,
                ready_ms=int(told.ready_s * 1_000),
            )
            for told in self._index.news(now, MAX_PLACEMENTS)
        ]

    def receivers(self) -> list[str]:
        """Return the addresses that get the next note.

        Engines are chosen near first, so those of one zone share most of
        their engines; a few others carry news between zones.
        """
        known = self._peers.known.values()
        if len(known) <= FANOUT:
            return [entry.address for entry in known]
        near = [e.address for e in known if e.zone == self._zone]
        far = [e.address for e in known if e.zone != self._zone]
        others = self._random.sample(far, min(FAR_FANOUT, len(far)))
        count = min(FANOUT - len(others), len(near))
        return others + self._random.sample(near, count)

    def _receive_always(self, sock: gevent.socket.socket) -> None:
        while True:
            try:
                data, _ = sock.recvfrom(DATAGRAM_BYTES)
            except OSError as exc:
                _log.debug("work: receive failed: %s", exc)
                continue
            match self._codec.decode(wire.WorkNote, data):
                case result.Ok(note):
                    self.take(note)
                case result.Err():
                    self.malformed += 1

    def take(self, note: wire.WorkNote) -> None:
        """Take the note of another instance in."""
        last = self._notes.get(note.instance)
        if last is not None and note.sequence <= last.sequence:
            return
        if (
            note.config_version > self._catalog.config_version
            or note.through > self._catalog.through
        ):
            self._peers.ask_soon(note.instance)
        now = self._clock.monotonic()
        self._notes[note.instance] = Noted(
            now,
            note.sequence,
            {work.engine: work for work in note.work},
        )
        self._stale = True
        self._machines.note_changing(note.changing)
        for held in note.held:
            told = decisions.Placement(
                held.engine, held.chain, held.ready_ms / 1_000
            )
            self._index.take(told, now)

    def alive(self) -> list[str]:
        """Return the names of instances that were heard of lately."""
        now = self._clock.monotonic()
        return [
            name
            for name, noted in self._notes.items()
            if now - noted.at < ALIVE_S
        ]

    def add_up(self) -> None:
        """Write the work of all others into the loads of engines.

        Does nothing while no note came and none had time to expire.
        """
        now = self._clock.monotonic()
        if not self._stale and now - self._added_at < EXPIRY_PERIOD_S:
            return
        self._stale = False
        self._added_at = now
        fresh = [n for n in self._notes.values() if now - n.at < KEEP_S]
        if len(fresh) < len(self._notes):
            self._notes = {
                name: noted
                for name, noted in self._notes.items()
                if now - noted.at < KEEP_S * 10
            }
        for machine in self._machines.by_id.values():
            machine.load.reported_tokens = 0.0
            machine.load.reported_long_tokens = 0.0
            machine.load.reported_sequences = 0
            machine.load.reported_kv_tokens = 0
        for noted in fresh:
            for name, work in noted.work.items():
                known = self._machines.by_id.get(name)
                if known is None:
                    continue
                known.load.reported_tokens += work.tokens
                known.load.reported_long_tokens += work.long_tokens
                known.load.reported_sequences += work.sequences
                known.load.reported_kv_tokens += work.kv_tokens
