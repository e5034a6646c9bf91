"""Reference model of the configuration, computed from the log alone."""

import typing

import msgspec

from agatewing import config
from agatewing.standins import log


class Oracle:
    """Accepts or rejects each publish in the log by its base version.

    The rig compares the state of every process with it.
    """

    def __init__(self, log_model: log.LogModel) -> None:
        self._log_model = log_model
        self._next_offsets: dict[str, int] = {}
        #: Version of the newest accepted configuration; 0 for none.
        self.version = 0
        #: Undecoded configuration documents, by version.
        self.documents: dict[int, dict[str, typing.Any]] = {0: {}}
        #: Virtual time at which each version was read from the log, in
        #: seconds.
        self.accepted_at: dict[int, float] = {}
        #: Virtual time at which a running process first applied each version,
        #: in seconds.
        self.applied_at: dict[int, float] = {}
        #: Whether each publish was accepted, and the version after it, by
        #: publish id.
        self.publish_decisions: dict[str, tuple[bool, int]] = {}

    def follow(self, now: float) -> None:
        """Apply new records of the config stream."""
        first_offset = self._next_offsets.get("config", 1)
        records = self._log_model.all_records("config", first_offset)
        for record in records:
            self._next_offsets["config"] = record.offset + 1
            envelope = msgspec.json.decode(record.body)
            for item in envelope["records"]:
                if item["t"] == "publish":
                    self._publish(item, now)

    def _publish(self, item: dict[str, typing.Any], now: float) -> None:
        if item["id"] in self.publish_decisions:
            return
        if item["base"] != self.version:
            self.publish_decisions[item["id"]] = (False, self.version)
            return
        document = item.get("document")
        if document is None:
            document = config.merge_patch(
                self.documents[self.version], item["patch"]
            )
        self.version += 1
        self.documents[self.version] = typing.cast(
            dict[str, typing.Any], document
        )
        self.accepted_at[self.version] = now
        self.publish_decisions[item["id"]] = (True, self.version)

    def record_applied(self, version: int, now: float) -> None:
        """Record that a running process has applied a version.

        All earlier versions count as applied with it.
        """
        for number in range(version, 0, -1):
            if number in self.applied_at:
                return
            self.applied_at[number] = now

    def discard_newer(self, latest: int) -> None:
        """Discard the times of versions that no running process has now."""
        for number in [n for n in self.applied_at if n > latest]:
            del self.applied_at[number]

    def inactive_since(self, target: str, latest: int) -> float:
        """Return since when the target must get no new work, in seconds.

        It is the virtual time at which a running process first applied the
        version that drained or removed the target; infinite while the target
        is active.

        ``latest`` is the highest version that a running process has.
        """
        since = float("inf")
        for version in range(latest, 0, -1):
            document = self.documents[version]
            row = document["targets"].get(target)
            if row is not None and row.get("state", "active") == "active":
                break
            since = self.applied_at.get(version, float("inf"))
        return since
