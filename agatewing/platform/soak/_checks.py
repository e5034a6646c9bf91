"""Records what callers and targets saw; finds broken promises."""

import collections
import collections.abc
import contextlib
import dataclasses
import time

from agatewing.platform.soak import _accounts
from agatewing.platform.soak import _cuts
from agatewing.platform.soak import _disturbances
from agatewing.platform.soak import _notices
from agatewing.platform import standins

#: Time limit of every route, in seconds; an answer may be cut off at it.
ROUTE_TIMEOUT_S = 3.0
#: Time before that limit at which an instance gives up already, in seconds:
#: twice the margin that it keeps for its last answer to arrive.
DEADLINE_MARGIN_S = 0.03
#: Time in which all instances must have learned which request it is that
#: crashes targets, in seconds: the users' rule, like the two counts below.
LEARN_S = 3.0
#: Crashes after which that time begins, and sends allowed after it.
CRASHES = 3
MAX_LATE_SENDS = 3
#: Statuses that promise that a request has not run and never will run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller."""

    #: Id of the attempt.
    id: str
    #: Whether the request may run more than once.
    idempotent: bool
    #: Events of the whole stream; 0 for a plain request.
    events: int
    #: Attempt that began the stream; empty if this one begins it.
    resumes: str = ""
    #: Number of events that the caller had before.
    after: int = 0
    #: Name of the instance to which it is sent.
    instance: str = ""
    #: Monotonic time at which it is sent, in seconds.
    sent_at: float = 0.0
    #: Service of its route.
    service: str = ""
    #: Request on which targets crash, by a name that its sends share; empty
    #: for a sound one.
    crashing: str = ""
    #: Key that it is sent with; ``None`` for none.
    credential: _accounts.Credential | None = None


