"""Choose the engine, or pair of engines, for one request."""

import collections.abc
import dataclasses
import random

from agatewing import _types
from agatewing.decisions import _costs
from agatewing.decisions import _engines

#: Engines sampled at random for one choice.
SAMPLES = 3
#: Engines looked at for each one that is sampled.
TRIES = 4
#: Pool up to which engines are sampled in turn from a random start.
SMALL_POOL = 12
#: Engines added because they may have cached the prompt's prefix.
AFFINITY_CANDIDATES = 2
#: Shortest prompt that is worth a separate prefill, in tokens.
SPLIT_MIN_TOKENS = 512
#: Prompts waiting in an engine beyond which it gets no more, in seconds of
#: its work; what waits longer waits in the fair queue.
BACKLOG_LIMIT_S = 1.0
#: Times as much that an engine without streams may process beside those
#: that come meanwhile: a stream's first event is due after 250 ms or more.
ALONE_TIMES = 3

EngineLoad = _engines.EngineLoad


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
        work: _costs.Work,
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

    def _fits_whole(self, work: _costs.Work, engine: EngineLoad) -> bool:
        """Return whether an engine may process the prompt and decode.

        Beside streams, a long prompt would hold their events up.
        """
        if not self._has_room(work, engine):
            return False
        if self._beside_tokens is None:
            return True
        tokens = engine.prefill_backlog + _costs.work_on(work, engine)
        limit = self._beside_tokens
        if not engine.sequences:
            limit *= ALONE_TIMES
        return tokens <= limit

    def _fallback(
        self,
        work: _costs.Work,
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
        work: _costs.Work,
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

    def _has_room(self, work: _costs.Work, engine: EngineLoad) -> bool:
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
        work: _costs.Work,
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
        work: _costs.Work,
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
        work: _costs.Work,
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
        self, work: _costs.Work, engines: list[EngineLoad]
    ) -> Single | None:
        chosen: EngineLoad | None = None
        least = float("inf")
        for engine in engines:
            seconds = _costs.single_s(work, engine) + self._reread_s(
                work, engine
            )
            if self._beside_tokens is not None:
                seconds += _costs.beside_harm_s(work, engine)
            if seconds < least:
                chosen, least = engine, seconds
        return Single(chosen.name, least) if chosen else None

    def _reread_s(self, work: _costs.Work, engine: EngineLoad) -> float:
        """Return what it costs others to read shared parts once more."""
        if not self._reread_weight or not work.cached:
            return 0.0
        held = max(work.cached.values())
        missing = held - work.cached.get(engine.name, 0)
        missing -= _costs.fetch_gain(work, engine)
        rate = engine.speed.prefill_tokens_per_s
        return self._reread_weight * missing / rate

    def _best_split(
        self,
        work: _costs.Work,
        first: list[EngineLoad],
        second: list[EngineLoad],
    ) -> Split | None:
        if not first or not second:
            return None

        def apart_s(engine: EngineLoad) -> float:
            return _costs.prefill_s(work, engine) + self._reread_s(
                work, engine
            )

        prefill = min(first, key=apart_s)
        decode = min(second, key=lambda e: _costs.import_and_decode_s(work, e))
        seconds = apart_s(prefill) + _costs.import_and_decode_s(work, decode)
        return Split(prefill.name, decode.name, seconds)


def _usable(
    engine: EngineLoad, avoid: frozenset[str], work: _costs.Work
) -> bool:
    """Return whether new work may go to the engine."""
    if not engine.routable or engine.credits <= 0:
        return False
    if engine.name in avoid:
        return False
    if engine.role is _types.Role.PREFILL:
        return True
    return engine.has_memory(work.kv_tokens)
