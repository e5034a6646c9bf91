"""Estimates of the cost of a request on an engine, in tokens and seconds."""

import dataclasses

from agatewing import _types
from agatewing.decisions import _engines

#: Prompt length below which a request is in the first priority class, in
#: tokens; the limit doubles for each further class.
PRIORITY_STEP_TOKENS = 512
#: Round trip between availability zones, in seconds.
ZONE_ROUND_TRIP_S = 0.001
#: Expected remaining time of a long prompt that an engine is processing, in
#: seconds: half of a typical long prompt's time. The engine finishes it
#: before it processes a prompt of a lower priority class.
LONG_PROMPT_REMAINDER_S = 0.15
#: Share of a prompt's processing time that is charged as delay of each
#: stream that decodes on the same engine.
STREAM_DELAY_SHARE = 0.3
#: Smallest number of cached tokens worth a fetch: processing so many takes as
#: long as preparing the fetch.
MIN_FETCH_TOKENS = 128
#: Time for preparing a fetch, in seconds; the engines' data sheet says
#: 1.7 ms.
FETCH_SETUP_S = 0.002
#: A fetch between zones takes this many times as long (figure of the
#: platform's documentation).
CROSS_ZONE_FETCH_FACTOR = 2.0
#: Penalty for the higher price of a fetch between zones, in seconds: the
#: time of a few steps.
CROSS_ZONE_FETCH_PENALTY_S = 0.02
#: Expected wait of a new sequence behind one full batch of queued ones, in
#: seconds.
FULL_BATCH_WAIT_S = 2.0

EngineLoad = _engines.EngineLoad


@dataclasses.dataclass(frozen=True, slots=True)
class RequestProfile:
    """Facts of one request from which its cost is estimated."""

    #: Prompt tokens, including those that an engine may have cached, but
    #: not ``fetched_tokens``.
    prompt_tokens: int
    #: Expected length of the answer, in tokens.
    output_tokens: int
    #: Availability zone of the instance that sends the request.
    zone: str
    #: Expected prefix cache hit tokens, by engine.
    cached: dict[str, int] = dataclasses.field(default_factory=dict)
    #: Prompt tokens, beyond ``prompt_tokens``, that another engine has
    #: processed; their KV cache is fetched.
    fetched_tokens: int = 0
    #: Engine from which other engines can fetch the cached prefix; empty if
    #: there is none.
    fetch_source: str = ""
    #: Availability zone of the engine from which tokens are fetched.
    fetch_source_zone: str = ""
    #: Cost of sending the request to another zone, in seconds.
    cross_zone_s: float = ZONE_ROUND_TRIP_S
    #: Software version of the engines that may decode the request; ``None``
    #: if any may. Engines of two versions cannot continue each other's
    #: streams.
    software: str | None = None
    #: Engines to which the request is not sent again.
    avoid: frozenset[str] = frozenset()
    #: Monotonic time until which it yields to more urgent requests, in
    #: seconds; 0 if it never does.
    yields_until: float = 0.0

    @property
    def bound(self) -> bool:
        """Whether only some engines may decode it."""
        return self.software is not None or bool(self.avoid)

    @property
    def kv_tokens(self) -> int:
        """Tokens of KV cache that the sequence holds when it ends."""
        return self.prompt_tokens + self.fetched_tokens + self.output_tokens


def remaining_profile(
    profile: RequestProfile, delivered_tokens: int
) -> RequestProfile:
    """Return the profile of an answer of which some tokens were delivered.

    An engine that continues it reads them like the prompt.
    """
    delivered = min(max(0, delivered_tokens), profile.output_tokens - 1)
    return dataclasses.replace(
        profile,
        prompt_tokens=profile.prompt_tokens + delivered,
        output_tokens=profile.output_tokens - delivered,
    )


