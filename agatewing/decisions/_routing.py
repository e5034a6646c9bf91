"""Choose the engine, or pair of engines, for one request."""

import collections.abc
import dataclasses
import random

from agatewing import _types
from agatewing.decisions import _engines

#: Engines sampled at random for one choice.
SAMPLES = 3
#: Prompt tokens of the first priority class; classes double.
PRIORITY_STEP_TOKENS = 512
#: Engines looked at for each one that is sampled.
TRIES = 4
#: Pool up to which engines are sampled in turn from a random start.
SMALL_POOL = 12
#: Engines added because they may have cached the prompt's prefix.
AFFINITY_CANDIDATES = 2
#: Round trip between availability zones, in seconds.
ZONE_ROUND_TRIP_S = 0.001
#: Shortest prompt that is worth a separate prefill, in tokens.
SPLIT_MIN_TOKENS = 512
#: Prompts waiting in an engine beyond which it gets no more, in seconds of
#: its work; what waits longer waits in the fair queue.
BACKLOG_LIMIT_S = 1.0
#: Rest of a long prompt that is under way, in seconds: an engine finishes
#: it before a more urgent one; half of a typical long prompt's time.
LONG_REST_S = 0.15
#: Share of the time for which a prompt is read beside a stream that counts
#: as lost to the stream.
HARM_SHARE = 0.3
#: Times as much that an engine without streams may process beside those
#: that come meanwhile: a stream's first event is due after 250 ms or more.
ALONE_TIMES = 3
#: Fewest cached tokens that are worth a fetch: reading them takes as long
#: as preparing the fetch.
LEAST_FETCH_TOKENS = 128
#: Time for preparing a fetch, in seconds; the engines' sheet says 1.7 ms.
FETCH_SETUP_S = 0.002
#: Times as long that a fetch takes between zones (the platform's page), and
#: what its higher price counts, in seconds: the time of a few steps.
ZONES_FETCH_TIMES = 2.0
ZONES_FETCH_S = 0.02
#: Seconds for which a full batch holds a new sequence back.
FULL_BATCH_WAIT_S = 2.0

