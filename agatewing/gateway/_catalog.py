"""The instance's view of configuration and targets, and its age.

The newest configuration stays in force: an older one never replaces it, also
not one of a log that was restored from an older copy.
Targets follow their entries in the log. An entry that is removed before the
target announced that it drains may have expired while the log was
unavailable though its target is alive. Such a target is kept for a hold
time and dropped if its entry has not come back by then.
"""

import collections
import collections.abc
import logging
import math

from agatewing import _clock
from agatewing import _types
from agatewing import accounts
from agatewing import decisions
from agatewing import fleetlog
from agatewing.gateway import _caller_limits
from agatewing.gateway import _config_patches
from agatewing.gateway import _contracts
from agatewing.gateway import _gone_targets
from agatewing.gateway import _routes
from agatewing.gateway import _seen_targets

_log = logging.getLogger("agatewing.catalogue")

#: Time for which a target is kept whose entry was removed though it did not
#: announce that it drains, in seconds. It may be draining all the same and
#: must get no requests later than two seconds after the removal: the read
#: that shows the removal is up to 0.8 s late, the check that drops the
#: target up to 0.4 s.
HOLD_S = 0.5
#: Hold time after the log was away, in seconds from its return: the platform
#: promises that the entries of live targets are back within about two seconds.
RETURN_HOLD_S = 2.0
#: Time without an answer of the log to any instance after which it was away
#: long enough for entries of live targets to expire, in seconds. They do after
#: three heartbeats of 1.2 s, the last of which may have come one heartbeat
#: before; reports tell of an answer up to 0.4 s late.
AWAY_S = 2.0
#: Age told to peers of a view that was never read from the log, in seconds;
#: JSON has no infinite numbers.
NEVER_READ_S = 1e9
#: Time that a report may take from one instance to the next, in seconds: half
#: of that in which peers learn of what was read (``_log_turns.TELL_S``). It
#: counts towards the age that the report tells, as each instance tells on what
#: it has heard: without it, an age stays low for as long as reports are sent,
#: though nobody reads the log.
REPORT_S = 0.3
#: Number of batches of changes that are kept for peers that lack them.
MAX_BATCHES = 64


