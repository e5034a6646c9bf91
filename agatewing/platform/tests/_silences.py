"""Cases of silent targets, and what becomes of the requests in them."""

import collections.abc
import dataclasses
import enum
import itertools
import time

import gevent

from agatewing import decisions
from agatewing import gateway
from agatewing.platform import standins

Behaviour = standins.Behaviour
Place = standins.Place
#: Timeout of routes, in milliseconds; longer than a silence and the retries
#: after it.
TIMEOUT_MS = 8_000
#: Timeout of plain routes, in milliseconds: short enough that the longest
#: silences exceed the time after which another target is tried.
PLAIN_TIMEOUT_MS = 4_000
#: Ids of the requests of a case.
ASKED = ("a1", "a2")
#: Events of a whole stream of the stand-ins.
EVENTS = b"".join(
    f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, 6)
)
#: Longest time for which two engines may work on one request, in seconds.
OVERLAP_S = 0.4
#: Period of the looks that show whether the loop stands still, in seconds.
LOOK_S = 0.01
PROMPT_HEADERS = {
    "X-Token-Count": "4000,20",
    "X-Prefix-Hash": "aa:2000,bb:2000",
}


class Kind(enum.StrEnum):
    RESUMABLE = "chat"
    ONCE_STREAM = "draft"
    SAFE = "find"
    UNSAFE = "pay"

    @property
    def streams(self) -> bool:
        return self in (Kind.RESUMABLE, Kind.ONCE_STREAM)

    @property
    def repeatable(self) -> bool:
        return self in (Kind.RESUMABLE, Kind.SAFE)


class Silent(enum.StrEnum):
    ONE = "one"
    ALL = "all"