EngineLoad = _engines.EngineLoad


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What one request asks of an engine."""

    #: Length of the prompt, in tokens.
    prompt_tokens: int
    #: Expected length of the answer, in tokens.
    output_tokens: int
    #: Zone of the instance that asks.
    zone: str
    #: Expected leading prompt tokens in the cache, by engine.
    cached: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Prompt tokens that were processed elsewhere and are fetched.
    fetched_tokens: int = 0
    #: Engine from which others can fetch what it has cached of the prompt;
    #: empty if they cannot.
    source: str = ""
    #: Availability zone of the engine from which tokens are fetched.
    source_zone: str = ""
    #: What sending it to another zone counts, in seconds.
    cross_s: float = ZONE_ROUND_TRIP_S

    @property
    def kv_tokens(self) -> int:
        """Tokens of KV cache that the sequence holds at its end."""
        return self.prompt_tokens + self.fetched_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class Single:
    """One engine does the whole request."""

    #: The engine.
    engine: str
    #: Expected time of the whole answer, in seconds.
    expected_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """One engine prefills, another imports the KV cache and decodes."""

    #: Engine that prefills.
    prefill: str
    #: Engine that decodes.
    decode: str
    #: Expected time of the whole answer, in seconds.
    expected_s: float


Route = Single | Split


class Router:
    """Scores a few sampled engines and takes the best."""

    __slots__ = (
        "_random",
        "_samples",
        "_beside_tokens",
        "_backlog_limit_s",
        "_reread_weight",
    )

    def __init__(
        self,
        rng: random.Random,
        samples: int = SAMPLES,
        beside_tokens: int | None = None,
        backlog_limit_s: float = BACKLOG_LIMIT_S,
        reread_weight: float = 0.0,
    ) -> None:
        self._random = rng
        self._samples = samples
        self._beside_tokens = beside_tokens
        self._backlog_limit_s = backlog_limit_s
        self._reread_weight = reread_weight

    def choose(
        self,
        work: Work,
        engines: collections.abc.Sequence[EngineLoad],
        avoid: frozenset[str] = frozenset(),
    ) -> Route | None:
        """Return the best route, or ``None`` if no engine can be used."""
        sampled = self._sample(engines, work, avoid)
        whole = [e for e in sampled if e.role is not _types.Role.PREFILL]
        best = self._best_single(
            work, [e for e in whole if self._fits_whole(work, e)]
        )
        split = None
        if work.prompt_tokens >= SPLIT_MIN_TOKENS:
            first = [
                e
                for e in sampled
                if e.role is _types.Role.PREFILL and self._has_room(work, e)
            ]
            split = self._best_split(work, first, whole)
        if best is None:
            return split or self._fallback(work, engines, avoid)
        if split is None or split.expected_s > best.expected_s:
            return best
        return split

    def _fits_whole(self, work: Work, engine: EngineLoad) -> bool:
        """Return whether an engine may process the prompt and decode.

        Beside streams, a long prompt would hold their events up.
        """
        if not self._has_room(work, engine):
            return False
        if self._beside_tokens is None:
            return True
        tokens = engine.prefill_backlog + work_on(work, engine)
        limit = self._beside_tokens
        if not engine.sequences:
            limit *= ALONE_TIMES
        return tokens <= limit

    def _fallback(
        self,
        work: Work,
        engines: collections.abc.Sequence[EngineLoad],
        avoid: frozenset[str],
    ) -> Route | None:
        """Look at every engine; prefill engines decode only alone."""
        whole = [e for e in engines if e.role is not _types.Role.PREFILL]
        usable = [
            e
            for e in whole or engines
            if _usable(e, avoid, work)
            and self._may_fall_back(work, e, engines)
        ]
        return self._best_single(work, usable)

    def _may_fall_back(
        self,
        work: Work,
        engine: EngineLoad,
        engines: collections.abc.Sequence[EngineLoad],
    ) -> bool:
        """Keep prompts from streams while an engine prefills apart."""
        if self._beside_tokens is None:
            return self._has_room(work, engine)
        apart = any(
            e.role is _types.Role.PREFILL and e.routable for e in engines
        )
        return not apart or self._fits_whole(work, engine)

    def _has_room(self, work: Work, engine: EngineLoad) -> bool:
        """Return whether the prompt would not wait for long in the engine.

        Engines process short prompts first, so only long ones wait.
        """
        if work.prompt_tokens < SPLIT_MIN_TOKENS:
            return True
        limit = self._backlog_limit_s * engine.speed.prefill_tokens_per_s
        return engine.prefill_backlog <= limit

    def _sample(
        self,
        engines: collections.abc.Sequence[EngineLoad],
        work: Work,
        avoid: frozenset[str],
    ) -> list[EngineLoad]:
        decode = self._draw(engines, work, avoid, prefill=False)
        prefill: list[EngineLoad] = []
        if work.prompt_tokens >= SPLIT_MIN_TOKENS:
            prefill = self._draw(engines, work, avoid, prefill=True)
        chosen = {e.name: e for e in (*decode, *prefill)}
        if work.cached:
            self._add_cached(engines, work, avoid, chosen)
        return list(chosen.values())

    def _draw(
        self,
        engines: collections.abc.Sequence[EngineLoad],
        work: Work,
        avoid: frozenset[str],
        prefill: bool,
    ) -> list[EngineLoad]:
        drawn: list[EngineLoad] = []
        count = len(engines)
        tries = min(count, TRIES * self._samples)
        start = int(self._random.random() * count) if count else 0
        for turn in range(tries):
            index = start + turn
            if count > SMALL_POOL:
                index = int(self._random.random() * count)
            engine = engines[index % count]
            if (engine.role is _types.Role.PREFILL) is not prefill:
                continue
            if not _usable(engine, avoid, work):
                continue
            if engine.ease < 1 and self._random.random() > engine.ease:
                continue
            drawn.append(engine)
            if len(drawn) == self._samples:
                break
        return drawn

    def _add_cached(
        self,
        engines: collections.abc.Sequence[EngineLoad],
        work: Work,
        avoid: frozenset[str],
        chosen: dict[str, EngineLoad],
    ) -> None:
        ranked = sorted(work.cached.items(), key=lambda item: -item[1])
        names = {name for name, _ in ranked[:AFFINITY_CANDIDATES]}
        found = 0
        for engine in engines:
            if engine.name not in names:
                continue
            if _usable(engine, avoid, work) and engine.ease >= 1:
                chosen[engine.name] = engine
            found += 1
            if found == len(names):
                return

    def _best_single(
        self, work: Work, engines: list[EngineLoad]
    ) -> Single | None:
        chosen: EngineLoad | None = None
        least = float("inf")
        for engine in engines:
            seconds = single_s(work, engine) + self._reread_s(work, engine)
            if self._beside_tokens is not None:
                seconds += beside_harm_s(work, engine)
            if seconds < least:
                chosen, least = engine, seconds
        return Single(chosen.name, least) if chosen else None

    def _reread_s(self, work: Work, engine: EngineLoad) -> float:
        """Return what it costs others to read shared parts once more."""
        if not self._reread_weight or not work.cached:
            return 0.0
        held = max(work.cached.values())
        missing = held - work.cached.get(engine.name, 0)
        missing -= fetch_gain(work, engine)
        rate = engine.speed.prefill_tokens_per_s
        return self._reread_weight * missing / rate

    def _best_split(
        self,
        work: Work,
        first: list[EngineLoad],
        second: list[EngineLoad],
    ) -> Split | None:
        if not first or not second:
            return None

        def apart_s(engine: EngineLoad) -> float:
            return prefill_s(work, engine) + self._reread_s(work, engine)

        prefill = min(first, key=apart_s)
        decode = min(second, key=lambda e: import_and_decode_s(work, e))
        seconds = apart_s(prefill) + import_and_decode_s(work, decode)
        return Split(prefill.name, decode.name, seconds)


def _usable(engine: EngineLoad, avoid: frozenset[str], work: Work) -> bool:
    """Return whether new work may go to the engine."""
    if not engine.routable or engine.credits <= 0:
        return False
    if engine.name in avoid:
        return False
    if engine.role is _types.Role.PREFILL:
        return True
    return engine.has_memory(work.kv_tokens)


def priority_class(tokens: int) -> int:
    """Return a class by prompt length; a shorter prompt runs earlier."""
    return max(0, tokens // PRIORITY_STEP_TOKENS).bit_length()


def work_on(work: Work, engine: EngineLoad) -> int:
    """Return the prefill work that a request is for an engine, in tokens."""
    cached = work.cached.get(engine.name, 0) + fetch_gain(work, engine)
    cached = min(cached, work.prompt_tokens)
    return engine.speed.prefill_work(work.prompt_tokens, cached)


def fetch_gain(work: Work, engine: EngineLoad) -> int:
    """Return the prompt tokens that an engine would fetch from the source.

    Pattern answered: long prompts of which half is shared, more of them
    than the one engine that has the shared part can read in time. Fetching
    takes a twentieth of the time of reading once more.
    """
    if not work.source or work.source == engine.name:
        return 0
    held = work.cached.get(work.source, 0)
    gain = held - work.cached.get(engine.name, 0)
    return gain if gain >= LEAST_FETCH_TOKENS else 0


def fetch_s(tokens: int, work: Work, engine: EngineLoad) -> float:
    """Return the time for fetching tokens from the work's source zone."""
    if not tokens:
        return 0.0
    seconds = tokens / engine.speed.import_tokens_per_s
    if engine.zone != work.source_zone:
        seconds = seconds * ZONES_FETCH_TIMES + ZONES_FETCH_S
    return FETCH_SETUP_S + seconds


