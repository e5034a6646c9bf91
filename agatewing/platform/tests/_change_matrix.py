"""Plays changes beside silences; finds requests that ended without a word.

An instance runs as a process; its callers use every kind of route and of
connection all the while.
"""

import collections
import collections.abc
import contextlib
import dataclasses
import enum
import math
import pathlib
import random
import tempfile
import time

import gevent
import gevent.pool
import gevent.socket
import msgspec

from agatewing import harness
from agatewing.platform import standins
from agatewing.platform.tests import _changes
from agatewing.platform.tests import _steady_callers

Change = _changes.Change
Kind = _steady_callers.Kind
Sent = _steady_callers.Sent

#: Time from the first request to the silence, in seconds.
BEFORE_S = 0.6
#: Time from the end of the silence and the changes to the last request, in
#: seconds.
AFTER_S = 0.8
#: Time between two changes of a series, in seconds.
SERIES_PERIOD_S = 0.2
#: Time from SIGTERM to the exit of the process, in seconds, and that to the
#: last new connection: the balancer sends none later.
STOP_LIMIT_S = 4.4
LAST_CONNECTION_S = 2.3
#: Time after SIGTERM up to which a request may outlast the process, in
#: seconds.
LATEST_SEND_S = 3.0
#: Time before the time limit of a route from which a request may be ended by
#: it, in seconds: the margin of the instance, and some milliseconds more.
LIMIT_MARGIN_S = 0.02
#: Length of the silences that cover the stop limit, and the earliest and the
#: latest time from SIGTERM to their begin, in seconds.
LAST_SILENCE_S = 2.2
LAST_SILENCE_FROM_S, LAST_SILENCE_UNTIL_S = 2.0, 2.3
#: Longest time until an instance that runs accepts a request, in seconds.
ACCEPT_S = 0.1
#: Longest time from the publication of a configuration until it is in force,
#: in seconds.
APPLY_S = 2.0
#: Number of events of a stream, and the pause before each and before each
#: half of a plain answer, in seconds.
EVENTS, PAUSE_S = 6, 0.08
#: Targets by service; each has a second one like it.
SERVICES = {"ledger": ("t1", "t2"), "chat": ("e1", "e2", "p1")}


class Series(enum.StrEnum):
    """How often a change is made."""

    ONCE = "once"
    REVERTED = "made and reverted"
    STORM = "made and reverted six times"

    @property
    def steps(self) -> int:
        return {"once": 1, "made and reverted": 2}.get(self, 12)


class Silent(enum.StrEnum):
    """Who is silent meanwhile."""

    NOBODY = "nobody"
    ONE = "one target of each service"
    ALL = "all targets"
    #: The process of the instance does not run.
    INSTANCE = "the instance"


@dataclasses.dataclass(frozen=True, slots=True)
class Combination:
    """A change beside a silence."""

    change: Change
    series: Series = Series.ONCE
    silent: Silent = Silent.NOBODY
    silence_s: float = 0.0

    def __str__(self) -> str:
        silence = f"{self.silent} silent"
        if self.silent is not Silent.NOBODY:
            silence += f" for {self.silence_s} s"
        return f"{self.change}, {self.series}; {silence}"


SILENCES = (
    (Silent.NOBODY, 1.0),
    *((Silent.ONE, length_s) for length_s in (0.5, 1.0, 2.0)),
    *((Silent.ALL, length_s) for length_s in (0.5, 1.0, 2.0)),
    (Silent.INSTANCE, 0.4),
)


