"""The parts of an instance that order numbers of engines."""

import collections.abc

from agatewing import _clock
from agatewing import duties
from agatewing import fleetlog
from agatewing.gateway import _capacity_view
from agatewing.gateway import _load_reports
from agatewing.gateway import _peers
from agatewing.gateway import _ranks
from agatewing.gateway import _settings
from agatewing.gateway import _target_registry


def build(
    settings: _settings.GatewaySettings,
    clock: _clock.Clock,
    log: fleetlog.FleetLog,
    era: fleetlog.LogEra,
    port: duties.CapacityPort,
    peers: _peers.Peers,
    load_reports: _load_reports.LoadReports,
    registry: _target_registry.TargetRegistry,
    view_current: collections.abc.Callable[[], bool],
    held: collections.abc.Callable[[], bool],
) -> duties.CapacityLoop:
    """Return the loop that orders engines at a port.

    ``view_current`` says whether the instance serves and reads the log,
    ``held`` whether operators hold the numbers where they are.
    """
    claims = duties.Claims(
        log,
        clock,
        duties.ClaimRecord(settings.instance, f"{clock.wall():.3f}"),
        settings.duties.holder_gap_ms / 1_000,
        era,
        fleetlog.Topic.CAPACITY,
    )

    def hears_peers() -> bool:
        # An instance that hears of no other one knows no demand.
        return not peers.known or bool(load_reports.alive())

    return duties.CapacityLoop(
        duties.CapacityContext(
            clock,
            port,
            claims,
            settings.instance,
            lambda: _ranks.rank(settings.instance, load_reports.alive()),
            lambda: view_current() and hears_peers(),
            lambda: _capacity_view.capacity_views(
                list(registry.pools.values()), load_reports.demand_of
            ),
            held,
            settings.duties.calls_per_s,
        )
    )
