"""Targets that are gone, which an older copy of the log may bring back.

A copy may hold the entry of a target that has left since. Nobody writes that
entry again, and the log removes it as it does those of silent targets. Until
then the target counts as gone, unless it announces itself anew.
"""

import dataclasses

from agatewing import _clock
from agatewing.gateway import _contracts

#: Time for which departed targets are remembered, in seconds; a copy of the
#: log is some seconds old when it is restored.
KEEP_S = 60.0
#: Time for which the entry of a departed target is held back, in seconds; the
#: log removes the entry of a target that is silent for three heartbeats of
#: 1.2 s.
HOLD_BACK_S = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class _GoneTarget:
    """A target that is gone."""

    #: Its last announcement.
    target: _contracts.Target
    #: Era of the log in which it went.
    era: int
    #: Monotonic time, in seconds.
    at: float


class GoneTargets:
    """Remembers departed targets and holds their old entries back."""

    __slots__ = ("_clock", "_departed", "_held_back")

    def __init__(self, clock: _clock.Clock) -> None:
        self._clock = clock
        self._departed: dict[str, _GoneTarget] = {}
        # Entries held back, and the monotonic times until then, by id.
        self._held_back: dict[str, tuple[_contracts.Target, float]] = {}

    def record(self, target: _contracts.Target, era: int) -> None:
        """Record that a target is gone, in an era of the log."""
        now = self._clock.monotonic()
        self._departed[target.id] = _GoneTarget(target, era, now)

    def hold_back(self, target: _contracts.Target, era: int) -> bool:
        """Return whether an entry is of a target that went in an older era.

        The entry was read from a restored copy, or came from a peer. Such an
        entry is held back.
        """
        departure = self._departed.get(target.id)
        if departure is None or departure.era >= era:
            return False
        gone = departure.target
        if (target.born_ms, target.sequence) > (gone.born_ms, gone.sequence):
            return False
        until = self._clock.monotonic() + HOLD_BACK_S
        self._held_back.setdefault(target.id, (target, until))
        return True

    def forget(self, name: str) -> None:
        """Forget what is held back of a target that was written or removed."""
        self._held_back.pop(name, None)

    def release(self) -> list[_contracts.Target]:
        """Return the entries that are held back no longer.

        The log would have removed the entry of a silent target by then.
        """
        now = self._clock.monotonic()
        self._departed = {
            name: departure
            for name, departure in self._departed.items()
            if now - departure.at < KEEP_S
        }
        due = [
            target
            for target, until in self._held_back.values()
            if now >= until
        ]
        for target in due:
            del self._held_back[target.id]
            self._departed.pop(target.id, None)
        return due
