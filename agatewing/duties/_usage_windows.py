"""Windows of the wall clock, by which usage is reported."""

import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class Windows:
    """Windows of the wall clock."""

    #: Length of a window, in seconds.
    length_s: float
    #: Time from its end within which its report is due, in seconds.
    late_s: float

    def at(self, wall_s: float) -> int:
        """Return the window of a time, in seconds since 1970."""
        return math.floor(wall_s / self.length_s)

    def begin_s(self, window: int) -> float:
        """Return when a window begins, in seconds since 1970."""
        return window * self.length_s

    def end_s(self, window: int) -> float:
        """Return when a window ends, in seconds since 1970."""
        return self.begin_s(window + 1)
