"""Which engines change their roles, so that enough of them decode.

How many are to decode is planned by demand, see
:mod:`agatewing.decisions._decode_plan`; that plan is for gateway/, where an
engine prefills or decodes. control/ plans roles one engine at a time, mixed
ones included, see :mod:`agatewing.decisions._roles`.
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
    #: Version of its software.
    software: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class RoleMove:
    """The role of one engine is to be changed."""

    #: Name of the engine.
    engine: str
    #: Its new role.
    role: _types.Role


def plan_roles(
    engines: collections.abc.Sequence[RolePlanEngine], wanted: int
) -> tuple[RoleMove, ...]:
    """Return the role changes after which ``wanted`` engines decode.

    Only engines of role prefill or decode are counted and changed. Streams
    cannot go on at an engine of another software version, so a version that
    decodes gets a second decode engine if it can.
    """
    decode = [e for e in engines if e.role is _types.Role.DECODE]
    prefill = [e for e in engines if e.role is _types.Role.PREFILL]
    if len(decode) > wanted:
        if _awaits_replacement(decode):
            return ()
        return _fewer_decode_engines(decode, len(decode) - wanted)
    missing = wanted - len(decode)
    if not missing and _can_pair(decode, prefill):
        # The surplus is removed afterwards, from a version with a single
        # decode engine.
        missing = 1
    return _more_decode_engines(decode, prefill, missing)


def _awaits_replacement(decode: list[RolePlanEngine]) -> bool:
    """Return whether an engine was ordered to decode beside another version.

    Until it decodes, none is taken away.
    """
    versions = {e.software for e in decode}
    return len(versions) > 1 and any(e.ordered for e in decode)


def _can_pair(
    decode: list[RolePlanEngine], prefill: list[RolePlanEngine]
) -> bool:
    """Return whether one more decode engine would pair a single one.

    A single one is the only decode engine of its software version beside
    those of other versions. One engine must remain for prefill.
    """
    decoding = collections.Counter(e.software for e in decode)
    if len(decoding) < 2 or len(prefill) < 2:
        return False
    return any(decoding[e.software] == 1 for e in prefill)


def _more_decode_engines(
    decode: list[RolePlanEngine], prefill: list[RolePlanEngine], count: int
) -> tuple[RoleMove, ...]:
    """Choose ``count`` prefill engines that are to decode.

    Engines of a version with a single decode engine come first, then those
    of versions that decode, then those of the version with most engines.
    """
    decoding = collections.Counter(e.software for e in decode)
    totals = collections.Counter(e.software for e in (*decode, *prefill))
    remaining = list(prefill)
    moves = []
    for _ in range(min(count, len(remaining))):
        engine = _choose(
            remaining,
            {
                software: (
                    {0: 2, 1: 0}.get(decoding[software], 1),
                    -total,
                )
                for software, total in totals.items()
            },
        )
        remaining.remove(engine)
        decoding[engine.software] += 1
        moves.append(RoleMove(engine.name, _types.Role.DECODE))
    return tuple(moves)


def _fewer_decode_engines(
    decode: list[RolePlanEngine], count: int
) -> tuple[RoleMove, ...]:
    """Choose up to ``count`` decode engines that are to prefill.

    The only decode engine of a version comes first, then those of versions
    with three or more. A pair is left whole, as one engine too many, if
    engines of another version decode too.
    """
    decoding = collections.Counter(e.software for e in decode)
    remaining = list(decode)
    moves = []
    for _ in range(count):
        engine = _choose(
            remaining,
            {
                software: ({1: 0, 2: 2}.get(number, 1), 0)
                for software, number in decoding.items()
            },
        )
        remaining.remove(engine)
        decoding[engine.software] -= 1
        moves.append(RoleMove(engine.name, _types.Role.PREFILL))
    splits_pair = decoding[engine.software] == 1
    if splits_pair and len(remaining) > 1:
        moves.pop()
    return tuple(moves)


def _choose(
    engines: list[RolePlanEngine],
    ranks: collections.abc.Mapping[str, tuple[int, int]],
) -> RolePlanEngine:
    """Return the engine to move next; ``ranks`` are by software version.

    Within a rank, engines with an outstanding order come first, then those
    of the zone with most candidates, then those with the fewest requests.
    """
    zones = collections.Counter(e.zone for e in engines)
    return min(
        engines,
        key=lambda e: (
            ranks[e.software],
            not e.ordered,
            -zones[e.zone],
            e.sequences,
            e.name,
        ),
    )
