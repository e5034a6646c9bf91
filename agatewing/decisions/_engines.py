"""Speed and load of engines, as plain data for the decisions."""

import dataclasses

from agatewing import _types

#: Processing time above which a prompt counts as long, in seconds: a third of
#: the shortest latency objective in use. A long prompt delays all others on
#: the engine.
LONG_PROMPT_S = 0.1

#: Share of an engine's KV cache memory that may be filled, by the known
#: load. The rest covers answers that are longer than expected and sequences
#: whose load reports have not arrived yet.
KV_FILL_SHARE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """Speed and batch limits of an engine."""

    #: Prefill rate when nothing else runs, in prompt tokens per second.
    prefill_tokens_per_s: float = 8_000.0
    #: Time that every prefill takes beside that of its tokens, in seconds.
    prefill_base_s: float = 0.0
    #: Time of an empty step, in seconds.
    step_base_s: float = 0.018
    #: Time that one decoding sequence adds to a step, in seconds.
    step_per_sequence_s: float = 0.0003
    #: Largest number of prompt tokens in a step while sequences decode.
    chunk_tokens: int = 256
    #: Largest number of prompt tokens in a step without decoding sequences.
    full_chunk_tokens: int = 2_048
    #: Largest number of sequences in a batch.
    slots: int = 32
    #: KV cache import rate, in tokens per second.
    import_tokens_per_s: float = 200_000.0
    #: Share of the prefill rate that an engine of role decode reaches; 1 if
    #: the role makes no difference.
    decode_prefill_share: float = 1.0
    #: Cost of attention: prompt tokens that take as long to process as a
    #: million pairs of a new token and an earlier one.
    attention_tokens_per_m_pairs: float = 0.0
    #: Time that 1,000 tokens of KV cache add to a step, in seconds.
    step_per_k_context_s: float = 0.0

    def prefill_cost_tokens(self, prompt_tokens: int, cached: int) -> int:
        """Return the prefill cost of a prompt, attention included.

        The unit is prompt tokens that take as long without attention.
        """
        new = max(0, prompt_tokens - cached)
        pairs = new * (cached + new / 2)
        return round(new + pairs / 1e6 * self.attention_tokens_per_m_pairs)

    def full_chunk_rate(self) -> float:
        """Return the prefill rate with nothing else, in tokens/s.

        Unlike ``prefill_tokens_per_s``, it has the fixed time of the steps.
        """
        chunk = self.full_chunk_tokens
        return chunk / (self.step_base_s + chunk / self.prefill_tokens_per_s)

    def step_s(self, sequences: float) -> float:
        """Return the time of a step that decodes ``sequences``, in seconds."""
        return self.step_base_s + self.step_per_sequence_s * sequences

    def token_cost_s(self) -> float:
        """Return the engine seconds per output token in a half-full batch."""
        filled = self.slots / 2
        return self.step_s(filled) / filled


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """Load of an engine as one instance knows it; load reports lag.

    The ``reported`` fields hold what load reports contain: in fleet/ the
    report of the engine, in gateway/ the sum of the reports of the other
    instances. The ``unreported`` fields hold what this instance has sent and
    those reports do not contain.
    """

    #: Name of the engine.
    name: str
    #: Availability zone.
    zone: str
    #: Role in the last report.
    role: _types.Role = _types.Role.MIXED
    #: Speed and batch limits.
    speed: Speed = Speed()
    #: Whether new requests may be sent to it.
    routable: bool = True
    #: Running and queued sequences that load reports contain.
    reported_sequences: int = 0
    #: Prompt tokens, not yet processed, that load reports contain.
    reported_tokens: float = 0.0
    #: Sequences that this instance sent and that have not ended.
    own_sequences: int = 0
    #: Sequences that this instance sent and load reports do not contain.
    unreported_sequences: int = 0
    #: Prompt tokens, not yet processed, that this instance sent and load
    #: reports do not contain.
    unreported_tokens: float = 0.0
    #: Tokens of long prompts among the reported and the unreported ones.
    reported_long_tokens: float = 0.0
    unreported_long_tokens: float = 0.0
    #: Tokens of KV cache held by sequences of this instance, and by those of
    #: other instances according to their load reports.
    own_kv_tokens: int = 0
    reported_kv_tokens: int = 0
    #: Tokens of KV cache that its memory can hold; 0 if unknown.
    kv_limit: int = 0
    #: Sequences that this instance may send to it now.
    credits: int = 1
    #: Whether it gets nothing now, as it limits the requests of all
    #: instances together.
    held_back: bool = False
    #: Ratio of measured to expected duration; 1 is as fast as ``speed`` says.
    slowness: float = 1.0
    #: Share of its normal traffic to send, from outlier detection.
    traffic_share: float = 1.0
    #: Version of its software.
    software: str = ""
    #: Whether this instance prefers it, so that its connections stay in use.
    kept: bool = True
    #: What the connection that a request to it would take counts in the
    #: choice, in seconds; see :mod:`agatewing.decisions._connection_plan`.
    connection_s: float = 0.0

    @property
    def sequences(self) -> int:
        """Estimated number of sequences on the engine."""
        return self.reported_sequences + self.unreported_sequences

    @property
    def prefill_backlog(self) -> float:
        """Estimated number of prompt tokens not yet processed."""
        return self.reported_tokens + self.unreported_tokens

    @property
    def long_backlog(self) -> float:
        """Estimated part of the prefill backlog that is in long prompts."""
        return self.reported_long_tokens + self.unreported_long_tokens

    def has_memory(self, kv_tokens: int) -> bool:
        """Return whether a sequence with so many tokens of KV cache fits.

        Without free memory, an engine preempts a running sequence and
        processes its tokens again later, which delays all other streams.
        """
        if not self.kv_limit:
            return True
        return self.kv_tokens + kv_tokens <= KV_FILL_SHARE * self.kv_limit

    def fits(self, kv_tokens: int) -> bool:
        """Return whether so many tokens of KV cache fit without any reserve.

        Some engines crash if the requests that they hold exceed their memory.
        """
        return not self.kv_limit or self.kv_tokens + kv_tokens <= self.kv_limit

    @property
    def kv_tokens(self) -> int:
        """Estimated tokens of KV cache that sequences hold."""
        return self.own_kv_tokens + self.reported_kv_tokens

    def is_long(self, tokens: float) -> bool:
        """Return whether a prompt of this cost in tokens counts as long."""
        return tokens > LONG_PROMPT_S * self.speed.prefill_tokens_per_s
