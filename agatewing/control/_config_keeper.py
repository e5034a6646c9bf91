"""Puts the configuration in force and keeps it in the log."""

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

#: Share of the retention after which a snapshot is written again.
SNAPSHOT_SHARE = 0.25
#: Bounds of the time between snapshots, in seconds.
SNAPSHOT_MIN_S = 5.0
SNAPSHOT_MAX_S = 900.0
#: Time between two looks, in seconds.
PERIOD_S = 0.5
#: Time after which a publish is answered as unknown, in seconds.
PUBLISH_S = 5.0

Apply = collections.abc.Callable[[config.Document, int], None]
FetchState = collections.abc.Callable[
    [str, str], result.Result[wire.StateReply, _exceptions.AgatewingError]
]


class Keeper:
    """Writes snapshots of one stream before retention takes them."""

    __slots__ = (
        "_clock",
        "_follower",
        "_machine",
        "_commit",
        "_events",
        "_random",
        "_seen_offset",
        "_seen_at",
        "_delay",
        "written",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        follower: replica.Follower,
        machine: replica.ConfigState | replica.ControlState,
        commit: replica.GroupCommit,
        events: timeline.Timeline,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._follower = follower
        self._machine = machine
        self._commit = commit
        self._events = events
        self._random = rng
        self._seen_offset = 0
        self._seen_at = clock.monotonic()
        self._delay = rng.uniform(1.0, 1.5)
        #: Snapshots written.
        self.written = 0

    def step(self) -> None:
        """Write a snapshot if the last one is getting old."""
        replay = self._follower.replay
        now = self._clock.monotonic()
        if replay.snapshot_offset != self._seen_offset:
            self._seen_offset = replay.snapshot_offset
            self._seen_at = now
            self._delay = self._random.uniform(1.0, 1.5)
        if not replay.known or not self._follower.caught_up:
            return
        if not self._machine.rank():
            return
        if now - self._seen_at < self._interval_s() * self._delay:
            return
        self._seen_at = now
        self.written += 1
        self._events.add(
            timeline.EventKind.SNAPSHOT_WRITTEN,
            detail=f"{self._follower.stream} through {replay.through}",
        )
        self._commit.submit(
            replica.Snapshot(replay.through, self._machine.dump()), 2.0
        )

    def _interval_s(self) -> float:
        share = self._follower.retention_s * SNAPSHOT_SHARE
        return min(SNAPSHOT_MAX_S, max(SNAPSHOT_MIN_S, share))


class ConfigKeeper:
    """Follows the config stream; asks peers while the log is away."""

    __slots__ = (
        "_clock",
        "_state",
        "_follower",
        "_commit",
        "_events",
        "_apply",
        "_fetch",
        "_applied",
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
        events: timeline.Timeline,
        apply: Apply,
        fetch: FetchState,
    ) -> None:
        self._clock = clock
        self._state = state
        self._follower = follower
        self._commit = commit
        self._events = events
        self._apply = apply
        self._fetch = fetch
        self._applied: tuple[dict[str, typing.Any], config.Document] | None = (
            None
        )
        #: Version that is in force in this process.
        self.applied_version = 0
        #: Wall time at which it came into force.
        self.applied_at = 0.0
        #: Why the accepted version cannot be used; empty if it can.
        self.fault = ""
        follower.listen(lambda _offset, _envelope: self.apply_latest())

    def apply_latest(self) -> None:
        """Put the accepted version in force; never an older one."""
        version = self._state.version
        if version <= self.applied_version:
            return
        match self._decode(self._state.document):
            case result.Ok(document):
                self._apply(document, version)
                self._applied = (self._state.document, document)
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
        self, plain: dict[str, typing.Any]
    ) -> config.Checked[config.Document]:
        """Decode a document; only what changed, where that is possible."""
        if self._applied is None:
            return config.decode_document(plain, "log")
        old_plain, old = self._applied
        return config.decode_changed(old_plain, old, plain, "log")

    def fetch_from(self, address: str) -> bool:
        """Take a newer state over from a peer."""
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
        """Append a publish; return its id and the log's decision."""
        record = replica.Publish(
            publish_id or uuid.uuid4().hex, base, author, document, patch
        )
        started = self._clock.monotonic()
        committed = self._commit.submit(record, PUBLISH_S).wait(PUBLISH_S)
        while self._clock.monotonic() - started < PUBLISH_S:
            decision = self._state.decisions.get(record.id)
            if decision is not None:
                self._note(decision)
                return record.id, decision
            if isinstance(committed, result.Err):
                break
            self._follower.wait_change(0.2)
        return record.id, None

    def _note(self, decision: replica.Decision) -> None:
        match decision:
            case replica.Accepted(version=version):
                kind = timeline.EventKind.PUBLISH_ACCEPTED
            case replica.Rejected(winner=version):
                kind = timeline.EventKind.PUBLISH_REJECTED
        self._events.add(kind, version=version)
