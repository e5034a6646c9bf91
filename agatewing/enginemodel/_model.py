"""Model of one engine's batch, advanced step by step."""

import dataclasses
import heapq
import itertools

from agatewing import _types
from agatewing.enginemodel import _cache


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speed and capacity of an engine."""

    #: Prompt tokens processed per second, apart from the base time of steps.
    prefill_tokens_per_s: float = 8_000.0
    #: Base time of every step, in seconds.
    step_base_s: float = 0.018
    #: Time that one decoding sequence adds to a step, in seconds.
    step_per_sequence_s: float = 0.0003
    #: Limit of prompt tokens per step while sequences decode.
    chunk_tokens: int = 256
    #: Limit of prompt tokens per step otherwise, and always in the prefill
    #: role.
    full_chunk_tokens: int = 2_048
    #: Limit of sequences in the batch.
    max_batch: int = 32
    #: Size of the KV memory, in tokens.
    kv_tokens: int = 200_000
    #: Size of the prefix cache, in tokens.
    cache_tokens: int = 100_000
    #: Tokens of KV cache imported from another engine per second.
    import_tokens_per_s: float = 200_000.0
    #: Duration of a role change, in seconds.
    role_change_s: float = 4.0


@dataclasses.dataclass(slots=True)
class Sequence:
    """One request inside an engine."""

    #: Id of the stream.
    id: str
    #: Length of the prompt, in tokens.
    prompt_tokens: int
    #: Tokens to generate; 0 for a prefill without decoding.
    output_tokens: int
    #: Hashes of the prompt's prefix blocks.
    blocks: tuple[int, ...] = ()
    #: Priority class; lower classes start and are prefilled first.
    priority: int = 0
    #: Whether the prompt's KV cache is imported from another engine.
    imported: bool = False
    #: Prompt tokens still to be processed; for an imported KV cache, the
    #: number that would take as long as the import.
    prefill_left: float = 0.0
    #: Tokens generated so far.
    produced: int = 0

    @property
    def reserved_kv_tokens(self) -> int:
        """KV memory reserved for the prompt and the output, in tokens."""
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """Result of one step, or of several that were computed as one."""

    #: Duration, in seconds; 0 if there was nothing to do.
    duration_s: float
    #: Sequences that generated tokens, with the number of new tokens.
    produced: tuple[tuple[Sequence, int], ...]
    #: Sequences whose prompt is now processed.
    prefilled: tuple[Sequence, ...]
    #: Sequences that completed and left the batch.
    finished: tuple[Sequence, ...]


_IDLE = StepResult(0.0, (), (), ())


class EngineModel:
    """Continuous batching with chunked prefill, in virtual time."""

    __slots__ = (
        "spec",
        "role",
        "cache",
        "running",
        "slowdown",
        "_queue",
        "_arrival_numbers",
        "_kv_used",
    )

    def __init__(self, spec: EngineSpec, role: _types.Role) -> None:
        #: Speed and capacity.
        self.spec = spec
        #: Current role.
        self.role = role
        #: Prefix cache.
        self.cache = _cache.PrefixCache(spec.cache_tokens)
        #: Sequences in the batch, by id.
        self.running: dict[str, Sequence] = {}
        #: Factor by which every step takes longer.
        self.slowdown = 1.0
        self._queue: list[tuple[int, int, Sequence]] = []
        self._arrival_numbers = itertools.count()
        self._kv_used = 0

    @property
    def queued(self) -> int:
        """Number of sequences queued for the batch."""
        return len(self._queue)

    @property
    def kv_used(self) -> int:
        """KV memory reserved by the batch, in tokens."""
        return self._kv_used

    @property
    def busy(self) -> bool:
        """Whether any sequence is running or queued."""
        return bool(self.running or self._queue)

    def queued_tokens(self) -> int:
        """Return the prompt tokens of all sequences still to be processed."""
        queued = sum(s.prompt_tokens for _, _, s in self._queue)
        in_batch = sum(s.prefill_left for s in self.running.values())
        return queued + int(in_batch)

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence by priority class, then by order of arrival."""
        entry = (sequence.priority, next(self._arrival_numbers), sequence)
        heapq.heappush(self._queue, entry)

    def cancel(self, sequence_id: str) -> None:
        """Remove a sequence from the batch or the queue, if it is there."""
        sequence = self.running.pop(sequence_id, None)
        if sequence is not None:
            self._kv_used -= sequence.reserved_kv_tokens
            return
        remaining = [e for e in self._queue if e[2].id != sequence_id]
        if len(remaining) != len(self._queue):
            heapq.heapify(remaining)
            self._queue = remaining

    def step(self, max_steps: int = 1) -> StepResult:
        """Advance the batch by one step and return what it did.

        While no prompt is processed and nothing is queued, all steps are
        alike; then up to ``max_steps`` are computed at once, none beyond
        the end of the shortest sequence.
        """
        self._admit_queued()
        if not self.running:
            return _IDLE
        chunks = self._plan_prefill()
        decoding = [s for s in self.running.values() if s.prefill_left <= 0]
        step_count = 1
        if not chunks and not self._queue and max_steps > 1:
            least_left = min(s.output_tokens - s.produced for s in decoding)
            step_count = max(1, min(max_steps, least_left))
        duration = self._step_duration_s(chunks, len(decoding)) * step_count
        return self._apply_step(duration, chunks, decoding, step_count)

    def _admit_queued(self) -> None:
        spec = self.spec
        while self._queue and len(self.running) < spec.max_batch:
            sequence = self._queue[0][2]
            kv_free = spec.kv_tokens - self._kv_used
            # An empty batch admits any sequence; otherwise one larger than
            # the KV memory would block the queue forever.
            if sequence.reserved_kv_tokens > kv_free and self.running:
                break
            heapq.heappop(self._queue)
            self._start_sequence(sequence)

    def _start_sequence(self, sequence: Sequence) -> None:
        if sequence.imported:
            cost_ratio = (
                self.spec.prefill_tokens_per_s / self.spec.import_tokens_per_s
            )
            sequence.prefill_left = sequence.prompt_tokens * cost_ratio
        else:
            cached = self.cache.match_tokens(sequence.blocks)
            left = sequence.prompt_tokens - cached
            sequence.prefill_left = float(max(1, left))
        self._kv_used += sequence.reserved_kv_tokens
        self.running[sequence.id] = sequence

    def _plan_prefill(self) -> list[tuple[Sequence, float]]:
        pending = [s for s in self.running.values() if s.prefill_left > 0]
        if not pending:
            return []
        pending.sort(key=lambda s: s.priority)
        none_decodes = len(pending) == len(self.running)
        spec = self.spec
        budget = float(
            spec.full_chunk_tokens
            if none_decodes or self.role is _types.Role.PREFILL
            else spec.chunk_tokens
        )
        chunks = []
        for sequence in pending:
            tokens = min(budget, sequence.prefill_left)
            chunks.append((sequence, tokens))
            budget -= tokens
            if budget <= 0:
                break
        return chunks

    def _step_duration_s(
        self, chunks: list[tuple[Sequence, float]], decoding: int
    ) -> float:
        spec = self.spec
        tokens = sum(count for _, count in chunks)
        seconds = (
            spec.step_base_s
            + spec.step_per_sequence_s * decoding
            + tokens / spec.prefill_tokens_per_s
        )
        return seconds * self.slowdown

    def _apply_step(
        self,
        duration: float,
        chunks: list[tuple[Sequence, float]],
        decoding: list[Sequence],
        step_count: int,
    ) -> StepResult:
        prefilled = []
        for sequence, tokens in chunks:
            sequence.prefill_left -= tokens
            if sequence.prefill_left <= 0:
                prefilled.append(sequence)
                self.cache.insert(sequence.blocks)
        for sequence in decoding:
            sequence.produced += step_count
        produced = [(s, step_count) for s in decoding]
        for sequence in prefilled:
            if sequence.output_tokens:
                sequence.produced += 1
                produced.append((sequence, 1))
        finished = [
            s for s in (*decoding, *prefilled) if s.produced >= s.output_tokens
        ]
        for sequence in finished:
            del self.running[sequence.id]
            self._kv_used -= sequence.reserved_kv_tokens
        return StepResult(
            duration, tuple(produced), tuple(prefilled), tuple(finished)
        )
