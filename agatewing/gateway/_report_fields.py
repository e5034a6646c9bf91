"""Fields of load reports, to and from the types that decisions use."""

import collections.abc
import math

from agatewing import decisions
from agatewing.gateway import _load_sums
from agatewing import wire

#: Age of what was read of the log from which on it is not told, in seconds.
MAX_AGE_S = 60.0
#: Largest number of parts of a summary: two for each engine of a large fleet.
MAX_PARTS = 256
#: Largest rate in a report, in requests in a thousand seconds.
MAX_RATE = 2**31 - 1


def encode_demand(
    demands: collections.abc.Mapping[str, decisions.StreamDemand],
) -> list[wire.StreamDemand]:
    """Return the demand by service as it is in a report."""
    return [
        wire.StreamDemand(
            service_name=name,
            apart_tokens_per_s=demand.apart_tokens_per_s,
            either_tokens_per_s=demand.either_tokens_per_s,
            beside_tokens_per_s=demand.beside_tokens_per_s,
            output_tokens_per_s=demand.output_tokens_per_s,
            context_per_s=demand.context_per_s,
        )
        for name, demand in demands.items()
    ]


def decode_demand(
    received: collections.abc.Iterable[wire.StreamDemand],
) -> dict[str, decisions.StreamDemand]:
    """Return the demand by service of a report."""
    return {
        demand.service_name: decisions.StreamDemand(
            demand.apart_tokens_per_s,
            demand.either_tokens_per_s,
            demand.beside_tokens_per_s,
            demand.output_tokens_per_s,
            demand.context_per_s,
        )
        for demand in received
    }


def encode_accounts(
    rates: decisions.AccountRates,
) -> wire.AccountDemand | None:
    """Return the rates of the largest accounts as they are in a report."""
    rows = decisions.bounded_accounts(rates)
    if not rows:
        return None
    return wire.AccountDemand(
        accounts=[account for account, _ in rows],
        may_wait=[may_wait for _, may_wait in rows],
        recent=[_per_1000_s(rate.recent) for rate in rows.values()],
        usual=[_per_1000_s(rate.usual) for rate in rows.values()],
    )


def _per_1000_s(rate: float) -> int:
    return min(MAX_RATE, int(rate * 1_000))


def decode_accounts(
    received: wire.AccountDemand | None,
) -> decisions.AccountRates:
    """Return the rates in a report; none if its columns differ in length."""
    if received is None:
        return {}
    keys = list(zip(received.accounts, received.may_wait))
    columns = received.may_wait, received.recent, received.usual
    if any(len(column) != len(keys) for column in columns):
        return {}
    return {
        key: decisions.AccountRate(recent / 1_000, usual / 1_000)
        for key, recent, usual in zip(keys, received.recent, received.usual)
    }


def encode_placements(
    placements: collections.abc.Iterable[decisions.Placement],
) -> list[wire.PartsHeld]:
    """Return placements of prefix blocks as they are in a report."""
    return [
        wire.PartsHeld(
            engine=placement.engine,
            chain=placement.key,
            ready_ms=int(placement.ready_s * 1_000),
        )
        for placement in placements
    ]


def decode_placements(
    received: collections.abc.Iterable[wire.PartsHeld],
) -> tuple[decisions.Placement, ...]:
    """Return the placements of prefix blocks in a report."""
    return tuple(
        decisions.Placement(held.engine, held.chain, held.ready_ms / 1_000)
        for held in received
    )


def decode_loads(
    received: collections.abc.Iterable[wire.EngineWork],
) -> _load_sums.Loads:
    """Return the loads in a report, by engine."""
    return {
        work.engine: _load_sums.Load(
            work.tokens, work.sequences, work.long_tokens, work.kv_tokens
        )
        for work in received
    }


def encode_summary(summary: _load_sums.Summary) -> wire.LoadSummary:
    """Return a part of a summary as it is in a report."""
    scope, loads = summary.scope, summary.loads.values()
    return wire.LoadSummary(
        zone=scope.zone,
        instances=scope.instances,
        part=scope.part,
        parts=scope.parts,
        engines=list(summary.loads),
        tokens=[load.tokens for load in loads],
        sequences=[load.sequences for load in loads],
        long_tokens=[load.long_tokens for load in loads],
        kv_tokens=[load.kv_tokens for load in loads],
        demand=encode_demand(summary.demand),
        accounts=encode_accounts(summary.accounts),
    )


def decode_summary(record: wire.WorkNote) -> _load_sums.Summary | None:
    """Return the summary in a report; ``None`` if there is none.

    There is none either if its part is not one of the parts, or if its columns
    differ in length.
    """
    sums = record.summary
    if sums is None or not 0 <= sums.part < sums.parts <= MAX_PARTS:
        return None
    columns = sums.tokens, sums.sequences, sums.long_tokens, sums.kv_tokens
    if any(len(column) != len(sums.engines) for column in columns):
        return None
    loads = map(_load_sums.Load._make, zip(*columns))
    return _load_sums.Summary(
        _load_sums.Scope(sums.zone, sums.instances, sums.part, sums.parts),
        record.instance,
        dict(zip(sums.engines, loads)),
        decode_demand(sums.demand),
        decode_placements(record.held),
        decode_accounts(sums.accounts),
    )


def encode_age(age_s: float) -> int | None:
    """Return an age in ms; ``None`` if it is unknown or too great."""
    return int(age_s * 1_000) if age_s < MAX_AGE_S else None


def decode_age(age_ms: int | None) -> float:
    """Return the age in a report, in seconds; infinite if it is unknown."""
    if age_ms is None or age_ms < 0:
        return math.inf
    return age_ms / 1_000
