"""What to do after a send that brought no answer.

Pattern answered: engines that crash, shed or hang while requests that must
not run twice are under way. Only a proof that nothing ran allows another
send of such a request; the rest is bounded by the route and by the budget.
"""

import dataclasses
import enum


class Failure(enum.StrEnum):
    """How a send ended without an answer."""

    #: No connection came about.
    NOT_SENT = "not-sent"
    #: The target proved that it did not run the request.
    NOT_RUN = "not-run"
    #: The request may have run.
    UNKNOWN = "unknown"
    #: The time that this send was given is over.
    OVERDUE = "overdue"


class Next(enum.StrEnum):
    """What comes after a failure."""

    #: Send to another target; costs nothing, nothing had arrived.
    ANOTHER_FREE = "another-free"
    #: Send to another target, within the retry budget.
    ANOTHER = "another"
    #: Send again without the KV cache that could not be fetched; it counts
    #: as the same target.
    SAME_WITHOUT_CACHE = "same-without-cache"
    #: Answer that the request has not run.
    REFUSE = "refuse"
    #: Answer that the request failed and may have run.
    FAIL = "fail"


@dataclasses.dataclass(slots=True)
class Attempts:
    """The sends of one caller's attempt so far."""

    #: Whether the request may run more than once.
    idempotent: bool
    #: Targets to which it may be sent.
    max_targets: int
    #: Targets that it reached.
    targets: int = 0
    #: Whether it may have run somewhere.
    maybe_ran: bool = False

    def after(self, failure: Failure, used_cache: bool = False) -> Next:
        """Take a failure in and return what to do.

        ``used_cache`` says whether the send named a KV cache to fetch.
        """
        if failure is Failure.NOT_SENT:
            return Next.ANOTHER_FREE
        if failure is Failure.NOT_RUN and used_cache:
            return Next.SAME_WITHOUT_CACHE
        self.targets += 1
        if failure is not Failure.NOT_RUN:
            self.maybe_ran = True
            if not self.idempotent:
                return Next.FAIL
        if self.targets < self.max_targets:
            return Next.ANOTHER
        return Next.FAIL if self.maybe_ran else Next.REFUSE

    @property
    def another_left(self) -> bool:
        """Whether another target may follow the next one."""
        return self.targets + 1 < self.max_targets
