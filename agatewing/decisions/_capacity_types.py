"""What plans of the number of engines read and return."""

import collections.abc
import dataclasses
import enum

from agatewing.decisions import _decode_plan


class EngineKind(enum.StrEnum):
    """Whether an engine may be taken away."""

    #: Runs until it is ordered away.
    LASTING = "lasting"
    #: May be taken away, together with all others of its kind in its zone.
    RECLAIMABLE = "reclaimable"


@dataclasses.dataclass(frozen=True, slots=True)
class Scaling:
    """What operators allow and pay for the engines of a service."""

    #: Least number of engines in a zone, of both kinds together.
    least: int
    #: Largest number of engines in a zone, of both kinds together.
    most: int
    #: Time from an order until new engines serve, in seconds.
    boot_s: float
    #: Price of a reclaimable engine as a share of that of a lasting one;
    #: ``None`` if there are none.
    reclaimable_price: float | None = None
    #: Price of an engine by zone, in relation to each other; 1 if not named.
    zone_prices: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def offers_reclaimable(self) -> bool:
        """Whether there are reclaimable engines, and they cost less."""
        price = self.reclaimable_price
        return price is not None and price < 1


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneEngines:
    """The engines of one service in one zone."""

    #: Number of lasting engines that take requests.
    lasting: int = 0
    #: Number of reclaimable engines that take requests.
    reclaimable: int = 0
    #: Number of reclaimable engines that are about to be taken away.
    leaving: int = 0

    def active(self, kind: EngineKind) -> int:
        """Return the number of engines of a kind that take requests."""
        if kind is EngineKind.LASTING:
            return self.lasting
        return self.reclaimable


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityView:
    """What one plan of a service reads."""

    #: Name of the service.
    service: str
    #: What its operators allow.
    scaling: Scaling
    #: Its engines by zone; every zone in which it may run is named.
    zones: collections.abc.Mapping[str, ZoneEngines]
    #: Engines that the demand keeps busy; ``None`` if it is not known.
    needs: _decode_plan.RoleNeeds | None
    #: Number of software versions, each of which needs both roles.
    versions: int = 1

    @property
    def active(self) -> int:
        """Number of all engines that take requests."""
        return sum(z.lasting + z.reclaimable for z in self.zones.values())

    def price(self, zone: str) -> float:
        """Return the price of an engine in a zone, in relation to others."""
        return self.scaling.zone_prices.get(zone, 1.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """A zone and a kind of engine, for which one number is ordered."""

    #: Availability zone.
    zone: str
    #: Kind of engine.
    kind: EngineKind


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """A number of engines to order."""

    #: Service.
    service: str
    #: Zone and kind.
    place: Place
    #: Number of engines of that kind that are to run there.
    count: int
    #: Number of them that take requests now.
    before: int
    #: Why, for operators.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityPlan:
    """What is wanted, and the orders that are due."""

    #: Number of engines that are to run.
    wanted: collections.abc.Mapping[Place, int]
    #: Orders that are due now.
    orders: tuple[EngineOrder, ...] = ()

    def fits(self, view: CapacityView) -> bool:
        """Return whether the engines are those that are wanted."""
        return all(
            view.zones[place.zone].active(place.kind) == count
            for place, count in self.wanted.items()
        )
