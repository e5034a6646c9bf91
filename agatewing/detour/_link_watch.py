"""Finds out whether this instance has lost its own paths to targets.

Nothing is probed, and no peer is asked, until an attempt to reach a target
fails or takes too long. Rounds of both then go on until a verdict is reached,
and while paths are lost.
"""

import collections.abc
import dataclasses
import random
import typing

import gevent
import gevent.event
import gevent.pool

from agatewing import _clock
from agatewing import decisions
from agatewing.detour import _link_exchange
from agatewing.detour import _link_log
from agatewing.detour import _link_probe
from agatewing.detour import _link_recorder
from agatewing.detour import _next_looks

_NOTHING_LOST = decisions.LinkVerdict()

#: Least time between the beginnings of two rounds, and the longest time of
#: one, in seconds.
ROUND_S = 0.3
#: Longest time between two looks without a suspicion, in seconds.
IDLE_S = 60.0
#: Rounds after which a suspicion ends without a verdict.
MAX_ROUNDS = 3
#: Time for which failures of a target that peers do not reach either, or of
#: one without a verdict, call for no further round, in seconds.
QUIET_S = 1.0
#: Age of the last accepted connection up to which a silent target is not
#: probed, in seconds; targets may take seconds to answer.
SILENT_PROBE_S = 0.5
#: Largest numbers of targets of a service probed in one round: that failed,
#: and others.
FAILED_PROBES = 2
OTHER_PROBES = 2
#: Number of targets probed of a service whose targets are all silent; if all
#: fail, the answers of peers decide.
SILENT_PROBES = decisions.MIN_FAILURES + 1
#: Largest number of targets probed at once when the first of a service is
#: found lost, or is reached again.
MAX_SWEEP = 64
#: Number of services with lost paths above which rounds take longer, so that
#: the number of probes does not grow with that of the services.
MAX_BUSY_SERVICES = 8
#: Peers asked in a round before there is a verdict, in the first rounds after
#: it, and while paths are lost, then in every second round.
ASKED_FIRST = 3
ASKED_THEN = 6
ASKED_LATER = 2
#: Longest wait for a verdict, in seconds.
VERDICT_S = 0.7


class WatchedTarget(_link_exchange.LinkedTarget, typing.Protocol):
    """A target whose path is watched."""

    def forgive(self) -> None:
        """Forget what lost paths may have been the cause of."""


#: Returns the targets of a service by id.
TargetsOf: typing.TypeAlias = collections.abc.Callable[
    [str], collections.abc.Mapping[str, WatchedTarget]
]


@dataclasses.dataclass(slots=True)
class _Suspicion:
    """A service whose targets may not be reached from here."""

    #: Monotonic time of its beginning, in seconds.
    since: float
    #: Rounds so far, and those since the first verdict that paths are lost.
    rounds: int = 0
    lost_rounds: int = 0
    #: Targets that were reported since the last round.
    reported: set[_link_recorder.TargetLink] = dataclasses.field(
        default_factory=set
    )
    #: Whether enough peers that reach the service answered in the last round,
    #: or there is none to ask.
    answered: bool = False
    #: Whether nothing more is to be found out.
    over: bool = False
    #: Set to begin the next round at once.
    hurry: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )
    #: Last verdict.
    verdict: decisions.LinkVerdict = _NOTHING_LOST
    #: Monotonic time of the first verdict that paths are lost, in seconds.
    lost_at: float = float("inf")


