"""Writes the load reports of this instance, and its summaries.

What a report carries is listed in :mod:`agatewing.gateway._load_reports`.
"""

from agatewing import _clock
from agatewing import decisions
from agatewing.gateway import _catalog
from agatewing.gateway import _load_summaries
from agatewing.gateway import _load_sums
from agatewing.gateway import _quarantine
from agatewing.gateway import _report_fields
from agatewing.gateway import _target_registry
from agatewing import wire

#: Largest datagram, in bytes; a report is shortened to fit.
DATAGRAM_BYTES = 1_400
#: Largest number of engines in one report, so that it fits into a datagram.
MAX_ENGINES = 30
#: Largest numbers of prefix cache placements and of engines that change
#: roles in one report, for the same reason.
MAX_PLACEMENTS = 12
MAX_ROLE_CHANGES = 8


class ReportWriter:
    """Writes reports, each with a higher number than the one before."""

    __slots__ = (
        "_name",
        "_clock",
        "_catalog",
        "_registry",
        "_codec",
        "_index",
        "_quarantine",
        "_summaries",
        "_accounts",
        "_sequence",
        "tells_wall",
    )

    def __init__(
        self,
        name: str,
        clock: _clock.Clock,
        catalog: _catalog.Catalog,
        registry: _target_registry.TargetRegistry,
        codec: wire.Codec,
        index: decisions.PlacementIndex,
        quarantine: _quarantine.Quarantine,
        summaries: _load_summaries.LoadSummaries,
        accounts: decisions.AccountDemandMeter,
    ) -> None:
        self._accounts = accounts
        self._name = name
        self._clock = clock
        self._catalog = catalog
        self._registry = registry
        self._codec = codec
        self._index = index
        self._quarantine = quarantine
        self._summaries = summaries
        #: Whether reports carry the wall time of this instance.
        self.tells_wall = False
        # Wall time, so that numbers of a new incarnation are higher than those
        # of the earlier ones.
        self._sequence = int(clock.wall() * 1_000)

    def own_load(self) -> list[wire.EngineWork]:
        # In the gateway, ``reported_`` fields hold the load of other instances
        # and ``unreported_`` fields the whole load of this one.
        loads = []
        for name, tracked in self._registry.by_id.items():
            load = tracked.load
            if load.own_sequences and tracked.target.role is not None:
                loads.append(
                    wire.EngineWork(
                        engine=name,
                        tokens=max(0, int(load.unreported_tokens)),
                        sequences=load.own_sequences,
                        long_tokens=max(0, int(load.unreported_long_tokens)),
                        kv_tokens=load.own_kv_tokens,
                    )
                )
        return loads[:MAX_ENGINES]

    def encode(
        self,
        loads: list[wire.EngineWork],
        begun: list[wire.StreamBegin],
    ) -> bytes:
        """Return the next report, shortened if it exceeds a datagram."""
        record = self._report(loads)
        record.changing = self._registry.own_role_changes()[:MAX_ROLE_CHANGES]
        record.held = self._placements()
        record.begun = begun
        record.suspects = self._quarantine.take_suspects()
        record.served = self._quarantine.take_served()
        record.limits = self._registry.limits.take_reports()
        record.requests = self._quarantine.take_requests()
        record.served_requests = self._quarantine.take_served_requests()
        record.leaving = self._registry.departures.take_reports()
        record.demand = _report_fields.encode_demand(self.own_demand())
        record.accounts = _report_fields.encode_accounts(self.own_accounts())
        record.measured = self._own_measured()
        if self.tells_wall:
            record.wall_ms = int(self._clock.wall() * 1_000)
        data = self._codec.encode(record)
        while len(data) > DATAGRAM_BYTES and _shorten(record):
            data = self._codec.encode(record)
        return data

    def _report(self, loads: list[wire.EngineWork]) -> wire.WorkNote:
        """Return the next report, with what was read of the log."""
        self._sequence += 1
        state = self._catalog.read_state()
        return wire.WorkNote(
            instance=self._name,
            sequence=self._sequence,
            work=loads,
            config_version=state.config_version,
            through=state.position[1],
            changing=[],
            held=[],
            era=state.position[0],
            config_age_ms=_report_fields.encode_age(state.config_age_s),
            targets_age_ms=_report_fields.encode_age(state.targets_age_s),
        )

    def encode_summary(self, summary: _load_sums.Summary) -> bytes:
        """Return a part of a summary as a report.

        Load must not be left out: engines that are missing have none.
        """
        record = self._report([])
        record.held = _report_fields.encode_placements(summary.placements)
        record.summary = _report_fields.encode_summary(summary)
        data = self._codec.encode(record)
        while len(data) > DATAGRAM_BYTES and record.held:
            record.held = record.held[: len(record.held) // 2]
            data = self._codec.encode(record)
        return data

    def own_demand(self) -> dict[str, decisions.StreamDemand]:
        now = self._clock.monotonic()
        demands = {
            name: pool.stream_demand.demand(now)
            for name, pool in self._registry.pools.items()
        }
        return {name: d for name, d in demands.items() if d is not None}

    def own_accounts(self) -> decisions.AccountRates:
        return self._accounts.rates(self._clock.monotonic())

    def _own_measured(self) -> list[wire.MeasuredTime]:
        return [
            wire.MeasuredTime(
                service_name=name,
                quantity=int(measured.quantity),
                time_us=int(measured.seconds * 1e6),
                tokens_per_event=measured.tokens_per_event,
                target=measured.target,
                events=measured.events or None,
            )
            for name, pool in self._registry.pools.items()
            for measured in pool.learned.take_unshared(pool.fit_policy)
        ]

    def _placements(self) -> list[wire.PartsHeld]:
        now = self._clock.monotonic()
        placements = self._index.take_unpublished(now, MAX_PLACEMENTS)
        self._summaries.record_placements(self._name, placements)
        return _report_fields.encode_placements(placements)


def _shorten(record: wire.WorkNote) -> bool:
    """Shorten a report that exceeds a datagram; return whether it could be.

    Evidence of crashes is cut last; it is repeated. So is the demand of
    accounts, which changes slowly.
    """
    if not record.measured and record.accounts is not None:
        record.accounts = None
        return True
    for group in (("measured",), ("work", "held"), ("suspects", "requests")):
        if any(getattr(record, name) for name in group):
            for name in group:
                items = getattr(record, name)
                setattr(record, name, items[: len(items) // 2])
            return True
    return False
