"""Hands one request on to peers, one after the other."""

import collections.abc
import dataclasses

from agatewing import _types
from agatewing import accounts
from agatewing import decisions
from agatewing import detour
from agatewing.gateway import _channel
from agatewing.gateway import _context
from agatewing.gateway import _messages
from agatewing.gateway import _refusals
from agatewing import wire


class HopChannel:
    """Connection to a peer, from which the body of an answer is read."""

    __slots__ = ("_hop",)

    def __init__(self, hop: detour.Hop) -> None:
        self._hop = hop

    def read_piece(self, deadline: float) -> bytes:
        """Return the next piece of the body; ``b""`` at its end."""
        try:
            return self._hop.read_piece(deadline)
        except detour.BrokenError as exc:
            raise _channel.BrokenError(str(exc)) from exc
        except detour.DeadlineExceededError as exc:
            raise _channel.DeadlineExceededError(str(exc)) from exc

    @property
    def silent_s(self) -> float:
        """Time since the last frame from the peer, in seconds."""
        return self._hop.silent_s

    def release(self) -> None:
        """Keep the connection, if the answer was read to its end."""
        self._hop.release()

    def close(self) -> None:
        """Close the connection; the peer then cancels the request."""
        self._hop.close()


@dataclasses.dataclass(frozen=True, slots=True)
class Begun:
    """The head of an answer came from a peer; its body follows."""

    #: Target that answers, and the peer.
    source: _messages.AnswerSource
    #: Head of the answer.
    head: _messages.AnswerHead
    #: Connection that carries the body.
    channel: HopChannel


@dataclasses.dataclass(frozen=True, slots=True)
class ResumePoint:
    """Where a stream goes on."""

    #: Version of the software that it is bound to; ``None`` if to none.
    software: str | None = None
    #: Id of the last event forwarded; ``None`` if there was none.
    last_event_id: bytes | None = None


