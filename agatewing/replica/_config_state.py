"""The configuration in force, as a function of the config stream."""

import collections
import dataclasses
import typing

from agatewing import config
from agatewing.replica import _records

#: Decisions kept for operators who ask by publish id.
MAX_DECISIONS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The publish took effect."""

    #: Version that it became.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The publish had no effect."""

    #: Version in force at its place in the log.
    winner: int


Decision: typing.TypeAlias = Accepted | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One publish that the stream holds, with its decision."""

    #: Offset in the log.
    offset: int
    #: Publish id.
    id: str
    #: Name of the operator.
    author: str
    #: What became of it.
    decision: Decision


class ConfigState:
    """Versions of the configuration; a publish must name its base."""

    __slots__ = ("version", "document", "decisions", "history")

    def __init__(self) -> None:
        self.decisions: collections.OrderedDict[str, Decision] = (
            collections.OrderedDict()
        )
        self.history: collections.deque[HistoryEntry] = collections.deque(
            maxlen=MAX_DECISIONS
        )
        self.reset()

    def reset(self) -> None:
        """Return to version 0, which has no document."""
        #: Version in force; 0 before the first publish.
        self.version = 0
        #: Plain document in force.
        self.document: dict[str, typing.Any] = {}
        self.decisions.clear()
        self.history.clear()

    def rank(self) -> int:
        """Return the version, which never falls."""
        return self.version

    def apply(
        self,
        offset: int,
        author: _records.Author,
        record: _records.Record,
    ) -> None:
        """Decide one publish by its base."""
        if not isinstance(record, _records.Publish):
            return
        if record.id in self.decisions:
            return
        decision = self._decide(record)
        self.decisions[record.id] = decision
        if len(self.decisions) > MAX_DECISIONS:
            self.decisions.popitem(last=False)
        self.history.append(
            HistoryEntry(offset, record.id, record.author, decision)
        )

    def _decide(self, record: _records.Publish) -> Decision:
        if record.base != self.version:
            return Rejected(self.version)
        document = record.document
        if document is None:
            merged = config.merge_patch(self.document, record.patch or {})
            document = typing.cast(dict[str, typing.Any], merged)
        self.document = document
        self.version += 1
        return Accepted(self.version)

    def dump(self) -> dict[str, typing.Any]:
        """Return version, document and recent decisions."""
        accepted = [
            [key, value.version]
            for key, value in self.decisions.items()
            if isinstance(value, Accepted)
        ]
        return {
            "rank": self.version,
            "document": self.document,
            "accepted": accepted[-64:],
        }

    def load(self, state: dict[str, typing.Any]) -> None:
        """Replace the state by a dump."""
        version, document = state["rank"], state["document"]
        if not isinstance(version, int) or not isinstance(document, dict):
            raise ValueError("snapshot has no version or document")
        accepted = [(str(k), int(v)) for k, v in state.get("accepted", [])]
        self.reset()
        self.version = version
        self.document = document
        for key, number in accepted:
            self.decisions[key] = Accepted(number)
