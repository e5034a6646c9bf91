"""When failures that had no verdict are looked at again."""

import dataclasses

#: Time after a look without a verdict until the next one, and the longest such
#: time, in seconds; it doubles.
FIRST_S = 1.0
LONGEST_S = 16.0

_NEVER = float("inf")


@dataclasses.dataclass(slots=True)
class _NextLook:
    #: Monotonic time, in seconds; infinite while one is under way.
    at: float
    #: Time from the end of the last look until then, in seconds.
    after_s: float


class NextLooks:
    """Times of the next looks, by service."""

    __slots__ = ("_looks",)

    def __init__(self) -> None:
        self._looks: dict[str, _NextLook] = {}

    def __len__(self) -> int:
        return len(self._looks)

    @property
    def due_at(self) -> float:
        """Monotonic time of the first one, in seconds; may be infinite."""
        return min((look.at for look in self._looks.values()), default=_NEVER)

    def take_due(self, now: float) -> list[str]:
        """Return the services to look at now, a monotonic time in seconds."""
        due = [name for name, look in self._looks.items() if look.at <= now]
        for name in due:
            self._looks[name].at = _NEVER
        return due

    def plan(self, service: str, now: float) -> None:
        """Plan a look after one that ended at ``now`` without a verdict."""
        before = self._looks.get(service)
        after_s = FIRST_S
        if before is not None:
            after_s = min(2 * before.after_s, LONGEST_S)
        self._looks[service] = _NextLook(now + after_s, after_s)

    def forget(self, service: str) -> None:
        """Plan no further look at a service, as nothing fails there."""
        self._looks.pop(service, None)
