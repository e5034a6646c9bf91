"""What the capacity plan reads of services, engines and demand."""

import collections.abc

from agatewing import decisions
from agatewing.gateway import _target_registry


def capacity_views(
    pools: collections.abc.Iterable[_target_registry.Pool],
    demand_of: collections.abc.Callable[
        [_target_registry.Pool], decisions.StreamDemand | None
    ],
) -> list[decisions.CapacityView]:
    """Return the services whose engines can be ordered."""
    views = []
    for pool in pools:
        scaling = pool.service.scaling
        if scaling is None or pool.service.engines is None:
            # The demand for plain services is not known.
            continue
        engines = pool.engine_class()
        demand = demand_of(pool)
        needs = None
        if demand is not None and engines is not None:
            needs = decisions.role_needs(demand, engines)
        views.append(
            decisions.CapacityView(
                pool.name,
                scaling,
                _zones(pool, scaling),
                needs,
                len(pool.versions()),
            )
        )
    return views


def _zones(
    pool: _target_registry.Pool, scaling: decisions.Scaling
) -> dict[str, decisions.ZoneEngines]:
    """Return the engines of a pool by zone."""
    targets = [tracked.target for tracked in pool.engines.values()]
    zones = {}
    for zone in {*scaling.zone_prices, *(t.zone for t in targets)}:
        own = [t for t in targets if t.zone == zone]
        active = [t for t in own if t.active]
        reclaimable = sum(t.reclaimable for t in active)
        zones[zone] = decisions.ZoneEngines(
            len(active) - reclaimable,
            reclaimable,
            sum(
                t.reclaimable and not t.active and t.leaves_in_s is not None
                for t in own
            ),
        )
    return zones
