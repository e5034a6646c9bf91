"""What is decided of the reports of usage, as the record of a claim holds it.

The figures of a window are decided once, by the append of a claim's record
that names them. Each record is appended under the condition that the one it
was made from is the last one, and takes over what that one holds. So all
records of the log agree on the figures of a window, and only figures of a
record are ever sent.
"""

import collections.abc
import dataclasses

import msgspec

from agatewing.duties import _usage_counts


#: Windows beyond those that are over which a lost record may have decided: the
#: clock of its holder may have been ahead.
AHEAD_WINDOWS = 1


class UsageLedger(msgspec.Struct, frozen=True, omit_defaults=True):
    """Reports of usage that are decided."""

    # Last window that is decided; all before are too.
    through: int
    # Era of the log in which the record was to be written.
    era: int | None = None
    # Figures that may not have been accepted yet: requests that began, by
    # window and account.
    open: dict[int, dict[str, int]] = {}


@dataclasses.dataclass(frozen=True, slots=True)
class Deciding:
    """What an instance knows as it decides on windows."""

    #: Last window that is over for long enough.
    over: int
    #: Era of the log as known; ``None`` if it names none.
    era: int | None
    #: Windows whose reports were accepted.
    accepted: collections.abc.Container[int]
    #: Returns the figures of a window; ``None`` if nobody has seen it whole.
    figures: collections.abc.Callable[[int], dict[str, int] | None]
    #: First window in which a request is known to begin; ``None`` if there
    #: is none.
    first: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unreadable:
    """There is a record of a claim, but not what it decided."""


def decide(
    before: UsageLedger | Unreadable | None, deciding: Deciding
) -> UsageLedger | None:
    """Return what the next record decides, from that of the last one.

    ``before`` is ``None`` if there was never a claim. Returns ``None`` then,
    unless a request has begun in a window that is over. Windows that an
    unreadable record, or one that a restored log has lost, may have decided
    are left out.
    """
    match before:
        case None:
            if deciding.first is None or deciding.first > deciding.over:
                return None
            last = deciding.first - 1
            decided: dict[int, dict[str, int]] = {}
        case Unreadable():
            last, decided = deciding.over + AHEAD_WINDOWS, {}
        case UsageLedger(through=last, era=era, open=decided):
            if era != deciding.era:
                last = max(last, deciding.over + AHEAD_WINDOWS)
    oldest = deciding.over - _usage_counts.KEEP_WINDOWS
    still_open = {
        window: counts
        for window, counts in decided.items()
        if window not in deciding.accepted and window > oldest
    }
    for window in range(max(last, oldest) + 1, deciding.over + 1):
        counts = deciding.figures(window)
        if counts is not None:
            still_open[window] = counts
    return UsageLedger(max(last, deciding.over), deciding.era, still_open)