def single_s(work: Work, engine: EngineLoad) -> float:
    """Return the expected time of the whole answer on one engine."""
    return prefill_s(work, engine) + decode_s(work, engine)


def prefill_s(work: Work, engine: EngineLoad) -> float:
    """Return the expected time until the prompt is processed."""
    speed = engine.speed
    own = work_on(work, engine)
    tokens = _ahead(own, engine) + own
    rate = prefill_rate(engine)
    seconds = (tokens / rate + speed.step_base_s) * engine.slowness
    moved = fetch_gain(work, engine) + work.fetched_tokens
    seconds += fetch_s(moved, work, engine)
    if engine.zone != work.zone:
        seconds += work.cross_s
    return seconds


def _ahead(own: float, engine: EngineLoad) -> float:
    """Return the work that an engine does before a prompt, in tokens.

    Short prompts pass waiting long ones, but not one that is under way.
    """
    if engine.is_long(own):
        return engine.prefill_backlog
    rest = LONG_REST_S * engine.speed.prefill_tokens_per_s
    waiting = max(0.0, engine.long_backlog - rest)
    return engine.prefill_backlog - waiting


def prefill_rate(engine: EngineLoad) -> float:
    """Return prompt tokens a second beside the present decode work."""
    speed = engine.speed
    if engine.role is _types.Role.DECODE and speed.beside_share < 1:
        return _rate_beside(engine)
    if engine.role is _types.Role.PREFILL or not engine.sequences:
        chunk = speed.full_chunk_tokens
        step = speed.step_base_s + chunk / speed.prefill_tokens_per_s
        return chunk / step
    step = speed.step_s(min(engine.sequences, speed.slots))
    chunk = speed.chunk_tokens
    return chunk / (step + chunk / speed.prefill_tokens_per_s)


