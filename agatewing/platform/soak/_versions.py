"""Finds instances on which a configuration comes into force too late."""

import time

from agatewing.platform.soak import _disturbances

#: Place of the faults of the log, and of all connections to it.
LOG = "log"
#: Time from the acknowledgement of a configuration to the moment from which it
#: has to be in force, and time after a fault of the instance or of the log for
#: which that does not hold, in seconds: the users' rule.
APPLY_S = 2.0
SETTLE_S = 3.0


class VersionRecords:
    """Versions that were published, and those that instances had in force."""

    def __init__(self, disturbances: _disturbances.Disturbances) -> None:
        # Faults of instances and of the log.
        self._disturbances = disturbances
        # Each version, with the monotonic time of its acknowledgement.
        self._published: list[tuple[int, float]] = []
        #: Instances that had an older version in force than they had to, one
        #: line each.
        self.late: list[str] = []

    def record_published(self, version: int, at: float | None = None) -> None:
        """Record that the log has acknowledged a version."""
        at = time.monotonic() if at is None else at
        self._published.append((version, at))

    def record_in_force(
        self, instance: str, version: int, asked_at: float
    ) -> None:
        """Record the version in force at an instance, at a time or later.

        One that has just started has none, and refuses all requests.
        """
        if not version:
            return
        for place in (instance, LOG):
            since = asked_at - SETTLE_S
            if self._disturbances.overlap(place, since, asked_at):
                return
        due = [v for v, at in self._published if at <= asked_at - APPLY_S]
        if due and version < max(due):
            self.late.append(f"LATE: {instance} has {version}, not {max(due)}")
