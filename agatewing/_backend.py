"""What the administration API sees of one instance."""

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
        """Return whether new requests are welcome."""
        return self._instance.gate.ready

    def audit(self, operator: str, action: str, target: str = "") -> None:
        """Record what an operator did."""
        self._instance.events.add(
            timeline.EventKind.AUDIT,
            target=target,
            detail=f"{operator}: {action}",
        )

    def status(self) -> admin.StatusView:
        """Return the state of this instance."""
        instance = self._instance
        follower = instance.followers[replica.CONFIG_STREAM]
        age = follower.age()
        return admin.StatusView(
            instance.settings.instance,
            instance.incarnation,
            instance.gate.phase,
            instance.gate.standing,
            instance.gate.ready,
            instance.config_keeper.applied_version,
            instance.config_keeper.fault,
            round(age, 3) if age < 1e9 else None,
            instance.app.open_requests,
            instance.app.answered,
            dict(instance.app.refusals),
            {str(k): v for k, v in instance.invariants.broken.items()},
            instance.roles.changes,
            time.process_time(),
            _resident_bytes(),
            instance.links.sent_bytes,
        )

    def instances(self) -> list[admin.InstanceView]:
        """Return all instances as known here."""
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
            age = now - peer.heard_at
            views.append(
                admin.InstanceView(
                    peer.instance,
                    peer.incarnation,
                    peer.zone,
                    _STATUS_NAMES.get(peer.status, "unknown"),
                    peer.listed,
                    peer.config_version,
                    round(age, 3) if age < 1e9 else None,
                    peer.address,
                )
            )
        return sorted(views, key=lambda view: view.instance)

    def targets(self) -> list[admin.TargetView]:
        """Return all engines and targets."""
        instance = self._instance
        now = instance.clock.monotonic()
        engines = [
            admin.TargetView(
                m.name,
                "engine",
                m.spec.service,
                m.spec.zone,
                m.spec.address,
                m.spec.state,
                m.load.routable,
                m.load.role,
                m.load.own_sequences,
                round(m.load.ease, 3),
            )
            for m in instance.fleet.engines()
        ]
        targets = [
            admin.TargetView(
                t.name,
                "target",
                t.spec.service,
                t.spec.zone,
                t.spec.address,
                t.spec.state,
                t.usable(now),
                "",
                t.in_flight,
            )
            for t in instance.fleet.targets.values()
        ]
        return engines + targets

    def leases(self) -> list[admin.LeaseView]:
        """Return all leases."""
        return [
            admin.LeaseView(lease.name, lease.holder, lease.fence)
            for lease in self._instance.control_state.leases.values()
        ]

    def orders(self) -> list[admin.OrderView]:
        """Return the last order of each engine."""
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
        """Return version and document accepted last."""
        state = self._instance.config_state
        return state.version, state.document

    def history(self) -> list[replica.HistoryEntry]:
        """Return recent publishes with their decisions."""
        return list(self._instance.config_state.history)

    def decision(self, publish_id: str) -> replica.Decision | None:
        """Return what became of a publish."""
        return self._instance.config_state.decisions.get(publish_id)

    def publish(
        self,
        base: int,
        author: str,
        document: dict[str, typing.Any] | None,
        patch: dict[str, typing.Any] | None,
        publish_id: str,
    ) -> tuple[str, replica.Decision | None]:
        """Publish a configuration."""
        return self._instance.config_keeper.publish(
            base, author, document, patch, publish_id
        )

    def events(self) -> list[timeline.Event]:
        """Return the events of this process."""
        return self._instance.events.events()

    def metrics(self) -> tuple[bytes, str]:
        """Return metrics and their content type."""
        self._collect_entry()
        self._collect_control()
        self._collect_process()
        return self._metrics.render()

    def _collect_entry(self) -> None:
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
                len(queue.queue),
                pool=name,
            )
            metrics.gauge(
                "agatewing_queue_engine_seconds",
                "Engine seconds waiting for a pool",
                queue.queue.backlog,
                pool=name,
            )

    def _collect_control(self) -> None:
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
                min(follower.age(), 1e9),
                stream=stream,
            )
            commit = instance.commits[stream]
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
            instance.roles.changes,
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
            {str(k): v for k, v in instance.invariants.checked.items()},
        )
        metrics.counters(
            "agatewing_invariant_broken_total",
            "Promises found broken",
            "promise",
            {str(k): v for k, v in instance.invariants.broken.items()},
        )

    def _collect_process(self) -> None:
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
    """Return the largest resident memory so far, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