def priority_class(tokens: int) -> int:
    """Return the priority class of a prompt length in tokens, from 0.

    Engines process prompts of a lower class first.
    """
    return max(0, tokens // PRIORITY_STEP_TOKENS).bit_length()


def prefill_cost_tokens(profile: RequestProfile, engine: EngineLoad) -> int:
    """Return the prefill cost of a request on an engine, in tokens.

    Prompt tokens that are cached or fetched are deducted.
    """
    cached = profile.cached.get(engine.name, 0) + fetchable_tokens(
        profile, engine
    )
    cached = min(cached, profile.prompt_tokens)
    return engine.speed.prefill_cost_tokens(profile.prompt_tokens, cached)


def fetchable_tokens(profile: RequestProfile, engine: EngineLoad) -> int:
    """Return the prompt tokens that an engine would fetch from the source.

    Half of a long prompt may be a shared prefix, and there may be more such
    prompts than the engine that holds the prefix can process in time.
    Fetching the prefix takes a twentieth of the time of processing it again.
    """
    if not profile.fetch_source or profile.fetch_source == engine.name:
        return 0
    source_tokens = profile.cached.get(profile.fetch_source, 0)
    gain = source_tokens - profile.cached.get(engine.name, 0)
    return gain if gain >= MIN_FETCH_TOKENS else 0


def fetch_s(tokens: int, profile: RequestProfile, engine: EngineLoad) -> float:
    """Return the time to fetch tokens from the source zone, in seconds."""
    if not tokens:
        return 0.0
    seconds = tokens / engine.speed.import_tokens_per_s
    if engine.zone != profile.fetch_source_zone:
        seconds = (
            seconds * CROSS_ZONE_FETCH_FACTOR + CROSS_ZONE_FETCH_PENALTY_S
        )
    return FETCH_SETUP_S + seconds


def single_engine_s(profile: RequestProfile, engine: EngineLoad) -> float:
    """Return the expected time until one engine completes the answer.

    The time is in seconds and includes queueing in the engine.
    """
    return prefill_s(profile, engine) + decode_s(profile, engine)


def prefill_s(profile: RequestProfile, engine: EngineLoad) -> float:
    """Return the expected time until the prompt is processed, in seconds."""
    own_tokens = prefill_cost_tokens(profile, engine)
    ahead = engine.prefill_backlog
    if not profile.yields_until:
        ahead = _tokens_ahead(own_tokens, engine)
    tokens = ahead + own_tokens
    return _prefill_s(profile, engine, tokens)


def unqueued_prefill_s(profile: RequestProfile, engine: EngineLoad) -> float:
    """Return that time if no other prompt waits at the engine, in seconds."""
    return _prefill_s(profile, engine, prefill_cost_tokens(profile, engine))


def _prefill_s(
    profile: RequestProfile, engine: EngineLoad, tokens: float
) -> float:
    """Return the time until the last of ``tokens`` is processed, in seconds.

    They are those of the prompt and what is ahead of it.
    """
    speed = engine.speed
    rate = prefill_rate(engine)
    seconds = tokens / rate + speed.step_base_s + speed.prefill_base_s
    seconds *= engine.slowness
    fetched = fetchable_tokens(profile, engine) + profile.fetched_tokens
    seconds += fetch_s(fetched, profile, engine)
    if engine.zone != profile.zone:
        seconds += profile.cross_zone_s
    return seconds


def _tokens_ahead(own_tokens: float, engine: EngineLoad) -> float:
    """Return the prefill backlog ahead of a prompt, in tokens.

    An engine processes short prompts before queued long ones, but first
    finishes a long prompt that it has started.
    """
    if engine.is_long(own_tokens):
        return engine.prefill_backlog
    remainder = LONG_PROMPT_REMAINDER_S * engine.speed.prefill_tokens_per_s
    waiting = max(0.0, engine.long_backlog - remainder)
    return engine.prefill_backlog - waiting


def prefill_rate(engine: EngineLoad) -> float:
    """Return the expected prefill rate of an engine, in tokens/s.

    It accounts for the sequences that the engine decodes at present.
    """
    speed = engine.speed
    if engine.role is _types.Role.DECODE and speed.decode_prefill_share < 1:
        return _decode_engine_prefill_rate(engine)
    if engine.role is _types.Role.PREFILL or not engine.sequences:
        return speed.full_chunk_rate()
    step = speed.step_s(min(engine.sequences, speed.slots))
    chunk = speed.chunk_tokens
    return chunk / (step + chunk / speed.prefill_tokens_per_s)


def _decode_engine_prefill_rate(engine: EngineLoad) -> float:
    """Return the prefill rate of an engine of role decode, in tokens/s."""
    speed = engine.speed
    chunk = speed.chunk_tokens
    rate = speed.prefill_tokens_per_s * speed.decode_prefill_share
    step = speed.step_s(min(engine.sequences, speed.slots))
    return chunk / (step + chunk / rate)


def decode_s(profile: RequestProfile, engine: EngineLoad) -> float:
    """Return the expected time to generate the answer, in seconds."""
    speed = engine.speed
    sequences = engine.sequences + 1
    batch = min(sequences, speed.slots)
    step = speed.step_base_s + speed.step_per_sequence_s * batch
    step += speed.step_per_k_context_s * engine.kv_tokens / 1_000
    step *= engine.slowness
    backlog = engine.prefill_backlog
    if backlog > 0:
        step += _interference_s(profile, engine, backlog)
    seconds = profile.output_tokens * step
    if sequences > speed.slots:
        waiting = sequences - speed.slots
        seconds += FULL_BATCH_WAIT_S * waiting / speed.slots
    return seconds


def _interference_s(
    profile: RequestProfile, engine: EngineLoad, backlog: float
) -> float:
    """Return the mean delay of a decode step by the backlog, in seconds.

    ``backlog`` is in prompt tokens.
    """
    speed = engine.speed
    chunk_s = speed.chunk_tokens / speed.prefill_tokens_per_s
    steps = backlog / speed.chunk_tokens
    share = min(1.0, steps / max(1, profile.output_tokens))
    return chunk_s * share * engine.slowness


def stream_delay_s(profile: RequestProfile, engine: EngineLoad) -> float:
    """Return the delay charged for all streams on the engine, in seconds.

    Prefill on an engine delays the events of the streams that it decodes.
    """
    prompt_s = prefill_cost_tokens(profile, engine) / prefill_rate(engine)
    return STREAM_DELAY_SHARE * engine.sequences * prompt_s


def import_and_decode_s(profile: RequestProfile, engine: EngineLoad) -> float:
    """Return the expected time from the export of the KV cache, in seconds.

    It is twice the transfer time of the prompt's KV cache, plus the time to
    generate the answer.
    """
    transfer_s = profile.prompt_tokens / engine.speed.import_tokens_per_s
    return 2 * transfer_s + decode_s(profile, engine)
