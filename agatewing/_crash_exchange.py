"""Shares with other instances which requests crash targets."""

import collections.abc
import logging
import typing

import gevent
import msgspec
import result

from agatewing import _clock
from agatewing import _exceptions
from agatewing import entry
from agatewing import membership
from agatewing import wire

_log = logging.getLogger("agatewing.crashes")

#: Stream name of the state request that carries the evidence of its sender as
#: key; its reply carries that of the receiver.
CRASH_EVIDENCE = "crash-evidence"
#: Least time between two rounds, in seconds.
ROUND_PERIOD_S = 0.2


class FetchState(typing.Protocol):
    """Requests a peer's state of a stream."""

    def __call__(
        self, address: str, stream: str, key: str
    ) -> "result.Result[wire.StateReply, _exceptions.AgatewingError]":
        """Return the reply, or the error of the call."""


class CrashExchange:
    """Sends new evidence to all live instances and adds what they know."""

    __slots__ = ("_clock", "_guard", "_fetch_state", "_live_peers")

    def __init__(
        self,
        clock: _clock.Clock,
        guard: entry.CrashGuard,
        fetch_state: FetchState,
        live_peers: collections.abc.Callable[[], list[membership.Peer]],
    ) -> None:
        self._clock = clock
        self._guard = guard
        self._fetch_state = fetch_state
        self._live_peers = live_peers

    def run(self) -> None:
        """Exchange evidence after each crash, until the greenlet is killed."""
        while True:
            self._guard.changed.wait()
            self._guard.changed.clear()
            evidence = self._guard.take_evidence().decode()
            for peer in self._live_peers():
                gevent.spawn(self._exchange, peer.address, evidence)
            self._clock.sleep(ROUND_PERIOD_S)

    def reply(self, evidence: str) -> wire.StateReply:
        """Add the evidence of another instance; return the own."""
        self._merge(evidence)
        own = self._guard.take_evidence()
        return wire.StateReply(known=True, through=0, state=own)

    def _exchange(self, address: str, evidence: str) -> None:
        reply = self._fetch_state(address, CRASH_EVIDENCE, evidence)
        match reply:
            case result.Ok(state) if state.known:
                self._merge(state.state)
            case _:
                _log.info("crashes: no evidence exchanged with %s", address)

    def _merge(self, evidence: bytes | str) -> None:
        try:
            self._guard.merge_evidence(evidence)
        except (msgspec.MsgspecError, RecursionError) as exc:
            _log.info("crashes: evidence ignored, not decoded: %s", exc)
