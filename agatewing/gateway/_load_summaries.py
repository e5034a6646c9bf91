"""Sums of the loads that the instances of a large fleet report.

In a small fleet a report reaches all other instances. In a large one it
reaches a few, so an instance would choose engines without knowing of most
requests at them. There, the instances of a zone send their reports to two
collectors as well. One of the two sums the reports up, exchanges the sums of
its zone with the collectors of the other zones, and sends the total to all
instances of its zone. The other one takes over when that one is silent. While
no total arrives, an instance uses the reports that reach it, as if there were
no collectors.

The first instances of a zone, by a hash of the names, are its collectors, so
none is elected. Each instance gets the load of all engines in a few datagrams
a period, however many instances there are.
"""

import collections
import collections.abc
import dataclasses
import math

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _load_sums
from agatewing.gateway import _peers
from agatewing.gateway import _ranks

#: Collectors of a zone: the one that sums up, and one that takes over.
COLLECTORS = 2
#: Time between two summaries, in seconds: an engine processes a long prompt
#: within that time, each instance of the zone decodes all of them, and those
#: for other zones are billed.
PERIOD_S = 0.2
#: Time between two rankings of the instances, in seconds.
RANK_PERIOD_S = 0.2
#: Reports that a collector gets in a second at most: it may have half of a
#: core. In larger zones each instance sends it fewer.
REPORTS_PER_S = 300.0
#: Silence of the first collector after which the second one sums up, in
#: seconds: some summaries in a row may be lost.
TAKE_OVER_S = 0.4
#: Age at which a total is not used any more, in seconds.
EXPIRE_AFTER_S = 0.6
#: The same for the sums of another zone: two of them in a row may be lost.
FAR_EXPIRE_AFTER_S = 0.7
#: Time that a report takes until it is in a total that arrives, in seconds.
#: What was reported later is no part of that total.
REPORT_LAG_S = 0.01
#: Largest number of placements in one part.
MAX_PLACEMENTS = 10
#: Placements that wait to be passed on, and their greatest age in seconds.
MAX_WAITING = 256
MAX_WAIT_S = 1.0
#: Own reports that are kept until totals contain them.
MAX_OWN_REPORTS = 16


