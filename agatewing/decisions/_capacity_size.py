"""How many engines the demand for a service asks for."""

import collections
import dataclasses
import math

from agatewing.decisions import _decode_plan
from agatewing.decisions import _role_plan

#: Utilization of the busier role with the planned engines: callers come at
#: twice their mean for seconds, which has to be borne until more engines
#: serve.
ROOM_UTILIZATION = 0.5
#: Utilization from which more engines are ordered. Between the two, a burst of
#: a few seconds moves the average of the demand, but not the plan.
GROW_UTILIZATION = 0.65
#: Utilization by urgent requests alone of what two zones leave, at which a
#: prompt waits for about as long as it takes; objectives leave room for that.
URGENT_UTILIZATION = 0.8
#: Number of zones whose reclaimable engines may be taken away before others
#: serve: a second one within the time of a start, or none to be had at once.
LOST_ZONES = 2
#: Share of the demand that counts as urgent. Reports of demand do not tell
#: classes apart.
URGENT_SHARE = 0.5
#: Time over which the largest demand counts before fewer engines are planned,
#: in seconds: a mix of requests turns over within half a minute, and back in
#: as long.
HOLD_S = 60.0
#: Time for which the demand must be known before fewer are planned, in
#: seconds: the average of the demand is complete by then.
SETTLED_S = 10.0
#: Largest share of the planned number that a lower one may have.
SHRINK_SHARE = 0.85
#: Share of the time in which engines start for which a rise must last.
RISE_SHARE = 0.5
#: Least number of engines of each software version: decode engines, so that
#: the loss of one leaves another, and one that prefills.
FLOOR = _role_plan.MIN_DECODE_ENGINES + 1
#: Time without a plan after which the demand counts as unknown again, in
#: seconds: plans are made several times a second.
GAP_S = 2.0
#: Largest number of engines that is considered.
MOST = 4_096


def engines_for(
    needs: _decode_plan.RoleNeeds, utilization: float, floor: int
) -> int:
    """Return the least number of engines with at most a utilization."""
    low, high = floor, floor
    while high < MOST and _utilization(needs, high) > utilization:
        low, high = high + 1, high * 2
    while low < high:
        middle = (low + high) // 2
        if _utilization(needs, middle) > utilization:
            low = middle + 1
        else:
            high = middle
    return low


def _utilization(needs: _decode_plan.RoleNeeds, engines: int) -> float:
    split = needs.best_split(engines, _role_plan.MIN_DECODE_ENGINES)
    return needs.utilization(engines, split)


def _urgent(needs: _decode_plan.RoleNeeds) -> _decode_plan.RoleNeeds:
    """Return the part of the needs that urgent requests cause."""
    return dataclasses.replace(
        needs,
        prefill=needs.prefill * URGENT_SHARE,
        decode=needs.decode * URGENT_SHARE,
        either=needs.either * URGENT_SHARE,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class FleetSize:
    """Number of engines of a service."""

    #: Number of all engines.
    total: int
    #: Number of those that are lasting.
    lasting: int


def lasting_for(total: int, urgent: int, zones: int, floor: int) -> int:
    """Return how many of ``total`` engines have to be lasting.

    So that ``urgent`` ones are left when the reclaimable engines of
    ``LOST_ZONES`` of ``zones`` are taken away.
    """
    kept = max(0, zones - LOST_ZONES) / max(1, zones)
    lasting = math.ceil((urgent - kept * total) / (1 - kept))
    return min(total, max(floor, lasting))


class SizePlanner:
    """Plans the number of engines by the demand, without haste downwards."""

    __slots__ = ("_size", "_zones", "_known_since", "_rise_since", "_asked")

    def __init__(self, engines: int, zones: int) -> None:
        """Begin with a number of engines in a number of zones.

        For want of knowledge, all of them count as needed.
        """
        self._zones = zones
        self._size = FleetSize(0, 0)
        # Monotonic times, in seconds, since when the demand is known, and
        # since when it has asked for more engines.
        self._known_since: float | None = None
        self._rise_since: float | None = None
        # Time, and sizes that the demand asked for.
        self._asked: collections.deque[tuple[float, FleetSize]] = (
            collections.deque()
        )
        self.raise_to(engines)

    @property
    def size(self) -> FleetSize:
        """The planned size."""
        return self._size

    def adopt(self, size: FleetSize) -> None:
        """Go on with the size that another instance planned."""
        self._size = size

    def raise_to(self, engines: int) -> bool:
        """Plan at least as many engines; return whether that are more."""
        size = self._size
        if engines <= size.total:
            return False
        urgent = math.ceil(URGENT_SHARE * engines)
        lasting = lasting_for(engines, urgent, self._zones, FLOOR)
        self._size = FleetSize(engines, max(size.lasting, lasting))
        return True

    def settled(self, now: float) -> bool:
        """Return whether the demand is known well enough to plan fewer."""
        known = self._known_since
        return known is not None and now - known >= SETTLED_S

    def follow(
        self,
        needs: _decode_plan.RoleNeeds | None,
        versions: int,
        boot_s: float,
        now: float,
    ) -> FleetSize:
        """Return the size at a monotonic time; ``needs`` if they are known.

        Times are in seconds. Where they are not known, the size stays.
        """
        if self._asked and now - self._asked[-1][0] > GAP_S:
            # It was cut off or stood still, and hears of a part at first.
            self._forget()
        if needs is None:
            self._forget()
            return self._size
        if self._known_since is None:
            self._known_since = now
        floor = FLOOR * max(1, versions)
        total = engines_for(needs, ROOM_UTILIZATION, floor)
        urgent = engines_for(_urgent(needs), URGENT_UTILIZATION, floor)
        asked = FleetSize(
            total, lasting_for(total, urgent, self._zones, floor)
        )
        self._asked.append((now, asked))
        while now - self._asked[0][0] > HOLD_S:
            self._asked.popleft()
        self._grow(needs, asked, floor, boot_s, now)
        if self.settled(now):
            self._shrink()
        return self._size

    def _forget(self) -> None:
        self._known_since = self._rise_since = None
        self._asked.clear()

    def _grow(
        self,
        needs: _decode_plan.RoleNeeds,
        asked: FleetSize,
        floor: int,
        boot_s: float,
        now: float,
    ) -> None:
        """Plan more engines once a rise has lasted."""
        size = self._size
        least = FleetSize(
            engines_for(needs, GROW_UTILIZATION, floor),
            math.ceil(asked.lasting * SHRINK_SHARE),
        )
        if least.total <= size.total and least.lasting <= size.lasting:
            self._rise_since = None
            return
        if self._rise_since is None:
            self._rise_since = now
        if now - self._rise_since < RISE_SHARE * boot_s:
            return
        self._size = FleetSize(
            max(size.total, asked.total), max(size.lasting, asked.lasting)
        )
        self._rise_since = None

    def _shrink(self) -> None:
        """Plan fewer engines where the last minute needed fewer."""
        total = max(size.total for _, size in self._asked)
        lasting = max(size.lasting for _, size in self._asked)
        size = self._size
        if total > SHRINK_SHARE * size.total:
            total = size.total
        if lasting > SHRINK_SHARE * size.lasting:
            lasting = size.lasting
        self._size = FleetSize(total, min(lasting, total))
