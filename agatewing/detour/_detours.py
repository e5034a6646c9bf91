"""Chooses peers for requests and hands them on, within bounds."""

import collections
import collections.abc
import logging
import random
import typing

from agatewing import _clock
from agatewing import decisions
from agatewing.detour import _hop_client
from agatewing import wire

_log = logging.getLogger("agatewing.detour")

#: Largest number of requests that one instance has handed on at a time, and
#: of the bytes of their bodies.
MAX_REQUESTS = 512
MAX_BODY_BYTES = 32_000_000
#: Time for which nothing is handed on to a peer that is full, in seconds, and
#: to one that did not answer.
FULL_BACK_OFF_S = 0.1
SILENT_BACK_OFF_S = 0.5


class Links(typing.Protocol):
    """What is known of the links to the targets."""

    def lost(self, service: str) -> bool:
        """Return whether only peers reach the targets of a service."""

    def reaching(self, service: str) -> collections.abc.Sequence[str]:
        """Return the names of peers that reach them, best first."""

    def await_verdict(self, service: str, name: str) -> bool:
        """Return whether only peers reach a target; wait if that is open."""


class NoLinksLost:
    """Links of which none is ever lost."""

    __slots__ = ()

    def lost(self, service: str) -> bool:
        """Return ``False``."""
        return False

    def reaching(self, service: str) -> collections.abc.Sequence[str]:
        """Return no peer."""
        return ()

    def await_verdict(self, service: str, name: str) -> bool:
        """Return ``False``."""
        return False


class Peer(typing.Protocol):
    """Entry of a peer in the log."""

    @property
    def address(self) -> str:
        """IP address and port for other instances."""

    @property
    def zone(self) -> str:
        """Availability zone."""

    @property
    def takes_requests(self) -> bool:
        """Whether its release takes requests of peers."""

    @property
    def identifies_accounts(self) -> bool:
        """Whether its release identifies the accounts of requests."""


class NoPeerError(Exception):
    """No peer may be given the request now."""


class Detours:
    """Requests that this instance has handed on to peers."""

    __slots__ = (
        "_clock",
        "_rng",
        "_client",
        "links",
        "_peers",
        "_zone",
        "_in_flight",
        "_back_offs",
        "_body_bytes",
        "outcomes",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        rng: random.Random,
        codec: wire.Codec,
        links: Links,
        peers: collections.abc.Callable[
            [], collections.abc.Mapping[str, Peer]
        ],
        zone: str,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._client = _hop_client.HopClient(clock, codec)
        #: What is known of the links to the targets.
        self.links = links
        # Returns the entries of the other instances by name.
        self._peers = peers
        self._zone = zone
        # By peer.
        self._in_flight: collections.Counter[str] = collections.Counter()
        # Monotonic time until which a peer is given nothing, in seconds.
        self._back_offs: dict[str, float] = {}
        self._body_bytes = 0
        #: Number of requests handed on, by outcome.
        self.outcomes: collections.Counter[str] = collections.Counter()

    def needed(self, service: str) -> bool:
        """Return whether requests for a service are handed on to peers."""
        return self.links.lost(service)

    @property
    def in_flight(self) -> int:
        """Number of requests that peers serve for this instance now."""
        return self._in_flight.total()

    def choose(
        self,
        service: str,
        body_bytes: int,
        tried: collections.abc.Container[str] = (),
        of_account: bool = False,
    ) -> str:
        """Return the name of the peer to which a request is handed on.

        ``tried`` are peers that it is not handed on to again; ``of_account``
        says whether the peer has to identify its account. Raises
        :class:`NoPeerError` if there is none.
        """
        used = self._body_bytes
        if self.in_flight >= MAX_REQUESTS or (
            used and used + body_bytes > MAX_BODY_BYTES
        ):
            raise NoPeerError("too many requests are handed on to peers")
        known = self._peers()
        self._client.close_idle({peer.address for peer in known.values()})
        loads = [
            decisions.PeerLoad(
                name,
                known[name].zone == self._zone,
                self._in_flight[name],
                self._back_offs.get(name, 0.0),
            )
            for name in self.links.reaching(service)
            if name in known
            and known[name].takes_requests
            and name not in tried
            and (known[name].identifies_accounts or not of_account)
        ]
        now = self._clock.monotonic()
        chosen = decisions.choose_peer(loads, now, self._rng)
        if chosen is None:
            raise NoPeerError("no peer has room")
        return chosen

    def open(
        self, name: str, request: wire.HopRequest, timeout_s: float
    ) -> _hop_client.Hop:
        """Return a hop once a peer takes a request.

        Raises :class:`NotTakenError` if it does not within ``timeout_s``;
        nothing is handed on to it for a while then.
        """
        peer = self._peers().get(name)
        if peer is None:
            raise _hop_client.NotTakenError("the peer has left")
        size = request.body_bytes
        self._begin(name, size)
        try:
            hop = self._client.open(peer.address, request, timeout_s)
        except _hop_client.NotTakenError as exc:
            self._end(name, size)
            self._record_not_taken(name, exc)
            raise
        except BaseException:
            self._end(name, size)
            raise
        hop.on_close = lambda: self._end(name, size)
        return hop

    def _begin(self, name: str, size: int) -> None:
        self._in_flight[name] += 1
        self._body_bytes += size

    def _end(self, name: str, size: int) -> None:
        self._in_flight[name] -= 1
        if not self._in_flight[name]:
            del self._in_flight[name]
        self._body_bytes -= size

    def _record_not_taken(
        self, name: str, exc: _hop_client.NotTakenError
    ) -> None:
        back_off_s = FULL_BACK_OFF_S if exc.refusal else SILENT_BACK_OFF_S
        self._back_offs[name] = self._clock.monotonic() + back_off_s

    def record_broken(self, name: str) -> None:
        """Hand nothing on for a while to a peer that broke a request off."""
        until = self._clock.monotonic() + SILENT_BACK_OFF_S
        self._back_offs[name] = until
