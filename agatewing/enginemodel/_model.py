"""The batch of one engine, advanced step by step."""

import dataclasses
import heapq
import itertools

from agatewing import _types
from agatewing.enginemodel import _cache


@dataclasses.dataclass(frozen=True, slots=True)
class EngineSpec:
    """Speed and size of an engine."""

    #: Prompt tokens a second when nothing else runs.
    prefill_tokens_per_s: float = 8_000.0
    #: Time of one step without any work, in seconds.
    step_base_s: float = 0.018
    #: Time that one decoding sequence adds to a step, in seconds.
    step_per_sequence_s: float = 0.0003
    #: Prompt tokens of one step while sequences decode.
    chunk_tokens: int = 256
    #: Prompt tokens of one step otherwise.
    full_chunk_tokens: int = 2_048
    #: Sequences of one batch.
    max_batch: int = 32
    #: KV memory, in tokens.
    kv_tokens: int = 200_000
    #: Prefix cache, in tokens.
    cache_tokens: int = 100_000
    #: Tokens of KV cache that can be imported a second.
    import_tokens_per_s: float = 200_000.0
    #: Time that a change of role takes, in seconds.
    role_change_s: float = 4.0


@dataclasses.dataclass(slots=True)
class Sequence:
    """One request inside an engine."""

    #: Id of the stream.
    id: str
    #: Length of the prompt, in tokens.
    prompt_tokens: int
    #: Tokens to generate; 0 to prefill only.
    output_tokens: int
    #: Hashes of the prompt's blocks.
    blocks: tuple[int, ...] = ()
    #: Lower runs earlier.
    priority: int = 0
    #: Whether the KV cache of the prompt is imported.
    imported: bool = False
    #: Prompt tokens still to be processed.
    prefill_left: float = 0.0
    #: Tokens generated.
    produced: int = 0

    @property
    def kv_need(self) -> int:
        """KV memory that the whole sequence takes, in tokens."""
        return self.prompt_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True, slots=True)
class StepResult:
    """What one step did."""

    #: Time that the step took, in seconds.
    duration_s: float
    #: Sequences that got tokens, with the number of tokens.
    produced: tuple[tuple[Sequence, int], ...]
    #: Sequences whose prompt became ready.
    prefilled: tuple[Sequence, ...]
    #: Sequences that ended.
    finished: tuple[Sequence, ...]


_IDLE = StepResult(0.0, (), (), ())


class EngineModel:
    """Continuous batching with chunked prefill."""

    __slots__ = (
        "spec",
        "role",
        "cache",
        "running",
        "slowdown",
        "_waiting",
        "_order",
        "_kv_used",
    )

    def __init__(self, spec: EngineSpec, role: _types.Role) -> None:
        #: Speed and size.
        self.spec = spec
        #: Present role.
        self.role = role
        #: Prefix cache.
        self.cache = _cache.PrefixCache(spec.cache_tokens)
        #: Sequences of the batch by id.
        self.running: dict[str, Sequence] = {}
        #: Factor on the time of every step.
        self.slowdown = 1.0
        self._waiting: list[tuple[int, int, Sequence]] = []
        self._order = itertools.count()
        self._kv_used = 0

    @property
    def queued(self) -> int:
        """Number of sequences that wait for the batch."""
        return len(self._waiting)

    @property
    def kv_used(self) -> int:
        """KV memory taken, in tokens."""
        return self._kv_used

    @property
    def busy(self) -> bool:
        """Whether there is any work."""
        return bool(self.running or self._waiting)

    def queued_tokens(self) -> int:
        """Return prompt tokens that are not processed yet."""
        waiting = sum(s.prompt_tokens for _, _, s in self._waiting)
        inside = sum(s.prefill_left for s in self.running.values())
        return waiting + int(inside)

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence."""
        entry = (sequence.priority, next(self._order), sequence)
        heapq.heappush(self._waiting, entry)

    def cancel(self, sequence_id: str) -> None:
        """Drop a sequence wherever it is."""
        sequence = self.running.pop(sequence_id, None)
        if sequence is not None:
            self._kv_used -= sequence.kv_need
            return
        kept = [e for e in self._waiting if e[2].id != sequence_id]
        if len(kept) != len(self._waiting):
            heapq.heapify(kept)
            self._waiting = kept

    def step(self, max_steps: int = 1) -> StepResult:
        """Advance the batch by one step, or several alike ones."""
        self._admit()
        if not self.running:
            return _IDLE
        chunks = self._plan_prefill()
        decoding = [s for s in self.running.values() if s.prefill_left <= 0]
        count = 1
        if not chunks and not self._waiting and max_steps > 1:
            left = min(s.output_tokens - s.produced for s in decoding)
            count = max(1, min(max_steps, left))
        duration = self._duration(chunks, len(decoding)) * count
        return self._finish(duration, chunks, decoding, count)

    def _admit(self) -> None:
        spec = self.spec
        while self._waiting and len(self.running) < spec.max_batch:
            sequence = self._waiting[0][2]
            room = spec.kv_tokens - self._kv_used
            if sequence.kv_need > room and self.running:
                break
            heapq.heappop(self._waiting)
            self._start(sequence)

    def _start(self, sequence: Sequence) -> None:
        if sequence.imported:
            share = (
                self.spec.prefill_tokens_per_s / self.spec.import_tokens_per_s
            )
            sequence.prefill_left = sequence.prompt_tokens * share
        else:
            cached = self.cache.match_tokens(sequence.blocks)
            left = sequence.prompt_tokens - cached
            sequence.prefill_left = float(max(1, left))
        self._kv_used += sequence.kv_need
        self.running[sequence.id] = sequence

    def _plan_prefill(self) -> list[tuple[Sequence, float]]:
        pending = [s for s in self.running.values() if s.prefill_left > 0]
        if not pending:
            return []
        pending.sort(key=lambda s: s.priority)
        alone = len(pending) == len(self.running)
        spec = self.spec
        budget = float(
            spec.full_chunk_tokens
            if alone or self.role is _types.Role.PREFILL
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

    def _duration(
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

    def _finish(
        self,
        duration: float,
        chunks: list[tuple[Sequence, float]],
        decoding: list[Sequence],
        count: int,
    ) -> StepResult:
        prefilled = []
        for sequence, tokens in chunks:
            sequence.prefill_left -= tokens
            if sequence.prefill_left <= 0:
                prefilled.append(sequence)
                self.cache.insert(sequence.blocks)
        for sequence in decoding:
            sequence.produced += count
        produced = [(s, count) for s in decoding]
        for sequence in prefilled:
            if sequence.output_tokens:
                sequence.produced += 1
                produced.append((sequence, 1))
        finished = [
            s for s in (*decoding, *prefilled) if s.produced >= s.output_tokens
        ]
        for sequence in finished:
            del self.running[sequence.id]
            self._kv_used -= sequence.kv_need
        return StepResult(
            duration, tuple(produced), tuple(prefilled), tuple(finished)
        )
