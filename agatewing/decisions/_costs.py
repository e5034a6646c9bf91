"""What a request costs an engine, in tokens and in seconds."""

import dataclasses

from agatewing import _types
from agatewing.decisions import _engines

#: Prompt tokens of the first priority class; classes double.
PRIORITY_STEP_TOKENS = 512
#: Round trip between availability zones, in seconds.
ZONE_ROUND_TRIP_S = 0.001
#: Rest of a long prompt that is under way, in seconds: an engine finishes
#: it before a more urgent one; half of a typical long prompt's time.
LONG_REST_S = 0.15
#: Share of the time for which a prompt is read beside a stream that counts
#: as lost to the stream.
HARM_SHARE = 0.3
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
