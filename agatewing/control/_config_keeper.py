"""Applies the published configuration and writes snapshots to the log."""

import collections.abc
import json
import logging
import random
import typing
import uuid

import result

from agatewing import _clock
from agatewing import _exceptions
from agatewing import config
from agatewing import replica
from agatewing import timeline
from agatewing import wire

_log = logging.getLogger("agatewing.config")

#: Fraction of the log's retention time after which a new snapshot is due.
SNAPSHOT_SHARE = 0.25
#: Bounds of the interval between snapshots, in seconds.
SNAPSHOT_MIN_INTERVAL_S = 5.0
SNAPSHOT_MAX_INTERVAL_S = 900.0
#: Unused: the instance's watch loop sets the interval of
#: ``SnapshotWriter.step``.
PERIOD_S = 0.5
#: Time after which the outcome of a publish is reported as unknown, in
#: seconds.
PUBLISH_TIMEOUT_S = 5.0

ApplyDocument = collections.abc.Callable[[config.Document, int], None]
FetchState = collections.abc.Callable[
    [str, str], result.Result[wire.StateReply, _exceptions.AgatewingError]
]


class SnapshotWriter:
    """Writes snapshots of one stream before the log drops its records."""

    __slots__ = (
        "_clock",
        "_follower",
        "_state_machine",
        "_commit",
        "_events",
        "_random",
        "_snapshot_offset",
        "_snapshot_seen_at",
        "_interval_factor",
        "written",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        follower: replica.Follower,
        state_machine: replica.ConfigState | replica.ControlState,
        commit: replica.GroupCommit,
        events: timeline.EventRecorder,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._state_machine = state_machine
        self._commit = commit
        self._events = events
        self._random = rng
        self._snapshot_offset = 0
        # Monotonic time at which the last snapshot was read or submitted.
        self._snapshot_seen_at = clock.monotonic()
        # Random, so that the instances rarely write a snapshot at once.
        self._interval_factor = rng.uniform(1.0, 1.5)
        #: Number of snapshots that this process submitted.
        self.written = 0

    def step(self) -> None:
        """Submit a snapshot if the last one in the stream is too old.

        Nothing is submitted while the state is incomplete or behind the
        log, or before the first record had an effect.
        """
        replay = self._follower.replay
        now = self._clock.monotonic()
        if replay.snapshot_offset != self._snapshot_offset:
            self._snapshot_offset = replay.snapshot_offset
            self._snapshot_seen_at = now
            self._interval_factor = self._random.uniform(1.0, 1.5)
        if not replay.known or not self._follower.caught_up:
            return
        if not self._state_machine.state_version():
            return
        if (
            now - self._snapshot_seen_at
            < self._interval_s() * self._interval_factor
        ):
            return
        self._snapshot_seen_at = now
        self.written += 1
        self._events.add(
            timeline.EventKind.SNAPSHOT_WRITTEN,
            detail=f"{self._follower.stream} through {replay.through}",
        )
        self._commit.submit(
            replica.Snapshot(replay.through, self._state_machine.dump()), 2.0
        )

    def _interval_s(self) -> float:
        share = self._follower.retention_s * SNAPSHOT_SHARE
        return min(
            SNAPSHOT_MAX_INTERVAL_S, max(SNAPSHOT_MIN_INTERVAL_S, share)
        )


class ConfigKeeper:
    """Applies versions from the config stream, or from a peer's copy of it."""

    __slots__ = (
        "_clock",
        "_state",
        "_follower",
        "_commit",
        "_events",
        "_apply",
        "_fetch",
        "_last_applied",
        "applied_version",
        "applied_at",
        "fault",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        state: replica.ConfigState,
        follower: replica.Follower,
        commit: replica.GroupCommit,
        events: timeline.EventRecorder,
        apply: ApplyDocument,
        fetch: FetchState,
    ) -> None:
        self._clock = clock
        self._state = state
        self._follower = follower
        self._commit = commit
        self._events = events
        self._apply = apply
        self._fetch = fetch
        self._last_applied: (
            tuple[dict[str, typing.Any], config.Document] | None
        ) = None
        #: Version in force in this process; 0 before the first.
        self.applied_version = 0
        #: Wall time at which that version came into force, in seconds.
        self.applied_at = 0.0
        #: Why the last accepted version cannot be applied; empty if it can.
        self.fault = ""
        follower.listen(lambda _offset, _envelope: self.apply_latest())

    def apply_latest(self) -> None:
        """Apply the last accepted version if it is newer than the applied one.

        A document with faults leaves the applied version in force.
        """
        version = self._state.version
        if version <= self.applied_version:
            return
        match self._decode(self._state.document):
            case result.Ok(document):
                self._apply(document, version)
                self._last_applied = (self._state.document, document)
                self.applied_version = version
                self.applied_at = self._clock.wall()
                self.fault = ""
                self._events.add(
                    timeline.EventKind.CONFIG_APPLIED, version=version
                )
            case result.Err(faults):
                self.fault = f"version {version}: {faults[0]}"
                _log.error("config: %s cannot be used", self.fault)
                self._events.add(
                    timeline.EventKind.CONFIG_UNUSABLE,
                    version=version,
                    detail=str(faults[0]),
                )

    def _decode(
        self, new_plain: dict[str, typing.Any]
    ) -> config.Checked[config.Document]:
        """Decode a document; reuse the unchanged parts of the applied one."""
        if self._last_applied is None:
            return config.decode_document(new_plain, "log")
        old_plain, old_document = self._last_applied
        return config.decode_changed(old_plain, old_document, new_plain, "log")

    def fetch_from(self, address: str) -> bool:
        """Fetch a peer's state; return whether it replaced an older one."""
        match self._fetch(address, replica.CONFIG_STREAM):
            case result.Ok(reply) if reply.known:
                return self._adopt(reply, address)
        return False

    def _adopt(self, reply: wire.StateReply, address: str) -> bool:
        try:
            state = json.loads(reply.state)
        except ValueError:
            return False
        if not isinstance(state, dict):
            return False
        if not self._follower.replay.adopt(reply.through, state):
            return False
        self._events.add(
            timeline.EventKind.CONFIG_FETCHED,
            version=self._state.version,
            detail=f"from {address}",
        )
        self.apply_latest()
        return True

    def publish(
        self,
        base: int,
        author: str,
        document: dict[str, object] | None,
        patch: dict[str, object] | None,
        publish_id: str = "",
    ) -> tuple[str, replica.Decision | None]:
        """Append a publish; return its id and its decision.

        The decision is ``None`` if the outcome is still unknown after
        ``PUBLISH_TIMEOUT_S`` or if the append failed.
        """
        record = replica.Publish(
            publish_id or uuid.uuid4().hex, base, author, document, patch
        )
        started = self._clock.monotonic()
        committed = self._commit.submit(record, PUBLISH_TIMEOUT_S).wait(
            PUBLISH_TIMEOUT_S
        )
        while self._clock.monotonic() - started < PUBLISH_TIMEOUT_S:
            decision = self._state.decisions.get(record.id)
            if decision is not None:
                self._record_decision(decision)
                return record.id, decision
            if isinstance(committed, result.Err):
                break
            self._follower.wait_for_read(0.2)
        return record.id, None

    def _record_decision(self, decision: replica.Decision) -> None:
        match decision:
            case replica.Accepted(version=version):
                kind = timeline.EventKind.PUBLISH_ACCEPTED
            case replica.Rejected(winner=version):
                kind = timeline.EventKind.PUBLISH_REJECTED
        self._events.add(kind, version=version)
