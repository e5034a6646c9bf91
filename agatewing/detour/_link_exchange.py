"""Asks peers which targets they reach, and answers them.

A peer that has opened no connection to a target lately opens one before it
answers.
"""

import collections.abc
import dataclasses
import logging
import random
import typing

import gevent
import msgspec
import result

from agatewing import _clock
from agatewing import _decoding
from agatewing import decisions
from agatewing.detour import _link_probe
from agatewing.detour import _link_recorder
from agatewing import wire

_log = logging.getLogger("agatewing.links")
_NEVER = float("-inf")

#: Stream name of a question in a state request.
LINK_STREAM = "gateway-links"
#: Largest number of targets in one question.
MAX_TARGETS = 4
#: Number of connections of peers that are kept for each target.
MAX_CONNECTIONS = 8
#: Age up to which a connection of the past answers a question, in seconds.
RECENT_S = 0.1
#: Age up to which the answer of a peer counts, in seconds.
ANSWER_VALID_S = 4.0
#: Time for which a peer that did not answer is asked no more, in seconds.
NO_ANSWER_S = 1.0
#: Time for which a peer of an earlier release is asked no more, in seconds.
EARLIER_RELEASE_S = 30.0


class PeerEntry(typing.Protocol):
    """Entry of a peer."""

    @property
    def address(self) -> str:
        """IP address and port for other instances."""

    @property
    def zone(self) -> str:
        """Availability zone."""


class Peers(typing.Protocol):
    """The other instances."""

    @property
    def known(self) -> collections.abc.Mapping[str, PeerEntry]:
        """Entries by name."""


#: Sends a request to the peer at an address.
Ask: typing.TypeAlias = collections.abc.Callable[
    [str, wire.StateRequest], result.Result[wire.StateReply, str]
]


class LinkedTarget(typing.Protocol):
    """A target, and this instance's path to it."""

    @property
    def link(self) -> _link_recorder.TargetLink:
        """Record of the path."""

    @property
    def address(self) -> str:
        """IP address and port."""

    @property
    def active(self) -> bool:
        """Whether it accepts new requests."""


#: Returns the targets of a service by id.
TargetsOf: typing.TypeAlias = collections.abc.Callable[
    [str], collections.abc.Mapping[str, LinkedTarget]
]


class LinkQuestion(msgspec.Struct, frozen=True):
    """Asks whether a peer reaches some targets of a service."""

    # Name of the service.
    service: str
    # Ids of the targets.
    targets: list[str]


class LinkAnswer(msgspec.Struct, frozen=True):
    """Which of them the peer reaches."""

    # Milliseconds since it opened a connection to a target, by its id. If it
    # reaches none of those in question, another one may be named.
    reached: dict[str, int]
    # Milliseconds from the question to this answer; earlier releases do not
    # tell.
    took_ms: int = 0


@dataclasses.dataclass(slots=True)
class PeerView:
    """What is known of one peer."""

    #: Monotonic time of its last answer, in seconds.
    answered_at: float = _NEVER
    #: Monotonic time of its last answer that it reaches a service, in
    #: seconds; without those that it has not reached since.
    reached: dict[str, float] = dataclasses.field(default_factory=dict)
    #: Monotonic time until which it is not asked, in seconds.
    quiet_until: float = _NEVER


