"""Data and operations of one instance for the administration API."""

import resource
import time
import typing

import msgspec

from agatewing import _metrics
from agatewing import admin
from agatewing import membership
from agatewing import replica
from agatewing import timeline

if typing.TYPE_CHECKING:
    from agatewing import _compose

_STATUS_NAMES = {
    membership.ALIVE: "alive",
    membership.SUSPECT: "suspect",
    membership.DEAD: "dead",
    membership.LEFT: "left",
}


class InstanceBackend:
    """Implements the administration API's backend."""

    __slots__ = ("_instance", "_metrics")

    def __init__(self, instance: "_compose.Instance") -> None:
        self._instance = instance
        self._metrics = _metrics.Metrics()

    def ready(self) -> bool:
        """Return whether the instance accepts new requests."""
        return self._instance.gate.ready

    def audit(self, operator: str, action: str, target: str = "") -> None:
        """Add an operator's action to the time line."""
        self._instance.events.add(
            timeline.EventKind.AUDIT,
            target=target,
            detail=f"{operator}: {action}",
        )

    def status(self) -> admin.StatusView:
        """Return the status of this instance."""
        instance = self._instance
        follower = instance.followers[replica.CONFIG_STREAM]
        log_age_s = follower.age_s()
        return admin.StatusView(
            instance.settings.instance,
            instance.incarnation,
            instance.gate.phase,
            instance.gate.standing,
            instance.gate.ready,
            instance.config_keeper.applied_version,
            instance.config_keeper.fault,
            round(log_age_s, 3) if log_age_s < 1e9 else None,
            instance.app.open_requests,
            instance.app.answered,
            dict(instance.app.refusals),
            {
                str(k): v
                for k, v in instance.invariants.violation_counts.items()
            },
            instance.role_loop.changes,
            time.process_time(),
            _resident_bytes(),
            instance.links.sent_bytes,
        )

    def instances(self) -> list[admin.InstanceView]:
        """Return this instance and every known peer, sorted by name."""
        instance = self._instance
        now = instance.clock.monotonic()
        views = [
            admin.InstanceView(
                instance.settings.instance,
                instance.incarnation,
                instance.settings.zone,
                "alive",
                True,
                instance.config_keeper.applied_version,
                0.0,
                f"{instance.settings.host}:{instance.settings.peer_port}",
            )
        ]
        for peer in instance.detector.peers.values():
            heard_age_s = now - peer.heard_at
            views.append(
                admin.InstanceView(
                    peer.instance,
                    peer.incarnation,
                    peer.zone,
                    _STATUS_NAMES.get(peer.status, "unknown"),
                    peer.listed,
                    peer.config_version,
                    round(heard_age_s, 3) if heard_age_s < 1e9 else None,
                    peer.address,
                )
            )
        return sorted(views, key=lambda view: view.instance)

    def targets(self) -> list[admin.TargetView]:
        """Return all engines, then all targets of plain services."""
        instance = self._instance
        now = instance.clock.monotonic()
        engines = [
            admin.TargetView(
                engine.name,
                "engine",
                engine.spec.service,
                engine.spec.zone,
                engine.spec.address,
                engine.spec.state,
                engine.load.routable,
                engine.load.role,
                engine.load.own_sequences,
                round(engine.load.traffic_share, 3),
            )
            for engine in instance.fleet.engines()
        ]
        targets = [
            admin.TargetView(
                target.name,
                "target",
                target.spec.service,
                target.spec.zone,
                target.spec.address,
                target.spec.state,
                target.usable(now),
                "",
                target.in_flight,
            )
            for target in instance.fleet.targets.values()
        ]
        return engines + targets

    def leases(self) -> list[admin.LeaseView]:
        """Return every lease of the control stream."""
        return [
            admin.LeaseView(lease.name, lease.holder, lease.fence)
            for lease in self._instance.control_state.leases.values()
        ]

    def orders(self) -> list[admin.OrderView]:
        """Return the last valid order of each engine."""
        return [
            admin.OrderView(
                order.engine,
                order.number,
                msgspec.to_builtins(order.change),
                {k: v for k, v in order.deliverers.items()},
            )
            for order in self._instance.control_state.orders.values()
        ]

    def config(self) -> tuple[int, dict[str, typing.Any]]:
        """Return version and document of the last accepted publish."""
        state = self._instance.config_state
        return state.version, state.document

    def history(self) -> list[replica.HistoryEntry]:
        """Return recent publishes with their decisions, oldest first."""
        return list(self._instance.config_state.history)

    def decision(self, publish_id: str) -> replica.Decision | None:
        """Return the decision on a publish; ``None`` if none is known."""
        return self._instance.config_state.decisions.get(publish_id)

    def publish(
        self,
        base: int,
        author: str,
        document: dict[str, typing.Any] | None,
        patch: dict[str, typing.Any] | None,
        publish_id: str,
    ) -> tuple[str, replica.Decision | None]:
        """Append a publish to the log; return its id and the decision.

        The decision is ``None`` if it is still unknown after a timeout or if
        the append failed.
        """
        return self._instance.config_keeper.publish(
            base, author, document, patch, publish_id
        )

    def events(self) -> list[timeline.Event]:
        """Return the time-line events of this process."""
        return self._instance.events.events()

    def metrics(self) -> tuple[bytes, str]:
        """Return the metrics as text and their content type."""
        self._set_entry_metrics()
        self._set_control_metrics()
        self._set_process_metrics()
        return self._metrics.render()

    def _set_entry_metrics(self) -> None:
        instance, metrics = self._instance, self._metrics
        metrics.gauge(
            "agatewing_ready",
            "1 if new requests are welcome",
            float(instance.gate.ready),
        )
        metrics.gauge(
            "agatewing_open_requests",
            "Requests being answered",
            instance.app.open_requests,
        )
        metrics.counter(
            "agatewing_answered_total",
            "Requests answered in full",
            instance.app.answered,
        )
        metrics.counters(
            "agatewing_refused_total",
            "Refusals by kind",
            "kind",
            instance.app.refusals,
        )
        for name, queue in instance.dispatcher.queues.items():
            metrics.gauge(
                "agatewing_queue_requests",
                "Requests waiting for a pool",
                len(queue.fair_queue),
                pool=name,
            )
            metrics.gauge(
                "agatewing_queue_engine_seconds",
                "Engine seconds waiting for a pool",
                queue.fair_queue.backlog,
                pool=name,
            )

    def _set_control_metrics(self) -> None:
        instance, metrics = self._instance, self._metrics
        metrics.gauge(
            "agatewing_config_version",
            "Configuration version in force",
            instance.config_keeper.applied_version,
        )
        for stream, follower in instance.followers.items():
            metrics.gauge(
                "agatewing_log_age_seconds",
                "Seconds since the stream's end was known",
                min(follower.age_s(), 1e9),
                stream=stream,
            )
            commit = instance.group_commits[stream]
            metrics.counter(
                "agatewing_log_appends_total",
                "Appends made",
                commit.appends,
                stream=stream,
            )
            metrics.counter(
                "agatewing_log_records_total",
                "Records appended",
                commit.records,
                stream=stream,
            )
        metrics.gauge(
            "agatewing_leases_held",
            "Leases that this instance may use",
            len(instance.leases.held()),
        )
        metrics.counter(
            "agatewing_role_changes_total",
            "Role changes ordered by this instance",
            instance.role_loop.changes,
        )
        metrics.gauge(
            "agatewing_live_instances",
            "Live instances, this one included",
            len(instance.detector.live_peers()) + 1,
        )
        metrics.counters(
            "agatewing_invariant_checks_total",
            "Checks of promises",
            "promise",
            {str(k): v for k, v in instance.invariants.check_counts.items()},
        )
        metrics.counters(
            "agatewing_invariant_broken_total",
            "Promises found broken",
            "promise",
            {
                str(k): v
                for k, v in instance.invariants.violation_counts.items()
            },
        )

    def _set_process_metrics(self) -> None:
        self._metrics.counter(
            "agatewing_cpu_seconds_total",
            "Processor time used",
            time.process_time(),
        )
        self._metrics.gauge(
            "agatewing_resident_bytes",
            "Resident memory",
            _resident_bytes(),
        )
        self._metrics.counter(
            "agatewing_link_bytes_total",
            "Bytes sent to other instances",
            self._instance.links.sent_bytes,
        )


def _resident_bytes() -> int:
    """Return the peak resident memory of the process, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
