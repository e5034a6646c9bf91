"""Accepts callers' connections and serves the requests of each in order."""

import collections
import dataclasses
import logging
import socket
import typing

import gevent
import gevent.socket

from agatewing import _clock
from agatewing import accounts
from agatewing import callers
from agatewing import decisions
from agatewing import detour
from agatewing.gateway import _caller_conn
from agatewing.gateway import _context
from agatewing.gateway import _hop_conn
from agatewing.gateway import _lifecycle
from agatewing.gateway import _messages
from agatewing.gateway import _plain_forwarder
from agatewing.gateway import _refusals
from agatewing.gateway import _routes
from agatewing.gateway import _stream_forwarder

_log = logging.getLogger("agatewing.server")

#: Largest number of connections that wait to be accepted.
BACKLOG = 1_024
#: Connections beyond their bound that are open while others end for them, or
#: while they are refused; so many are accepted at once.
SPARE_CONNECTIONS = 32
#: Interval at which a stopping process checks whether it may end, in seconds.
STOP_POLL_S = 0.05
#: Longest wait for connections that linger after the stop limit, in seconds;
#: the rest of ``EXIT_RESERVE_S`` is left for the process to exit.
LINGER_LIMIT_S = 0.3
#: Largest number of connections that linger after their last answer; further
#: ones are closed at once.
MAX_LINGERING = 256
#: Least time between two log lines on too many connections, in seconds.
GAVE_WAY_LOG_PERIOD_S = 1.0
#: Age in log lines of a configuration that was never read, in seconds.
UNKNOWN_AGE_S = 1e9
#: Margin between the deadlines of a request at two instances, in seconds:
#: twice the network delay between them and a wake-up of the event loop.
HOP_MARGIN_S = 0.01

_Conn: typing.TypeAlias = _caller_conn.CallerConn | _hop_conn.HopConn