class LoadSummaries:
    """Sums of the loads of a large fleet, as one instance takes part."""

    __slots__ = (
        "_name",
        "_zone",
        "_clock",
        "_known",
        "_zone_peers",
        "_total",
        "_far",
        "_collectors",
        "_zone_size",
        "_ranked_at",
        "_heard_at",
        "_reported_at",
        "_own_reports",
        "_summed_at",
        "_tried",
        "_near_waiting",
        "_far_waiting",
    )

    def __init__(
        self,
        name: str,
        zone: str,
        clock: _clock.Clock,
        known: collections.abc.Callable[
            [], collections.abc.Mapping[str, _peers.PeerEntry]
        ],
        zone_peers: collections.abc.Callable[
            [], collections.abc.Iterable[str]
        ],
    ) -> None:
        self._name = name
        self._zone = zone
        self._clock = clock
        # Returns the entries of the other instances by name.
        self._known = known
        # Returns the names of the other instances of the zone that live.
        self._zone_peers = zone_peers
        # Collectors of the zone, number of its instances, and the monotonic
        # time at which they were ranked.
        self._collectors: list[str] = []
        self._zone_size = 1
        self._ranked_at = -math.inf
        # Sums of all zones, and those of each other zone.
        self._total = _load_sums.Sums()
        self._far: dict[str, _load_sums.Sums] = {}
        # Monotonic time of the last total of each collector of the zone that
        # hears of the others.
        self._heard_at: dict[str, float] = {}
        # Monotonic time of the last report to the collectors, and the loads in
        # the last ones, by their monotonic times.
        self._reported_at = -math.inf
        self._own_reports: collections.deque[
            tuple[float, _load_sums.Loads]
        ] = collections.deque(maxlen=MAX_OWN_REPORTS)
        self._summed_at = -math.inf
        # Number of tries to reach zones that are not heard of.
        self._tried: dict[str, int] = {}
        # Placements to be passed on, by the monotonic time at which they came.
        self._near_waiting = _waiting()
        self._far_waiting = _waiting()

    @property
    def used(self) -> bool:
        """Whether the fleet is so large that summaries are exchanged."""
        return not _peers.full_view(len(self._known()) + 1)

    def collectors(self) -> list[str]:
        """Return the names of the collectors of the zone, the first first."""
        now = self._clock.monotonic()
        if now - self._ranked_at >= RANK_PERIOD_S:
            self._ranked_at = now
            names = [self._name, *self._zone_peers()]
            self._zone_size = len(names)
            self._collectors = _ranks.first(names, COLLECTORS)
            # One that has become the first has time to begin.
            self._heard_at.setdefault(self._collectors[0], now)
        return self._collectors

    def sums_up(self) -> bool:
        """Return whether this instance sums up for its zone now."""
        if not self.used:
            return False
        first, *others = self.collectors()
        if first == self._name:
            return True
        silent_s = self._clock.monotonic() - self._heard_at[first]
        return self._name in others and silent_s >= TAKE_OVER_S

    def receivers(self, loads: _load_sums.Loads) -> list[str]:
        """Return the addresses of the collectors that get the next report.

        ``loads`` are the loads in it. There are none while a report to them
        would come too soon after the last one.
        """
        if not self.used:
            return []
        now = self._clock.monotonic()
        collectors = self.collectors()
        if now - self._reported_at < self._zone_size / REPORTS_PER_S:
            return []
        self._reported_at = now
        self._own_reports.append((now, loads))
        known = self._known()
        return [
            known[name].address
            for name in collectors
            if name != self._name and name in known
        ]

    def record_placements(
        self,
        sender: str,
        placements: collections.abc.Sequence[decisions.Placement],
    ) -> None:
        """Keep placements that an instance of the zone published.

        They are passed on by the collector that sums up.
        """
        if not placements or not self.used or not self.in_zone(sender):
            return
        if self._name not in self.collectors():
            return
        now = self._clock.monotonic()
        for placement in placements:
            self._near_waiting.append((now, placement))
            self._far_waiting.append((now, placement))

    def in_zone(self, name: str) -> bool:
        """Return whether an instance is of the own zone, if it is known."""
        entry = self._known().get(name)
        return name == self._name or (
            entry is not None and entry.zone == self._zone
        )

    def receive(self, summary: _load_sums.Summary) -> None:
        """Take over a part of the total, or of the sums of another zone."""
        now = self._clock.monotonic()
        scope = summary.scope
        if scope.zone == self._zone:
            return
        if scope.zone:
            self._far.setdefault(scope.zone, _load_sums.Sums()).update(
                summary, now
            )
            for placement in summary.placements:
                self._near_waiting.append((now, placement))
            return
        total = self._total
        if (
            summary.collector != total.collector
            and scope.instances < total.instances
            and now - total.newest_at < TAKE_OVER_S
        ):
            # One that was cut off or paused hears of fewer instances.
            return
        total.update(summary, now)
        # One that hears of less than half of the zone is as good as silent.
        if 2 * scope.instances > self._zone_size:
            self._heard_at[summary.collector] = now

    def age_s(self) -> float:
        """Return the age of the total, in seconds; infinite if none came."""
        return self._clock.monotonic() - self._total.at

    def loads_of_others(self) -> _load_sums.Loads | None:
        """Return the load of all other instances, by engine.

        ``None`` while the total is incomplete or too old.
        """
        now = self._clock.monotonic()
        if not self.used or now - self._total.at >= EXPIRE_AFTER_S:
            return None
        loads = self._total.loads()
        for name, own in self._contained_report().items():
            if name in loads:
                loads[name] = loads[name].minus(own)
        return loads

    def _contained_report(self) -> _load_sums.Loads:
        """Return the own loads that the total contains."""
        if self._total.collector == self._name:
            lag_s = 0.0
        else:
            lag_s = REPORT_LAG_S
        contained: _load_sums.Loads = {}
        for at, loads in self._own_reports:
            if at > self._total.at - lag_s:
                break
            contained = loads
        return contained

    def demand(self, service: str) -> decisions.StreamDemand | None:
        """Return the demand for a service's engines at all instances.

        ``None`` while no recent total has it.
        """
        total = self._total
        if not self.used or self.age_s() >= EXPIRE_AFTER_S:
            return None
        demand = total.demand.get(service)
        if demand is None or not total.instances:
            return None
        missing = (len(self._known()) + 1) / total.instances
        return demand.times(max(1.0, missing))

    def accounts(self) -> decisions.AccountRates | None:
        """Return the requests of client accounts at all instances.

        ``None`` while no recent total has them.
        """
        if not self.used or self.age_s() >= EXPIRE_AFTER_S:
            return None
        return self._total.accounts

    def summarize(
        self,
        engines: collections.abc.Iterable[str],
        reports: collections.abc.Iterable[_load_sums.InstanceReport],
        own: _load_sums.InstanceReport,
    ) -> tuple[list[_load_sums.Summary], list[_load_sums.Summary]]:
        """Sum up; return the total, and the sums for the other zones.

        ``reports`` are the last ones of the other instances of the zone.
        Both are empty while they are not due.
        """
        now = self._clock.monotonic()
        if now - self._summed_at < PERIOD_S or not self.sums_up():
            return [], []
        self._summed_at = now
        self._own_reports.append((now, own.loads))
        parts = _load_sums.part_count(engines)
        zone = [own, *reports]
        far = [
            sums
            for sums in self._far.values()
            if now - sums.at < FAR_EXPIRE_AFTER_S
        ]
        loads = _load_sums.add_up(report.loads for report in zone)
        demand = _load_sums.add_up_demand(report.demand for report in zone)
        accounts = decisions.add_up_accounts(r.accounts for r in zone)
        total = self._split(
            _load_sums.Scope(
                "", len(zone) + sum(s.instances for s in far), 0, parts
            ),
            _load_sums.add_up([loads, *(sums.loads() for sums in far)]),
            _load_sums.add_up_demand([demand, *(s.demand for s in far)]),
            decisions.add_up_accounts([accounts, *(s.accounts for s in far)]),
            self._near_waiting,
        )
        for summary in total:
            self.receive(summary)
        scope = _load_sums.Scope(self._zone, len(zone), 0, parts)
        return total, self._split(
            scope, loads, demand, accounts, self._far_waiting
        )

    def _split(
        self,
        scope: _load_sums.Scope,
        loads: _load_sums.Loads,
        demand: _load_sums.Demand,
        accounts: decisions.AccountRates,
        waiting: collections.deque[tuple[float, decisions.Placement]],
    ) -> list[_load_sums.Summary]:
        """Return the parts of a summary; take placements that wait."""
        by_part: list[_load_sums.Loads] = [{} for _ in range(scope.parts)]
        for name, load in loads.items():
            by_part[_load_sums.part_of(name, scope.parts)][name] = load
        return [
            _load_sums.Summary(
                dataclasses.replace(scope, part=part),
                self._name,
                part_loads,
                demand if part == 0 else {},
                self._take(waiting),
                accounts if part == 0 else {},
            )
            for part, part_loads in enumerate(by_part)
        ]

    def _take(
        self, waiting: collections.deque[tuple[float, decisions.Placement]]
    ) -> tuple[decisions.Placement, ...]:
        now = self._clock.monotonic()
        while waiting and now - waiting[0][0] > MAX_WAIT_S:
            waiting.popleft()
        taken = [
            waiting.popleft() for _ in range(min(MAX_PLACEMENTS, len(waiting)))
        ]
        return tuple(
            dataclasses.replace(p, ready_s=max(0.0, p.ready_s - (now - at)))
            for at, p in taken
        )

    def zone_addresses(self) -> list[str]:
        """Return the addresses that get the total."""
        return [
            entry.address
            for entry in self._known().values()
            if entry.zone == self._zone
        ]

    def far_addresses(self) -> list[str]:
        """Return the addresses in other zones that get the own zone's sums.

        These are the instances that sum up there. In a zone that is not heard
        of they are tried by rank, two at a time: the first ones may be gone,
        and the one that gets the sums answers with its own.
        """
        now = self._clock.monotonic()
        known = self._known()
        by_zone: dict[str, list[str]] = {}
        for name, entry in known.items():
            if entry.zone != self._zone:
                by_zone.setdefault(entry.zone, []).append(name)
        chosen: list[str] = []
        for zone, names in by_zone.items():
            sums = self._far.get(zone)
            if sums is not None and now - sums.at < FAR_EXPIRE_AFTER_S:
                if sums.collector in known:
                    self._tried[zone] = 0
                    chosen.append(sums.collector)
                    continue
            tries = self._tried.get(zone, 0)
            self._tried[zone] = tries + 1
            # Every other time it is the first ones, as they may be back.
            begin = tries // 2 * COLLECTORS % len(names) if tries % 2 else 0
            ranked = _ranks.first(names, len(names))
            chosen += ranked[begin : begin + COLLECTORS]
        return [known[name].address for name in chosen]


def _waiting() -> collections.deque[tuple[float, decisions.Placement]]:
    return collections.deque(maxlen=MAX_WAITING)
