"""Answers /services/NAME/...: plain services, repeatable or not."""

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
from agatewing.entry import _gate
from agatewing.entry import _identity
from agatewing import fleet
from agatewing import net
from agatewing import timeline

#: Tries of a call that may be repeated.
MAX_TRIES = 3


class Services:
    """Handles calls of plain services."""

    __slots__ = (
        "_clock",
        "_fleet",
        "_gate",
        "_events",
        "_retries",
        "_zone",
        "_call",
        "executor",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        machines: fleet.Fleet,
        gate: _gate.Gate,
        events: timeline.Timeline,
        retries: decisions.RetryBudget,
        zone: str,
        call_once: net.CallOnce,
    ) -> None:
        self._clock = clock
        self._fleet = machines
        self._gate = gate
        self._events = events
        self._retries = retries
        self._zone = zone
        self._call = call_once
        #: Runs calls at most once; set by the composition root.
        self.executor: calls.OnceExecutor | None = None

    def handle(
        self,
        name: str,
        path: str,
        req: _context.CallerRequest,
        start_response: net.StartResponse,
    ) -> collections.abc.Iterable[bytes]:
        """Answer one call."""
        self._check_document(name, path, req)
        deadline = self._deadline(name, req)
        _identity.require_service(req.identity, name)
        if self._runs_once(name, path, req.method):
            answer = self._call_once(name, path, req, deadline)
        else:
            self._gate.check()
            answer = self._call_repeatable(name, path, req, deadline)
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
        """Send a call to one target; another only if nothing was sent."""
        avoid: frozenset[str] = frozenset()
        while True:
            machine = self._fleet.pick_target(call.service, avoid, self._zone)
            if machine is None:
                return calls.NotSent("no target accepts connections")
            machine.in_flight += 1
            try:
                answer = self._call(
                    machine.spec.address,
                    call.method,
                    call.path,
                    call.body,
                    _headers(call.content_type, call.key),
                    timeout_s,
                    may_send,
                )
            except _exceptions.ConnectRefusedError:
                machine.note_failure(self._clock.monotonic())
                avoid |= {machine.name}
                continue
            except net.SendForbiddenError:
                return calls.NotSent("the attempt had given up")
            except _exceptions.AgatewingError:
                machine.note_failure(self._clock.monotonic())
                return calls.NoAnswer(machine.name)
            finally:
                machine.in_flight -= 1
            return calls.Answered(machine.name, answer)

    def _check_document(
        self, name: str, path: str, req: _context.CallerRequest
    ) -> None:
        """Refuse while there is no configuration to tell calls apart."""
        refusal = self._gate.refusal()
        if self._fleet.document is not None or refusal is None:
            return
        if req.idempotency_key and self.executor is not None:
            call = _once_call(name, path, req, 0.0)
            refusal = self.executor.truthful(refusal, call)
        raise _exceptions.RefusedError(refusal)

    def _deadline(self, name: str, req: _context.CallerRequest) -> float:
        document = self._fleet.document
        service = document.services.get(name) if document else None
        if not isinstance(service, config.PlainService):
            raise _exceptions.RefusedError(_no_service(name))
        allowed = service.deadline_s
        if req.allowed_s is not None:
            allowed = min(allowed, req.allowed_s)
        return self._clock.monotonic() + allowed

    def _runs_once(self, name: str, path: str, method: str) -> bool:
        document = self._fleet.document
        rules = document.rules.at_most_once if document else ()
        return any(
            rule.service == name
            and rule.method == method
            and _path_matches(path, rule.path)
            for rule in rules
        )

    def _call_once(
        self,
        name: str,
        path: str,
        req: _context.CallerRequest,
        deadline: float,
    ) -> net.HttpAnswer:
        executor = self.executor
        if executor is None:
            raise AssertionError("the composition root sets the executor")
        call = _once_call(name, path, req, deadline)
        closed = self._gate.refusal()
        if closed is not None:
            raise _exceptions.RefusedError(executor.truthful(closed, call))
        match executor.run(call):
            case result.Ok(answer):
                return answer
            case result.Err(refusal):
                raise _exceptions.RefusedError(refusal)
        raise AssertionError("unreachable")

    def _call_repeatable(
        self,
        name: str,
        path: str,
        req: _context.CallerRequest,
        deadline: float,
    ) -> net.HttpAnswer:
        self._retries.note_first_try()
        avoid: frozenset[str] = frozenset()
        sent = False
        for attempt in range(1, MAX_TRIES + 1):
            machine = self._fleet.pick_target(name, avoid, self._zone)
            if machine is None:
                break
            machine.in_flight += 1
            try:
                return machine.client.call(
                    req.method,
                    _with_query(path, req.query),
                    req.body,
                    _headers(req.content_type, req.idempotency_key),
                    functools.partial(self._may_send_to, machine),
                )
            except net.SendForbiddenError:
                self._gate.check()
            except _exceptions.ConnectRefusedError:
                machine.note_failure(self._clock.monotonic())
            except _exceptions.AgatewingError:
                sent = True
                machine.note_failure(self._clock.monotonic())
            finally:
                machine.in_flight -= 1
            avoid |= {machine.name}
            if not self._may_retry(attempt, deadline):
                break
        raise _exceptions.RefusedError(_no_answer(name, sent))

    def _may_send_to(self, machine: fleet.ServiceTarget) -> bool:
        """Return whether the target still gets new work from here."""
        if not self._gate.may_send():
            return False
        return machine.usable(self._clock.monotonic())

    def _may_retry(self, attempt: int, deadline: float) -> bool:
        pause = self._retries.pause_s(attempt)
        if self._clock.monotonic() + pause >= deadline:
            return False
        if not self._retries.take():
            return False
        self._clock.sleep(pause)
        return True


def _once_call(
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
    parts, wanted = path.split("/"), pattern.split("/")
    if len(parts) != len(wanted):
        return False
    return all(
        fnmatch.fnmatchcase(part, want)
        for part, want in zip(parts, wanted, strict=True)
    )


def _with_query(path: str, query: str) -> str:
    """Return the path with its query."""
    return f"{path}?{query}" if query else path


def _headers(content_type: str, key: str) -> dict[str, str]:
    """Return the header fields that targets get."""
    fields = {"Content-Type": content_type}
    if key:
        fields["Idempotency-Key"] = key
    return fields


def _no_service(name: str) -> _exceptions.Refusal:
    """Return the refusal of an unknown plain service."""
    return _exceptions.Refusal(
        _types.RefusalKind.NOT_FOUND,
        f"there is no plain service {name[:80]!r}",
        "call a service of the inventory",
    )


def _no_answer(name: str, sent: bool) -> _exceptions.Refusal:
    """Return the refusal of a repeatable call that got no answer."""
    outcome = _types.Outcome.UNKNOWN if sent else _types.Outcome.NOT_RUN
    return _exceptions.Refusal(
        _types.RefusalKind.TARGET_FAILED,
        f"no target of service {name} answered",
        "repeat the call after Retry-After",
        outcome,
        retry_after_s=1.0,
    )
