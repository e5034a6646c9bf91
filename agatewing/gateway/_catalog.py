"""What the instance knows of configuration and targets, and how surely.

The newest configuration is kept for good: an older one never replaces it.
Targets follow their entries. An entry that is removed without a notice of
leaving may have lapsed while the log was away though its target lives, so
the target is held for a while; what is missing then is gone.
"""

import collections.abc
import logging

from agatewing import _clock
from agatewing import _types
from agatewing.gateway import _contracts
from agatewing.gateway import _routes

_log = logging.getLogger("agatewing.catalogue")

#: Time for which a target is held whose entry was removed without a notice
#: of leaving, in seconds. It may be leaving all the same, and gets work for
#: two seconds from the removal at most: the read that shows it is up to
#: 0.8 s late, the look that drops it 0.4 s.
HOLD_S = 0.5
#: The same after the log was away, counted from its return: living targets
#: are back within about two seconds (platform's promise).
RETURN_HOLD_S = 2.0


class Catalog:
    """Configuration, targets and instances, as last known."""

    __slots__ = (
        "_clock",
        "_on_change",
        "configuration",
        "routes",
        "targets",
        "through",
        "_missing",
        "_read_at",
        "_back_at",
        "away",
        "refused",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        on_change: collections.abc.Callable[[], None],
    ) -> None:
        self._clock = clock
        self._on_change = on_change
        #: Configuration in force; ``None`` before the first.
        self.configuration: _contracts.Configuration | None = None
        #: Its routes.
        self.routes = _routes.RouteTable(())
        #: Targets by id.
        self.targets: dict[str, _contracts.Target] = {}
        #: Offset up to which entries of targets were read.
        self.through = 0
        self._missing: dict[str, float] = {}
        self._read_at = float("-inf")
        self._back_at = float("-inf")
        #: Whether the log gives no answers.
        self.away = True
        #: Whether the log was asked and gave none.
        self.refused = False

    def age_s(self) -> float:
        """Return the seconds since the end of the log was known."""
        return self._clock.monotonic() - self._read_at

    @property
    def config_version(self) -> int:
        """Version of the configuration in force; 0 before the first."""
        return self.configuration.version if self.configuration else 0

    def note_read(self) -> None:
        """Note that the entries of targets were read to their end."""
        now = self._clock.monotonic()
        if self.away:
            self._back_at = now
        self.away = self.refused = False
        self._read_at = now

    def note_away(self) -> None:
        """Note that the log gave no answer."""
        self.away = self.refused = True

    def take_configuration(
        self, configuration: _contracts.Configuration, source: str
    ) -> bool:
        """Put a configuration in force unless a newer one is."""
        present = self.configuration
        if present is not None and configuration.version <= present.version:
            return False
        self.configuration = configuration
        self.routes = _routes.RouteTable(configuration.routes)
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

    def take_all(
        self,
        targets: collections.abc.Mapping[str, _contracts.Target],
        through: int,
    ) -> None:
        """Take every present entry; what is not among them is missing."""
        for name in list(self.targets):
            if name not in targets:
                self._lose(name)
        for name, target in targets.items():
            self._keep(name, target)
        self.through = through
        self._on_change()

    def take_change(self, name: str, target: _contracts.Target | None) -> None:
        """Take the new entry of a target, or its removal."""
        if target is None:
            self._lose(name)
        else:
            self._keep(name, target)

    def changed(self, through: int) -> None:
        """End a batch of changes."""
        self.through = through
        self._on_change()

    def _keep(self, name: str, target: _contracts.Target) -> None:
        old = self.targets.get(name)
        if old is not None and _is_older(target, old):
            return
        self._missing.pop(name, None)
        self.targets[name] = target
        if old is None or old.state is not target.state:
            self._tell(target, target.state)

    def _lose(self, name: str) -> None:
        """Drop a target, or hold it while its entry may come back."""
        target = self.targets.get(name)
        if target is None:
            return
        now = self._clock.monotonic()
        if target.state is not _types.TargetState.ACTIVE:
            self._drop(name)
            return
        until = max(now + HOLD_S, self._back_at + RETURN_HOLD_S)
        self._missing.setdefault(name, until)

    def _drop(self, name: str) -> None:
        self._missing.pop(name, None)
        target = self.targets.pop(name)
        self._tell(target, _types.TargetState.WITHDRAWN)

    def expire(self) -> None:
        """Drop targets whose entries did not come back."""
        now = self._clock.monotonic()
        gone = [name for name, at in self._missing.items() if now >= at]
        for name in gone:
            self._drop(name)
        if gone:
            self._on_change()

    def snapshot(self) -> _contracts.Snapshot:
        """Return what a peer may be told."""
        targets = tuple(
            target
            for name, target in self.targets.items()
            if name not in self._missing
        )
        return _contracts.Snapshot(
            self.configuration, targets, self.through, self.age_s()
        )

    def take_snapshot(self, snapshot: _contracts.Snapshot, peer: str) -> None:
        """Learn from a peer what could not be read from the log.

        Offsets tell which of the two read further in the log.
        """
        if snapshot.configuration is not None:
            self.take_configuration(snapshot.configuration, peer)
        if snapshot.through <= self.through:
            return
        told = {target.id: target for target in snapshot.targets}
        for name in list(self.targets):
            if name not in told:
                self._lose(name)
        for name, target in told.items():
            self._keep(name, target)
        self.through = snapshot.through
        self._on_change()

    def _tell(
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


def _is_older(new: _contracts.Target, old: _contracts.Target) -> bool:
    """Return whether an announcement was made before the known one.

    A write whose answer was lost may be carried out seconds later.
    """
    if new.born_ms != old.born_ms:
        return new.born_ms < old.born_ms
    return new.sequence < old.sequence
