"""One connection of a peer: reads requests, writes answers."""

import collections.abc
import contextlib
import dataclasses
import typing

import gevent

from agatewing import _types
from agatewing import detour
from agatewing.gateway import _caller_conn
from agatewing.gateway import _context
from agatewing.gateway import _messages
from agatewing.gateway import _refusals
from agatewing import wire


class HopConn:
    """Connection on which a peer hands on requests, one by one.

    To the handlers it is like the connection of a caller.
    """

    __slots__ = (
        "_hop",
        "_ctx",
        "_handler_greenlet",
        "_watch",
        "_started",
        "_answered",
        "_offered",
        "job",
        "refused",
        "busy",
        "closing",
    )

    def __init__(
        self,
        hop: detour.HopAnswer,
        ctx: _context.HandlerContext,
    ) -> None:
        self._hop = hop
        self._ctx = ctx
        self._handler_greenlet: gevent.Greenlet = gevent.getcurrent()
        # Notices that the peer leaves during a request.
        self._watch: gevent.Greenlet | None = None
        self._started = False
        self._answered = False
        self._offered: wire.HopRequest | None = None
        #: Present request once it was accepted; ``None`` before that.
        self.job: _context.Job | None = None
        #: Whether the present request was refused.
        self.refused = False
        #: Whether a request is in flight.
        self.busy = False
        #: Not used: the peer is told with each request.
        self.closing = False

    def next_offer(self) -> tuple[_messages.CallerRequest, int]:
        """Return the next request without its body, and the body's length.

        It is then taken or refused. Raises :class:`CallerGoneError` if none
        comes.
        """
        self._started = self._answered = self.refused = False
        self.job = None
        try:
            offered = self._hop.next_request()
        except detour.BrokenError as exc:
            raise _caller_conn.CallerGoneError(str(exc)) from exc
        self._offered = offered
        waited_s = offered.waited_ms / 1_000
        req = self._ctx.dialect.read_request(
            offered.method,
            offered.target,
            tuple((field.name, field.value) for field in offered.headers),
            b"",
            self._ctx.clock.monotonic() - waited_s,
        )
        return (
            dataclasses.replace(
                req,
                handed_on=_handed_on(offered),
                account_key=offered.account_key or req.account_key,
            ),
            offered.body_bytes,
        )

    def take(self, req: _messages.CallerRequest) -> _messages.CallerRequest:
        """Take an offered request and return it with its body.

        Raises :class:`CallerGoneError` if the body does not arrive.
        """
        if self._offered is None:
            raise AssertionError("take() follows next_offer()")
        try:
            body = self._hop.take(self._offered)
        except detour.BrokenError as exc:
            raise _caller_conn.CallerGoneError(str(exc)) from exc
        self.busy = True
        self._watch = self._hop.watch(self._abort_handler)
        return dataclasses.replace(req, body=body)

    def _abort_handler(self) -> None:
        if self.busy and not self._answered:
            self._handler_greenlet.kill(
                _caller_conn.CallerClosedError("the peer has left"),
                block=False,
            )

    @property
    def started(self) -> bool:
        """Whether the head of the current answer was sent."""
        return self._started

    def start(
        self, status: int, headers: collections.abc.Iterable[typing.Any]
    ) -> None:
        """Send the head of an answer; its body follows by :meth:`write`."""
        source = self.job.source if self.job is not None else None
        if source is None:
            raise AssertionError("an answer needs a source")
        self._started = True
        with _broken():
            self._hop.start(
                wire.HopHead(
                    status=status,
                    headers=[
                        wire.HopField(name=name, value=value)
                        for name, value in headers
                    ],
                    target=source.target,
                    software=source.software,
                    excluded=self._excluded(),
                )
            )

    def write(self, data: bytes) -> None:
        """Send a piece of the body."""
        with _broken():
            self._hop.write(data)

    def end(self) -> None:
        """Finish the answer."""
        with _broken():
            self._answered = True
            self._hop.end()

    def answer(
        self,
        status: int,
        headers: collections.abc.Iterable[typing.Any],
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        self.start(status, headers)
        if body:
            self.write(body)
        self.end()

    def refuse(self, refusal: _refusals.GatewayRefusal) -> None:
        """Answer with a refusal.

        Raises :class:`CallerGoneError` if an answer has already started.
        """
        if self._started:
            raise _caller_conn.CallerGoneError(
                "the connection cannot carry another answer"
            )
        job = self.job
        # Another peer may have targets where this one, which may not know yet
        # that its links are lost, has none to use.
        not_taken = refusal.status == 503 and (
            job is None
            or not job.attempts.maybe_ran
            and (
                refusal.kind is _types.RefusalKind.NO_TARGET
                or self._ctx.links.lost(job.service)
            )
        )
        self._send_refusal(
            refusal, not_taken, job.attempts.targets if job is not None else 0
        )

    def decline(self, refusal: _refusals.GatewayRefusal) -> None:
        """Refuse an offered request, which another peer may take."""
        self._send_refusal(refusal, True, 0)

    def _send_refusal(
        self, refusal: _refusals.GatewayRefusal, not_taken: bool, targets: int
    ) -> None:
        self._started = self._answered = self.refused = True
        with _broken():
            self._hop.refuse(
                wire.HopRefusal(
                    status=refusal.status,
                    kind=str(refusal.kind),
                    detail=refusal.detail,
                    retry_after_s=refusal.retry_after_s,
                    not_taken=not_taken,
                    targets=targets,
                    excluded=self._excluded(),
                    may_go_on=self._may_go_on(),
                )
            )

    def _may_go_on(self) -> bool:
        """Return whether only the number of targets ended the request.

        Waits until it is known whether the last one crashed.
        """
        job = self.job
        if job is None or job.attempts.targets < job.attempts.max_targets:
            return False
        return self._ctx.quarantine.may_be_sent_again(job.req, job.check)

    def _excluded(self) -> list[str]:
        """Return the ids of targets that the request is not sent to again.

        Without those that only this instance did not reach.
        """
        if self.job is None:
            return []
        return sorted(self.job.excluded - self.job.unreached)

    def prepare_next_request(self) -> bool:
        """Prepare for the next request; return whether one may follow."""
        self.busy = False
        watch, self._watch = self._watch, None
        if watch is not None:
            watch.kill()
        return self._answered

    def end_idle(self) -> None:
        """Do nothing: the peer closes idle connections."""

    def stop(self) -> None:
        """Raise :class:`StoppedError` where the connection is served."""
        self._handler_greenlet.kill(_caller_conn.StoppedError, block=False)

    def close(self) -> None:
        """Close the connection; an unfinished answer stays incomplete."""
        self.busy = False
        if self._watch is not None:
            self._watch.kill(block=False)
        self._hop.close()


@contextlib.contextmanager
def _broken() -> collections.abc.Iterator[None]:
    """Raise :class:`CallerGoneError` for a connection that breaks."""
    try:
        yield
    except detour.BrokenError as exc:
        raise _caller_conn.CallerGoneError(str(exc)) from exc


def _handed_on(offered: wire.HopRequest) -> _messages.HandedOn:
    return _messages.HandedOn(
        offered.service_name,
        offered.left_ms / 1_000,
        offered.targets_left,
        frozenset(offered.excluded),
        offered.config_version,
        offered.software,
        offered.last_event_id,
    )
