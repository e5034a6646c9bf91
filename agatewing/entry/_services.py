"""Answers /services/NAME/...: calls of plain services."""

import collections.abc
import fnmatch
import functools

import result

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _types
from agatewing import calls
from agatewing import config
from agatewing import decisions
from agatewing.entry import _context
from agatewing.entry import _crashes
from agatewing.entry import _gate
from agatewing.entry import _identity
from agatewing.entry import _repeatable
from agatewing import fleet
from agatewing import net
from agatewing import timeline


class Services:
    """Handles calls of plain services.

    Calls that match an at-most-once rule go through the executor; all other
    calls may be retried on another target.
    """

    __slots__ = (
        "_clock",
        "_fleet",
        "_gate",
        "_events",
        "_retries",
        "_zone",
        "_send_without_retry",
        "_crashes",
        "executor",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        target_fleet: fleet.Fleet,
        gate: _gate.Gate,
        events: timeline.EventRecorder,
        retries: decisions.RetryBudget,
        zone: str,
        call_once: net.CallOnce,
        crashes: _crashes.CrashGuard,
    ) -> None:
        self._clock = clock
        self._fleet = target_fleet
        self._gate = gate
        self._events = events
        self._retries = retries
        self._zone = zone
        self._send_without_retry = call_once
        self._crashes = crashes
        #: Runs calls at most once; set by the composition root.
        self.executor: calls.OnceExecutor | None = None

    def handle(
        self,
        name: str,
        path: str,
        req: _context.CallerRequest,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        """Answer one call; raise ``RefusedError`` if it is refused."""
        self._check_configuration(name, path, req)
        deadline = self._deadline(name, req)
        _identity.require_service(req.identity, name)
        if self._is_at_most_once(name, path, req.method):
            answer = self._call_at_most_once(name, path, req, deadline)
        else:
            self._gate.check()
            answer = self._call_with_retries(name, path, req, deadline)
        headers = [
            ("Content-Type", answer.content_type or "application/json"),
            ("Content-Length", str(len(answer.body))),
            ("Agatewing-Request", req.id),
        ]
        start_response(net.status_line(answer.status), headers)
        return [answer.body]

    def send_once(
        self,
        call: calls.OnceCall,
        may_send: collections.abc.Callable[[], bool],
        timeout_s: float,
    ) -> calls.SendResult:
        """Send a call to a target at most once.

        Another target is tried only if the connection was refused, as
        nothing was sent then.
        """
        request = _crashes.request_key(
            call.caller, call.method, f"{call.service}{call.path}", call.body
        )
        avoid: frozenset[str] = frozenset()
        while True:
            try:
                self._crashes.check_request(request)
            except _exceptions.RefusedError as exc:
                return calls.NotSent(exc.refusal.detail)
            target = self._fleet.pick_target(call.service, avoid, self._zone)
            if target is None:
                return calls.NotSent("no target accepts connections")
            target.in_flight += 1
            try:
                answer = self._send_without_retry(
                    target.spec.address,
                    call.method,
                    call.path,
                    call.body,
                    _headers(call.content_type, call.key),
                    timeout_s,
                    may_send,
                )
            except _exceptions.ConnectRefusedError:
                target.record_failure(self._clock.monotonic())
                avoid |= {target.name}
                continue
            except net.SendForbiddenError:
                return calls.NotSent("the attempt had given up")
            except _exceptions.AgatewingError as exc:
                target.record_failure(self._clock.monotonic())
                if not isinstance(exc, _exceptions.TargetOverdueError):
                    self._crashes.record_broken(request, target)
                return calls.OutcomeUnknown(target.name)
            finally:
                target.in_flight -= 1
            self._crashes.record_answered(request)
            return calls.Answered(target.name, answer)

    def _check_configuration(
        self, name: str, path: str, req: _context.CallerRequest
    ) -> None:
        """Raise the refusal of the gate while there is no configuration.

        Without one, at-most-once calls cannot be distinguished from others,
        so the executor checks the outcome for any idempotency key.
        """
        refusal = self._gate.refusal()
        if self._fleet.document is not None or refusal is None:
            return
        if req.idempotency_key and self.executor is not None:
            call = _at_most_once_call(name, path, req, 0.0)
            refusal = self.executor.with_certain_outcome(refusal, call)
        raise _exceptions.RefusedError(refusal)

    def _deadline(self, name: str, req: _context.CallerRequest) -> float:
        document = self._fleet.document
        service = document.services.get(name) if document else None
        if not isinstance(service, config.PlainService):
            raise _exceptions.RefusedError(_unknown_service(name))
        timeout_s = service.deadline_s
        if req.timeout_s is not None:
            timeout_s = min(timeout_s, req.timeout_s)
        return self._clock.monotonic() + timeout_s

    def _is_at_most_once(self, name: str, path: str, method: str) -> bool:
        document = self._fleet.document
        rules = document.rules.at_most_once if document else ()
        return any(
            rule.service == name
            and rule.method == method
            and _path_matches(path, rule.path)
            for rule in rules
        )

    def _call_at_most_once(
        self,
        name: str,
        path: str,
        req: _context.CallerRequest,
        deadline: float,
    ) -> net.HttpAnswer:
        executor = self.executor
        if executor is None:
            raise AssertionError(
                "no executor; set Services.executor before handling calls"
            )
        call = _at_most_once_call(name, path, req, deadline)
        gate_refusal = self._gate.refusal()
        if gate_refusal is not None:
            raise _exceptions.RefusedError(
                executor.with_certain_outcome(gate_refusal, call)
            )
        match executor.run(call):
            case result.Ok(answer):
                return answer
            case result.Err(refusal):
                raise _exceptions.RefusedError(refusal)
        raise AssertionError("unreachable")

    def _call_with_retries(
        self,
        name: str,
        path: str,
        req: _context.CallerRequest,
        deadline: float,
    ) -> net.HttpAnswer:
        self._retries.record_first_try()

        request = _crashes.request_key(
            req.identity.name,
            req.method,
            f"{name}{_with_query(path, req.query)}",
            req.body,
        )

        def send(target: fleet.ServiceTarget) -> net.HttpAnswer:
            self._crashes.check_request(request)
            try:
                return target.client.call(
                    req.method,
                    _with_query(path, req.query),
                    req.body,
                    _headers(req.content_type, req.idempotency_key),
                    functools.partial(self._may_send_to, target),
                )
            except net.SendForbiddenError:
                self._gate.check()
                raise

        call = _repeatable.RepeatableCall(
            self._clock,
            self._retries,
            lambda avoid: self._fleet.pick_target(name, avoid, self._zone),
            send,
            functools.partial(self._crashes.record_broken, request),
        )
        answer = call.run(deadline)
        if answer is None:
            raise _exceptions.RefusedError(_no_answer(name, call.may_have_run))
        self._crashes.record_answered(request)
        return answer

    def _may_send_to(self, target: fleet.ServiceTarget) -> bool:
        """Return whether a new call may be sent to the target now."""
        if not self._gate.may_send():
            return False
        return target.active


def _at_most_once_call(
    name: str, path: str, req: _context.CallerRequest, deadline: float
) -> calls.OnceCall:
    """Return the at-most-once call that a request asks for."""
    return calls.OnceCall(
        req.identity.name,
        name,
        req.idempotency_key,
        req.method,
        _with_query(path, req.query),
        req.content_type,
        req.body,
        deadline,
    )


def _path_matches(path: str, pattern: str) -> bool:
    """Return whether a path matches, ``*`` standing for one segment."""
    segments, pattern_segments = path.split("/"), pattern.split("/")
    if len(segments) != len(pattern_segments):
        return False
    return all(
        fnmatch.fnmatchcase(segment, pattern_segment)
        for segment, pattern_segment in zip(
            segments, pattern_segments, strict=True
        )
    )


def _with_query(path: str, query: str) -> str:
    """Return the path with its query."""
    return f"{path}?{query}" if query else path


def _headers(content_type: str, key: str) -> dict[str, str]:
    """Return the header fields of a call to a target."""
    fields = {"Content-Type": content_type}
    if key:
        fields["Idempotency-Key"] = key
    return fields


def _unknown_service(name: str) -> _exceptions.Refusal:
    """Return the refusal of an unknown plain service."""
    return _exceptions.Refusal(
        _types.RefusalKind.NOT_FOUND,
        f"there is no plain service {name[:80]!r}",
        "call a service of the inventory",
    )


def _no_answer(name: str, may_have_run: bool) -> _exceptions.Refusal:
    """Return the refusal of a call that no target answered.

    The outcome is unknown if a target may have run the call.
    """
    outcome = (
        _types.Outcome.UNKNOWN if may_have_run else _types.Outcome.NOT_RUN
    )
    return _exceptions.Refusal(
        _types.RefusalKind.TARGET_FAILED,
        f"no target of service {name} answered",
        "repeat the call after Retry-After",
        outcome,
        retry_after_s=1.0,
    )
