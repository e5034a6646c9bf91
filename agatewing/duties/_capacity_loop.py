"""Orders numbers of engines as the capacity plan asks.

Every instance of a low rank plans, so that it knows the demand of the last
minute when it takes over; one of them sends, under a claim. The claim's
record holds the planned numbers, with which the next holder goes on.
"""

import collections
import collections.abc
import dataclasses
import logging

from agatewing import _clock
from agatewing import _metrics
from agatewing import decisions
from agatewing.duties import _capacity_ports
from agatewing.duties import _claims

_log = logging.getLogger("agatewing.capacity")

#: Time between two plans, in seconds: an eighth of the time in which engines
#: start.
PERIOD_S = 0.5
#: Number of instances, by rank, that plan and may send; more would only add
#: reads of the log.
ORDERING_INSTANCES = 3
#: Additional delay per rank before an instance sends, in seconds: an order of
#: the holder shows after the start of an engine and its announcement.
NEXT_RANK_DELAY_S = 7.0
#: Share of the calls which the platform takes that orders of engines use;
#: other duties have other holders.
CALL_SHARE = 0.5
#: First and longest pause after a call that was not taken, in seconds.
FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 8.0
#: Longest time for which engines that come or leave keep roles as they are, in
#: seconds: a start and the departure of others.
CHANGE_LIMIT_S = 10.0
#: Figures in the record of a claim, behind the name of the service.
TOTAL = " total"
LASTING = " lasting"


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityContext:
    """What the loop reads and uses."""

    #: The clock.
    clock: _clock.Clock
    #: Sends the orders.
    port: _capacity_ports.CapacityPort
    #: Acquires the right to send them.
    claims: _claims.Claims
    #: Name of the instance.
    name: str
    #: Returns the instance's rank among those that are alive; 0 is the first.
    rank: collections.abc.Callable[[], int]
    #: Returns whether the view of engines and demand is up to date.
    view_current: collections.abc.Callable[[], bool]
    #: Returns the services whose engines can be ordered.
    views: collections.abc.Callable[[], list[decisions.CapacityView]]
    #: Returns whether the operators hold the numbers where they are.
    held: collections.abc.Callable[[], bool]
    #: Calls a second that the platform takes from all instances, for all
    #: duties.
    calls_per_s: float