class LinkExchange:
    """Asks peers, keeps what they answered, and answers them."""

    __slots__ = (
        "_clock",
        "_random",
        "_zone",
        "_peers",
        "_ask_peer",
        "_probe",
        "_targets_of",
        "_views",
        "_reached_by",
        "questions",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        rng: random.Random,
        zone: str,
        peers: Peers,
        ask: Ask,
        probe: _link_probe.LinkProbe,
        targets_of: TargetsOf,
    ) -> None:
        self._clock = clock
        self._random = rng
        self._zone = zone
        self._peers = peers
        self._ask_peer = ask
        self._probe = probe
        self._targets_of = targets_of
        # Answers by name of the peer.
        self._views: dict[str, PeerView] = {}
        # Last connections of peers to a target, by its id, oldest first.
        self._reached_by: dict[str, list[decisions.PeerConnection]] = {}
        #: Number of questions sent.
        self.questions = 0

    def reached_by(
        self, names: collections.abc.Iterable[str]
    ) -> dict[str, list[decisions.PeerConnection]]:
        """Return the last connections of peers to targets, by target."""
        return {
            name: self._reached_by[name]
            for name in names
            if name in self._reached_by
        }

    def reached_at(self, name: str) -> float:
        """Return when a peer last reached a target, as a monotonic time.

        Negative infinity if none did.
        """
        connections = self._reached_by.get(name, [])
        return max((c.latest for c in connections), default=_NEVER)

    def reaching(self, service: str) -> list[str]:
        """Return the peers that reach a service, latest answers first."""
        valid_from = self._clock.monotonic() - ANSWER_VALID_S
        views = [
            (view.reached.get(service, _NEVER), name)
            for name, view in self._views.items()
            if name in self._peers.known
        ]
        return [
            name
            for at, name in sorted(views, reverse=True)
            if at >= valid_from
        ]

    def ask(
        self,
        service: str,
        targets: collections.abc.Sequence[str],
        count: int,
    ) -> list[gevent.Greenlet]:
        """Ask up to ``count`` peers for targets of a service.

        The value of each returned greenlet says whether the peer reaches any
        target of the service; it is ``None`` without an answer.
        """
        question = LinkQuestion(service, list(targets[:MAX_TARGETS]))
        return [
            gevent.spawn(self._ask, name, question)
            for name in self._choose(service, count)
        ]

    def _choose(self, service: str, count: int) -> list[str]:
        """Return peers to ask, those that were asked longest ago first.

        One half are peers that reached the service when last asked: all of
        the own zone may have lost the same paths. Of the others, one half are
        of the own zone, as those of other zones cost more.
        """
        now = self._clock.monotonic()
        free = [
            name
            for name in self._peers.known
            if self._view(name).quiet_until <= now
        ]
        self._random.shuffle(free)
        free.sort(key=lambda name: self._view(name).answered_at)
        reaching = [n for n in free if service in self._view(n).reached]
        chosen = reaching[: (count + 1) // 2]
        others = [name for name in free if name not in chosen]
        near = [n for n in others if self._peers.known[n].zone == self._zone]
        far = [n for n in others if self._peers.known[n].zone != self._zone]
        left = count - len(chosen)
        chosen += near[: max(left // 2, left - len(far))]
        return chosen + far[: count - len(chosen)]

    def _view(self, name: str) -> PeerView:
        return self._views.setdefault(name, PeerView())

    def _ask(self, name: str, question: LinkQuestion) -> bool | None:
        entry = self._peers.known.get(name)
        if entry is None:
            return None
        self.questions += 1
        view = self._view(name)
        key = msgspec.json.encode(question).decode()
        request = wire.StateRequest(stream=LINK_STREAM, key=key)
        asked_at = self._clock.monotonic()
        match self._ask_peer(entry.address, request):
            case result.Ok(reply):
                return self._merge(view, question, reply.state, asked_at)
            case result.Err(reason):
                pass
        view.reached.clear()
        view.quiet_until = self._clock.monotonic() + NO_ANSWER_S
        _log.info(
            "links: no answer from a peer",
            extra={"instance": name, "reason": reason},
        )
        return None

    def _merge(
        self,
        view: PeerView,
        question: LinkQuestion,
        raw: bytes,
        asked_at: float,
    ) -> bool | None:
        now = self._clock.monotonic()
        match _decoding.decode_json(raw, LinkAnswer):
            case result.Err():
                # Peers of earlier releases answer with something else.
                view.quiet_until = now + EARLIER_RELEASE_S
                return None
            case result.Ok(answer):
                pass
        view.answered_at = now
        if answer.reached:
            view.reached[question.service] = now
        else:
            view.reached.pop(question.service, None)
        for name, age_ms in answer.reached.items():
            # Both are rounded down.
            earliest = asked_at + (answer.took_ms - age_ms - 1) / 1_000
            latest = now - age_ms / 1_000
            connections = self._reached_by.setdefault(name, [])
            connections.append(decisions.PeerConnection(earliest, latest))
            del connections[:-MAX_CONNECTIONS]
        return bool(answer.reached)

    def forget(self) -> None:
        """Drop what no longer counts."""
        valid_from = self._clock.monotonic() - ANSWER_VALID_S
        self._reached_by = {
            name: connections
            for name, connections in self._reached_by.items()
            if self.reached_at(name) >= valid_from
        }
        self._views = {
            name: view
            for name, view in self._views.items()
            if name in self._peers.known
        }

    def reply(self, key: str) -> wire.StateReply:
        """Return the reply to a peer's question."""
        reached: dict[str, int] = {}
        began_at = self._clock.monotonic()
        match _decoding.decode_json(key, LinkQuestion):
            case result.Err(reason):
                _log.warning(
                    "links: question ignored, it cannot be decoded",
                    extra={"reason": reason},
                )
            case result.Ok(question):
                names = question.targets[:MAX_TARGETS]
                reached = self._look(question.service, names)
        took_ms = int((self._clock.monotonic() - began_at) * 1_000)
        return wire.StateReply(
            known=True,
            through=0,
            state=msgspec.json.encode(LinkAnswer(reached, took_ms)),
        )

    def _look(
        self, service: str, names: collections.abc.Sequence[str]
    ) -> dict[str, int]:
        """Return the age of the last connection, in ms, by target.

        If none of the named targets is reached, one other is tried.
        """
        targets = self._targets_of(service)
        self._connect(targets, names)
        reached = self._reached(targets, names)
        others = [
            name
            for name, target in targets.items()
            if target.active and name not in names
        ]
        if reached or not others:
            return reached
        other = [self._random.choice(others)]
        self._connect(targets, other)
        return self._reached(targets, other)

    def _connect(
        self,
        targets: collections.abc.Mapping[str, LinkedTarget],
        names: collections.abc.Iterable[str],
    ) -> None:
        """Probe the targets that were not tried just before."""
        probes = [
            self._probe.start(
                targets[name].link, targets[name].address, for_peer=True
            )
            for name in names
            if name in targets and not self._recent(targets[name])
        ]
        gevent.joinall(probes)

    def _recent(self, target: LinkedTarget) -> bool:
        now = self._clock.monotonic()
        link = target.link
        link.evidence.settle(now)
        tried_at = link.tried_at if link.evidence.failures else _NEVER
        return now - max(tried_at, link.evidence.accepted_at) <= RECENT_S

    def _reached(
        self,
        targets: collections.abc.Mapping[str, LinkedTarget],
        names: collections.abc.Iterable[str],
    ) -> dict[str, int]:
        now = self._clock.monotonic()
        ages_s = {
            name: now - targets[name].link.evidence.accepted_at
            for name in names
            if name in targets and not targets[name].link.evidence.failures
        }
        limit_s = RECENT_S + 2 * _link_probe.PROBE_S
        return {
            name: int(age_s * 1_000)
            for name, age_s in ages_s.items()
            if age_s <= limit_s
        }
