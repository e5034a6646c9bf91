"""Serves one stream, on one or several paths, to its last event."""

import dataclasses

import gevent

from agatewing import decisions
from agatewing.gateway import _caller_conn
from agatewing.gateway import _context
from agatewing.gateway import _messages
from agatewing.gateway import _race
from agatewing.gateway import _refusals
from agatewing.gateway import _relay
from agatewing.gateway import _send_turn
from agatewing.gateway import _stream_detour
from agatewing.gateway import _stream_engines
from agatewing.gateway import _stream_path
from agatewing.gateway import _target_registry

#: Time without an event after which a resumable stream is also tried on
#: another engine, in seconds; callers abandon a stream after two seconds or
#: more, see ``Route.patience_s``.
MAX_SILENCE_S = 1.5
#: Time between two looks at the links during a silence, in seconds.
LOOK_PERIOD_S = 0.25
#: Time between two tries to go on with a stream of which no target is reached,
#: in seconds.
KEPT_RETRY_S = 0.1
#: Least time that a caller may still wait for the next event for a try to be
#: worth it, in seconds: that of a connection and of an event.
KEPT_LEAST_S = 0.1


class Stream:
    """One stream, from the choice of its engine to its last event."""

    __slots__ = ("_ctx", "_job", "_engines", "_relay", "_turn", "_race")

    def __init__(
        self,
        ctx: _context.HandlerContext,
        job: _context.Job,
        pool: _target_registry.Pool,
        profile: decisions.RequestProfile,
    ) -> None:
        self._ctx = ctx
        self._job = job
        self._engines = _stream_engines.StreamEngines(ctx, job, pool, profile)
        self._relay = _relay.EventRelay(
            job,
            ctx.clock,
            ctx.dialect,
            self._record_begin,
            ctx.sender.delivering,
        )
        self._turn = _send_turn.SendTurn(job.attempts)
        # Paths that are followed while none of them delivers.
        self._race: _race.Race[_stream_path.StreamWay] | None = None

    def run(self, route: decisions.Route | None) -> None:
        """Serve the stream by ``route``; try other engines if allowed.

        ``None`` leaves the choice to the path, or the stream to a peer.
        Raises :class:`GatewayRefusedError` if no engine finishes it.
        """
        path: _stream_path.StreamWay | None = None
        try:
            path, piece = self._follow(self._new_path(route))
            while not piece.ended:
                self._relay.forward(path.source, piece)
                # It may be large, and the next one may never come.
                del piece
                path, piece = self._read_on(path)
            self._relay.forward(path.source, piece)
            path.finish()
            if piece.head.status < 300:
                self._record_speed(path)
            self._record_answer(path, piece.head)
        except (_caller_conn.CallerGoneError, gevent.GreenletExit):
            self._log_left()
            raise
        finally:
            if self._race is not None:
                self._race.close()
            if path is not None:
                path.close()

    def _log_left(self) -> None:
        """Log that the caller left before the end of its stream."""
        now, job = self._ctx.clock.monotonic(), self._job
        relay = self._relay
        since = relay.last_event_at or job.req.arrived_at
        source = job.source
        _context.log_event(
            job,
            "left by its caller",
            target=source.target if source is not None else "",
            events=relay.event_count,
            silent_s=round(now - since, 3),
            pause_s=round(relay.longest_pause_s, 4),
            taken_s=round(now - job.req.arrived_at, 3),
            left_s=round(job.deadline - now, 3),
        )

    def _new_detour(self) -> _stream_detour.StreamDetour:
        return _stream_detour.StreamDetour(
            self._ctx, self._job, self._engines, self._relay, self._turn
        )

    def _new_path(
        self, route: decisions.Route | None
    ) -> _stream_path.StreamWay:
        if route is None and _context.needs_detour(self._ctx, self._job):
            return self._new_detour()
        return _stream_path.StreamPath(
            self._ctx,
            self._job,
            self._engines,
            self._relay,
            self._turn,
            route,
        )

    def _read_on(
        self, path: _stream_path.StreamWay
    ) -> tuple[_stream_path.StreamWay, _relay.Piece]:
        """Return the next piece, and the path that it came on.

        The path is read in this greenlet as long as it is not silent.
        """
        if not self._relay.event_count:
            now = self._ctx.clock.monotonic()
            piece = path.read(max(0.0, path.silent_at - now))
        elif self._job.attempts.idempotent:
            piece = self._read_in_time(path)
        else:
            piece = path.read(_race.NEVER)
        if piece is not None:
            return path, piece
        return self._follow(path)

    def _read_in_time(
        self, path: _stream_path.StreamWay
    ) -> _relay.Piece | None:
        """Return the next piece; ``None`` if the path failed or is silent.

        It is silent sooner while this instance does not reach its target.
        """
        silent_s = 0.0
        while silent_s < MAX_SILENCE_S:
            piece = path.read(LOOK_PERIOD_S)
            if piece is not None or path.failed:
                return piece
            silent_s += LOOK_PERIOD_S
            if isinstance(path, _stream_detour.StreamDetour):
                continue
            lost = _context.needs_detour(self._ctx, self._job)
            if lost and silent_s >= _context.LOST_SILENCE_S:
                return None
        return None

    def _follow(
        self, path: _stream_path.StreamWay
    ) -> tuple[_stream_path.StreamWay, _relay.Piece]:
        """Follow a path, and others while it is silent, to the next piece."""
        while True:
            self._race = _race.Race(self._ctx.clock, self._is_final)
            self._add(path)
            try:
                winner, piece = self._race.wait(self._hedge)
            except _refusals.GatewayRefusedError:
                next_path = self._path_after(path)
                if next_path is None:
                    raise
                path = next_path
                continue
            winner.race = self._race = None
            return winner, piece

    def _path_after(
        self, failed: _stream_path.StreamWay
    ) -> _stream_path.StreamWay | None:
        """Return a path to follow a failed one; ``None`` if none may."""
        if not self._relay.may_resume:
            return None
        if isinstance(failed, _stream_detour.StreamDetour):
            if failed.links_back:
                return self._new_path(None)
        elif _context.may_go_on_at_peer(self._ctx, self._job):
            return self._new_detour()
        return self._later_path()

    def _later_path(self) -> _stream_path.StreamWay | None:
        """Return a path for another try, after a pause; ``None`` if none may.

        A stream that has begun is kept while no target of it is reached, for
        as long as its caller waits for the next event.
        """
        ctx, job = self._ctx, self._job
        if not _context.may_be_kept(ctx, job):
            return None
        kept_until = min(
            job.deadline, self._relay.last_event_at + job.route.patience_s
        )
        ctx.clock.sleep(KEPT_RETRY_S)
        if ctx.clock.monotonic() + KEPT_LEAST_S > kept_until:
            return None
        job.forget_unreached()
        return self._new_path(None)

    def _add(self, path: _stream_path.StreamWay) -> None:
        path.race = self._race
        if self._race is not None:
            self._race.add(path)

    def _is_final(self) -> bool:
        """Return whether a failure ends the stream though others run."""
        attempts = self._job.attempts
        return attempts.maybe_ran and not attempts.idempotent

    def _hedge(self) -> _stream_path.StreamWay | None:
        """Return a path to try beside silent ones; ``None`` if not allowed.

        The silent engines are counted as targets, and excluded.
        """
        if self._race is None or not self._may_hedge(self._race.running()):
            return None
        for path in self._race.running():
            path.mark_silent()
        if self._turn.wanted:
            # A path whose prompt is processed has waited to send.
            return None
        path = self._new_path(None)
        path.race = self._race
        return path

    def _may_hedge(self, silent: list[_stream_path.StreamWay]) -> bool:
        if not self._job.attempts.idempotent and self._turn.taken:
            return False
        if not self._relay.may_resume:
            return False
        uncounted = sum(path.uncounted_targets for path in silent)
        return _context.may_hedge(self._ctx, self._job, uncounted)

    def _record_begin(self, source: _messages.AnswerSource) -> None:
        """Bind the stream to the version of the engine of its first event.

        Other instances learn of it, unless the caller takes up a stream that
        began before.
        """
        job, software = self._job, source.software
        engines = self._engines
        engines.profile = dataclasses.replace(
            engines.profile, software=software
        )
        if job.attempts.idempotent and job.req.id and not job.req.take_up:
            self._ctx.streams.record_begin(
                decisions.StreamOrigin(job.req.id, job.service, software)
            )

    def _record_speed(self, path: _stream_path.StreamWay) -> None:
        """Learn the engine's speed from a stream that came in one piece."""
        engines = self._engines
        tracked = engines.pool.engines.get(path.source.target)
        broke_off = bool(engines.broken_engine) or self._job.req.take_up
        if tracked is None or broke_off or path.source.via:
            return
        engines.pool.learned.record_stream(
            tracked.load.sequences,
            self._relay.event_count,
            engines.profile.output_tokens,
            self._relay.events_s,
            self._ctx.clock.monotonic(),
            tracked.target.key,
        )

    def _record_answer(
        self,
        path: _stream_path.StreamWay,
        head: _messages.AnswerHead,
    ) -> None:
        path.record_prefix()
        take_up = self._job.req.take_up
        profile = self._engines.profile
        first_s = self._relay.first_event_at - self._job.req.arrived_at
        self._ctx.metrics.first_event_seconds.observe(
            {"kind": str(self._job.route.kind)}, max(0.0, first_s)
        )
        _context.record_answer(
            self._ctx,
            self._job,
            path.source,
            head,
            prefill=path.prefilled_by,
            tokens=profile.prompt_tokens,
            cached=profile.cached.get(
                path.prefilled_by or path.source.target, 0
            ),
            events=self._relay.event_count,
            first_s=round(first_s, 4),
            pause_s=round(self._relay.longest_pause_s, 4),
            software=path.source.software,
            resumes=take_up.first_attempt if take_up is not None else "",
        )
