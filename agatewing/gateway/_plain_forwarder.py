"""Forwards requests to plain services; answers are sent in one piece."""

from agatewing.gateway import _answer_room
from agatewing.gateway import _context
from agatewing.gateway import _messages
from agatewing.gateway import _plain_detour
from agatewing.gateway import _plain_path
from agatewing.gateway import _race
from agatewing.gateway import _refusals


class PlainForwarder:
    """Handler of requests to plain services."""

    __slots__ = ("_ctx",)

    def __init__(self, ctx: _context.HandlerContext) -> None:
        self._ctx = ctx

    def handle(self, job: _context.Job) -> None:
        """Answer one request; raise ``GatewayRefusedError`` if refused."""
        PlainRequest(self._ctx, job).run()


class PlainRequest:
    """One request to a plain service, on one or several paths."""

    __slots__ = ("_ctx", "_job", "_race", "_failure", "_failure_share")

    def __init__(
        self, ctx: _context.HandlerContext, job: _context.Job
    ) -> None:
        self._ctx = ctx
        self._job = job
        # Paths that are followed while none of them delivers.
        self._race: _race.Race[_plain_path.PlainWay] = _race.Race(
            ctx.clock, self._is_final
        )
        # An error answer that was not forwarded, as others were awaited, and
        # its room.
        self._failure: _plain_path.Delivery | None = None
        self._failure_share: _answer_room.Share | None = None

    def run(self) -> None:
        """Answer the request; raise ``GatewayRefusedError`` if refused."""
        path = self._new_path(False)
        try:
            while True:
                try:
                    self._forward(self._follow(path))
                    return
                except _refusals.GatewayRefusedError:
                    next_path = self._path_after(path)
                    if next_path is None:
                        raise
                    path = next_path
        finally:
            self._take_failure()

    def _follow(self, path: _plain_path.PlainWay) -> _plain_path.Delivery:
        """Return the answer of a path, or of others while it is silent."""
        attempts = self._job.attempts
        if not attempts.idempotent or not attempts.another_left:
            return path.next()
        self._race.add(path)
        try:
            return self._race.wait(self._hedge)[1]
        except _refusals.GatewayRefusedError:
            failure = self._take_failure()
            if failure is None:
                raise
            return failure
        finally:
            self._race.close()

    def _new_path(self, hedge: bool) -> _plain_path.PlainWay:
        if _context.needs_detour(self._ctx, self._job):
            return self._new_detour()
        return _plain_path.PlainPath(
            self._ctx, self._job, self._race, self._keep, hedge
        )

    def _new_detour(self) -> _plain_detour.PlainDetour:
        return _plain_detour.PlainDetour(
            self._ctx, self._job, self._race, self._keep
        )

    def _path_after(
        self, failed: _plain_path.PlainWay
    ) -> _plain_path.PlainWay | None:
        """Return a path of the other kind; ``None`` if none may follow."""
        if isinstance(failed, _plain_detour.PlainDetour):
            return self._new_path(False) if failed.links_back else None
        if _context.may_go_on_at_peer(self._ctx, self._job):
            return self._new_detour()
        return None

    def _keep(self, failure: _plain_path.Delivery) -> None:
        """Keep an error answer while others are awaited.

        Without room for it, the request is refused if no other one comes.
        """
        share = self._ctx.sender.keep(len(failure.answer.body))
        if share is not None:
            self._take_failure()
            self._failure, self._failure_share = failure, share

    def _take_failure(self) -> _plain_path.Delivery | None:
        """Return the error answer that was kept, and give its room back."""
        failure, self._failure = self._failure, None
        share, self._failure_share = self._failure_share, None
        if share is not None:
            self._ctx.sender.drop(share)
        return failure

    def _is_final(self) -> bool:
        return False

    def _hedge(self) -> _plain_path.PlainWay | None:
        """Return a path to try beside silent ones; ``None`` if not allowed."""
        running = self._race.running()
        uncounted = sum(not path.counted for path in running)
        if not _context.may_hedge(self._ctx, self._job, uncounted):
            return None
        for path in running:
            path.mark_silent()
        return self._new_path(True)

    def _forward(self, delivery: _plain_path.Delivery) -> None:
        answer = delivery.answer
        fields = without_content_length(answer.head.headers)
        self._job.source = delivery.source
        with self._ctx.sender.delivering(len(answer.body)):
            self._job.conn.answer(answer.head.status, fields, answer.body)
        _context.record_answer(
            self._ctx, self._job, delivery.source, answer.head
        )


def without_content_length(
    headers: _messages.Headers,
) -> list[tuple[bytes, bytes]]:
    """Return headers without Content-Length, which is set again."""
    return [(k, v) for k, v in headers if k.lower() != b"content-length"]
