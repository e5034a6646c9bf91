"""Body of the call to an engine, and the dependencies of relays."""

import dataclasses

import msgspec

from agatewing import _clock
from agatewing import _invariants
from agatewing import decisions
from agatewing.entry import _crashes
from agatewing.entry import _gate
from agatewing import fleet
from agatewing import net
from agatewing import timeline


class KvSource(msgspec.Struct, frozen=True):
    """Where an engine can fetch the KV cache of the prompt."""

    # IP address and port of the engine that holds the cache.
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
    # Position after which events are sent; 0 for the whole answer.
    start: int = msgspec.field(default=0, name="from")
    kv: KvSource | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayDependencies:
    """Dependencies that all relays share."""

    #: Engines and targets of the configuration in force.
    fleet: fleet.Fleet
    #: Clock for deadlines and pauses.
    clock: _clock.Clock
    #: Records the events of requests.
    events: timeline.EventRecorder
    #: Limits retries to a share of the first tries.
    retries: decisions.RetryBudget
    #: Checks invariants at run time.
    invariants: _invariants.Invariants
    #: Decides whether a request may be sent now.
    gate: _gate.Gate
    #: Keeps prompts from engines that would crash on them.
    crashes: _crashes.CrashGuard
    #: Memory for unfinished events and collected texts.
    room: net.BufferRoom