class Catalog:
    """Configuration and targets, as last read from the log or a peer."""

    __slots__ = (
        "_clock",
        "_on_change",
        "configuration",
        "config_patches",
        "config_position",
        "caller_limits",
        "routes",
        "accounts",
        "targets",
        "through",
        "era",
        "log_era",
        "_gone_targets",
        "_drop_at",
        "_read_at",
        "_config_read_at",
        "_log_back_at",
        "_answered_at",
        "_changed",
        "_batches",
        "seen",
        "log_unavailable",
        "read_failed",
        "_failed_at",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        on_change: collections.abc.Callable[[], None],
        log_era: fleetlog.LogEra | None = None,
    ) -> None:
        #: Newest era of the log that is known.
        self.log_era = log_era or fleetlog.LogEra()
        self._gone_targets = _gone_targets.GoneTargets(clock)
        self._clock = clock
        self._on_change = on_change
        #: Configuration in force; ``None`` before the first.
        self.configuration: _contracts.Configuration | None = None
        #: That configuration and the last ones, as peers get them.
        self.config_patches = _config_patches.ConfigPatches()
        #: Era of the log, 0 if it named none, and offset up to which
        #: configurations were read, here or by the peer that they are from.
        self.config_position = (0, 0)
        #: Limits on callers of that configuration.
        self.caller_limits = _caller_limits.CallerLimitsInForce(clock)
        #: Routes of that configuration.
        self.routes = _routes.RouteTable(())
        #: Client accounts of that configuration.
        self.accounts = accounts.AccountTable(None)
        #: Targets by id.
        self.targets: dict[str, _contracts.Target] = {}
        #: Era of the log from which the entries of targets were read, 0 if
        #: the log named none, and the offset up to which they were.
        self.era = 0
        self.through = 0
        #: Monotonic time at which a target without an entry is dropped, by
        #: id.
        self._drop_at: dict[str, float] = {}
        #: Monotonic time of the last read up to the end of the log.
        self._read_at = float("-inf")
        #: Monotonic time at which the configuration was last known to be the
        #: newest one in the log.
        self._config_read_at = float("-inf")
        #: Monotonic time at which the log last became available again.
        self._log_back_at = float("-inf")
        # Monotonic time of the last answer of the log that is known, to this
        # instance or another one.
        self._answered_at = float("-inf")
        # Ids of targets updated since the last batch, and the last batches:
        # the offset before each and the ids of the targets in it.
        self._changed: set[str] = set()
        self._batches: collections.deque[tuple[int, frozenset[str]]] = (
            collections.deque(maxlen=MAX_BATCHES)
        )
        #: Entries of targets that were seen, here or by those who told.
        self.seen = _seen_targets.SeenTargets(clock)
        #: Whether the log is unavailable, or was not read yet.
        self.log_unavailable = True
        #: Whether a read of the log failed and none has succeeded since.
        self.read_failed = False
        # Monotonic time of the last failed read, in seconds.
        self._failed_at = float("-inf")

    def age_s(self) -> float:
        """Return the seconds since the last read up to the end of the log."""
        return self._clock.monotonic() - self._read_at

    def config_age_s(self) -> float:
        """Return the seconds since the configuration was the newest one."""
        return self._clock.monotonic() - self._config_read_at

    @property
    def config_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def record_read(self) -> None:
        """Record that the entries of targets were read up to the end."""
        now = self._clock.monotonic()
        self._record_answer(now)
        self.log_unavailable = self.read_failed = False
        self._read_at = now

    def record_peer_read(self, age_s: float) -> None:
        """Record that the log answered a peer so many seconds ago."""
        self._record_answer(self._clock.monotonic() - age_s)

    def _record_answer(self, at: float) -> None:
        """Record that the log answered an instance at a monotonic time.

        One that only this instance could not reach has lost no entries of
        live targets, so none of them is awaited.
        """
        if at - self._answered_at >= AWAY_S:
            self._log_back_at = max(self._log_back_at, at)
        self._answered_at = max(self._answered_at, at)

    def record_config_read(self, through: int | None = None) -> None:
        """Record that the configuration is the newest one in the log.

        ``through`` is the offset up to which the log was read; ``None`` if
        it is the same as before.
        """
        self._config_read_at = self._clock.monotonic()
        if through is not None:
            self.config_position = (self.config_position[0], through)

    def begin_config_era(self, era: int) -> None:
        """Record that configurations are read from another era of the log."""
        self.config_position = (era, 0)

    def read_state(self) -> _contracts.ReadState:
        """Return what was read of the log, here or by peers, and its age."""
        return _contracts.ReadState(
            self.config_version,
            self.position,
            self.config_age_s(),
            self.age_s(),
        )

    def behind(self, state: _contracts.ReadState) -> bool:
        """Return whether a peer has read further."""
        return (
            state.config_version > self.config_version
            or state.position > self.position
        )

    def merge_read_state(self, state: _contracts.ReadState) -> None:
        """Count what a peer has read as read, as far as it is the same.

        If the peer has read the log since a read failed here, the log is
        available.
        """
        now = self._clock.monotonic()
        if state.config_version == self.config_version:
            at = now - state.config_age_s - REPORT_S
            self._config_read_at = max(self._config_read_at, at)
        at = now - state.targets_age_s - REPORT_S
        if state.position != self.position or at <= self._read_at:
            return
        self._read_at = at
        if at > self._failed_at and self.read_failed:
            self.log_unavailable = self.read_failed = False

    def record_unavailable(self) -> None:
        """Record that the log gave no answer."""
        self.log_unavailable = self.read_failed = True
        self._failed_at = self._clock.monotonic()

    def begin_era(self, era: int) -> None:
        """Record that the entries of targets are those of another era.

        Entries that a restored copy lacks are written again by their targets,
        like those that expired while the log was unavailable.
        """
        self._log_back_at = self._clock.monotonic()
        for name in self._drop_at:
            # A copy from before the removal holds the entry still.
            self._gone_targets.record(self.targets[name], self.era)
            self._drop_at[name] = self._log_back_at + RETURN_HOLD_S
        self.era = era
        self.through = 0

    @property
    def position(self) -> tuple[int, int]:
        """Era of the log and offset up to which targets were read."""
        return self.era, self.through

    def apply_configuration(
        self, configuration: _contracts.Configuration, source: str
    ) -> bool:
        """Put a configuration in force if it is newer than the present one.

        Returns whether it was put in force.
        """
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.configuration = configuration
        self.config_patches.record(configuration)
        self.caller_limits.apply(configuration.limits)
        self.routes = _routes.RouteTable(configuration.routes)
        self.accounts = accounts.AccountTable(
            configuration.client_accounts, self.accounts
        )
        _log.info(
            "catalogue: configuration in force",
            extra={
                "config_version": configuration.version,
                "source": source,
                "routes": len(configuration.routes),
            },
        )
        self._on_change()
        return True

    def replace_targets(
        self,
        targets: collections.abc.Mapping[str, _contracts.Target],
        through: int,
    ) -> None:
        """Replace all targets; those that are not given count as missing.

        Unlike changes, they do not show what has joined and left meanwhile.
        """
        seen = self.seen.stretch(self.era, through, through)
        self._replace_targets(targets, seen, "listing")

    def _replace_targets(
        self,
        targets: collections.abc.Mapping[str, _contracts.Target],
        seen: decisions.LogStretch,
        source: str,
    ) -> None:
        for name in list(self.targets):
            if name not in targets:
                self._mark_missing(name)
        for name, target in targets.items():
            self.seen.note(target)
            if not self._gone_targets.hold_back(target, self.era):
                self._upsert(name, target)
        self.seen.advance(seen, source)
        self.through = seen.through
        self._changed.clear()
        self._batches.clear()
        self._on_change()

    def update_target(
        self, name: str, target: _contracts.Target | None
    ) -> None:
        """Apply the new entry of a target, or with ``None`` its removal."""
        self._gone_targets.forget(name)
        self._changed.add(name)
        if target is None:
            self._mark_missing(name)
        else:
            self.seen.note(target)
            self._upsert(name, target)

    def end_batch(self, through: int) -> None:
        """Report a batch of updates, read up to an offset, to the listener.

        They are all records from the last offset on.
        """
        seen = self.seen.stretch(self.era, self.through, through)
        self._end_batch(seen, "log")

    def _end_batch(self, seen: decisions.LogStretch, source: str) -> None:
        if seen.through != self.through:
            self._batches.append((self.through, frozenset(self._changed)))
            self._changed.clear()
        self.seen.advance(seen, source)
        self.through = seen.through
        self._on_change()

    def _upsert(self, name: str, target: _contracts.Target) -> None:
        known = self.targets.get(name)
        if known is not None and _is_older_announcement(target, known):
            return
        self._drop_at.pop(name, None)
        self.targets[name] = target
        if known is None or known.state is not target.state:
            self._log_change(target, target.state)

    def vouch(
        self,
        seen: decisions.LogStretch,
        ages: _seen_targets.VersionTimes,
        source: str,
    ) -> None:
        """Count records as seen that somebody else has seen.

        ``ages`` are of the versions in them and in the entries before them.
        """
        self.seen.vouch(seen, ages, source)
        self._on_change()

    def _mark_missing(self, name: str) -> None:
        """Drop a target whose entry is gone.

        An active one is held first, as its entry may come back.
        """
        target = self.targets.get(name)
        if target is None:
            return
        now = self._clock.monotonic()
        if target.state is not _types.TargetState.ACTIVE:
            self._remove(name)
            return
        until = max(now + HOLD_S, self._log_back_at + RETURN_HOLD_S)
        self._drop_at.setdefault(name, until)

    def _remove(self, name: str) -> None:
        self._drop_at.pop(name, None)
        target = self.targets.pop(name)
        self._gone_targets.record(target, self.era)
        self._log_change(target, _types.TargetState.WITHDRAWN)

    def expire(self) -> None:
        """Drop missing targets whose hold time is over.

        Puts entries into use that a restored log still has.
        """
        now = self._clock.monotonic()
        expired = [name for name, at in self._drop_at.items() if now >= at]
        for name in expired:
            self._remove(name)
        released = self._gone_targets.release()
        for target in released:
            self._changed.add(target.id)
            self._upsert(target.id, target)
        if expired or released:
            self._on_change()

    def snapshot(
        self, known: _contracts.ReadState | None = None
    ) -> _contracts.Snapshot:
        """Return the view to send to a peer, without missing targets.

        ``known`` is what the peer has read. It gets only what has changed
        since, if that is known here.
        """
        configuration = self.configuration
        if known is not None and known.config_version >= self.config_version:
            configuration = None
        changed = self._changed_since(known)
        present = {
            name: target
            for name, target in self.targets.items()
            if name not in self._drop_at
        }
        removed: tuple[str, ...] = ()
        if changed is not None:
            removed = tuple(sorted(changed - present.keys()))
            present = {n: t for n, t in present.items() if n in changed}
        back_s = self._clock.monotonic() - self._log_back_at
        return _contracts.Snapshot(
            configuration,
            tuple(present.values()),
            self.through,
            min(self.age_s(), NEVER_READ_S),
            self.era,
            known.position[1] if known and changed is not None else None,
            removed,
            back_s if math.isfinite(back_s) else None,
            self.config_version,
            self.config_position,
            self.seen.tell(),
        )

    def _changed_since(
        self, known: _contracts.ReadState | None
    ) -> set[str] | None:
        """Return the ids of targets that have changed since a peer's read.

        ``None`` if that is not known, so that the peer needs all targets.
        """
        if known is None or known.position[0] != self.era:
            return None
        if known.position[1] == self.through:
            return set()
        changed: set[str] = set()
        for before, names in reversed(self._batches):
            changed |= names
            if before == known.position[1]:
                return changed
        return None

    def merge_snapshot(self, snapshot: _contracts.Snapshot, peer: str) -> None:
        """Merge the view of a peer that may have read the log further.

        Targets are replaced only if the peer's log offset is higher than
        the own one, or of a newer era. What the peer has seen counts as seen.
        """
        configuration = snapshot.configuration
        if configuration is not None and self._is_whole(configuration):
            self.apply_configuration(configuration, f"peer {peer}")
        self._merge_config_position(snapshot)
        self.log_era.observe(snapshot.era or None)
        if snapshot.era < self.era:
            return
        if (snapshot.era, snapshot.through) > self.position:
            merged = self._merge_targets(snapshot, peer)
        else:
            merged = self._merge_seen(snapshot, peer)
        if merged:
            self.seen.hear(peer, snapshot)

    def _merge_seen(self, snapshot: _contracts.Snapshot, peer: str) -> bool:
        """Count what a peer has seen as seen; return whether it is needed."""
        if snapshot.seen is None or not self.seen.missed_lately:
            return False
        seen = self.seen.stretch_of(snapshot)
        self.vouch(seen, snapshot.seen.versions, f"peer {peer}")
        return True

    def _merge_targets(self, snapshot: _contracts.Snapshot, peer: str) -> bool:
        """Merge the targets of a peer that has read further.

        Returns ``False`` if its changes do not fit what is known here.
        """
        changes = snapshot.base is not None
        if changes and self.position != (snapshot.era, snapshot.base):
            # Another read has come first.
            return False
        self.record_peer_read(snapshot.age_s)
        if snapshot.era != self.era:
            self.begin_era(snapshot.era)
        if snapshot.seen is not None:
            self.seen.note_versions(snapshot.seen.versions)
        seen = self.seen.stretch_of(snapshot)
        if not changes:
            targets = {target.id: target for target in snapshot.targets}
            self._replace_targets(targets, seen, f"peer {peer}")
            return True
        for target in snapshot.targets:
            self.update_target(target.id, target)
        for name in snapshot.removed:
            self.update_target(name, None)
        self._end_batch(seen, f"peer {peer}")
        return True

    def _merge_config_position(self, snapshot: _contracts.Snapshot) -> None:
        """Take over how far a peer has read what is in force here too.

        The log need not be read again up to there: a configuration may have
        hundreds of kilobytes.
        """
        if (
            snapshot.config_position is not None
            and snapshot.config_version
            and snapshot.config_version <= self.config_version
        ):
            self.log_era.observe(snapshot.config_position[0] or None)
            self.config_position = max(
                self.config_position, snapshot.config_position
            )

    def _is_whole(self, received: _contracts.Configuration) -> bool:
        """Return whether a peer's configuration may be put in force.

        Releases that know no accounts leave them out. That they left out
        nothing is believed only if there are no accounts here.
        """
        present = self.configuration
        return received.accounts_known or (
            present is not None and present.client_accounts is None
        )

    def _log_change(
        self, target: _contracts.Target, state: _types.TargetState
    ) -> None:
        _log.info(
            "catalogue: target changed",
            extra={
                "target": target.id,
                "service": target.service,
                "state": str(state),
                "through": self.through,
            },
        )


def _is_older_announcement(
    received: _contracts.Target, known: _contracts.Target
) -> bool:
    """Return whether an announcement was made before the known one.

    Announcements may reach the log out of order: a write whose outcome is
    unknown to the target may be carried out seconds later.
    """
    if received.born_ms != known.born_ms:
        return received.born_ms < known.born_ms
    return received.sequence < known.sequence
