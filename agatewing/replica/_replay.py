"""Replay of a stream's snapshots and records into a state machine."""

import collections
import typing

from agatewing.replica import _records

#: Records kept to be replayed after a snapshot that covers an earlier offset.
BACKLOG_RECORDS = 8_192


class StateMachine(typing.Protocol):
    """State that depends only on the records up to an offset."""

    def reset(self) -> None:
        """Restore the state before the first record."""

    def apply(
        self,
        offset: int,
        author: _records.Author,
        record: _records.Record,
    ) -> None:
        """Apply one record."""

    def dump(self) -> dict[str, typing.Any]:
        """Return the state as plain data."""

    def load(self, state: dict[str, typing.Any]) -> None:
        """Replace the state by a dump.

        Raises ValueError, KeyError or TypeError if it is malformed.
        """

    def state_version(self) -> int:
        """Return a version number of the state, which never decreases."""


class Replay:
    """Drives a state machine from one stream.

    The state is *known* if it includes every record up to ``through`` that
    can be decoded. After a gap it is unknown until a snapshot covers the
    gap.
    """

    __slots__ = (
        "_state_machine",
        "_backlog",
        "_backlog_start",
        "through",
        "known",
        "snapshot_offset",
        "adopted",
    )

    def __init__(self, state_machine: StateMachine) -> None:
        self._state_machine = state_machine
        self._backlog: collections.deque[
            tuple[int, _records.Author, _records.Record]
        ] = collections.deque()
        # First offset from which the backlog is complete; ``None`` before
        # the first read.
        self._backlog_start: int | None = None
        #: Last offset that the state includes.
        self.through = 0
        #: Whether the state includes every record up to ``through``.
        self.known = False
        #: Offset of the last snapshot record seen; 0 for none.
        self.snapshot_offset = 0
        #: Number of snapshots that replaced the state.
        self.adopted = 0

    def begin(self, first: int) -> None:
        """Prepare to read from ``first``, at the start or after a gap.

        ``first`` is the first offset that the log still holds. A log that
        holds offset 1 needs no snapshot.
        """
        self._backlog.clear()
        self._backlog_start = first
        if first == 1 and not self.through:
            self.known = True
        elif first > self.through + 1:
            self.known = False

    def apply(self, offset: int, envelope: _records.Envelope) -> None:
        """Apply the records of one append that the state does not include."""
        for record in envelope.records:
            if isinstance(record, _records.Snapshot):
                self.snapshot_offset = offset
                self.adopt(record.through, record.state)
                continue
            self._add_to_backlog(offset, envelope.author, record)
            if self.known and offset > self.through:
                self._state_machine.apply(offset, envelope.author, record)
        if offset > self.through and self.known:
            self.through = offset

    def skip(self, offset: int) -> None:
        """Skip an append that cannot be decoded.

        Every reader skips it, so the state still counts as known.
        """
        if self.known and offset > self.through:
            self.through = offset

    def adopt(self, through: int, state: dict[str, typing.Any]) -> bool:
        """Replace the state by a snapshot; return whether that was done.

        A snapshot is refused if the backlog does not reach back to it, if
        a known state is at least as new, if it is malformed, or if the
        state would be older than before even after replaying the backlog.
        """
        start = self._backlog_start
        if start is not None and through + 1 < start:
            return False
        if self.known and not self._is_newer(state):
            return False
        return self._install(through, state)

    def _is_newer(self, state: dict[str, typing.Any]) -> bool:
        version = state.get("rank")
        return (
            isinstance(version, int)
            and version > self._state_machine.state_version()
        )

    def _install(self, through: int, state: dict[str, typing.Any]) -> bool:
        previous = self._state_machine.dump()
        previous_version = self._state_machine.state_version()
        try:
            self._state_machine.load(state)
        except (ValueError, KeyError, TypeError):
            self._state_machine.load(previous)
            return False
        self._replay_backlog(through)
        if self._state_machine.state_version() < previous_version:
            self._state_machine.load(previous)
            return False
        self.known = True
        self.adopted += 1
        return True

    def _replay_backlog(self, through: int) -> None:
        last = through
        for offset, author, record in self._backlog:
            if offset > through:
                self._state_machine.apply(offset, author, record)
                last = offset
        self.through = max(last, through)

    def _add_to_backlog(
        self,
        offset: int,
        author: _records.Author,
        record: _records.Record,
    ) -> None:
        self._backlog.append((offset, author, record))
        if len(self._backlog) > BACKLOG_RECORDS:
            dropped_offset, _, _ = self._backlog.popleft()
            self._backlog_start = dropped_offset + 1