def all_combinations() -> list[Combination]:
    return [
        Combination(change, series, *silence)
        for change in Change
        for series in (
            (Series.ONCE,)
            if change in (Change.NONE, Change.STOP, Change.TARGETS_DRAIN)
            else Series
        )
        for silence in SILENCES
    ] + [
        Combination(Change.STOP, Series.ONCE, silent, LAST_SILENCE_S)
        for silent in (Silent.ONE, Silent.ALL)
    ]


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of one request."""

    text: str
    #: Whether it breaks a promise.
    failed: bool


@dataclasses.dataclass(slots=True)
class Result:
    """What became of the requests of a combination."""

    combination: Combination
    seed: int
    #: Number of requests by outcome.
    outcomes: collections.Counter[str]
    #: Number of connections that callers found closed before a request.
    found_closed: int
    #: Requests that ended without an answer or refusal, and other broken
    #: promises, one line each.
    failures: list[str]

    def __str__(self) -> str:
        counts = ", ".join(
            f"{n} {o}" for o, n in sorted(self.outcomes.items())
        )
        return f"{self.combination}; seed {self.seed}: {counts}"


class Play:
    """Plays one combination."""

    def __init__(self, combination: Combination, seed: int) -> None:
        self._case = combination
        self._seed = seed
        self._rng = random.Random(f"{seed}/{combination}")
        # From and until when shorter time limits may be in force, monotonic.
        self._short: list[tuple[float, float]] = []
        self._stopped_at: float | None = None

    def run(self) -> Result:
        with contextlib.ExitStack() as stack:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            settings = {"stop_limit_s": STOP_LIMIT_S}
            self._site = stack.enter_context(standins.Site(settings))
            self._build()
            self._settings = self._site.settings(
                "i1", self._site.store.address
            )
            self._path = folder / "i1.jsonc"
            self._write_settings("INFO")
            self._process = harness.Process(
                "i1",
                "agatewing.gatewayd",
                ["--settings", str(self._path)],
                folder,
            )
            stack.callback(self._end_process)
            self._process.start()
            self._site.wait(self._is_ready)
            # Until it knows all targets.
            gevent.sleep(0.5)
            self._callers = _steady_callers.SteadyCallers(
                str(self._settings["caller_address"]), self._seed
            )
            self._play()
            return self._result()

    def _build(self) -> None:
        site = self._site
        for kind, route, service, attempts, changes in (
            (Kind.SAFE, "safe", "ledger", 2, {}),
            (Kind.UNSAFE, "unsafe", "ledger", 1, {}),
            (Kind.ONCE_STREAM, "streaming", "chat", 1, {"sticky": True}),
            (
                Kind.RESUMABLE,
                "streaming",
                "chat",
                2,
                {"sticky": True, "resumable": True},
            ),
        ):
            limit = _changes.PLAIN_TIMEOUT_MS
            if kind.streams:
                limit = _changes.STREAM_TIMEOUT_MS
            site.route(
                f"/{kind}/",
                route,
                service,
                timeout_ms=limit,
                max_attempts=attempts,
                **changes,
            )
        for service, names in SERVICES.items():
            for suffix in ("", "-2"):
                for name in names:
                    self._add_target(name + suffix, service + suffix)
        self._configurations = _changes.Configurations(site)
        self._configurations.publish(Change.NONE)

    def _add_target(self, name: str, service: str) -> None:
        role = {"e": "decode", "p": "prefill"}.get(name[0])
        engine = self._site.add_target(name, service, role, EVENTS, slots=32)
        engine.pause_s = engine.half_pause_s = engine.prefill_s = PAUSE_S
        if role is None:
            engine.script.extend([standins.Behaviour.HALVES] * 5_000)

    def _write_settings(self, log_level: str) -> None:
        raw = {**self._settings, "log_level": log_level}
        self._path.write_bytes(msgspec.json.encode(raw))

    def _end_process(self) -> None:
        self._process.thaw()
        self._process.kill()

    def _is_ready(self) -> bool:
        host, _, port = str(self._settings["ready_address"]).rpartition(":")
        try:
            with gevent.socket.create_connection((host, int(port))) as sock:
                sock.sendall(b"GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def _play(self) -> None:
        case = self._case
        self._callers.start()
        gevent.sleep(BEFORE_S)
        lead_s = self._rng.uniform(-0.3, case.silence_s)
        if case.change is Change.STOP:
            # Also beside the stop limit.
            lead_s = self._rng.uniform(-STOP_LIMIT_S, case.silence_s)
        if case.silence_s == LAST_SILENCE_S:
            lead_s = -self._rng.uniform(
                LAST_SILENCE_FROM_S, LAST_SILENCE_UNTIL_S
            )
        parts = [
            gevent.spawn_later(max(0.0, -lead_s), self._fall_silent),
            gevent.spawn_later(max(0.0, lead_s), self._change),
        ]
        gevent.joinall(parts, raise_error=True)
        # Until the longer limits are in force again, if they were lowered.
        gevent.sleep(AFTER_S + (APPLY_S if self._short else 0.0))
        self._callers.stop()

    def _fall_silent(self) -> None:
        case = self._case
        if case.silent is Silent.INSTANCE:
            self._process.freeze()
            gevent.sleep(case.silence_s)
            self._process.thaw()
            return
        ones = ("t1", "e1", "p1", "t1-2", "e1-2", "p1-2")
        for name, engine in self._site.targets.items():
            if case.silent is Silent.ALL or (
                case.silent is Silent.ONE and name in ones
            ):
                engine.voice.fall_silent(case.silence_s)
        gevent.sleep(case.silence_s)

    def _change(self) -> None:
        for step in range(self._case.series.steps):
            if step:
                gevent.sleep(SERIES_PERIOD_S)
            self._make(step % 2 == 0)

    def _make(self, changed: bool) -> None:
        change = self._case.change
        if change is Change.STOP:
            self._stopped_at = time.monotonic()
            self._process.stop()
            gevent.sleep(LAST_CONNECTION_S)
            self._callers.connecting = False
            while self._process.running:
                gevent.sleep(0.02)
        elif change is Change.RELOAD:
            self._write_settings("DEBUG" if changed else "INFO")
            self._process.send(_changes.SIGNALS[change])
        elif change is Change.TARGETS_DRAIN:
            for name, service in (("t1", "ledger"), ("e1", "chat")):
                role = "decode" if name == "e1" else None
                self._site.announce(
                    name, service, role, state="draining", seq=2, slots=32
                )
        else:
            if change is Change.TIMEOUTS_LOWER:
                self.note_limits(changed, time.monotonic())
            self._configurations.publish(change if changed else Change.NONE)

    def note_limits(self, lowered: bool, at: float) -> None:
        """Note when time limits are lowered, or raised again."""
        if lowered:
            self._short.append((at, math.inf))
        else:
            begun, _ = self._short.pop()
            self._short.append((begun, at + APPLY_S))

    def _result(self) -> Result:
        outcomes: collections.Counter[str] = collections.Counter()
        failures = []
        runs = collections.Counter(
            run.id for e in self._site.targets.values() for run in e.runs
        )
        for sent in self._callers.sent:
            outcome = self.outcome(sent)
            outcomes[outcome.text] += 1
            if outcome.failed:
                failures.append(self._describe(sent, outcome, runs[sent.id]))
            if not sent.kind.repeatable and runs[sent.id] > 1:
                failures.append(f"{sent.id} ran {runs[sent.id]} times")
        served = {
            sent.kind
            for sent in self._callers.sent
            if sent.reply is not None and sent.reply.status == 200
        }
        failures += [
            f"no request of {kind.name} was served"
            for kind in Kind
            if kind not in served
        ]
        found_closed = self._callers.found_closed
        return Result(self._case, self._seed, outcomes, found_closed, failures)

    def outcome(self, sent: Sent) -> Outcome:
        """Return what became of a request, and whether that was allowed."""
        reply = sent.reply
        if reply is None:
            return Outcome("no answer in time", True)
        if not reply.status:
            if sent.told:
                return Outcome("told that the connection ends", False)
            if not sent.whole:
                return Outcome("broken before its end", False)
            if self._is_behind_cut(sent):
                return Outcome("behind one cut off at its time limit", False)
            return Outcome("nothing", True)
        if not reply.complete:
            if self._used_up(sent):
                return Outcome("cut off at its time limit", False)
            if self._outlasts_stop(sent):
                return Outcome("cut off at the stop limit", False)
            return Outcome("cut off", True)
        if reply.status in (502, 504) and self._used_up(sent):
            return Outcome(f"answered {reply.status} at its time limit", False)
        allowed = _changes.allowed_statuses(self._case.change)
        if reply.status not in allowed:
            return Outcome(f"answered {reply.status}", True)
        if reply.status == 200 and reply.body != _body(sent):
            return Outcome("answered with a wrong body", True)
        return Outcome(f"answered {reply.status}", False)

    def _is_behind_cut(self, sent: Sent) -> bool:
        """Return whether its connection ended with an earlier stream.

        A stream that has begun and reaches its time limit can only be cut off
        with its connection. What was sent behind it must not have been passed
        on.
        """
        if any(
            run.id == sent.id
            for target in self._site.targets.values()
            for run in target.runs
        ):
            return False
        earlier = sent.behind
        while earlier is not None:
            reply = earlier.reply
            if reply is not None and reply.status:
                return not reply.complete and self._used_up(earlier)
            earlier = earlier.behind
        return False

    def _used_up(self, sent: Sent) -> bool:
        """Return whether the time limit of the request's route was reached."""
        limit_ms = _changes.PLAIN_TIMEOUT_MS
        if sent.kind.streams:
            limit_ms = _changes.STREAM_TIMEOUT_MS
        accepted_by = max(sent.sent_at, sent.turn_at) + ACCEPT_S
        if self._case.silent is Silent.INSTANCE:
            accepted_by += self._case.silence_s
        if any(
            begin <= accepted_by and sent.turn_at < end
            for begin, end in self._short
        ):
            limit_ms = _changes.SHORT_TIMEOUT_MS
        taken_s = sent.ended_at - sent.turn_at
        return taken_s >= limit_ms / 1_000 - LIMIT_MARGIN_S

    def _outlasts_stop(self, sent: Sent) -> bool:
        """Return whether a target had the request up to the stop limit."""
        if self._stopped_at is None:
            return False
        if sent.sent_at > self._stopped_at + LATEST_SEND_S:
            return False
        return sent.ended_at >= self._stopped_at + STOP_LIMIT_S * 5 / 6

    def _describe(self, sent: Sent, outcome: Outcome, runs: int) -> str:
        status = sent.reply.status if sent.reply else 0
        body = sent.reply.body[:80] if sent.reply else b""
        lines = [
            line
            for line in self._process.log_text().splitlines()
            if f'"{sent.id}"' in line or f"={sent.id} " in line
        ]
        taken_s = sent.ended_at - sent.sent_at
        text = (
            f"{sent.id} ({sent.kind.name}, {sent.style}): {outcome.text}, "
            f"status {status} after {taken_s:.3f} s, {runs} runs, "
            f"first on its connection: {sent.first}, {body!r}"
        )
        return "\n    ".join((text, *lines))


def _body(sent: Sent) -> bytes:
    if not sent.kind.streams:
        return b"body of " + sent.id.encode()
    return b"".join(
        f"id: {n}\ndata: token {n}\n\n".encode() for n in range(1, EVENTS + 1)
    )


def play_all(
    combinations: collections.abc.Iterable[Combination],
    seed: int,
    at_once: int = 2,
) -> collections.abc.Iterator[Result]:
    """Play combinations, some of them at the same time."""
    pool = gevent.pool.Pool(at_once)
    yield from pool.imap_unordered(
        lambda case: Play(case, seed).run(), combinations
    )
