"""Counts and reports of usage, assembled for one instance."""

import collections.abc
import functools

from agatewing import _clock
from agatewing import accounts
from agatewing import duties
from agatewing import fleetlog
from agatewing.gateway import _account_use
from agatewing.gateway import _load_reports
from agatewing.gateway import _peers
from agatewing.gateway import _ranks
from agatewing.gateway import _settings


def build(
    settings: _settings.GatewaySettings,
    clock: _clock.Clock,
    log: fleetlog.FleetLog,
    era: fleetlog.LogEra,
    port: duties.DutyPort,
    peers: _peers.Peers,
    load_reports: _load_reports.LoadReports,
    account_use: _account_use.AccountUse,
    may_act: collections.abc.Callable[[], bool],
) -> duties.UsageReports:
    """Return what counts and reports usage, connected to the instance.

    ``may_act`` says whether the instance serves and knows the others.
    """
    named = settings.duties
    start = clock.wall()
    time = duties.FleetTime(clock)
    counts = duties.UsageCounts(
        duties.Lifetime(settings.instance, int(start * 1_000))
    )
    exchange = duties.UsageExchange(
        duties.ExchangeContext(
            settings.zone,
            peers.codec,
            lambda: peers.known,
            load_reports.zone_peers,
            _ranks.first,
            load_reports.send,
            functools.partial(_peers.exchange, peers.codec),
        ),
        counts,
    )
    claims = duties.Claims(
        log,
        clock,
        duties.ClaimRecord(settings.instance, f"{start:.3f}"),
        named.holder_gap_ms / 1_000,
        era,
        fleetlog.Topic.USAGE,
    )
    reports = duties.UsageReports(
        duties.ReportsContext(
            clock,
            time,
            settings.instance,
            duties.Windows(named.usage_window_s, named.usage_late_s),
            counts,
            exchange,
            claims,
            era,
            port,
            named.calls_per_s,
            lambda: _ranks.rank(settings.instance, load_reports.zone_peers()),
            may_act,
        )
    )

    def begin(account: accounts.Account | None) -> None:
        if account is not None:
            reports.begin(account.name)

    account_use.on_begun = begin
    peers.replies[duties.USAGE_STREAM] = exchange.reply
    load_reports.take_other = exchange.receive
    load_reports.hear_wall = time.hear
    load_reports.writer.tells_wall = True
    return reports