class LinkWatch:
    """What this instance knows of its own paths to targets."""

    __slots__ = (
        "_clock",
        "_random",
        "_recorder",
        "_probe",
        "_exchange",
        "_targets_of",
        "_changed",
        "_suspicions",
        "_log",
        "_next_looks",
        "_judged",
        "_rounds",
        "_loop",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        rng: random.Random,
        recorder: _link_recorder.LinkRecorder,
        probe: _link_probe.LinkProbe,
        exchange: _link_exchange.LinkExchange,
        targets_of: TargetsOf,
        changed: gevent.event.Event,
    ) -> None:
        self._clock = clock
        self._random = rng
        self._recorder = recorder
        self._probe = probe
        self._exchange = exchange
        self._targets_of = targets_of
        # Set when a verdict changes.
        self._changed = changed
        # Suspicions by service.
        self._suspicions: dict[str, _Suspicion] = {}
        self._log = _link_log.LinkLog(exchange.reaching)
        # When failures that had no verdict are looked at again.
        self._next_looks = _next_looks.NextLooks()
        # Set after each judgement.
        self._judged = gevent.event.Event()
        self._rounds = gevent.pool.Group()
        self._loop: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to watch."""
        self._recorder.start()
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop watching."""
        self._recorder.stop()
        if self._loop is not None:
            self._loop.kill()
        self._rounds.kill()

    def lost(self, service: str) -> bool:
        """Return whether no target is reached from here, but by peers."""
        suspicion = self._suspicions.get(service)
        return suspicion is not None and suspicion.verdict.all_lost

    def lost_to(self, target: WatchedTarget) -> bool:
        """Return whether a target is not reached from here, but by peers."""
        return target.link.lost

    def reaching(self, service: str) -> list[str]:
        """Return names of peers that reach a service, latest answers first."""
        return self._exchange.reaching(service)

    def unclear(self, service: str, name: str) -> bool:
        """Return whether a verdict about the path to a target is awaited."""
        target = self._targets_of(service).get(name)
        return target is not None and target.link.unclear

    def await_verdict(self, service: str, name: str) -> bool:
        """Return whether the path to a target is lost.

        Waits for a verdict if one is awaited, ``VERDICT_S`` at most.
        """
        target = self._targets_of(service).get(name)
        if target is None:
            return False
        link = target.link
        give_up_at = self._clock.monotonic() + VERDICT_S
        while link.unclear:
            left_s = give_up_at - self._clock.monotonic()
            if left_s <= 0:
                break
            self._judged.clear()
            self._clock.wait(self._judged, left_s)
        return link.lost

    def reached_count(self, service: str) -> int:
        """Return how many targets this instance reached when last tried."""
        return sum(
            target.link.evidence.reached
            for target in self._targets_of(service).values()
        )

    def lost_count(self, service: str) -> int:
        """Return how many targets only peers reach."""
        return sum(
            target.link.lost for target in self._targets_of(service).values()
        )

    @property
    def probes(self) -> int:
        """Number of connections opened as probes."""
        return self._probe.count

    @property
    def questions(self) -> int:
        """Number of questions sent to peers."""
        return self._exchange.questions

    def _run(self) -> None:
        while True:
            wait_s = ROUND_S if self._log.unreached else IDLE_S
            now = self._clock.monotonic()
            wait_s = max(0.0, min(wait_s, self._next_looks.due_at - now))
            self._clock.wait(self._recorder.changed, wait_s)
            self._recorder.changed.clear()
            self._suspect()
            self._look_again()
            for service in set(self._log.unreached) - set(self._suspicions):
                self._log_reach(service)

    def _suspect(self) -> None:
        """Suspect the services at whose targets something failed."""
        now = self._clock.monotonic()
        for link in self._recorder.take_broken():
            if now < link.quiet_until or link.lost:
                link.unclear = False
                continue
            self._open(link.service, now).reported.add(link)
        silent = {link.service for link in self._recorder.take_silent()}
        for service in silent - set(self._suspicions):
            self._probe_silent(service, now)
        for link in self._recorder.take_slow():
            if now - link.evidence.accepted_at >= SILENT_PROBE_S:
                targets = self._active(link.service)
                names = [n for n, t in targets.items() if t.link is link]
                self._start_probes(targets, names)

    def _open(self, service: str, now: float) -> _Suspicion:
        """Return the suspicion of a service; begin one if there is none."""
        suspicion = self._suspicions.get(service)
        if suspicion is None:
            suspicion = self._suspicions[service] = _Suspicion(now)
            self._rounds.start(
                gevent.Greenlet(self._investigate, service, suspicion)
            )
        return suspicion

    def _look_again(self) -> None:
        """Suspect the services whose failures had no verdict, if it is time.

        Their targets may get no requests that would show it: they count as
        failed.
        """
        now = self._clock.monotonic()
        for service in self._next_looks.take_due(now):
            failing = self._failing(service)
            if failing:
                self._open(service, now).reported.update(failing)
            elif service not in self._suspicions:
                self._next_looks.forget(service)

    def _failing(self, service: str) -> list[_link_recorder.TargetLink]:
        return [
            target.link
            for target in self._active(service).values()
            if target.link.evidence.failures
        ]

    def _plan_look(self, service: str) -> None:
        """Look again some time after a suspicion that left failures."""
        if self._failing(service):
            self._next_looks.plan(service, self._clock.monotonic())
            self._recorder.changed.set()
        else:
            self._next_looks.forget(service)

    def _investigate(self, service: str, suspicion: _Suspicion) -> None:
        """Hold rounds until a suspicion is over."""
        try:
            while not suspicion.over:
                began_at = self._clock.monotonic()
                self._round(service, suspicion)
                self._pause(suspicion, began_at)
        finally:
            del self._suspicions[service]
            now = self._clock.monotonic()
            targets = self._targets_of(service)
            self._apply(targets, _NOTHING_LOST, now)
            for target in targets.values():
                target.link.unclear = False
            self._judged.set()
            self._plan_look(service)

    def _probe_silent(self, service: str, now: float) -> None:
        """Probe a service whose targets are all silent."""
        targets = self._active(service)
        links = [target.link.evidence for target in targets.values()]
        if any(
            now - link.heard_at < _link_recorder.OVERDUE_S
            or now - link.accepted_at < SILENT_PROBE_S
            for link in links
        ):
            return
        self._start_probes(targets, self._pick(targets, SILENT_PROBES))

    def _active(self, service: str) -> dict[str, WatchedTarget]:
        return {
            name: target
            for name, target in self._targets_of(service).items()
            if target.active
        }

    def _pick(
        self, targets: collections.abc.Iterable[str], count: int
    ) -> list[str]:
        names = list(targets)
        return self._random.sample(names, min(count, len(names)))

    def _start_probes(
        self,
        targets: collections.abc.Mapping[str, WatchedTarget],
        names: collections.abc.Iterable[str],
    ) -> list[gevent.Greenlet]:
        probes = []
        for name in names:
            link = targets[name].link
            probe = self._probe.start(link, targets[name].address)
            probes.append(gevent.spawn(self._follow, probe, link))
        return probes

    def _follow(
        self, probe: gevent.Greenlet, link: _link_recorder.TargetLink
    ) -> None:
        """Judge a service at once if a probe was accepted."""
        if not probe.get():
            return
        link.unclear = False
        if link.service in self._suspicions:
            self._judge(link.service)

    def _round(self, service: str, suspicion: _Suspicion) -> None:
        """Probe targets and ask peers; judge by what comes back in time."""
        give_up_at = self._clock.monotonic() + ROUND_S
        targets = self._active(service)
        failed = self._failed_to_probe(suspicion, targets)
        others = self._others_to_probe(suspicion, targets, failed)
        suspicion.rounds += 1
        suspicion.lost_rounds += bool(suspicion.verdict.lost)
        suspicion.reported.clear()
        asked = self._targets_to_ask(targets, failed)
        probes = self._start_probes(targets, failed + others)
        count = self._count_to_ask(suspicion)
        questions = self._exchange.ask(service, asked, count)
        gevent.joinall(questions, timeout=ROUND_S)
        answers = sum(bool(question.value) for question in questions)
        # A single peer may have lost its own path to the same target.
        suspicion.answered = count > 0 and answers >= min(2, len(questions))
        self._judge(service)
        self._clear(suspicion, targets, asked)
        again = self._probe_again(suspicion, targets, asked)
        if again:
            gevent.joinall(again, timeout=_link_probe.PROBE_S)
            self._judge(service)
        left_s = give_up_at - self._clock.monotonic()
        gevent.joinall(probes, timeout=max(0.0, left_s))
        self._judge(service)
        if not suspicion.verdict.lost:
            self._settle(suspicion, targets)
        self._exchange.forget()

    def _probe_again(
        self,
        suspicion: _Suspicion,
        targets: collections.abc.Mapping[str, WatchedTarget],
        asked: collections.abc.Iterable[str],
    ) -> list[gevent.Greenlet]:
        """Probe targets that a peer has reached since they were last tried."""
        if suspicion.verdict.lost:
            return []
        probes = []
        for name in asked:
            link = targets[name].link
            reached_at = self._exchange.reached_at(name)
            if link.evidence.failures and link.tried_at < reached_at:
                probes.append(
                    self._probe.start(
                        link, targets[name].address, since=reached_at
                    )
                )
        return probes

    def _pause(self, suspicion: _Suspicion, began_at: float) -> None:
        """Wait until the next round is due; the second one follows at once."""
        if suspicion.over or suspicion.rounds == 1:
            return
        busy = max(1.0, len(self._suspicions) / MAX_BUSY_SERVICES)
        left_s = began_at + ROUND_S * busy - self._clock.monotonic()
        self._clock.wait(suspicion.hurry, max(0.0, left_s))
        suspicion.hurry.clear()

    def _failed_to_probe(
        self,
        suspicion: _Suspicion,
        targets: collections.abc.Mapping[str, WatchedTarget],
    ) -> list[str]:
        """Return the targets to probe again, those tried longest ago first."""
        now = self._clock.monotonic()
        failed = [
            name
            for name, target in targets.items()
            if target.link in suspicion.reported
            or target.link.evidence.failures
            and (target.link.lost or now >= target.link.quiet_until)
        ]
        count = FAILED_PROBES
        if suspicion.verdict.all_lost:
            failed = list(targets)
            count = 1 if suspicion.lost_rounds > MAX_ROUNDS else FAILED_PROBES
        failed.sort(key=lambda name: targets[name].link.tried_at)
        return failed[:count]

    def _others_to_probe(
        self,
        suspicion: _Suspicion,
        targets: collections.abc.Mapping[str, WatchedTarget],
        failed: collections.abc.Container[str],
    ) -> list[str]:
        """Return targets that tell a lost path from a target at fault."""
        if suspicion.verdict.lost:
            return []
        now = self._clock.monotonic()
        others = [
            name
            for name, target in targets.items()
            if name not in failed
            and now - target.link.evidence.accepted_at > decisions.HOLD_S
        ]
        return self._pick(others, OTHER_PROBES)

    def _targets_to_ask(
        self,
        targets: collections.abc.Mapping[str, WatchedTarget],
        probed: collections.abc.Sequence[str],
    ) -> list[str]:
        """Return the targets that peers are asked for: those probed first."""
        others = [
            name
            for name, target in targets.items()
            if target.link.evidence.failures and name not in probed
        ]
        others.sort(key=self._exchange.reached_at)
        return [*probed, *others][: _link_exchange.MAX_TARGETS]

    def _count_to_ask(self, suspicion: _Suspicion) -> int:
        """Return how many peers are asked in this round."""
        if not suspicion.verdict.lost:
            return ASKED_FIRST
        if suspicion.lost_rounds <= MAX_ROUNDS:
            return ASKED_THEN
        return ASKED_LATER if suspicion.rounds % 2 else 0

    def _judge(self, service: str) -> None:
        """Apply the verdict about a service."""
        now = self._clock.monotonic()
        suspicion = self._suspicions[service]
        targets = self._active(service)
        links = {name: t.link.evidence for name, t in targets.items()}
        for link in links.values():
            link.settle(now)
        before = suspicion.verdict
        verdict = suspicion.verdict = decisions.judge_links(
            links, self._exchange.reached_by(links), now, before.lost
        )
        reached_again = self._apply(targets, verdict, now)
        if reached_again or (verdict.lost and not before.lost):
            self._sweep(suspicion, targets)
        if reached_again:
            for other in self._suspicions.values():
                other.hurry.set()
        self._log_reach(service)
        if verdict.lost and not before.lost:
            suspicion.lost_at = now
        self._log.record_verdict(
            service,
            before,
            verdict,
            len(targets),
            now - suspicion.since,
            now - suspicion.lost_at,
        )
        self._judged.set()

    def _sweep(
        self,
        suspicion: _Suspicion,
        targets: collections.abc.Mapping[str, WatchedTarget],
    ) -> None:
        """Probe all targets of a service whose paths are not known now."""
        if suspicion.verdict.all_lost:
            return
        now = self._clock.monotonic()
        names = [
            name
            for name, target in targets.items()
            if now - target.link.evidence.accepted_at > ROUND_S
        ]
        self._start_probes(targets, self._pick(names, MAX_SWEEP))

    def _apply(
        self,
        targets: collections.abc.Mapping[str, WatchedTarget],
        verdict: decisions.LinkVerdict,
        now: float,
    ) -> bool:
        """Apply a verdict; return whether a target was reached again."""
        reached_again = changed = False
        for name, target in targets.items():
            link = target.link
            lost = verdict.all_lost or name in verdict.lost
            if lost == link.lost:
                continue
            changed = True
            link.lost = lost
            link.unclear = False
            if not lost:
                link.lost_until = now
                reached_again |= not link.evidence.failures
            target.forgive()
        if changed:
            self._changed.set()
        return reached_again

    def _clear(
        self,
        suspicion: _Suspicion,
        targets: collections.abc.Mapping[str, WatchedTarget],
        asked: collections.abc.Collection[str],
    ) -> None:
        """Let targets be that peers, which were asked, do not reach either."""
        if not suspicion.answered:
            return
        now = self._clock.monotonic()
        for name in asked:
            link = targets[name].link
            if now - self._exchange.reached_at(name) <= QUIET_S:
                continue
            if link.evidence.failures and not link.lost:
                link.quiet_until = now + QUIET_S
                link.unclear = False
        self._judged.set()

    def _settle(
        self,
        suspicion: _Suspicion,
        targets: collections.abc.Mapping[str, WatchedTarget],
    ) -> None:
        """End a suspicion if nothing more is to be found out."""
        now = self._clock.monotonic()
        given_up = suspicion.rounds >= MAX_ROUNDS
        suspicion.over = True
        for target in targets.values():
            link = target.link
            if not link.evidence.failures or now < link.quiet_until:
                continue
            if given_up:
                link.quiet_until = now + QUIET_S
                link.unclear = False
            else:
                suspicion.over = False
        self._judged.set()

    def _log_reach(self, service: str) -> None:
        """Log whether a target of a service is reached, if that changed."""
        links = [t.link.evidence for t in self._active(service).values()]
        now = self._clock.monotonic()
        if self._log.record_reach(service, links, now):
            # From now on, the loop looks whether that changes.
            self._recorder.changed.set()