class CallerRecords:
    """Attempts and replies of all callers, to compare with targets' runs."""

    def __init__(self) -> None:
        self._attempts: dict[str, Attempt] = {}
        self._replies: dict[str, standins.Reply] = {}
        self._ended_at: dict[str, float] = {}
        #: Faults that may end the requests of an instance or of a service.
        self.disturbances = _disturbances.Disturbances()
        #: Times in which instances did not run or were to end.
        self.absences = _disturbances.Disturbances()
        #: Times in which instances reached no target of some services.
        self.cuts = _cuts.Cuts()
        #: Returns the instances that sent a request to a target, by their
        #: ids.
        self.carriers: collections.abc.Callable[[str, str], list[str]] = (
            lambda request, target: []
        )
        #: Client accounts; ``None`` if there are none.
        self.accounts: _accounts.Accounts | None = None
        #: Number of replies by status; 0 for connections without a reply.
        self.statuses: collections.Counter[int] = collections.Counter()

    def record_attempt(self, attempt: Attempt) -> None:
        """Record an attempt; to be called before it is sent."""
        self._attempts[attempt.id] = attempt

    def record_reply(
        self, request_id: str, reply: standins.Reply, at: float
    ) -> None:
        """Record the reply that the caller received.

        ``at`` is the monotonic time at which it ended, in seconds.
        """
        self._replies[request_id] = reply
        self._ended_at[request_id] = at
        self.statuses[reply.status] += 1

    @contextlib.contextmanager
    def absent(
        self, instance: str, ends_requests: bool = False
    ) -> collections.abc.Iterator[None]:
        """Record that an instance does not run, or is to end, meanwhile.

        ``ends_requests`` says whether its requests may end by that.
        """
        records = [self.absences]
        if ends_requests:
            records.append(self.disturbances)
        begun = [record.begin(instance) for record in records]
        yield
        for disturbance in begun:
            disturbance.end()

    @contextlib.contextmanager
    def cut(
        self,
        instance: str,
        services: frozenset[str],
        targets: collections.abc.Iterable[str],
        picture: standins.Picture,
    ) -> collections.abc.Iterator[None]:
        """Record that an instance does not reach targets meanwhile.

        They are all targets of the services.
        """
        ends_open = picture is not standins.Picture.LIVE_ON
        cut = self.cuts.begin(instance, services, ends_open)
        links = [
            self.disturbances.begin(_disturbances.link(target, instance))
            for target in targets
        ]
        yield
        cut.until = time.monotonic()
        for link in links:
            link.end()

    def failed(self) -> list[str]:
        """Return attempts without a complete 200 reply, with their status."""
        return [
            f"{name} got {reply.status}"
            for name, reply in self._replies.items()
            if reply.status != 200 or not reply.complete
        ]

    def violations(self, engines: list[standins.EngineStandin]) -> list[str]:
        """Return every broken promise as a line of text.

        Each line starts with its kind: TWICE for a request that ran more
        than once, UNASKED for one that no caller sent, REFUSED for one that
        ran although its status promises that it did not, MIXED or ORDER for
        a wrong body, STOPPED for a sound request that was put under
        quarantine, WHOLE for one that had no complete answer though no fault
        ended it, CRASHED for one on which targets crash that was not kept
        from them, ACCOUNT and REVOKED for one that ran for another account or
        long after its key was taken away, DRAIN and BUDGET for one that
        reached a target that left or backed off, RECOVER if instances
        without links served too few.
        """
        runs = collections.Counter(
            run.id for engine in engines for run in engine.runs
        )
        violations = [
            f"TWICE: {name} ran {count} times"
            for name, count in runs.items()
            if name in self._attempts
            and count > 1
            and not self._attempts[name].idempotent
        ]
        violations += [
            f"UNASKED: {run.id!r} ran at {engine.name}: {run.line}"
            for engine in engines
            for run in engine.runs
            if run.id not in self._attempts
        ]
        for name, reply in self._replies.items():
            attempt = self._attempts[name]
            if reply.status in NOT_RUN_STATUSES and runs[name]:
                if not attempt.idempotent:
                    violations.append(
                        f"REFUSED: {name} got {reply.status}, ran"
                    )
            if reply.status == 200 and reply.complete:
                violations += _wrong_body(attempt, reply)
            quarantined = reply.body.startswith(b"quarantined")
            if quarantined and not attempt.crashing:
                violations.append(f"STOPPED: {name} got {reply.status}")
        violations += self._unfinished(engines)
        violations += self._wrong_accounts(engines)
        violations += self._late_sends(engines)
        violations += self._unwanted_sends(engines)
        violations += self.cuts.unequal(self._first_tries(), self.absences)
        return violations + self._mixed_versions()

    def _wrong_accounts(
        self, engines: list[standins.EngineStandin]
    ) -> list[str]:
        """Return the runs for another account, or with a removed key."""
        if self.accounts is None:
            return []
        found: list[str] = []
        for engine in engines:
            for run in (*engine.prefills, *engine.runs):
                attempt = self._attempts.get(run.id)
                if attempt is None or attempt.credential is None:
                    continue
                through = {
                    attempt.instance,
                    self._sender(attempt, engine.name),
                }
                sent = _accounts.Sent(
                    attempt.credential, attempt.sent_at, frozenset(through)
                )
                found += self.accounts.violations(
                    attempt.id, sent, run, self.absences
                )
        return found

    def _unfinished(self, engines: list[standins.EngineStandin]) -> list[str]:
        """Return the attempts whose reply ended early without a cause.

        They reached a target, and no fault was injected at their instance or
        in their service until they ended. Targets and links that are slow or
        silent for a time are no cause, nor are an orderly stop, a change of
        the configuration, or a log that is away.
        """
        reached: dict[str, list[str]] = collections.defaultdict(list)
        scripted = set()
        for engine in engines:
            scripted |= engine.scripted
            for run in (*engine.prefills, *engine.runs):
                reached[run.id].append(engine.name)
        found = []
        for name, reply in self._replies.items():
            if reply.complete or name not in reached or name in scripted:
                continue
            attempt = self._attempts[name]
            since, until = attempt.sent_at, self._ended_at[name]
            if until - since >= ROUTE_TIMEOUT_S - DEADLINE_MARGIN_S or any(
                self.disturbances.overlap(where, since, until)
                for where in (attempt.instance, attempt.service)
            ):
                continue
            if self._ended_by_cut(attempt, reached[name]):
                continue
            found.append(
                f"WHOLE: {name} ended after {until - since:.2f} s with status "
                f"{reply.status} and events {event_ids(reply.body)}; "
                f"{attempt.instance} sent it to {reached[name]}"
            )
        return found

    def _ended_by_cut(self, attempt: Attempt, targets: list[str]) -> bool:
        """Return whether a cut leaves a stream no way to go on.

        It may not go on at another target, no peer could serve it, or that
        which did was disturbed.
        """
        if not attempt.events:
            return False
        tried = self._tried(attempt)
        span = tried.since, tried.until
        carriers = {
            name
            for target in targets
            for name in self.carriers(attempt.id, target)
        }
        ended = self.cuts.ended_connections(
            carriers | {attempt.instance}, *span
        )
        if ended and not attempt.idempotent:
            return True
        if not self.cuts.overlap(attempt.instance, attempt.service, *span):
            return False
        return any(
            self.disturbances.overlap(name, *span) for name in carriers
        ) or not self.cuts.sound_peer(tried, self._instances(), self.absences)

    def _instances(self) -> set[str]:
        return {attempt.instance for attempt in self._attempts.values()}

    def _tried(self, attempt: Attempt) -> _cuts.Tried:
        reply = self._replies[attempt.id]
        return _cuts.Tried(
            attempt.instance,
            attempt.service,
            attempt.sent_at,
            self._ended_at[attempt.id],
            reply.status == 200 and reply.complete,
        )

    def _first_tries(self) -> list[_cuts.Tried]:
        """Return the first tries of sound requests."""
        return [
            self._tried(self._attempts[name])
            for name in self._replies
            if not self._attempts[name].resumes
            and not self._attempts[name].crashing
        ]

    def _sender(self, attempt: Attempt, target: str) -> str:
        """Return the instance that sent an attempt to a target.

        It is a peer's if that served it alone.
        """
        carriers = self.carriers(attempt.id, target)
        if carriers and attempt.instance not in carriers:
            return carriers[0]
        return attempt.instance

    def _late_sends(self, engines: list[standins.EngineStandin]) -> list[str]:
        """Return the requests that went on reaching targets that crash.

        Only sends of instances count that ran in the whole time that they
        have to learn of it.
        """
        crashes: dict[str, list[float]] = collections.defaultdict(list)
        sends: dict[str, list[tuple[float, str]]] = collections.defaultdict(
            list
        )
        for engine in engines:
            for run in (*engine.prefills, *engine.runs):
                attempt = self._attempts.get(run.id)
                if attempt is not None and attempt.crashing:
                    sender = self._sender(attempt, engine.name)
                    sends[attempt.crashing].append((run.at, sender))
            # It crashes once; a target that is back is another stand-in.
            for run in engine.runs:
                attempt = self._attempts.get(run.id)
                if attempt is not None and attempt.crashing:
                    crashes[attempt.crashing].append(run.at)
                    break
        found = []
        for name, times in crashes.items():
            if len(times) < CRASHES:
                continue
            known_at = sorted(times)[CRASHES - 1] + LEARN_S
            late = [
                f"{at - known_at:.2f} s by {instance}"
                for at, instance in sorted(sends[name])
                if at > known_at
                and not self.absences.overlap(instance, at - LEARN_S, at)
            ]
            if len(late) > MAX_LATE_SENDS:
                found.append(
                    f"CRASHED: {name} ended {len(times)} targets; it reached "
                    f"them {len(late)} times after it had to be known: {late}"
                )
        return found

    def _unwanted_sends(
        self, engines: list[standins.EngineStandin]
    ) -> list[str]:
        """Return the requests that reached targets which wanted none."""
        passed_on = {
            name: _notices.PassedOn(
                self._attempts[name].instance,
                self._ended_at[name],
                reply.headers.get("x-server-stamp", ""),
            )
            for name, reply in self._replies.items()
            if "server-leaving" in reply.headers
        }
        found = []
        for engine in engines:
            reached = {run.id for run in engine.requests}
            sends = {
                name: _notices.Send(
                    self._sender(self._attempts[name], engine.name),
                    self._attempts[name].sent_at,
                )
                for name in reached & self._attempts.keys()
            }
            found += _notices.sent_to_leaving(
                engine, sends, passed_on, self.absences
            )
            found += _notices.sent_in_back_off(
                engine, sends, self.absences, self.disturbances
            )
        return found

    def _mixed_versions(self) -> list[str]:
        """Return the streams with events of several software versions.

        The data of an event end with the version of its engine.
        """
        versions: dict[str, set[bytes]] = collections.defaultdict(set)
        for name, reply in self._replies.items():
            attempt = self._attempts[name]
            if attempt.events and reply.status == 200:
                versions[attempt.resumes or name].update(
                    event.split()[-1]
                    for event in reply.body.split(b"\n\n")[:-1]
                    if event.startswith(b"id: ")
                )
        return [
            f"ORDER: stream {name} has events of {sorted(found)}"
            for name, found in versions.items()
            if len(found) > 1
        ]


def _wrong_body(attempt: Attempt, reply: standins.Reply) -> list[str]:
    """Return violations in the body of a complete 200 reply."""
    if not attempt.events:
        expected = b"body of " + attempt.id.encode()
        if reply.body != expected:
            return [f"MIXED: {attempt.id} got {reply.body[:40]!r}"]
        return []
    ids = event_ids(reply.body)
    if ids != list(range(attempt.after + 1, attempt.events + 1)):
        return [f"ORDER: {attempt.id} got events {ids}"]
    return []


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the events in a body."""
    return [
        int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")
    ]
