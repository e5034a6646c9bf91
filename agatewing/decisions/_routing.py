"""Choose the engine, or pair of engines, for one request."""

import collections.abc
import dataclasses
import random

from agatewing import _types
from agatewing.decisions import _costs
from agatewing.decisions import _engines

#: Engines sampled at random for one choice.
SAMPLES = 3
#: Draws for each engine to be sampled, as some draws are not usable.
DRAWS_PER_SAMPLE = 4
#: Largest pool whose engines are drawn in order from a random start; larger
#: ones are drawn at random.
SMALL_POOL = 12
#: Engines added to the sample as they have most of the prefix cached.
AFFINITY_CANDIDATES = 2
#: Shortest prompt that is worth a separate prefill, in tokens.
SPLIT_MIN_TOKENS = 512
#: Prefill backlog above which an engine gets no more prompts of at least
#: SPLIT_MIN_TOKENS, in seconds of its prefill rate; further ones wait in the
#: fair queue.
BACKLOG_LIMIT_S = 1.0
#: Factor on the prefill limit of a decode engine without streams. A stream
#: that starts meanwhile tolerates the longer prefill, as its first event is
#: due only after 250 ms or more.
IDLE_DECODE_FACTOR = 3
#: Further engines that are sampled among those that the instance does not
#: prefer.
OTHER_SAMPLES = 2

EngineLoad = _engines.EngineLoad


@dataclasses.dataclass(frozen=True, slots=True)
class Single:
    """One engine prefills and decodes."""

    #: Name of the engine.
    engine: str
    #: Expected time until the answer is complete, in seconds, plus the
    #: penalties of a router with a recompute weight or a decode prefill limit.
    expected_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Split:
    """One engine prefills; another imports the KV cache and decodes."""

    #: Name of the engine that prefills.
    prefill: str
    #: Name of the engine that decodes.
    decode: str
    #: Expected time until the answer is complete, in seconds, plus the
    #: penalty of a router with a recompute weight.
    expected_s: float


Route = Single | Split


