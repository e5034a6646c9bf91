"""Role plan with a fixed share of decode engines; the others prefill.

This suits load whose bottleneck is prompts, with short answers. A prefill
engine processes prompts twice as fast as a decode engine and delays no
stream, and one engine decodes for a dozen callers at once. So the share of
decode engines can be small. Of three or more engines at least two decode, to
bear the loss of one. The plan is made again whenever engines are added or
lost.

gateway/ uses this plan; control/ uses the plan by demand, see
:mod:`agatewing.decisions._roles`.
"""

import collections
import collections.abc
import dataclasses

from agatewing import _types

#: Smallest number of decode engines, so that the loss of one leaves another.
MIN_DECODE_ENGINES = 2


@dataclasses.dataclass(frozen=True, slots=True)
class RolePlanEngine:
    """What :func:`plan_roles` reads of an engine."""

    #: Name.
    name: str
    #: Availability zone.
    zone: str
    #: Role that it has, or was ordered to take.
    role: _types.Role
    #: Number of requests on it.
    sequences: int = 0
    #: Whether an earlier order to change its role may still be carried out.
    ordered: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RoleMove:
    """The role of one engine is to be changed."""

    #: Name of the engine.
    engine: str
    #: Its new role.
    role: _types.Role


def wanted_decode_engines(engines: int, decode_share: float) -> int:
    """Return the number of engines that are to decode.

    ``engines`` is the number of all engines.
    """
    if engines < 2:
        return engines
    by_share = int(engines * decode_share + 0.5)
    return min(engines - 1, max(MIN_DECODE_ENGINES, by_share))


def plan_roles(
    engines: collections.abc.Sequence[RolePlanEngine], decode_share: float
) -> tuple[RoleMove, ...]:
    """Return the role changes that lead to the wanted share.

    Only engines of role prefill or decode are counted and changed.
    """
    decode = [e for e in engines if e.role is _types.Role.DECODE]
    prefill = [e for e in engines if e.role is _types.Role.PREFILL]
    wanted = wanted_decode_engines(len(decode) + len(prefill), decode_share)
    if len(decode) > wanted:
        count = len(decode) - wanted
        return _choose_moves(decode, count, _types.Role.PREFILL)
    return _choose_moves(prefill, wanted - len(decode), _types.Role.DECODE)


def _choose_moves(
    engines: list[RolePlanEngine], count: int, role: _types.Role
) -> tuple[RoleMove, ...]:
    """Choose ``count`` engines that are to change to ``role``.

    Engines with an outstanding order come first, then those of the zone
    with most candidates, then those with the fewest requests.
    """
    remaining = list(engines)
    moves = []
    for _ in range(min(count, len(remaining))):
        zones = collections.Counter(e.zone for e in remaining)
        engine = min(
            remaining,
            key=lambda e: (
                not e.ordered,
                -zones[e.zone],
                e.sequences,
                e.name,
            ),
        )
        remaining.remove(engine)
        moves.append(RoleMove(engine.name, role))
    return tuple(moves)
