"""Divide an engine's batch slots among instances, unused ones included."""

import math

from agatewing.decisions import _engines


def own_share(slots: int, instances: int) -> int:
    """Return the batch slots of an engine reserved for each instance."""
    return max(1, math.ceil(slots / max(1, instances)))


def spare_share(load: _engines.EngineLoad, instances: int) -> int:
    """Return the free batch slots that this instance may use.

    The slots that look free are divided among all instances, as each of
    them sees the same outdated load report. Each instance may use at least
    one, unless fewer than two look free.
    """
    free = load.speed.slots - load.sequences
    if free <= 0:
        return 0
    return max(1, free // max(1, instances)) if free > 1 else 0


def credits(load: _engines.EngineLoad, instances: int) -> int:
    """Return the number of sequences that this instance may send now.

    It may fill its own share, or exceed it to use its part of the free
    slots.
    """
    own = own_share(load.speed.slots, instances) - load.own_sequences
    return max(own, spare_share(load, instances) - load.unreported_sequences)