def _rate_beside(engine: EngineLoad) -> float:
    """Return the rate of an engine that prefills as a side job."""
    speed = engine.speed
    chunk = speed.chunk_tokens
    rate = speed.prefill_tokens_per_s * speed.beside_share
    step = speed.step_s(min(engine.sequences, speed.slots))
    return chunk / (step + chunk / rate)


def decode_s(work: Work, engine: EngineLoad) -> float:
    """Return the expected time of generating the answer."""
    speed = engine.speed
    sequences = engine.sequences + 1
    batch = min(sequences, speed.slots)
    step = speed.step_base_s + speed.step_per_sequence_s * batch
    step += speed.step_per_k_context_s * engine.kv_tokens / 1_000
    step *= engine.slowness
    backlog = engine.prefill_backlog
    if backlog > 0:
        step += _interference_s(work, engine, backlog)
    seconds = work.output_tokens * step
    if sequences > speed.slots:
        waiting = sequences - speed.slots
        seconds += FULL_BATCH_WAIT_S * waiting / speed.slots
    return seconds


def _interference_s(work: Work, engine: EngineLoad, backlog: float) -> float:
    """Return the delay of each step by prompts still to be processed."""
    speed = engine.speed
    chunk_s = speed.chunk_tokens / speed.prefill_tokens_per_s
    steps = backlog / speed.chunk_tokens
    share = min(1.0, steps / max(1, work.output_tokens))
    return chunk_s * share * engine.slowness


def beside_harm_s(work: Work, engine: EngineLoad) -> float:
    """Return what a prompt costs the streams beside which it is read."""
    read_s = work_on(work, engine) / prefill_rate(engine)
    return HARM_SHARE * engine.sequences * read_s


def import_and_decode_s(work: Work, engine: EngineLoad) -> float:
    """Return the expected time after the KV cache is exported."""
    transfer = work.prompt_tokens / engine.speed.import_tokens_per_s
    return 2 * transfer + decode_s(work, engine)
