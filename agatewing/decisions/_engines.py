"""What the decisions know of engines, as plain data."""

import dataclasses

from agatewing import _types

#: Time for which a prompt holds up all others on an engine that makes it
#: count as long, in seconds: a third of the shortest objective of today.
LONG_PROMPT_S = 0.1

#: Share of an engine's memory for KV caches that is filled as far as known;
#: the rest covers answers longer than expected and notes on their way.
KV_USE = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Speed:
    """How fast an engine works."""

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
    slots: int = 32
    #: Tokens of KV cache that can be imported a second.
    import_tokens_per_s: float = 200_000.0
    #: Share of its prefill rate at which an engine of role decode processes
    #: prompts; 1 where roles make no difference.
    beside_share: float = 1.0
    #: Prompt tokens that could be processed instead of a million pairs of a
    #: new token with one before it; attention grows with these pairs.
    tokens_per_m_pairs: float = 0.0
    #: Time that a thousand tokens of KV cache add to a step, in seconds.
    step_per_k_context_s: float = 0.0

    def prefill_work(self, prompt_tokens: int, cached: int) -> int:
        """Return the work of a prompt, in tokens without attention."""
        new = max(0, prompt_tokens - cached)
        pairs = new * (cached + new / 2)
        return round(new + pairs / 1e6 * self.tokens_per_m_pairs)

    def step_s(self, sequences: float) -> float:
        """Return the time of a step that decodes ``sequences``."""
        return self.step_base_s + self.step_per_sequence_s * sequences

    def token_cost_s(self) -> float:
        """Return engine seconds of one token in a well-filled batch."""
        filled = self.slots / 2
        return self.step_s(filled) / filled


@dataclasses.dataclass(slots=True)
class EngineLoad:
    """An engine as seen from one instance; reports lag."""

    #: Name of the engine.
    name: str
    #: Availability zone.
    zone: str
    #: Role it last reported.
    role: _types.Role = _types.Role.MIXED
    #: Speed.
    speed: Speed = Speed()
    #: Whether new work may be sent to it.
    routable: bool = True
    #: Sequences that it reported as running or queued.
    reported_sequences: int = 0
    #: Prompt tokens that it reported as not processed.
    reported_tokens: float = 0.0
    #: Sequences sent from here and not ended.
    own_sequences: int = 0
    #: Sequences sent from here that no report includes yet.
    unreported_sequences: int = 0
    #: Prompt tokens sent from here that no report includes yet.
    unreported_tokens: float = 0.0
    #: The part of reported and unreported tokens that is in long prompts.
    reported_long_tokens: float = 0.0
    unreported_long_tokens: float = 0.0
    #: Tokens of KV cache that sequences from here hold, and those of other
    #: instances.
    own_kv_tokens: int = 0
    reported_kv_tokens: int = 0
    #: Tokens of KV cache that fit into its memory; 0 if unknown.
    kv_limit: int = 0
    #: Sequences that this instance may send to it now.
    credits: int = 1
    #: Measured slowness; 1 is as fast as its speed says.
    slowness: float = 1.0
    #: Share of its normal work to send, from outlier detection.
    ease: float = 1.0

    @property
    def sequences(self) -> int:
        """Best guess of the sequences on the engine now."""
        return self.reported_sequences + self.unreported_sequences

    @property
    def prefill_backlog(self) -> float:
        """Best guess of the prompt tokens not yet processed."""
        return self.reported_tokens + self.unreported_tokens

    @property
    def long_backlog(self) -> float:
        """Best guess of the backlog that is in long prompts."""
        return self.reported_long_tokens + self.unreported_long_tokens

    def has_memory(self, kv_tokens: int) -> bool:
        """Return whether a sequence of so many tokens fits beside the rest.

        Without room an engine throws a running sequence out and reads it
        again later, beside the streams of all others.
        """
        if not self.kv_limit:
            return True
        return self.kv_tokens + kv_tokens <= KV_USE * self.kv_limit

    @property
    def kv_tokens(self) -> int:
        """Best guess of the tokens of KV cache that sequences hold."""
        return self.own_kv_tokens + self.reported_kv_tokens

    def is_long(self, tokens: float) -> bool:
        """Return whether a prompt of so much work is a long one here."""
        return tokens > LONG_PROMPT_S * self.speed.prefill_tokens_per_s
