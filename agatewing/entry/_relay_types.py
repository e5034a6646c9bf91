"""Calls to engines, and what every relay uses."""

import dataclasses

import msgspec

from agatewing import _clock
from agatewing import _invariants
from agatewing import decisions
from agatewing.entry import _gate
from agatewing import fleet
from agatewing import timeline


class KvSource(msgspec.Struct, frozen=True):
    """Where an engine can fetch the KV cache of the prompt."""

    # IP number and port of the engine.
    address: str
    # Id of the exported cache.
    id: str


class GenerateCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of the call to an engine; see docs/INTERFACES.md."""

    id: str
    model: str
    prompt: str
    max_tokens: int
    shape: str
    priority: int
    seed: int
    created: int
    start: int = msgspec.field(default=0, name="from")
    kv: KvSource | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayParts:
    """What every relay uses."""

    #: The fleet.
    fleet: fleet.Fleet
    #: The clock.
    clock: _clock.Clock
    #: The time line.
    events: timeline.Timeline
    #: Budget of retries.
    retries: decisions.RetryBudget
    #: Promises checked while running.
    invariants: _invariants.Invariants
    #: Whether work may leave the process.
    gate: _gate.Gate
