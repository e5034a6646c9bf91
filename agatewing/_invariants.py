"""Runtime checks of the system's invariants, in production as in tests."""

import collections
import enum

from agatewing import _exceptions
from agatewing import timeline


class Invariant(enum.StrEnum):
    """A condition that must always hold; the value names it in metrics."""

    ONE_ORDER = "an engine gets no conflicting orders"
    WHOLE_ANSWERS = "answers are whole and in order"
    LEASED_ORDERS = "orders are sent under a valid lease only"
    OWN_ANSWER = "a caller gets the answer to its own request"
    TRUE_NOT_RUN = "not-run is said of calls that were not sent"
    AT_MOST_ONCE = "an attempt sends at most once"
    LEAVING_TARGET = "a leaving target gets no new work"
    GRACEFUL_STOP = "a planned stop cuts nothing off"
    NO_REVERT = "the configuration never goes back"


class Invariants:
    """Checks invariants and counts violations; raises in strict mode."""

    __slots__ = ("_events", "strict", "check_counts", "violation_counts")

    def __init__(
        self, events: timeline.EventRecorder, strict: bool = False
    ) -> None:
        self._events = events
        #: Whether a violation raises :class:`InvariantError`.
        self.strict = strict
        #: Number of checks by invariant.
        self.check_counts: collections.Counter[Invariant] = (
            collections.Counter()
        )
        #: Number of violations by invariant.
        self.violation_counts: collections.Counter[Invariant] = (
            collections.Counter()
        )

    def check(self, invariant: Invariant, holds: bool, detail: str) -> None:
        """Count one check of an invariant; record a violation.

        Raises :class:`InvariantError` on a violation in strict mode.
        """
        self.check_counts[invariant] += 1
        if holds:
            return
        self.violation_counts[invariant] += 1
        self._events.add(
            timeline.EventKind.INVARIANT_BROKEN,
            detail=f"{invariant}: {detail}",
        )
        if self.strict:
            raise _exceptions.InvariantError(invariant, detail)
