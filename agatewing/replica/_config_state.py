"""The configuration in force, as replayed from the config stream."""

import collections
import dataclasses
import typing

from agatewing import config
from agatewing.replica import _records

#: Decisions kept, so that operators can look one up by publish id.
MAX_DECISIONS = 4_096


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The publish took effect."""

    #: Version that the publish created.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The publish had no effect."""

    #: Version that was in force at the offset of the publish.
    winner: int


Decision: typing.TypeAlias = Accepted | Rejected


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One publish in the stream, with its decision."""

    #: Offset in the log.
    offset: int
    #: Publish id.
    id: str
    #: Name of the operator.
    author: str
    #: Whether it took effect.
    decision: Decision


class ConfigState:
    """The configuration in force, its version and recent decisions.

    A publish is accepted only if its base is the version in force.
    """

    __slots__ = ("version", "document", "decisions", "history")

    def __init__(self) -> None:
        #: Decision by publish id, oldest first.
        self.decisions: collections.OrderedDict[str, Decision] = (
            collections.OrderedDict()
        )
        #: Publishes read from the stream, oldest first.
        self.history: collections.deque[HistoryEntry] = collections.deque(
            maxlen=MAX_DECISIONS
        )
        self.reset()

    def reset(self) -> None:
        """Restore version 0, which has an empty document."""
        #: Version in force; 0 before the first publish.
        self.version = 0
        #: Document in force, as plain data.
        self.document: dict[str, typing.Any] = {}
        self.decisions.clear()
        self.history.clear()

    def state_version(self) -> int:
        """Return the version, which never decreases."""
        return self.version

    def apply(
        self,
        offset: int,
        author: _records.Author,
        record: _records.Record,
    ) -> None:
        """Accept or reject one publish; ignore an id decided before."""
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
        """Return the version, the document and the last 64 accepted publishes.

        Rejected publishes and the history are not included.
        """
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
        """Replace the state by a dump; raise if malformed.

        Raises ValueError, KeyError or TypeError.
        """
        version, document = state["rank"], state["document"]
        if not isinstance(version, int) or not isinstance(document, dict):
            raise ValueError("snapshot has no version or document")
        accepted = [(str(k), int(v)) for k, v in state.get("accepted", [])]
        self.reset()
        self.version = version
        self.document = document
        for key, number in accepted:
            self.decisions[key] = Accepted(number)