class CapacityLoop:
    """Plans the engines of all services, and orders them in its turn."""

    __slots__ = (
        "_context",
        "_planners",
        "_adopted",
        "_due_since",
        "_pause_until",
        "_pause_s",
        "_views",
        "_wanted",
        "_reclaims",
        "_was_leaving",
        "_differs_since",
        "outcomes",
    )

    def __init__(self, context: CapacityContext) -> None:
        self._context = context
        self._planners: dict[str, decisions.CapacityPlanner] = {}
        # Figures of the last claim of another instance.
        self._adopted: dict[str, float] = {}
        # Monotonic times, in seconds: since when orders are due, and until
        # when none is sent.
        self._due_since: float | None = None
        self._pause_until = float("-inf")
        self._pause_s = FIRST_PAUSE_S
        # The last views and plans, by service.
        self._views: dict[str, decisions.CapacityView] = {}
        self._wanted: dict[
            str, collections.abc.Mapping[decisions.Place, int]
        ] = {}
        # Engines that were announced to be taken away, by service and zone.
        self._reclaims: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._was_leaving: dict[tuple[str, str], int] = {}
        # Monotonic time, in seconds, since when the engines are not those that
        # are wanted, by service.
        self._differs_since: dict[str, float] = {}
        #: Number of orders by their outcome.
        self.outcomes: collections.Counter[str] = collections.Counter()

    def run(self) -> None:
        """Plan periodically, forever."""
        while True:
            self._context.clock.sleep(PERIOD_S)
            self.step()

    def step(self) -> None:
        """Plan once, and send the orders that are due."""
        context = self._context
        if not context.view_current():
            # With an outdated view, engines may only seem to be gone.
            self._due_since = None
            return
        rank = context.rank()
        if rank >= ORDERING_INSTANCES:
            self._planners.clear()
            self._wanted.clear()
            self._differs_since.clear()
            self._due_since = None
            return
        views = context.views()
        if not views:
            return
        context.claims.prepare()
        now = context.clock.monotonic()
        orders = self._plan(views, now)
        if not orders or context.held():
            self._due_since = None
            return
        if self._due_since is None:
            self._due_since = now
        waited_s = now - self._due_since
        if waited_s < NEXT_RANK_DELAY_S * rank or now < self._pause_until:
            return
        self._send(orders)

    def is_changing(self, service: str) -> bool:
        """Return whether engines of a service come or leave soon.

        As the plan has it, also where another instance sends the orders; for
        ``CHANGE_LIMIT_S`` at most.
        """
        since = self._differs_since.get(service)
        now = self._context.clock.monotonic()
        return since is not None and now - since < CHANGE_LIMIT_S

    def collect(self, metrics: _metrics.Metrics) -> None:
        """Set the metrics of wanted, present and reclaimed engines."""
        name = "agatewing_capacity_engines"
        text = "Engines by service, zone and kind: wanted and present"
        for service, view in self._views.items():
            for zone, engines in view.zones.items():
                for kind in decisions.EngineKind:
                    place = decisions.Place(zone, kind)
                    labels = {
                        "service": service,
                        "zone": zone,
                        "kind": str(kind),
                    }
                    wanted = self._wanted.get(service, {}).get(place, 0)
                    metrics.gauge(name, text, wanted, what="wanted", **labels)
                    metrics.gauge(
                        name,
                        text,
                        engines.active(kind),
                        what="present",
                        **labels,
                    )
        for (service, zone), count in self._reclaims.items():
            metrics.counter(
                "agatewing_engines_reclaimed_total",
                "Engines that were announced to be taken away",
                count,
                service=service,
                zone=zone,
            )
        metrics.counters(
            "agatewing_capacity_orders_total",
            "Orders for numbers of engines, by outcome",
            "outcome",
            self.outcomes,
        )

    def _plan(
        self, views: list[decisions.CapacityView], now: float
    ) -> list[decisions.EngineOrder]:
        """Return the orders that are due for all services."""
        adopted = self._context.claims.ordered_split()
        is_new = adopted != self._adopted
        self._adopted = adopted
        orders: list[decisions.EngineOrder] = []
        self._views = {view.service: view for view in views}
        for view in views:
            self._count_reclaims(view)
            planner = self._planners.get(view.service)
            is_first = planner is None
            if planner is None:
                planner = decisions.CapacityPlanner()
                self._planners[view.service] = planner
            if is_new or is_first:
                _adopt(planner, view.service, adopted)
            plan = planner.plan(view, now)
            self._wanted[view.service] = plan.wanted
            if plan.fits(view):
                self._differs_since.pop(view.service, None)
            else:
                self._differs_since.setdefault(view.service, now)
            orders.extend(plan.orders)
        return orders

    def _count_reclaims(self, view: decisions.CapacityView) -> None:
        for zone, engines in view.zones.items():
            key = (view.service, zone)
            new = engines.leaving - self._was_leaving.get(key, 0)
            self._was_leaving[key] = engines.leaving
            if new > 0:
                self._reclaims[key] += new
                _log.info(
                    "capacity: engines are taken away",
                    extra={
                        "service": view.service,
                        "zone": zone,
                        "count": new,
                    },
                )

    def _send(self, orders: list[decisions.EngineOrder]) -> None:
        """Send orders under a claim, until one is not taken."""
        context = self._context
        figures: dict[str, float] = {}
        for service, planner in self._planners.items():
            if planner.size is not None:
                figures[service + TOTAL] = planner.size.total
                figures[service + LASTING] = planner.size.lasting
        claim = context.claims.acquire(figures)
        if claim is None:
            return
        for number, order in enumerate(orders):
            if number:
                context.clock.sleep(1 / (CALL_SHARE * context.calls_per_s))
            if not context.claims.valid(claim):
                return
            if not self._send_one(order, claim):
                return

    def _send_one(
        self, order: decisions.EngineOrder, claim: _claims.Claim
    ) -> bool:
        """Send one order; return whether more may be sent."""
        context = self._context
        outcome = context.port.order_engines(
            order,
            context.name,
            claim.token,
            lambda: context.claims.valid(claim),
        )
        now = context.clock.monotonic()
        self.outcomes[outcome] += 1
        self._log_order(order, claim, outcome)
        planner = self._planners[order.service]
        boot_s = self._views[order.service].scaling.boot_s
        match outcome:
            case _capacity_ports.OrderOutcome.ACCEPTED:
                planner.record_given(order, now)
                self._pause_s = FIRST_PAUSE_S
                return True
            case (
                _capacity_ports.OrderOutcome.NONE_THERE
                | _capacity_ports.OrderOutcome.REFUSED
            ):
                planner.record_none_there(order, boot_s, now)
                return True
            case _capacity_ports.OrderOutcome.UNKNOWN:
                # It may have been taken, and the same number changes nothing.
                planner.record_given(order, now)
        self._pause_until = now + self._pause_s
        self._pause_s = min(2 * self._pause_s, LONGEST_PAUSE_S)
        return False

    def _log_order(
        self,
        order: decisions.EngineOrder,
        claim: _claims.Claim,
        outcome: _capacity_ports.OrderOutcome,
    ) -> None:
        view = self._views[order.service]
        needs = view.needs
        size = self._planners[order.service].size
        _log.info(
            "capacity: engines ordered",
            extra={
                "service": order.service,
                "zone": order.place.zone,
                "kind": str(order.place.kind),
                "count": order.count,
                "present": order.before,
                "reason": order.reason,
                "outcome": str(outcome),
                "token": claim.token,
                "engines": view.active,
                "planned": size.total if size else 0,
                "planned_lasting": size.lasting if size else 0,
                "busy_prefill": round(needs.prefill, 2) if needs else None,
                "busy_decode": round(needs.decode, 2) if needs else None,
                "busy_either": round(needs.either, 2) if needs else None,
            },
        )


def _adopt(
    planner: decisions.CapacityPlanner,
    service: str,
    figures: collections.abc.Mapping[str, float],
) -> None:
    """Have a planner go on with the figures of the last claim, if any."""
    total = int(figures.get(service + TOTAL, 0))
    lasting = int(figures.get(service + LASTING, 0))
    if 0 < lasting <= total:
        planner.adopt(decisions.FleetSize(total, lasting))