class Detour:
    """Has peers serve one request; only one of them has it at a time."""

    __slots__ = (
        "_ctx",
        "_job",
        "_others",
        "_tried",
        "_peer",
        "_allowance",
        "counted",
        "links_back",
    )

    def __init__(
        self,
        ctx: _context.HandlerContext,
        job: _context.Job,
        others: collections.abc.Callable[[], bool],
    ) -> None:
        self._ctx = ctx
        self._job = job
        # Returns whether another path may still deliver.
        self._others = others
        self._tried: set[str] = set()
        # Peer that has the request; empty if none has.
        self._peer = ""
        # Number of targets that the request may reach there.
        self._allowance = 0
        #: Whether the targets of the present peer were counted.
        self.counted = False
        #: Whether it ended because this instance reaches the targets again.
        self.links_back = False

    @property
    def peer(self) -> str:
        """Name of the peer that has the request; empty if none has."""
        return self._peer

    @property
    def targets(self) -> int:
        """Number of targets that the request may reach at the peer."""
        return self._allowance

    def begin(self, resume: ResumePoint) -> Begun:
        """Return an answer once its head has come.

        Raises :class:`GatewayRefusedError` if no peer answers, or with the
        refusal of a peer.
        """
        job = self._job
        while True:
            _context.check_quarantine(self._ctx, job, sending=False)
            self._check_attempts()
            peer = self._choose()
            self._allowance = self._targets_for_peer()
            try:
                hop = self._ctx.detours.open(
                    peer,
                    self._request(resume),
                    job.deadline - self._ctx.clock.monotonic(),
                )
            except detour.NotTakenError as exc:
                self._record_not_taken(peer, str(exc))
                continue
            try:
                begun = self._exchange(hop, peer)
            except BaseException:
                hop.close()
                raise
            if begun is not None:
                return begun
            hop.release()

    def _check_attempts(self) -> None:
        """Raise :class:`GatewayRefusedError` if it may not be sent again."""
        job, attempts = self._job, self._job.attempts
        ran_once = attempts.maybe_ran and not attempts.idempotent
        if ran_once or attempts.targets >= attempts.max_targets:
            raise _context.give_up_error(job, "no attempt is left")
        if self._ctx.clock.monotonic() >= job.deadline:
            raise _context.deadline_error(job, "no peer has taken it in time")

    def _choose(self) -> str:
        """Return the name of a peer; raise the refusal if there is none."""
        job = self._job
        try:
            return self._ctx.detours.choose(
                job.service,
                len(job.req.body),
                self._tried,
                not isinstance(job.identity, accounts.Unidentified),
            )
        except detour.NoPeerError as exc:
            self.links_back = not self._ctx.links.lost(job.service)
            job.detours_over = not self.links_back
            if job.attempts.maybe_ran:
                raise _context.give_up_error(job, str(exc)) from exc
            raise _refusals.GatewayRefusedError(
                _refusals.links_lost(job.service, str(exc), self._ctx.rng)
            ) from exc

    def _targets_for_peer(self) -> int:
        """Return the number of targets that the request may reach there.

        One is left for another peer if the request may be repeated.
        """
        attempts = self._job.attempts
        left = attempts.max_targets - attempts.targets
        return left - 1 if attempts.idempotent and left > 1 else left

    def _request(self, resume: ResumePoint) -> wire.HopRequest:
        job = self._job
        now = self._ctx.clock.monotonic()
        return wire.HopRequest(
            method=job.req.method,
            target=job.req.target,
            headers=[
                wire.HopField(name=name, value=value)
                for name, value in self._headers()
            ],
            body_bytes=len(job.req.body),
            service_name=job.service,
            waited_ms=int((now - job.req.arrived_at) * 1_000),
            left_ms=int((job.deadline - now) * 1_000),
            targets_left=self._allowance,
            # A peer may reach those that this instance could not.
            excluded=sorted(job.excluded - job.unreached),
            config_version=job.config_version,
            software=resume.software,
            last_event_id=resume.last_event_id,
            account_key=job.req.account_key or None,
        )

    def _headers(self) -> _messages.Headers:
        """Return the headers for the peer, without a key of an account."""
        headers = self._job.req.headers
        if isinstance(self._job.identity, accounts.Unidentified):
            return headers
        return self._ctx.dialect.without_key(headers)

    def _exchange(self, hop: detour.Hop, peer: str) -> Begun | None:
        """Send the request; return its answer once the head has come.

        Returns ``None`` if the peer certainly has not run it and another one
        may be tried.
        """
        job = self._job
        self._pay()
        try:
            self._peer, self.counted = peer, False
            _context.log_event(job, "handed on", peer=peer)
            hop.send_body(job.req.body, job.deadline)
            head = hop.read_head(job.deadline)
        except detour.NotTakenError as exc:
            self._peer = ""
            job.retry_paid = job.reached_target
            self._record_not_taken(peer, str(exc))
            return None
        except detour.BrokenError as exc:
            self.fail(_messages.Unknown(str(exc), silent_s=hop.silent_s))
            return None
        except detour.DeadlineExceededError as exc:
            self.fail(_messages.TimedOut(str(exc), hop.silent_s))
            return None
        job.excluded.update(head.excluded)
        if isinstance(head, wire.HopRefusal):
            self._handle_refusal(peer, head)
            return None
        self._ctx.detours.outcomes["answered"] += 1
        fields = tuple((field.name, field.value) for field in head.headers)
        return Begun(
            _messages.AnswerSource(head.target, head.software, peer),
            _messages.AnswerHead(head.status, fields, _messages.Framing.HOP),
            HopChannel(hop),
        )

    def _pay(self) -> None:
        """Spend the retry of this send, unless it was spent before."""
        job = self._job
        if not job.retry_paid and not _context.spend_retry(self._ctx, job):
            raise _context.give_up_error(job, "no retry is left")
        job.retry_paid = False

    def _record_not_taken(self, peer: str, reason: str) -> None:
        self._tried.add(peer)
        self._ctx.detours.outcomes["not-taken"] += 1
        _context.log_event(
            self._job, "not taken by a peer", peer=peer, reason=reason
        )

    def _handle_refusal(self, peer: str, refusal: wire.HopRefusal) -> None:
        """Record a peer's refusal; raise it unless another peer is tried."""
        job, attempts = self._job, self._job.attempts
        own = _own_refusal(refusal)
        if refusal.status >= 500 and refusal.status != 503:
            outcome: _messages.Unknown | _messages.TimedOut
            if refusal.status == 504:
                outcome = _messages.TimedOut(refusal.detail)
            else:
                outcome = _messages.Unknown(refusal.detail)
            may_go_on = refusal.may_go_on
            self.fail(outcome, max(1, refusal.targets), own, may_go_on)
            return
        if not self.counted:
            attempts.targets += refusal.targets
        self._peer = ""
        if refusal.targets:
            job.reached_target = True
        if refusal.not_taken:
            self._record_not_taken(peer, refusal.detail)
            return
        self._ctx.detours.outcomes["refused"] += 1
        job.detours_over = True
        if attempts.maybe_ran:
            raise _context.give_up_error(job, refusal.detail)
        raise _refusals.GatewayRefusedError(own)

    def fail(
        self,
        outcome: _messages.Unknown | _messages.TimedOut,
        targets: int | None = None,
        refusal: _refusals.GatewayRefusal | None = None,
        may_go_on: bool = True,
    ) -> None:
        """Record that the peer's answer failed; prepare another send.

        ``targets`` is the number of targets that it reached, ``refusal`` that
        of the peer, ``may_go_on`` whether it lets the request reach further
        targets. Raises :class:`GatewayRefusedError` if the request may not be
        sent again or another path is open.
        """
        job, attempts = self._job, self._job.attempts
        peer, self._peer = self._peer, ""
        if not self.counted:
            attempts.targets += (targets or self._allowance) - 1
        failure = decisions.Failure.UNKNOWN
        if isinstance(outcome, _messages.TimedOut):
            failure = decisions.Failure.OVERDUE
        step = attempts.record_failure(failure, counted=self.counted)
        job.reached_target = job.sent = True
        self._ctx.detours.outcomes["failed"] += 1
        if refusal is None:
            self._tried.add(peer)
            self._ctx.detours.record_broken(peer)
        _context.log_event(
            job,
            "detour failed",
            peer=peer,
            failure=str(failure),
            reason=outcome.reason,
            next=str(step),
            silent_s=round(outcome.silent_s, 3),
            events=job.events,
        )
        if self._ctx.clock.monotonic() >= job.deadline:
            raise _context.deadline_error(job, outcome.reason)
        another = may_go_on and step is decisions.NextStep.ANOTHER
        if not another or self._others():
            if refusal is not None:
                raise _refusals.GatewayRefusedError(refusal)
            raise _context.give_up_error(job, outcome.reason)
        if not _context.spend_retry(self._ctx, job):
            raise _context.give_up_error(
                job, f"{outcome.reason}; no retry is left"
            )
        job.retry_paid = True

    def mark_silent(self) -> None:
        """Count the targets of a silent peer, so that another path may try."""
        if not self._peer or self.counted:
            return
        self.counted = True
        job = self._job
        job.reached_target = job.sent = True
        job.attempts.targets += self._allowance - 1
        job.attempts.record_silence()
        _context.log_event(
            job, "peer silent", peer=self._peer, events=job.events
        )

    def close(self) -> None:
        """Count the targets of a peer whose answer is not awaited."""
        if self._peer and not self.counted:
            self.counted = True
            self._job.attempts.targets += self._allowance - 1
            self._job.attempts.record_silence()


def _own_refusal(refusal: wire.HopRefusal) -> _refusals.GatewayRefusal:
    """Return a peer's refusal as one of this instance."""
    try:
        kind = _types.RefusalKind(refusal.kind)
    except ValueError:
        # A later release may have more kinds.
        kind = _types.RefusalKind.TARGET_FAILED
        if refusal.status == 503:
            kind = _types.RefusalKind.OVERLOADED
    return _refusals.GatewayRefusal(
        refusal.status, kind, refusal.detail, refusal.retry_after_s
    )
