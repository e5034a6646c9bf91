"""Injects the faults of ``--faults 1`` and measures reaction times."""

import dataclasses
import time

import gevent

from agatewing import harness

#: Time for which an instance is frozen, in seconds; longer than a lease is
#: valid without renewal (``LEASE_DURATION_S`` of ``control``).
FREEZE_S = 11.0
#: Duration of the log outage, in seconds.
OUTAGE_S = 6.0


@dataclasses.dataclass(slots=True)
class FaultFigures:
    """Measurements during the injected faults."""

    #: Time from the accepted drain of an engine to its last new work, in
    #: seconds; 0 if no work arrived after it, ``None`` if no drain was
    #: accepted.
    drain_s: float | None = None
    #: Time from the accepted drain until it was in force everywhere, in
    #: seconds; ``None`` if it was not while the drained engine was watched.
    in_force_s: float | None = None
    #: Log of the faults, the recoveries and a drain that was not accepted,
    #: each with the time since the start.
    notes: list[str] = dataclasses.field(default_factory=list)


class FaultScript:
    """Injects a fixed sequence of faults into a deployment.

    The faults are an instance killed, another one frozen, a log outage, then
    appends to the log whose answers are lost, an engine crash and a drain.
    """

    def __init__(self, deployment: harness.Deployment) -> None:
        self._deployment = deployment
        self._started = time.monotonic()
        #: Measurements, filled in as the faults run.
        self.figures = FaultFigures()

    def run(self) -> None:
        """Inject all faults on a fixed schedule; some overlap."""
        tasks = [
            gevent.spawn_later(4, self._kill_instance),
            gevent.spawn_later(6, self._freeze_instance),
            gevent.spawn_later(12, self._interrupt_log),
            gevent.spawn_later(20, self._crash_engine),
            gevent.spawn_later(24, self._drain_engine),
        ]
        gevent.joinall(tasks)

    def _add_note(self, text: str) -> None:
        passed = time.monotonic() - self._started
        self.figures.notes.append(f"{passed:5.1f} s  {text}")

    def _kill_instance(self) -> None:
        process = self._deployment.instances["entry-2"]
        process.kill()
        self._add_note("killed entry-2")
        gevent.sleep(3)
        process.start()
        self._add_note("started entry-2 again")

    def _freeze_instance(self) -> None:
        name = self._lease_holder() or "entry-3"
        process = self._deployment.instances[name]
        process.freeze()
        self._add_note(f"froze {name}")
        gevent.sleep(FREEZE_S)
        process.thaw()
        self._add_note(f"thawed {name}")

    def _lease_holder(self) -> str:
        # entry-2 is neither queried nor accepted as the holder: it was killed
        # and may not run yet. An empty result makes the caller freeze entry-3.
        for name in ("entry-1", "entry-4"):
            answer = self._deployment.admin(name).get("leases")
            if answer.is_err():
                continue
            for row in answer.unwrap().body.get("leases", []):
                holder: str = row["holder"].rpartition("/")[0]
                if holder and holder != "entry-2":
                    return holder
        return ""

    def _interrupt_log(self) -> None:
        self._deployment.set_log_faults(down=True)
        self._add_note("log down")
        gevent.sleep(OUTAGE_S)
        self._deployment.set_log_faults(down=False, lose_answers=0.1)
        self._add_note("log back, one answer in ten is lost")
        gevent.sleep(4)
        self._deployment.set_log_faults(lose_answers=0.0)

    def _crash_engine(self) -> None:
        name = list(self._deployment.engines)[1]
        process = self._deployment.engines[name]
        process.kill()
        self._add_note(f"crashed {name}")
        gevent.sleep(2)
        process.start()
        self._add_note(f"started {name} again")

    def _drain_engine(self) -> None:
        deployment = self._deployment
        name = list(deployment.engines)[0]
        version, accepted_at = self._publish_drain(name)
        if not version:
            self._add_note("the drain was not accepted")
            return
        self._add_note(f"drained {name} as version {version}")
        received = deployment.engine_stats(name)["received"]
        last_work_at = accepted_at
        # The engine is watched for 5 s; later work is not in drain_s.
        deadline = accepted_at + 5
        while time.monotonic() < deadline:
            current = deployment.engine_stats(name)["received"]
            if current != received:
                received, last_work_at = current, time.monotonic()
            self._measure_in_force(version, accepted_at)
            gevent.sleep(0.02)
        self.figures.drain_s = last_work_at - accepted_at

    def _publish_drain(self, name: str) -> tuple[int, float]:
        """Drain an engine; return the version and the time of acceptance.

        Returns zeros if no instance accepted the drain.
        """
        for instance in self._deployment.instances:
            admin = self._deployment.admin(instance)
            answer = admin.post("drain", {"target": name})
            if answer.is_err():
                continue
            body = answer.unwrap().body
            if body.get("result") == "accepted":
                return int(body["version"]), time.monotonic()
        return 0, 0.0

    def _measure_in_force(self, version: int, accepted_at: float) -> None:
        if self.figures.in_force_s is not None:
            return
        deployment = self._deployment
        if all(
            deployment.version_in_force(n) >= version for n in deployment.ports
        ):
            self.figures.in_force_s = time.monotonic() - accepted_at
