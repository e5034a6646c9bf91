"""A simple independent reading of the log, against which all is checked."""

import typing

import msgspec

from agatewing import config
from agatewing.standins import log


class Oracle:
    """Decides publishes by their base, over the whole log ever written."""

    def __init__(self, model: log.LogModel) -> None:
        self._model = model
        self._read: dict[str, int] = {}
        self.version = 0
        self.documents: dict[int, dict[str, typing.Any]] = {0: {}}
        self.accepted_at: dict[int, float] = {}
        self.known_at: dict[int, float] = {}
        self.decisions: dict[str, tuple[bool, int]] = {}

    def follow(self, now: float) -> None:
        """Read new records of the config stream."""
        start = self._read.get("config", 1)
        records = self._model.all_records("config", start)
        for record in records:
            self._read["config"] = record.offset + 1
            envelope = msgspec.json.decode(record.body)
            for item in envelope["records"]:
                if item["t"] == "publish":
                    self._publish(item, now)

    def _publish(self, item: dict[str, typing.Any], now: float) -> None:
        if item["id"] in self.decisions:
            return
        if item["base"] != self.version:
            self.decisions[item["id"]] = (False, self.version)
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
        self.decisions[item["id"]] = (True, self.version)

    def note_known(self, version: int, now: float) -> None:
        """Note that a running process has a version in force."""
        for number in range(version, 0, -1):
            if number in self.known_at:
                return
            self.known_at[number] = now

    def note_running(self, latest: int) -> None:
        """Forget versions that no running process has any more."""
        for number in [n for n in self.known_at if n > latest]:
            del self.known_at[number]

    def inactive_since(self, target: str, latest: int) -> float:
        """Return since when a process knew to withhold new work.

        ``latest`` is the highest version that a running process has.
        """
        since = float("inf")
        for version in range(latest, 0, -1):
            document = self.documents[version]
            row = document["targets"].get(target)
            if row is not None and row.get("state", "active") == "active":
                break
            since = self.known_at.get(version, float("inf"))
        return since
