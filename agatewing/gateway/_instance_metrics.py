"""Metrics of an instance, read from its parts when they are asked for."""

import typing

from agatewing.gateway import _target_metrics
from agatewing import net

if typing.TYPE_CHECKING:
    from agatewing.gateway import _instance


def collect(instance: "_instance.GatewayInstance") -> None:
    """Set the metrics that are read from the parts of an instance."""
    metrics = instance.metrics
    metrics.counters(
        "agatewing_answers_total",
        "Answers of targets passed on, by status",
        "status",
        instance.handler_context.answers,
    )
    metrics.counters(
        "agatewing_framings_total",
        "Answers of targets passed on, by how their bodies were framed",
        "framing",
        instance.handler_context.framings,
    )
    metrics.counters(
        "agatewing_refused_total",
        "Refusals by kind",
        "kind",
        instance.server.refusals,
    )
    metrics.counters(
        "agatewing_account_requests_total",
        "Requests accepted, by client account; empty on public routes",
        "account",
        instance.account_use.asked,
    )
    metrics.counters(
        "agatewing_account_begun_total",
        "Requests that targets began to run, by client account",
        "account",
        instance.account_use.begun,
    )
    metrics.counters(
        "agatewing_account_refused_total",
        "Requests refused, by client account",
        "account",
        instance.account_use.refused,
    )
    metrics.counters(
        "agatewing_account_over_share_total",
        "Requests beyond the share of their account, which yield",
        "account",
        instance.account_use.over_share,
    )
    for name, counted in (
        ("asked", instance.urgency_use.asked),
        ("yielded", instance.urgency_use.yielded),
        ("waited", instance.urgency_use.waited),
        ("sent", instance.urgency_use.sent),
    ):
        metrics.counters(
            f"agatewing_urgency_{name}_total",
            f"Requests for engines by rank, 0 the most urgent: {name}",
            "rank",
            counted,
        )
    metrics.counters(
        "agatewing_urgency_refused_total",
        "Requests for engines that were refused, by rank and kind",
        "rank_and_kind",
        instance.urgency_use.refused,
    )
    metrics.counter(
        "agatewing_unknown_keys_total",
        "Requests refused as they bear no key of an account",
        instance.account_use.rejected,
    )
    if instance.usage is not None:
        instance.usage.collect(metrics)
    metrics.gauge(
        "agatewing_caller_connections",
        "Connections of callers, those that linger included",
        instance.server.caller_count,
    )
    metrics.counter(
        "agatewing_connections_gave_way_total",
        "Connections of callers ended or refused at their bound",
        instance.server.gave_way,
    )
    metrics.counter(
        "agatewing_probe_connections_gave_way_total",
        "Connections of checks and metrics ended at their bound",
        sum(server.gave_way for server in instance.probe_servers),
    )
    metrics.gauge(
        "agatewing_body_bytes_held",
        "Bytes of bodies that callers and peers have sent",
        instance.server.bodies.total_held,
    )
    metrics.counter(
        "agatewing_bodies_without_room_total",
        "Requests refused as other bodies left no room for theirs",
        instance.server.bodies.refused,
    )
    metrics.counter(
        "agatewing_bodies_stalled_total",
        "Requests refused as their bodies stood still while others waited",
        instance.server.bodies.stalled,
    )
    metrics.counter(
        "agatewing_sends_total",
        "Requests sent to targets",
        instance.handler_context.sender.request_count,
    )
    metrics.counter(
        "agatewing_ended_requests_total",
        "Requests given up as their target's process had ended",
        instance.handler_context.sender.ended_targets.ended,
    )
    metrics.counter(
        "agatewing_retries_denied_total",
        "Repeats that the budget did not allow",
        instance.budget.refused,
    )
    metrics.gauge(
        "agatewing_requests_under_way",
        "Requests under way",
        instance.lifecycle.in_flight,
    )
    metrics.gauge(
        "agatewing_log_age_seconds",
        "Seconds since the end of the log was known",
        min(instance.catalog.age_s(), 1e9),
    )
    metrics.gauge(
        "agatewing_config_age_seconds",
        "Seconds since the configuration was known to be the newest",
        min(instance.catalog.config_age_s(), 1e9),
    )
    metrics.gauge(
        "agatewing_load_summary_age_seconds",
        "Age of the summed load of all instances; 1e9 if there is none",
        min(instance.load_reports.summaries.age_s(), 1e9),
    )
    metrics.gauge(
        "agatewing_load_collector",
        "1 if the instance sums up the loads of its zone now",
        int(instance.load_reports.summaries.sums_up()),
    )
    metrics.gauge(
        "agatewing_log_reader",
        "1 if the instance reads the log all the time, 0 if peers tell it",
        int(instance.log_turns.is_reader),
    )
    metrics.counter(
        "agatewing_peer_snapshots_total",
        "Snapshots of the log requested of peers",
        instance.peers.requests_sent,
    )
    metrics.counter(
        "agatewing_peer_snapshots_failed_total",
        "Snapshots requested of peers that did not arrive",
        instance.peers.requests_failed,
    )
    metrics.counter(
        "agatewing_peer_snapshot_bytes_total",
        "Bytes of the snapshots sent to peers",
        instance.peers.snapshot_bytes_sent,
    )
    metrics.gauge(
        "agatewing_log_era",
        "Newest known era of the log; 0 if it names none",
        instance.log_era.current or 0,
    )
    metrics.counter(
        "agatewing_log_restores_total",
        "Times that the era of the log was seen to rise",
        instance.log_era.rises,
    )
    metrics.counter(
        "agatewing_records_rewritten_total",
        "Records written again, as the log lost them",
        instance.own_entry.rewrites,
    )
    metrics.gauge(
        "agatewing_config_version",
        "Configuration version in force",
        instance.catalog.config_version,
    )
    metrics.counter(
        "agatewing_note_bytes_total",
        "Bytes of notes sent to other instances",
        instance.load_reports.sent_bytes,
    )
    metrics.counter(
        "agatewing_turns_ended_total",
        "Times that a connection with more input let others go on",
        net.turns_ended(),
    )
    metrics.counters(
        "agatewing_take_ups_total",
        "Streams that callers took up, by how their version was found",
        "how",
        instance.streams.take_ups,
    )
    metrics.counters(
        "agatewing_stream_records_total",
        "Records of software versions and of streams written to the log",
        "topic",
        instance.stream_record.writes,
    )
    metrics.counter(
        "agatewing_sends_to_limited_total",
        "Requests sent to targets while they named a limit",
        instance.registry.limits.sends,
    )
    metrics.counters(
        "agatewing_departures_total",
        "Targets that said that they leave, by how that was learned",
        "source",
        instance.registry.departures.learned,
    )
    metrics.counter(
        "agatewing_back_offs_total",
        "Times that a target asked this instance for no requests",
        instance.registry.back_offs.begun,
    )
    metrics.gauge(
        "agatewing_targets_backing_off",
        "Targets that want no requests from this instance now",
        instance.registry.back_offs.count,
    )
    for service in instance.registry.pools:
        metrics.gauge(
            "agatewing_targets_reached",
            "Targets that were reached when last tried, by service",
            instance.links.reached_count(service),
            service=service,
        )
        metrics.gauge(
            "agatewing_links_lost",
            "Targets that only other instances reach, by service",
            instance.links.lost_count(service),
            service=service,
        )
    metrics.counter(
        "agatewing_link_probes_total",
        "Connections opened only to see whether a target is reached",
        instance.links.probes,
    )
    metrics.counter(
        "agatewing_link_questions_total",
        "Questions to other instances about targets that they reach",
        instance.links.questions,
    )
    metrics.counter(
        "agatewing_crashes_total",
        "Engines that crashed under a prompt of this instance",
        instance.quarantine.crashes,
    )
    metrics.gauge(
        "agatewing_quarantined_blocks",
        "Prefix blocks that are kept from engines, as these crash on them",
        instance.quarantine.block_count,
    )
    metrics.gauge(
        "agatewing_quarantined_requests",
        "Requests that are kept from targets, as these crash on them",
        instance.quarantine.request_count,
    )
    metrics.counters(
        "agatewing_detours_total",
        "Requests handed on to a peer, by outcome",
        "outcome",
        instance.detours.outcomes,
    )
    metrics.gauge(
        "agatewing_detours_under_way",
        "Requests that peers serve for this instance now",
        instance.detours.in_flight,
    )
    metrics.counters(
        "agatewing_hops_served_total",
        "Requests that peers offered, by outcome",
        "outcome",
        instance.server.hops_served,
    )
    metrics.gauge(
        "agatewing_hops_under_way",
        "Requests of peers that are served now",
        instance.server.hop_count,
    )
    now = instance.clock.monotonic()
    _target_metrics.clear(metrics)
    for service, pool in instance.registry.pools.items():
        engines = pool.engine_class()
        if engines is None:
            continue
        metrics.gauge(
            "agatewing_engine_prefill_tokens_per_second",
            "Learned prefill rate of an engine, by service",
            engines.speed.prefill_tokens_per_s,
            service=service,
        )
        metrics.gauge(
            "agatewing_engine_step_seconds",
            "Learned time of a step with half of the slots, by service",
            engines.speed.step_s(engines.speed.slots / 2),
            service=service,
        )
        metrics.gauge(
            "agatewing_engine_tokens_per_event",
            "Learned tokens in one event of a stream, by service",
            engines.tokens_per_event,
            service=service,
        )
        metrics.gauge(
            "agatewing_speed_samples",
            "Recent answers from which the speed is learned, by service",
            sum(pool.learned.samples(now)),
            service=service,
        )
        _target_metrics.write(metrics, pool)
        metrics.gauge(
            "agatewing_decode_engines_planned",
            "Engines that are to decode by the plan, by service",
            instance.role_loop.decode_planned.get(service, 0),
            service=service,
        )
    metrics.counter(
        "agatewing_orders_total",
        "Orders to engines to take a role",
        instance.role_loop.orders,
    )
    if instance.capacity_loop is not None:
        instance.capacity_loop.collect(metrics)
    metrics.counters(
        "agatewing_connections_opened_total",
        "Connections opened to targets that are known now, by reason",
        "reason",
        instance.registry.connections_opened(),
    )
