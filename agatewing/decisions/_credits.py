"""Split an engine's batch among instances; lend what is unused."""

import math

from agatewing.decisions import _engines


def own_share(slots: int, instances: int) -> int:
    """Return sequences of one engine that an instance may always have."""
    return max(1, math.ceil(slots / max(1, instances)))


def lendable(load: _engines.EngineLoad, instances: int) -> int:
    """Return sequences beyond the own share that may be sent now.

    What looks free is split among all instances again, as each of them
    sees the same old report.
    """
    free = load.speed.slots - load.sequences
    if free <= 0:
        return 0
    return max(1, free // max(1, instances)) if free > 1 else 0


def credits(load: _engines.EngineLoad, instances: int) -> int:
    """Return the sequences that this instance may send now."""
    own = own_share(load.speed.slots, instances) - load.own_sequences
    return max(own, lendable(load, instances) - load.unreported_sequences)
