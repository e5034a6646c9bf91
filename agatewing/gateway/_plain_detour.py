"""One path of a request to a plain service: through one peer at a time."""

import collections.abc

import gevent

from agatewing.gateway import _context
from agatewing.gateway import _detour
from agatewing.gateway import _messages
from agatewing.gateway import _plain_path
from agatewing.gateway import _race


class PlainDetour:
    """Hands a request on; retries as long as it is the only path."""

    __slots__ = (
        "_ctx",
        "_job",
        "_race",
        "_keep",
        "_detour",
        "_closed",
        "silent_at",
    )

    def __init__(
        self,
        ctx: _context.HandlerContext,
        job: _context.Job,
        race: "_race.Race[_plain_path.PlainWay]",
        keep: collections.abc.Callable[[_plain_path.Delivery], None],
    ) -> None:
        self._ctx = ctx
        self._job = job
        self._race = race
        # Called with an error answer that is not forwarded while another
        # target is awaited.
        self._keep = keep
        self._detour = _detour.Detour(ctx, job, lambda: race.others(self))
        self._closed = False
        #: Monotonic time at which it counts as silent, in seconds.
        self.silent_at = _race.NEVER

    @property
    def counted(self) -> bool:
        """Whether the targets that may have the request were counted."""
        return self._detour.counted

    @property
    def links_back(self) -> bool:
        """Whether it ended because this instance reaches the targets."""
        return self._detour.links_back

    def next(self) -> _plain_path.Delivery:
        """Return the answer.

        Raises :class:`GatewayRefusedError` if it fails while another path is
        open, or if no further send is allowed.
        """
        job = self._job
        while True:
            if self._closed:
                raise gevent.GreenletExit
            if job.attempts.idempotent:
                now = self._ctx.clock.monotonic()
                left_s = job.deadline - now
                self._expect(now + left_s * _plain_path.SILENT_SHARE)
            begun = self._detour.begin(_detour.ResumePoint())
            outcome = self._ctx.sender.read_whole(
                begun.head, begun.channel, job.deadline
            )
            self._expect(_race.NEVER)
            if not isinstance(outcome, _messages.Answered):
                begun.channel.close()
                self._detour.fail(outcome)
                continue
            begun.channel.release()
            _context.record_begun(self._ctx, job)
            delivery = _plain_path.Delivery(outcome, begun.source)
            if outcome.head.status < 500:
                return delivery
            counted = self._detour.counted
            if self._race.others(self):
                self._keep(delivery)
                self._detour.close()
                raise _context.give_up_error(job, "the target failed")
            if not _plain_path.prepare_error_retry(
                self._ctx, job, outcome, counted, self._detour.targets
            ):
                return delivery
            # It is forwarded if no target answers better.
            self._keep(delivery)
            job.excluded.add(begun.source.target)
            # They hold its body, in no room by now unless it was kept.
            del outcome, delivery

    def _expect(self, silent_at: float) -> None:
        """Set when the path counts as silent."""
        self.silent_at = silent_at
        self._race.expect(silent_at)

    def mark_silent(self) -> None:
        """Let another path try while this one is silent."""
        self._detour.mark_silent()

    def record_loss(self) -> None:
        """Do nothing: a peer that is slow is no worse for other requests."""

    def close(self) -> None:
        """Send nothing more; the connection closes with the greenlet."""
        self._closed = True