class CallerServer:
    """Server on the port for callers."""

    __slots__ = (
        "_ctx",
        "_lifecycle",
        "_plain",
        "_streams",
        "_server",
        "_conns",
        "_stopped",
        "_hop_room",
        "_plan",
        "_callers",
        "_gave_way_logged_at",
        "gave_way",
        "bodies",
        "lingering",
        "refusals",
        "hops_served",
    )

    def __init__(
        self,
        address: tuple[str, int],
        ctx: _context.HandlerContext,
        lifecycle: _lifecycle.Lifecycle,
        plan: callers.MemoryPlan,
    ) -> None:
        self._ctx = ctx
        self._plan = plan
        # Connections of callers, without those that linger.
        self._callers: set[_caller_conn.CallerConn] = set()
        # Monotonic time of the last log line on such a connection.
        self._gave_way_logged_at = float("-inf")
        #: Number of connections that ended for the sake of others.
        self.gave_way = 0
        #: Room for what callers and peers send.
        self.bodies = callers.BodyRoom(
            ctx.clock, plan.body_bytes, plan.small_bytes
        )
        self._lifecycle = lifecycle
        self._plain = _plain_forwarder.PlainForwarder(ctx)
        self._streams = _stream_forwarder.StreamForwarder(ctx)
        self._server = callers.BoundedServer(
            address,
            self._serve,
            BACKLOG,
            plan.connections + SPARE_CONNECTIONS,
        )
        self._conns: set[_Conn] = set()
        # Those whose requests were given up.
        self._stopped: set[_Conn] = set()
        # Requests of peers that are served now.
        self._hop_room = detour.Room()
        #: Number of connections that linger after their last answer.
        self.lingering = 0
        #: Number of refusals by kind.
        self.refusals: collections.Counter[str] = collections.Counter()
        #: Number of requests that peers handed on, by outcome.
        self.hops_served: collections.Counter[str] = collections.Counter()

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self._server.server_port)

    def start(self) -> None:
        """Open the port."""
        self._server.init_socket()
        # Accepted connections inherit it.
        self._server.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, callers.UNREAD_BYTES
        )
        self._server.start()

    def close_port(self) -> None:
        """Stop accepting connections and close the port."""
        self._server.stop_accepting()
        self._server.close()

    def begin_drain(self) -> None:
        """Announce the end of connections, and refuse what outlasts it."""
        self._ctx.dispatcher.begin_end(self._lifecycle.stop_at)
        for conn in self._conns:
            conn.closing = True

    def close_idle(self) -> None:
        """Close connections on which no request has begun to arrive."""
        for conn in list(self._conns):
            conn.end_idle()

    @property
    def unanswered_count(self) -> int:
        """Number of requests whose answers have not begun."""
        return len(self._unanswered())

    def _unanswered(self) -> list[_Conn]:
        return [c for c in self._conns if c.busy and not c.started]

    @property
    def stopped_count(self) -> int:
        """Number of connections whose requests were given up."""
        return len(self._stopped)

    @property
    def hop_count(self) -> int:
        """Number of requests of peers that are served now."""
        return self._hop_room.requests

    @property
    def in_use(self) -> bool:
        """Whether any connection is open, those that linger included."""
        return bool(self._conns) or self.lingering > 0

    def refuse_unanswered(self) -> None:
        """Refuse all requests whose answers have not begun."""
        self._stop(self._unanswered())

    def stop_requests(self) -> None:
        """Refuse all requests without an answer and cut off the others."""
        self._stop(list(self._conns))

    def _stop(self, conns: list[_Conn]) -> None:
        for conn in conns:
            if conn not in self._stopped:
                self._stopped.add(conn)
                conn.stop()

    def _log_cut_off(self, job: _context.Job, reason: str) -> None:
        _log.info(
            "server: answer cut off",
            extra={"request": job.req.id, **self._progress(job, reason)},
        )

    def _log_unanswered(self, job: _context.Job, reason: str) -> None:
        _log.info(
            "server: connection ended without an answer",
            extra={"request": job.req.id, **self._progress(job, reason)},
        )

    def _progress(self, job: _context.Job, reason: str) -> dict[str, object]:
        """Return the fields of an answer that ends early."""
        return {"reason": reason, "events": job.events, **self._configs(job)}

    def _configs(self, job: _context.Job) -> dict[str, object]:
        """Return the versions of the configuration now and at the start."""
        return {
            "config": self._ctx.catalog.config_version,
            "config_at_start": job.config_version,
        }

    def _serve(
        self, sock: gevent.socket.socket, address: tuple[str, int]
    ) -> None:
        conn = _caller_conn.CallerConn(
            sock,
            self._ctx.clock,
            self._ctx.dialect,
            self._ctx.catalog.caller_limits,
            self.bodies,
            lambda: self._ctx.sender.answers_wait,
        )
        has_room = self._make_way()
        self._conns.add(conn)
        self._callers.add(conn)
        try:
            if not has_room:
                conn.closing = True
                self._refuse(conn, _refusals.too_many_connections(), "")
                return
            conn.closing = self._lifecycle.closing
            while self._serve_one(conn):
                conn.closing = self._lifecycle.closing
        except _caller_conn.CallerGoneError as exc:
            _log.debug("server: caller disconnected: %s", exc)
        finally:
            self._conns.discard(conn)
            self._callers.discard(conn)
            self._close(conn)

    @property
    def caller_count(self) -> int:
        """Number of connections of callers, those that linger included."""
        return len(self._callers) + self.lingering

    def _make_way(self) -> bool:
        """Return whether another connection has room.

        At the bound of connections, another one ends for it.
        """
        if self.caller_count < self._plan.connections:
            return True
        victim = callers.choose_victim(c.held for c in self._callers)
        self.gave_way += 1
        now = self._ctx.clock.monotonic()
        if now >= self._gave_way_logged_at + GAVE_WAY_LOG_PERIOD_S:
            self._gave_way_logged_at = now
            _log.warning(
                "server: too many connections of callers",
                extra={
                    "limit": self._plan.connections,
                    "ended": self.gave_way,
                    "refused_newest": victim is None,
                },
            )
        if victim is None:
            return False
        victim.give_way()
        return True

    def _close(self, conn: _caller_conn.CallerConn) -> None:
        linger = (
            self.lingering < MAX_LINGERING
            and self.caller_count < self._plan.connections
        )
        self.lingering += linger
        try:
            conn.close(linger)
        finally:
            self.lingering -= linger

    def _serve_one(self, conn: _caller_conn.CallerConn) -> bool:
        """Serve one request; return whether another may follow."""
        try:
            req = conn.next_request()
        except _refusals.GatewayRefusedError as exc:
            conn.closing = True
            self._refuse(conn, exc.refusal, "")
            return False
        except _caller_conn.CallerClosedError:
            if conn.busy:
                conn.closing = True
                conn.refuse(_refusals.caller_closed(maybe_ran=False))
            return False
        except _caller_conn.StoppedError:
            if conn.reading:
                self._refuse(conn, _refusals.leaving(self._ctx.rng), "")
            return False
        except (_caller_conn.CallerGoneError, gevent.GreenletExit):
            raise
        except Exception:
            _log.exception("server: unexpected error while reading a request")
            conn.closing = True
            self._refuse(conn, _refusals.unread(), "")
            return False
        if req is None:
            return False
        self._lifecycle.in_flight += 1
        try:
            return self._answer(conn, req)
        finally:
            self._lifecycle.in_flight -= 1
            conn.busy = False

    def serve_hops(self, hop: detour.HopAnswer) -> None:
        """Serve the requests that a peer hands on, as if from callers."""
        conn = _hop_conn.HopConn(hop, self._ctx)
        try:
            while self._serve_hop(conn):
                pass
        except (
            _caller_conn.CallerGoneError,
            _caller_conn.StoppedError,
        ) as exc:
            _log.debug("server: peer disconnected: %s", exc)
        finally:
            conn.close()

    def _serve_hop(self, conn: _hop_conn.HopConn) -> bool:
        """Serve one request of a peer; return whether another may follow."""
        req, body_bytes = conn.next_offer()
        refusal = self._reason_to_decline(req, body_bytes)
        if refusal is not None:
            self._decline(conn, req, refusal)
            return True
        share = self.bodies.open(body_bytes)
        if not self.bodies.try_grow(share, body_bytes):
            refusal = _refusals.overloaded(
                "the bodies of other requests leave no room for this one"
            )
            self._decline(conn, req, refusal)
            return True
        room = self._hop_room
        room.requests += 1
        room.body_bytes += body_bytes
        self._conns.add(conn)
        self._lifecycle.in_flight += 1
        outcome = "broken"
        try:
            req = conn.take(req)
            _log.info(
                "server: request of a peer taken", extra={"request": req.id}
            )
            goes_on = self._answer(conn, req)
            if goes_on:
                outcome = "refused" if conn.refused else "answered"
            return goes_on
        finally:
            self.hops_served[outcome] += 1
            conn.prepare_next_request()
            self._lifecycle.in_flight -= 1
            self._conns.discard(conn)
            room.requests -= 1
            room.body_bytes -= body_bytes
            self.bodies.close(share)

    def _decline(
        self,
        conn: _hop_conn.HopConn,
        req: _messages.CallerRequest,
        refusal: _refusals.GatewayRefusal,
    ) -> None:
        self.hops_served["declined"] += 1
        _log.info(
            "server: request of a peer declined",
            extra={"request": req.id, "detail": refusal.detail},
        )
        conn.decline(refusal)

    def _reason_to_decline(
        self, req: _messages.CallerRequest, body_bytes: int
    ) -> _refusals.GatewayRefusal | None:
        """Return why a request of a peer is not taken; ``None`` if it is."""
        catalog, rng = self._ctx.catalog, self._ctx.rng
        if self._lifecycle.closing:
            return _refusals.leaving(rng)
        if catalog.configuration is None:
            return _refusals.not_ready(catalog.read_failed, rng)
        handed_on = req.handed_on
        if handed_on is None:
            return None
        route = catalog.routes.find(req.host, req.path)
        if route is None and catalog.config_version < handed_on.config_version:
            return _refusals.not_ready(catalog.read_failed, rng)
        if self._ctx.links.lost(handed_on.service):
            return _refusals.links_lost(
                handed_on.service, "neither does the one before it", rng
            )
        if not self._hop_room.has_for(body_bytes):
            return _refusals.overloaded(
                "this instance serves too many requests of others"
            )
        return None

    def _answer(self, conn: _Conn, req: _messages.CallerRequest) -> bool:
        job = None
        try:
            job = self._new_job(conn, req)
            self._handle(job)
        except _refusals.GatewayRefusedError as exc:
            if job is not None and conn.started:
                # The answer must not look complete, so it is cut off.
                self._log_cut_off(job, str(exc))
                return False
            self._refuse(conn, exc.refusal, req.id, job)
        except _caller_conn.CallerNotReadingError as exc:
            if job is not None:
                self._log_unanswered(job, str(exc))
            raise
        except _caller_conn.CallerClosedError:
            if not conn.started:
                conn.closing = True
                maybe_ran = job is not None and job.maybe_ran
                conn.refuse(_refusals.caller_closed(maybe_ran))
            raise
        except _caller_conn.StoppedError:
            self._end_stopped(conn, req, job)
        except (_caller_conn.CallerGoneError, gevent.GreenletExit):
            raise
        except Exception:
            # The caller is answered even if the gateway has a defect.
            _log.exception(
                "server: unexpected error while handling a request",
                extra={"request": req.id},
            )
            if conn.started:
                return False
            refusal = _refusals.outcome_unknown("internal error")
            self._refuse(conn, refusal, req.id, job)
        return conn.prepare_next_request()

    def _end_stopped(
        self,
        conn: _Conn,
        req: _messages.CallerRequest,
        job: _context.Job | None,
    ) -> None:
        """Refuse or cut off a request at the stop limit of the process."""
        if job is not None and conn.started:
            self._log_cut_off(job, "the instance stops")
        elif job is not None and job.maybe_ran:
            refusal = _refusals.outcome_unknown(
                "this instance stops; the request may have run"
            )
            self._refuse(conn, refusal, req.id, job)
        else:
            refusal = _refusals.leaving(self._ctx.rng)
            self._refuse(conn, refusal, req.id, job)

    def _handle(self, job: _context.Job) -> None:
        if job.req.handed_on is None:
            # The instance that hands it on has counted it.
            self._ctx.budget.record_request(job.service, job.req.arrived_at)
        if job.route.kind.streams:
            self._streams.handle(job)
        else:
            self._plain.handle(job)

    def _new_job(
        self, conn: _Conn, req: _messages.CallerRequest
    ) -> _context.Job:
        """Return the state of a request, or raise a refusal.

        It keeps its route and deadline whatever the configuration becomes.
        """
        catalog = self._ctx.catalog
        if catalog.configuration is None:
            raise _refusals.GatewayRefusedError(
                _refusals.not_ready(catalog.read_failed, self._ctx.rng)
            )
        route = catalog.routes.find(req.host, req.path)
        if route is None:
            raise _refusals.GatewayRefusedError(
                _refusals.not_found(req.host, req.path)
            )
        timeout_s = route.timeout_s
        if req.caller_timeout_s is not None:
            timeout_s = min(timeout_s, req.caller_timeout_s)
        deadline = req.arrived_at + timeout_s - _context.ANSWER_MARGIN_S
        identity = _context.identify(self._ctx, req, route.public)
        if isinstance(identity, accounts.Account):
            req = dataclasses.replace(req, account=identity.name)
        job = _context.Job(
            req,
            conn,
            route,
            _routes.choose_service(route, self._ctx.rng),
            deadline,
            decisions.Attempts(route.kind.idempotent, route.max_targets),
            config_version=self._ctx.catalog.config_version,
            identity=identity,
        )
        if req.handed_on is None:
            self._ctx.account_use.record_asked(job.identity)
        if req.handed_on is not None:
            self._bind_to_sender(job, req.handed_on)
        if not self._lifecycle.may_begin(job.deadline):
            raise _refusals.GatewayRefusedError(
                _refusals.leaving(self._ctx.rng)
            )
        if isinstance(conn, _hop_conn.HopConn):
            conn.job = job
        return job

    def _bind_to_sender(
        self, job: _context.Job, handed_on: _messages.HandedOn
    ) -> None:
        """Keep a request to what the instance that hands it on has left."""
        if handed_on.service in {s.service for s in job.route.shares}:
            job.service = handed_on.service
        until = self._ctx.clock.monotonic() + handed_on.left_s
        job.deadline = min(job.deadline, until - HOP_MARGIN_S)
        attempts = job.attempts
        attempts.max_targets = min(
            attempts.max_targets, handed_on.targets_left
        )
        job.excluded.update(handed_on.excluded)

    def _refuse(
        self,
        conn: _Conn,
        refusal: _refusals.GatewayRefusal,
        request: str,
        job: _context.Job | None = None,
    ) -> None:
        self.refusals[str(refusal.kind)] += 1
        catalog = self._ctx.catalog
        age_s = catalog.config_age_s()
        fields: dict[str, object] = {
            "config": catalog.config_version,
            "config_age_s": round(min(age_s, UNKNOWN_AGE_S), 3),
        }
        if job is not None:
            left_s = job.deadline - self._ctx.clock.monotonic()
            fields |= {
                "left_s": round(left_s, 3),
                **self._configs(job),
                **_context.account_field(job),
                **job.decided_by,
            }
            self._ctx.account_use.record_refused(job.account)
        _log.info(
            "server: refused",
            extra={
                "request": request,
                "status": refusal.status,
                "kind": str(refusal.kind),
                "detail": refusal.detail,
                "retry_after_s": refusal.retry_after_s,
                **fields,
            },
        )
        conn.refuse(refusal)