class Change(enum.StrEnum):
    """What happens during the silence."""

    NONE = "nothing"
    TIMEOUTS = "other timeouts and idle limits"
    SERVICE = "the route leads to another service"
    ROUTE = "the route is withdrawn"
    WITHDRAWN = "the target's entry is withdrawn"
    DRAINING = "the target drains"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    kind: Kind
    place: Place
    silence_s: float
    silent: Silent = Silent.ONE
    prefill: bool = False
    change: Change = Change.NONE
    budget: bool = True
    max_attempts: int = 2

    @property
    def target_names(self) -> list[str]:
        if self.kind.streams:
            return ["e1", "e2", *(["p1", "p2"] if self.prefill else [])]
        return ["t1", "t2"]

    def __str__(self) -> str:
        words = [
            f"{self.kind.name.lower()}, {self.silent} silent for "
            f"{self.silence_s} s before {self.place}"
        ]
        if self.prefill:
            words.append("separate prefill")
        if self.change is not Change.NONE:
            words.append(str(self.change))
        return "; ".join(words)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one request."""

    status: int
    complete: bool
    whole: bool
    #: Whether it ran no more often than it may.
    runs_allowed: bool
    #: Whether two engines worked on it for no longer than ``OVERLAP_S``.
    overlap_allowed: bool
    #: Request lines of runs at the targets that no caller asked for.
    strays: tuple[str, ...] = ()
    #: Time from its call to its answer, in seconds.
    taken_s: float = dataclasses.field(default=0.0, compare=False)

    def __str__(self) -> str:
        words = [f"{self.status} after {self.taken_s:.2f} s"]
        for holds, word in (
            (self.complete, "cut off"),
            (self.whole, "not whole"),
            (self.runs_allowed, "too many runs"),
            (self.overlap_allowed, "two engines at once"),
        ):
            if not holds:
                words.append(word)
        words += [f"beside a run of {line!r}" for line in self.strays]
        return " ".join(words)


SERVED = Outcome(200, True, True, True, True)


class StillWatch:
    """Measures how long the loop of this process stood still at most."""

    def __init__(self) -> None:
        #: Longest time beyond ``LOOK_S`` between two looks, in seconds.
        self.longest_s = 0.0
        self._greenlet: gevent.Greenlet | None = None

    def __enter__(self) -> "StillWatch":
        self._greenlet = gevent.spawn(self._look)
        return self

    def __exit__(self, *args: object) -> None:
        gevent.kill(self._greenlet)

    def _look(self) -> None:
        while True:
            looked_at = time.monotonic()
            gevent.sleep(LOOK_S)
            still_s = time.monotonic() - looked_at - LOOK_S
            self.longest_s = max(self.longest_s, still_s)


def plan_silence(site: standins.Site, case: Case) -> None:
    """Have the first engine that a request meets, or all, fall silent."""
    voices = [site.targets[name].voice for name in case.target_names]
    silent = voices if case.silent is Silent.ALL else []
    silence = standins.Silence(case.place, case.silence_s, silent)
    for voice in voices:
        voice.planned = silence


def silent_names(site: standins.Site) -> list[str]:
    return [
        name
        for name, engine in site.targets.items()
        if engine.voice.silence_left_s
    ]


def build(site: standins.Site, case: Case) -> None:
    for kind in Kind:
        kinds = {
            Kind.RESUMABLE: "streaming",
            Kind.ONCE_STREAM: "streaming",
            Kind.SAFE: "safe",
            Kind.UNSAFE: "unsafe",
        }
        changes: dict[str, object] = {}
        if kind.streams:
            changes["sticky"] = True
        if kind is Kind.RESUMABLE:
            changes["resumable"] = True
        site.route(
            f"/{kind}/",
            kinds[kind],
            "chat" if kind.streams else "ledger",
            timeout_ms=TIMEOUT_MS if kind.streams else PLAIN_TIMEOUT_MS,
            max_attempts=case.max_attempts,
            **changes,
        )
    for name in case.target_names:
        if not case.kind.streams:
            site.add_target(name, "ledger", None)
            continue
        role = "prefill" if name.startswith("p") else "decode"
        site.add_target(name, "chat", role, events=5)
        site.targets[name].pause_s = 0.01
    site.publish()


def apply_change(site: standins.Site, case: Case) -> None:
    # A request must not be sent to engines that leave, so only those leave
    # that have it already.
    awaited = "p" if case.place is Place.PREFILL else ("e", "t")
    names = [n for n in silent_names(site) if n.startswith(awaited)]
    (rule,) = [r for r in site.routes if r["path_prefix"] == f"/{case.kind}/"]
    service = str(rule["service"])
    match case.change:
        case Change.TIMEOUTS:
            rule["timeout_ms"] = 400
            site.publish(idle_timeout_ms=200, header_timeout_ms=200)
        case Change.SERVICE:
            rule["service"] = "other"
            site.publish()
        case Change.ROUTE:
            site.routes.remove(rule)
            site.publish()
        case Change.WITHDRAWN:
            for name in names:
                site.withdraw(name)
        case Change.DRAINING:
            for name in names:
                role = None
                if case.kind.streams:
                    role = "prefill" if name.startswith("p") else "decode"
                site.announce(name, service, role, state="draining")


def play(case: Case) -> list[Outcome]:
    """Play a case at two instances; return the outcome at each."""
    with standins.Site() as site:
        build(site, case)
        instances = [site.start(name) for name in ("i1", "i2")]
        count = len(case.target_names)
        for instance in instances:
            wait_until_ready(site, instance, count)
            prepare(instance, case)
        plan_silence(site, case)
        path = f"/{case.kind}/x"
        headers = {"X-Deadline-Ms": str(TIMEOUT_MS)}
        if case.kind.streams:
            headers |= PROMPT_HEADERS
        asked = [
            gevent.spawn(ask, site, instance, path, request_id, headers)
            for request_id, instance in zip(ASKED, instances)
        ]
        if case.change is not Change.NONE:
            # Both were sent before the change, so also accepted under the time
            # limits of before it.
            site.wait(
                lambda: all(
                    instance.handler_context.sender.request_count
                    or replied.ready()
                    for instance, replied in zip(instances, asked)
                )
            )
            site.wait(lambda: silent_names(site))
            apply_change(site, case)
        return [
            judge(site, case, request_id, *replied.get())
            for request_id, replied in zip(ASKED, asked)
        ]


def ask(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    path: str,
    request_id: str,
    headers: collections.abc.Mapping[str, str],
) -> tuple[standins.Reply, float]:
    """Send one request; return the answer and the time it took, in seconds."""
    asked_at = time.monotonic()
    reply = site.ask(instance, path, request_id, headers)
    return reply, time.monotonic() - asked_at


def wait_until_ready(
    site: standins.Site, instance: gateway.GatewayInstance, targets: int
) -> None:
    site.wait(lambda: len(instance.catalog.targets) == targets)
    site.wait(lambda: instance.lifecycle.ready)


def prepare(instance: gateway.GatewayInstance, case: Case) -> None:
    if case.prefill:
        # Enough queued tokens that the others process no prompt themselves.
        for name in ("e1", "e2"):
            instance.registry.by_id[name].record_sent(3_000)
    if not case.budget:
        instance.budget.bound = decisions.BudgetBound(0.0, 0.0, 10.0)


def judge(
    site: standins.Site,
    case: Case,
    request_id: str,
    reply: standins.Reply,
    taken_s: float,
) -> Outcome:
    runs = sum(
        run.id == request_id for e in site.targets.values() for run in e.runs
    )
    body = EVENTS
    if not case.kind.streams:
        body = b"body of " + request_id.encode()
    limit = case.max_attempts if case.kind.repeatable else 1
    return Outcome(
        reply.status,
        reply.complete,
        reply.body == body,
        runs <= limit,
        max_overlap_s(site, request_id) <= OVERLAP_S,
        strays(site),
        taken_s,
    )


def strays(site: standins.Site) -> tuple[str, ...]:
    """Return the request lines of runs that no caller asked for."""
    return tuple(
        run.line
        for engine in site.targets.values()
        for run in (*engine.runs, *engine.prefills)
        if run.id not in ASKED
    )


def max_overlap_s(site: standins.Site, request_id: str) -> float:
    """Return how long an engine worked on beside one that began later."""
    begun = sorted(
        (engine.begun_at[request_id], name)
        for name, engine in site.targets.items()
        if request_id in engine.begun_at
    )
    overlaps = [0.0]
    for (_, name), (began, _) in itertools.pairwise(begun):
        engine = site.targets[name]
        overlaps.append(engine.ended_at.get(request_id, began) - began)
    return max(overlaps)


def failures(cases: collections.abc.Iterable[Case]) -> list[str]:
    """Play cases at the same time; describe the requests not served."""
    with StillWatch() as watch:
        playing = {case: gevent.spawn(play, case) for case in cases}
        gevent.joinall(list(playing.values()))
    still = f"the loop stood still for up to {watch.longest_s:.2f} s"
    return [
        f"{case}: {outcome}; {still}"
        for case, greenlet in playing.items()
        for outcome in greenlet.get()
        if outcome != SERVED
    ]


def table(
    kind: Kind,
    place: Place,
    lengths_s: collections.abc.Iterable[float] = (0.5, 1.0, 1.6, 2.2, 3.0),
    **fields: object,
) -> list[Case]:
    """Return the cases of some lengths, with one and with all silent."""
    return [
        Case(kind, place, length_s, silent, **fields)  # type: ignore[arg-type]
        for length_s in lengths_s
        for silent in Silent
    ]


def play_beside_failing(case: Case, behaviour: Behaviour) -> Outcome:
    """Play a case while every target but the first one fails."""
    with standins.Site() as site:
        build(site, case)
        instance = site.start()
        wait_until_ready(site, instance, len(site.targets))
        prepare(instance, case)
        plan_silence(site, case)
        first, second = ("p1", "p2") if case.prefill else case.target_names[:2]
        if case.kind.streams:
            # 8,000 queued tokens make the first engine the first choice.
            instance.registry.by_id[second].record_sent(8_000)
        else:
            instance.registry.by_id[second].in_flight += 4
        site.targets[second].script.extend([behaviour] * 4)
        headers = {"X-Deadline-Ms": str(TIMEOUT_MS)}
        if case.kind.streams:
            headers |= PROMPT_HEADERS
        answer = ask(site, instance, f"/{case.kind}/x", "a1", headers)
        assert site.targets[first].runs or site.targets[first].prefills
        return judge(site, case, "a1", *answer)
