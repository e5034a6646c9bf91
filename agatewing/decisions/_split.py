"""Keep a share of the engines for decoding, and let the others prefill.

Pattern answered: prompts bind and answers are short. A prefill engine reads
twice as fast as one that decodes and holds up no stream, and one engine
decodes for a dozen callers at once. So as few engines decode as the loss of
one allows. Engines come and go; what is left is split anew.
"""

import collections
import collections.abc
import dataclasses

from agatewing import _types

#: Engines that decode at least: the loss of one leaves another.
LEAST_DECODE = 2


@dataclasses.dataclass(frozen=True, slots=True)
class SplitEngine:
    """An engine as the split sees it."""

    #: Name.
    name: str
    #: Availability zone.
    zone: str
    #: Role that it has, or was ordered to take.
    role: _types.Role
    #: Requests on it.
    sequences: int = 0
    #: Whether an order to it may still be carried out late.
    ordered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RoleMove:
    """One engine is to take a role."""

    #: The engine.
    engine: str
    #: Its new role.
    role: _types.Role


def decode_wanted(engines: int, decode_share: float) -> int:
    """Return how many of so many engines are to decode."""
    if engines < 2:
        return engines
    by_share = int(engines * decode_share + 0.5)
    return min(engines - 1, max(LEAST_DECODE, by_share))


def plan_split(
    engines: collections.abc.Sequence[SplitEngine], decode_share: float
) -> tuple[RoleMove, ...]:
    """Return the moves that make the split as wanted; none if it is."""
    decode = [e for e in engines if e.role is _types.Role.DECODE]
    prefill = [e for e in engines if e.role is _types.Role.PREFILL]
    wanted = decode_wanted(len(decode) + len(prefill), decode_share)
    if len(decode) > wanted:
        count = len(decode) - wanted
        return _moves(decode, count, _types.Role.PREFILL)
    return _moves(prefill, wanted - len(decode), _types.Role.DECODE)


def _moves(
    engines: list[SplitEngine], count: int, role: _types.Role
) -> tuple[RoleMove, ...]:
    """Move engines out of zones that have most of them, idle ones first."""
    left = list(engines)
    moves = []
    for _ in range(min(count, len(left))):
        zones = collections.Counter(e.zone for e in left)
        engine = min(
            left,
            key=lambda e: (
                not e.ordered,
                -zones[e.zone],
                e.sequences,
                e.name,
            ),
        )
        left.remove(engine)
        moves.append(RoleMove(engine.name, role))
    return tuple(moves)
