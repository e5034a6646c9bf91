"""What the capacity plan is told of engines."""

import dataclasses
import random

import pytest

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing import gateway
from agatewing.gateway import _capacity_view
from agatewing.gateway import _contracts
from agatewing.gateway import _target_registry

SCALING = decisions.Scaling(1, 9, 4.0, 0.2, {"a": 1.0, "b": 1.2})
ENGINES = gateway.EngineProperties(64, 500_000, 1, 1e9)
CHAT = _contracts.Service("chat", 100, ENGINES, SCALING)


def registry_of(
    service: _contracts.Service, *targets: gateway.Target
) -> _target_registry.TargetRegistry:
    registry = _target_registry.TargetRegistry(
        _clock.ManualClock(),
        random.Random(1),
        decisions.Speed(60_000, step_base_s=0.005, slots=64),
        "me",
    )
    registry.apply({service.name: service}, {t.id: t for t in targets})
    return registry


def views(
    registry: _target_registry.TargetRegistry,
) -> list[decisions.CapacityView]:
    return _capacity_view.capacity_views(
        registry.pools.values(), lambda pool: None
    )


def test_engines_count_by_zone_kind_and_departure() -> None:
    lasting = gateway.Target(
        "e1",
        "chat",
        "10.0.0.1:80",
        "a",
        _types.TargetState.ACTIVE,
        64,
        _types.Role.DECODE,
    )
    reclaimable = dataclasses.replace(lasting, id="e2", reclaimable=True)
    draining = dataclasses.replace(
        reclaimable, id="e3", state=_types.TargetState.DRAINING
    )
    reclaimed = dataclasses.replace(draining, id="e4", leaves_in_s=2.5)
    registry = registry_of(CHAT, lasting, reclaimable, draining, reclaimed)
    (view,) = views(registry)
    assert view.zones == {
        "a": decisions.ZoneEngines(1, 1, 1),
        "b": decisions.ZoneEngines(),
    }
    assert view.needs is None


def test_a_service_that_lost_all_engines_is_still_planned() -> None:
    (view,) = views(registry_of(CHAT))
    assert (set(view.zones), view.active) == ({"a", "b"}, 0)


@pytest.mark.parametrize(
    "service",
    (
        dataclasses.replace(CHAT, scaling=None),
        dataclasses.replace(CHAT, engines=None),
    ),
)
def test_others_are_left_alone(service: _contracts.Service) -> None:
    assert views(registry_of(service)) == []
