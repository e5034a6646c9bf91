"""One randomised run, fully determined by its seed."""

import collections
import dataclasses
import random

from agatewing import membership
from agatewing import replica
from agatewing import rig
from agatewing import timeline

#: Virtual time between two random draws of load and faults, in seconds.
STEP_S = 0.25
#: Virtual time at the end without faults, in which all state must settle, in
#: seconds.
SETTLE_S = 60.0
#: Number of the last time line events kept in the result of a failed run.
MAX_SHOWN_EVENTS = 400

_ROLES = ("mixed", "prefill", "decode")


@dataclasses.dataclass(slots=True)
class EpisodeResult:
    """The result of one run."""

    #: Seed that reproduces the run.
    seed: int
    #: Broken promises, as text.
    violations: list[str]
    #: Number of injected faults, by name.
    faults: collections.Counter[str]
    #: Number of at-most-once calls, by the outcome reported to the caller.
    outcomes: collections.Counter[str]
    #: Number of accepted publishes.
    versions: int
    #: Number of orders that engines accepted.
    orders: int
    #: Virtual duration, in seconds.
    seconds: float
    #: End of the merged time line; empty if no promise was broken.
    events: list[timeline.Event]


class Episode:
    """Runs instances in a rig under random load and faults."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.rng = random.Random(f"episode {seed}")
        self.duration_s = self.rng.choice((60.0, 120.0, 240.0))
        retention = self.rng.choice((300.0, 900.0, 3_600.0))
        self.rig = rig.Rig(seed, self.rng.choice((2, 3, 5, 6)), retention)
        self.faults: collections.Counter[str] = collections.Counter()
        #: Virtual time in seconds, and recovery as in ``_recover``, for each
        #: fault that must end.
        self._pending_recoveries: list[tuple[float, str]] = []
        #: Idempotency keys of the last calls, for retries.
        self._keys: list[str] = []
        #: Probability that a step injects a fault.
        self._fault_probability = self.rng.choice((0.02, 0.1, 0.25))
        self._fault_injectors = {
            "kill": self._kill,
            "pause": self._pause,
            "log down": self._log_down,
            "log answers lost": self._lose_log_answers,
            "log slow": self._slow_log,
            "cut peers": self._cut_peers,
            "isolate": self._isolate,
            "cut log": self._cut_log,
            "target down": self._target_down,
            "target answers lost": self._lose_target_answers,
            "calls delayed": self._delay_calls,
        }

    def run(self) -> EpisodeResult:
        """Run load and faults; end the faults and check the final state."""
        self.rig.publish_inventory()
        started = self.rig.clock.monotonic()
        while self.rig.clock.monotonic() - started < self.duration_s:
            self._recover_due()
            self._send_load()
            # STEP_S * 4 is 1.
            if self.rng.random() < self._fault_probability * STEP_S * 4:
                self._inject()
            self.rig.advance(STEP_S)
        self._settle()
        return self._result()

    def _send_load(self) -> None:
        if self.rng.random() < 0.6:
            self._send_new_call()
        if self.rng.random() < 0.5 and self.rig.nodes:
            self.rig.spawn_read(self.rng.choice(list(self.rig.nodes)))
        if self._keys and self.rng.random() < 0.3:
            self._retry_call()
        if self.rng.random() < 0.08:
            self._publish()
        if self.rng.random() < 0.15:
            self._order()

    def _send_new_call(self) -> None:
        key = self.rig.new_key()
        self._keys.append(key)
        del self._keys[:-40]
        names = list(self.rig.nodes)
        if not names:
            return
        for _ in range(self.rng.choice((1, 1, 1, 2))):
            self.rig.spawn_call(
                self.rng.choice(names), key, self.rng.choice((0.5, 4.0))
            )

    def _retry_call(self) -> None:
        names = list(self.rig.nodes)
        if names:
            self.rig.spawn_call(
                self.rng.choice(names), self.rng.choice(self._keys)
            )

    def _publish(self) -> None:
        names = list(self.rig.nodes)
        if not names:
            return
        target = self.rng.choice(("t1", "t2", "t3"))
        state = self.rng.choice(("active", "draining"))
        for _ in range(self.rng.choice((1, 2))):
            node = self.rig.nodes[self.rng.choice(names)]
            base = node.instance.config_state.version
            patch = {"targets": {target: {"state": state}}}
            publish_id = f"p{self.rng.getrandbits(60)}"
            self.rig.spawn_publish(node, base, None, patch, publish_id)

    def _order(self) -> None:
        names = list(self.rig.nodes)
        if not names:
            return
        name = self.rig.lease_holder() or self.rng.choice(names)
        engine = self.rng.choice(("checking", "ignoring"))
        self.rig.spawn_order(name, engine, self.rng.choice(_ROLES))

    def _inject(self) -> None:
        name = self.rng.choice(list(self._fault_injectors))
        self.faults[name] += 1
        self._fault_injectors[name]()

    def _schedule_recovery(
        self, min_s: float, max_s: float, recovery: str
    ) -> None:
        due = self.rig.clock.monotonic() + self.rng.uniform(min_s, max_s)
        self._pending_recoveries.append((due, recovery))

    def _recover_due(self) -> None:
        now = self.rig.clock.monotonic()
        due = [
            recovery for at, recovery in self._pending_recoveries if at <= now
        ]
        self._pending_recoveries = [
            (at, recovery)
            for at, recovery in self._pending_recoveries
            if at > now
        ]
        for recovery in due:
            self._recover(recovery)

    def _recover(self, recovery: str) -> None:
        """End one fault.

        ``recovery`` is one of the words below. ``start``, ``resume`` and
        ``uncut`` (from the log) are followed by a space and the name of an
        instance; ``up`` and ``keep`` (answers of a target are no longer
        lost) by the address of a target. ``heal`` ends all cuts of the
        network, ``log`` the faults of the log, and ``fast`` the longer delay
        of calls.
        """
        kind, _, name = recovery.partition(" ")
        match kind:
            case "start" if name not in self.rig.nodes:
                self.rig.start_node(name)
            case "resume" if name in self.rig.nodes:
                self.rig.nodes[name].clock.resume()
                self.rig.check()
            case "uncut" if name in self.rig.nodes:
                self.rig.nodes[name].log.cut = False
            case "heal":
                self.rig.network.heal()
            case "log":
                self._end_log_faults()
            case "up":
                self.rig.network.services[name].down = False
            case "keep":
                self.rig.network.services[name].lose_answers = 0.0
            case "fast":
                # The default, rig's DELAY_MAX_S.
                self.rig.network.call_delay_s = 0.02

    def _end_log_faults(self) -> None:
        faults = self.rig.log_model.faults
        faults.down = False
        faults.lose_answers = 0.0
        faults.lose_appends = 0.0
        faults.slow_s = 0.0

    def _pick_node(self) -> str:
        names = list(self.rig.nodes)
        return self.rng.choice(names) if names else ""

    def _kill(self) -> None:
        name = self._pick_node()
        if name and len(self.rig.nodes) > 1:
            self.rig.kill(name, unlist=self.rng.random() < 0.5)
            self._schedule_recovery(0.5, 20.0, f"start {name}")

    def _pause(self) -> None:
        name = self._pick_node()
        if name:
            self.rig.nodes[name].clock.pause()
            self._schedule_recovery(0.3, 25.0, f"resume {name}")

    def _log_down(self) -> None:
        self.rig.log_model.faults.down = True
        self._schedule_recovery(0.5, 40.0, "log")

    def _lose_log_answers(self) -> None:
        self.rig.log_model.faults.lose_answers = 0.4
        self.rig.log_model.faults.lose_appends = 0.2
        self._schedule_recovery(1.0, 15.0, "log")

    def _slow_log(self) -> None:
        self.rig.log_model.faults.slow_s = self.rng.choice((0.3, 1.5))
        self._schedule_recovery(1.0, 15.0, "log")

    def _cut_peers(self) -> None:
        names = list(self.rig.nodes)
        for one in names:
            for other in names:
                if one < other and self.rng.random() < 0.4:
                    self.rig.network.cut(one, other)
        self._schedule_recovery(0.5, 20.0, "heal")

    def _isolate(self) -> None:
        name = self._pick_node()
        if not name:
            return
        for other in self.rig.nodes:
            if other != name:
                self.rig.network.cut(name, other)
        self.rig.nodes[name].log.cut = True
        if self.rng.random() < 0.5:
            for target in ("t1", "t2", "t3", "checking", "ignoring"):
                self.rig.network.cut(name, target)
        self._schedule_recovery(0.5, 25.0, "heal")
        self._schedule_recovery(0.5, 25.0, f"uncut {name}")

    def _cut_log(self) -> None:
        name = self._pick_node()
        if name:
            self.rig.nodes[name].log.cut = True
            self._schedule_recovery(0.5, 25.0, f"uncut {name}")

    def _pick_service(self) -> str:
        return self.rng.choice(list(self.rig.network.services))

    def _target_down(self) -> None:
        address = self._pick_service()
        self.rig.network.services[address].down = True
        self._schedule_recovery(0.5, 10.0, f"up {address}")

    def _lose_target_answers(self) -> None:
        address = self._pick_service()
        self.rig.network.services[address].lose_answers = 0.5
        self._schedule_recovery(0.5, 10.0, f"keep {address}")

    def _delay_calls(self) -> None:
        self.rig.network.call_delay_s = self.rng.choice((0.5, 8.0))
        self._schedule_recovery(1.0, 10.0, "fast")

    def _settle(self) -> None:
        """End all faults, advance ``SETTLE_S`` and check the final state."""
        for _, recovery in self._pending_recoveries:
            self._recover(recovery)
        for node in self.rig.nodes.values():
            node.clock.resume()
            node.log.cut = False
        self.rig.network.heal()
        self._end_log_faults()
        self.rig.advance(SETTLE_S)
        self._check_final_state()
        self.rig.check_end()

    def _check_final_state(self) -> None:
        violations = self.rig.violations
        for name, node in self.rig.nodes.items():
            instance = node.instance
            if instance.config_keeper.applied_version != (
                self.rig.oracle.version
            ):
                violations.append(
                    f"{name} stays at version "
                    f"{instance.config_keeper.applied_version} of "
                    f"{self.rig.oracle.version}"
                )
            if instance.gate.standing is not membership.Standing.CURRENT:
                violations.append(f"{name} stays {instance.gate.standing}")
            claimed = [
                call
                for call in instance.calls_state.calls.values()
                if call.phase is replica.CallPhase.CLAIMED
            ]
            if claimed:
                violations.append(f"{name} keeps open calls {claimed[:2]}")
        if not self.rig.lease_holder():
            violations.append("no instance holds the lease")

    def _result(self) -> EpisodeResult:
        outcomes = collections.Counter(
            call.outcome for call in self.rig.call_outcomes
        )
        events = []
        if self.rig.violations:
            events = self.rig.events()[-MAX_SHOWN_EVENTS:]
        return EpisodeResult(
            self.seed,
            self.rig.violations,
            self.faults,
            outcomes,
            self.rig.oracle.version,
            sum(len(e.received) for e in self.rig.network.engines.values()),
            self.duration_s + SETTLE_S,
            events,
        )


def run_episode(seed: int) -> EpisodeResult:
    """Run the episode with a seed; return its result."""
    episode = Episode(seed)
    try:
        return episode.run()
    finally:
        episode.rig.close()