class Router:
    """Estimates the cost of a request on sampled engines; chooses the best.

    ``decode_prefill_limit`` limits the prefill backlog plus the prefill cost
    of the new prompt, in tokens, on an engine that runs streams, and is
    multiplied by IDLE_DECODE_FACTOR for one without; ``None`` is no limit.
    ``backlog_limit_s`` is the prefill backlog, in seconds, above which an
    engine gets no more prompts of at least SPLIT_MIN_TOKENS.
    ``recompute_weight`` weighs the time to recompute a prefix that another
    engine has cached.
    """

    __slots__ = (
        "_random",
        "_samples",
        "_decode_prefill_limit",
        "_backlog_limit_s",
        "_recompute_weight",
    )

    def __init__(
        self,
        rng: random.Random,
        samples: int = SAMPLES,
        decode_prefill_limit: int | None = None,
        backlog_limit_s: float = BACKLOG_LIMIT_S,
        recompute_weight: float = 0.0,
    ) -> None:
        self._random = rng
        self._samples = samples
        self._decode_prefill_limit = decode_prefill_limit
        self._backlog_limit_s = backlog_limit_s
        self._recompute_weight = recompute_weight

    def choose(
        self,
        profile: _costs.RequestProfile,
        engines: collections.abc.Sequence[EngineLoad],
        avoid: frozenset[str] = frozenset(),
    ) -> Route | None:
        """Return the best route, or ``None`` if no engine is usable now."""
        sampled = self._sample(engines, profile, avoid)
        decoders = [e for e in sampled if e.role is not _types.Role.PREFILL]
        best = self._best_single(
            profile,
            [e for e in decoders if self._may_prefill_and_decode(profile, e)],
        )
        split = None
        if profile.prompt_tokens >= SPLIT_MIN_TOKENS:
            prefill_engines = [
                e
                for e in sampled
                if e.role is _types.Role.PREFILL and self._has_room(profile, e)
            ]
            split = self._best_split(profile, prefill_engines, decoders)
        if best is None:
            return split or self._choose_from_all(profile, engines, avoid)
        if split is None or split.expected_s > best.expected_s:
            return best
        return split

    def _may_prefill_and_decode(
        self, profile: _costs.RequestProfile, engine: EngineLoad
    ) -> bool:
        """Return whether an engine may both prefill and decode the request.

        A long prompt would delay the events of streams on the same engine.
        """
        if not self._has_room(profile, engine):
            return False
        if self._decode_prefill_limit is None:
            return True
        tokens = engine.prefill_backlog + _costs.prefill_cost_tokens(
            profile, engine
        )
        limit = self._decode_prefill_limit
        if not engine.sequences:
            limit *= IDLE_DECODE_FACTOR
        return tokens <= limit

    def _choose_from_all(
        self,
        profile: _costs.RequestProfile,
        engines: collections.abc.Sequence[EngineLoad],
        avoid: frozenset[str],
    ) -> Route | None:
        """Choose one engine from all, not from a sample.

        Prefill engines decode only if there are no other engines.
        """
        decoders = [e for e in engines if e.role is not _types.Role.PREFILL]
        usable = [
            e
            for e in decoders or engines
            if _usable(e, avoid, profile)
            and self._allowed_as_fallback(profile, e, engines)
        ]
        return self._best_single(profile, usable)

    def _allowed_as_fallback(
        self,
        profile: _costs.RequestProfile,
        engine: EngineLoad,
        engines: collections.abc.Sequence[EngineLoad],
    ) -> bool:
        """Return whether the choice from all engines may use this one.

        While a prefill engine is routable, the decode prefill limit, which
        protects streams from long prompts, still applies.
        """
        if self._decode_prefill_limit is None:
            return self._has_room(profile, engine)
        prefill_engine_up = any(
            e.role is _types.Role.PREFILL and e.routable for e in engines
        )
        return not prefill_engine_up or self._may_prefill_and_decode(
            profile, engine
        )

    def _has_room(
        self, profile: _costs.RequestProfile, engine: EngineLoad
    ) -> bool:
        """Return whether the engine's backlog is short enough for the prompt.

        Engines process short prompts first, so only prompts of at least
        SPLIT_MIN_TOKENS have to wait.
        """
        if profile.prompt_tokens < SPLIT_MIN_TOKENS:
            return True
        limit = self._backlog_limit_s * engine.speed.prefill_tokens_per_s
        return engine.prefill_backlog <= limit

    def _sample(
        self,
        engines: collections.abc.Sequence[EngineLoad],
        profile: _costs.RequestProfile,
        avoid: frozenset[str],
    ) -> list[EngineLoad]:
        kept = [e for e in engines if e.kept]
        others = [e for e in engines if not e.kept]
        roles = [False]
        if profile.prompt_tokens >= SPLIT_MIN_TOKENS:
            roles.append(True)
        chosen: dict[str, EngineLoad] = {}
        for prefill in roles:
            drawn = self._draw(kept, profile, avoid, prefill, self._samples)
            if others:
                drawn += self._draw(
                    others,
                    profile,
                    avoid,
                    prefill,
                    OTHER_SAMPLES if drawn else self._samples,
                )
            chosen.update((e.name, e) for e in drawn)
        if profile.cached:
            self._add_cached(engines, profile, avoid, chosen)
        return list(chosen.values())

    def _draw(
        self,
        engines: collections.abc.Sequence[EngineLoad],
        profile: _costs.RequestProfile,
        avoid: frozenset[str],
        prefill: bool,
        samples: int,
    ) -> list[EngineLoad]:
        """Draw up to ``samples`` usable engines at random.

        ``prefill`` is whether to draw from the prefill engines or from all
        others. Engines with a reduced traffic share are drawn less often.
        """
        drawn: list[EngineLoad] = []
        count = len(engines)
        tries = min(count, DRAWS_PER_SAMPLE * samples)
        start = int(self._random.random() * count) if count else 0
        for turn in range(tries):
            index = start + turn
            if count > SMALL_POOL:
                index = int(self._random.random() * count)
            engine = engines[index % count]
            if (engine.role is _types.Role.PREFILL) is not prefill:
                continue
            if not _usable(engine, avoid, profile):
                continue
            if (
                engine.traffic_share < 1
                and self._random.random() > engine.traffic_share
            ):
                continue
            drawn.append(engine)
            if len(drawn) == samples:
                break
        return drawn

    def _add_cached(
        self,
        engines: collections.abc.Sequence[EngineLoad],
        profile: _costs.RequestProfile,
        avoid: frozenset[str],
        chosen: dict[str, EngineLoad],
    ) -> None:
        """Add the usable engines that have most of the prefix cached.

        Engines with a reduced traffic share are left out.
        """
        ranked = sorted(profile.cached.items(), key=lambda item: -item[1])
        names = {name for name, _ in ranked[:AFFINITY_CANDIDATES]}
        seen = 0
        for engine in engines:
            if engine.name not in names:
                continue
            if _usable(engine, avoid, profile) and engine.traffic_share >= 1:
                chosen[engine.name] = engine
            seen += 1
            if seen == len(names):
                return

    def _best_single(
        self, profile: _costs.RequestProfile, engines: list[EngineLoad]
    ) -> Single | None:
        chosen: EngineLoad | None = None
        least_s = float("inf")
        for engine in engines:
            seconds = (
                _costs.single_engine_s(profile, engine)
                + self._recompute_cost_s(profile, engine)
                + engine.connection_s
            )
            if self._decode_prefill_limit is not None:
                seconds += _costs.stream_delay_s(profile, engine)
            if seconds < least_s:
                chosen, least_s = engine, seconds
        return Single(chosen.name, least_s) if chosen else None

    def _recompute_cost_s(
        self, profile: _costs.RequestProfile, engine: EngineLoad
    ) -> float:
        """Return the weighted time to recompute a cached prefix, in seconds.

        Other requests of the engine wait while it recomputes the prefix.
        """
        if not self._recompute_weight or not profile.cached:
            return 0.0
        most_cached = max(profile.cached.values())
        missing = most_cached - profile.cached.get(engine.name, 0)
        missing -= _costs.fetchable_tokens(profile, engine)
        rate = engine.speed.prefill_tokens_per_s
        return self._recompute_weight * missing / rate

    def _best_split(
        self,
        profile: _costs.RequestProfile,
        prefill_engines: list[EngineLoad],
        decode_engines: list[EngineLoad],
    ) -> Split | None:
        if not prefill_engines or not decode_engines:
            return None

        def prefill_cost_s(engine: EngineLoad) -> float:
            return (
                _costs.prefill_s(profile, engine)
                + self._recompute_cost_s(profile, engine)
                + engine.connection_s
            )

        def decode_cost_s(engine: EngineLoad) -> float:
            seconds = _costs.import_and_decode_s(profile, engine)
            return seconds + engine.connection_s

        prefill = min(prefill_engines, key=prefill_cost_s)
        decode = min(decode_engines, key=decode_cost_s)
        seconds = prefill_cost_s(prefill) + decode_cost_s(decode)
        return Split(prefill.name, decode.name, seconds)


def may_be_decoded(
    profile: _costs.RequestProfile,
    engines: collections.abc.Iterable[EngineLoad],
) -> bool:
    """Return whether any engine, usable now or not, may decode a request.

    A request that is bound to no software version always may be.
    """
    return profile.software is None or any(
        e.software == profile.software and e.role is not _types.Role.PREFILL
        for e in engines
    )


def _usable(
    engine: EngineLoad, avoid: frozenset[str], profile: _costs.RequestProfile
) -> bool:
    """Return whether the engine can be sent this request now.

    Memory and software version of a prefill engine are not checked.
    """
    if not engine.routable or engine.held_back or engine.credits <= 0:
        return False
    if engine.name in avoid:
        return False
    if engine.role is _types.Role.PREFILL:
        return True
    if profile.software not in (None, engine.software):
        return False
    return engine.has_memory(profile.kv_tokens)