def drain(
    clock: _clock.Clock, server: CallerServer, lifecycle: _lifecycle.Lifecycle
) -> int:
    """Drain the server; return the number of connections given up.

    Shortly before the stop limit, requests without an answer are refused; at
    the limit, other answers are cut off. Connections that linger are waited
    for as well: their callers may not have read the last answer, which the end
    of the process would take from them.
    """
    lifecycle.begin_drain()
    server.begin_drain()
    while lifecycle.keeps_idle_connections:
        clock.sleep(STOP_POLL_S)
    server.close_port()
    # Connections that were accepted last are served meanwhile.
    clock.sleep(STOP_POLL_S)
    while server.in_use and not lifecycle.time_is_up:
        server.close_idle()
        count = server.unanswered_count
        if clock.monotonic() >= lifecycle.refuse_at(count):
            server.refuse_unanswered()
        clock.sleep(STOP_POLL_S)
    server.stop_requests()
    given_up = server.stopped_count
    linger_until = clock.monotonic() + LINGER_LIMIT_S
    # A process that stood still may be past its end.
    refuse_until = max(lifecycle.ends_at, linger_until)
    while server.in_use and clock.monotonic() < refuse_until:
        if not lifecycle.in_flight and clock.monotonic() >= linger_until:
            break
        clock.sleep(STOP_POLL_S)
    return given_up
