"""Runs calls at most once.

An attempt writes an intent to the log and reads it back before it sends the
call. Of several attempts with the same key, the one whose intent comes first
in the log runs.
"""

import collections.abc
import dataclasses
import hashlib
import typing
import uuid

import result

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _invariants
from agatewing import _types
from agatewing.calls import _completeness
from agatewing.calls import _keys
from agatewing import net
from agatewing import replica
from agatewing import timeline

#: Intents are written only if the last read to the end of the log is at most
#: this old, in seconds.
MAX_LOG_AGE_S = 2.0
#: Timeout of writing an intent to the log, and again of reading it back, in
#: seconds.
INTENT_TIMEOUT_S = 3.0
#: Time for which appending an answer, an unknown outcome or an abandonment
#: is retried, in seconds.
OUTCOME_RETRY_S = 600.0
#: Longest time the caller's answer is held back until it is in the log, in
#: seconds.
RECORD_TIMEOUT_S = 2.0
#: Largest answer body that is stored for replay, in bytes.
MAX_REPLAY_BODY_BYTES = 65_536

Send = collections.abc.Callable[
    ["OnceCall", collections.abc.Callable[[], bool], float], "SendResult"
]


@dataclasses.dataclass(frozen=True, slots=True)
class OnceCall:
    """A call that runs at most once."""

    #: Client account that sent the call.
    caller: str
    #: Name of the plain service.
    service: str
    #: Idempotency key as the caller sent it.
    key: str
    #: HTTP method.
    method: str
    #: Path and query, relative to the service.
    path: str
    #: Content type of the request body.
    content_type: str
    #: Request body.
    body: bytes
    #: Monotonic time at which the caller stops waiting, in seconds.
    deadline: float

    def scope(self) -> str:
        """Return ``caller/service/key``, which identifies the call."""
        return f"{self.caller}/{self.service}/{uuid.UUID(self.key)}"

    def digest(self) -> str:
        """Return a hex digest of the content, to detect a reused key."""
        parts = (self.method, self.path, self.content_type)
        digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=16)
        digest.update(b"\0" + self.body)
        return digest.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The call was certainly not sent to any target."""

    #: Why it was not sent.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The call was sent, and its outcome is unknown."""

    #: Target that may have run it.
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The target answered the call."""

    #: Target that ran the call.
    target: str
    #: Answer of the target.
    answer: net.HttpAnswer


SendResult: typing.TypeAlias = NotSent | OutcomeUnknown | Answered
OnceResult: typing.TypeAlias = result.Result[
    net.HttpAnswer, _exceptions.Refusal
]


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of this process to run a call."""

    #: Unique id of the attempt.
    id: str
    #: Whether the attempt has ended; it never sends after that.
    ended: bool = False
    #: Number of times it was permitted to send; at most 1.
    sends: int = 0


class OnceExecutor:
    """Runs the at-most-once calls that this instance receives."""

    __slots__ = (
        "_clock",
        "_state",
        "_follower",
        "_commit",
        "_events",
        "_send",
        "_completeness",
        "_invariants",
        "active",
        "seen_in_list",
        "window_s",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        state: replica.CallsState,
        follower: replica.Follower,
        commit: replica.GroupCommit,
        events: timeline.EventRecorder,
        send: Send,
        completeness: _completeness.CompletenessCheck,
        invariants: _invariants.Invariants,
    ) -> None:
        self._clock = clock
        self._state = state
        self._follower = follower
        self._commit = commit
        self._events = events
        self._send = send
        self._completeness = completeness
        self._invariants = invariants
        #: Attempts of this process that are in flight, by id.
        self.active: dict[str, Attempt] = {}
        #: Whether this instance has seen itself in the platform's list.
        self.seen_in_list = False
        #: Age up to which idempotency keys are accepted, in seconds; set
        #: from the configuration.
        self.window_s = 900.0

    def _check_key(self, text: str) -> _keys.KeyResult:
        """Check a key against its window and the log's retention."""
        window = self.window_s
        if self._follower.position:
            window = _keys.usable_window_s(window, self._follower.retention_s)
        return _keys.check_key(text, self._clock.wall(), window)

    def available(self) -> bool:
        """Return whether an intent can be written to the log now.

        An instance runs no at-most-once calls before it has seen itself in
        the platform's list: until then other instances could refuse a call
        with ``not-run`` without asking this one.
        """
        if not self.seen_in_list or self._commit.failing_since is not None:
            return False
        return self._follower.age_s() <= MAX_LOG_AGE_S

    def with_certain_outcome(
        self,
        refusal: _exceptions.Refusal,
        call: OnceCall,
        own_attempt: str = "",
    ) -> _exceptions.Refusal:
        """Return the refusal with an outcome that is certainly true.

        The refusal is returned as it is if no attempt with the key can
        have run; otherwise its outcome is set to unknown. If the key is
        not valid, the refusal of the key is returned. ``own_attempt`` is
        the id of the attempt that has ended; another attempt of this
        process may be running the same call.
        """
        checked = self._check_key(call.key)
        if isinstance(checked, result.Err):
            return checked.err_value
        if (
            self._is_free(call, own_attempt)
            and self._completeness.is_complete()
        ):
            # Records may have been read while is_complete waited.
            if self._is_free(call, own_attempt):
                return refusal
        return dataclasses.replace(refusal, outcome=_types.Outcome.UNKNOWN)

    def _is_free(self, call: OnceCall, own_attempt: str) -> bool:
        """Return whether no attempt but ``own_attempt`` holds the key."""
        recorded = self._state.calls.get(call.scope())
        return recorded is None or recorded.attempt == own_attempt

    def run(self, call: OnceCall) -> OnceResult:
        """Run a call or replay its recorded answer; else return a refusal.

        Waits up to the deadline of the call while another attempt with the
        same key is in flight.
        """
        checked = self._check_key(call.key)
        if isinstance(checked, result.Err):
            return result.Err(checked.err_value)
        scope = call.scope()
        while True:
            recorded = self._state.calls.get(scope)
            if recorded is not None:
                recorded_result = self._result_of_recorded(call, recorded)
                if recorded_result is not None:
                    return recorded_result
                continue
            if not self.available():
                return result.Err(
                    self.with_certain_outcome(_log_unavailable(), call)
                )
            attempt_result = self._attempt_once(call, scope)
            if attempt_result is not None:
                return attempt_result

    def _result_of_recorded(
        self, call: OnceCall, recorded: replica.Call
    ) -> OnceResult | None:
        """Return the recorded result of a call, if it has one.

        Otherwise an attempt is in flight: waits briefly for the next read
        of the log, then returns ``None``, so that the caller looks up the
        call again. After the deadline of the call, returns a refusal.
        """
        if recorded.digest != call.digest():
            return result.Err(_key_reused())
        match recorded.phase:
            case replica.CallPhase.ANSWERED:
                assert recorded.answer is not None
                self._invariants.check(
                    _invariants.Invariant.OWN_ANSWER,
                    recorded.answer.key == call.scope(),
                    f"{call.scope()} would get that of {recorded.answer.key}",
                )
                self._events.add(
                    timeline.EventKind.CALL_REPLAYED, request=call.key
                )
                return _replayed_result(recorded.answer)
            case replica.CallPhase.LOST:
                return result.Err(_outcome_unknown())
        remaining_s = call.deadline - self._clock.monotonic()
        if remaining_s <= 0:
            return result.Err(_key_pending())
        self._follower.wait_for_read(min(remaining_s, 0.5))
        return None

    def _attempt_once(self, call: OnceCall, scope: str) -> OnceResult | None:
        """Make one attempt; return ``None`` if another one holds the key."""
        attempt = Attempt(uuid.uuid4().hex)
        self.active[attempt.id] = attempt
        try:
            refused = self._claim(call, scope, attempt)
            if refused is not None:
                return refused
            if not self._state.owns(scope, attempt.id):
                return None
            return self._dispatch(call, scope, attempt)
        finally:
            attempt.ended = True
            del self.active[attempt.id]

    def _claim(
        self, call: OnceCall, scope: str, attempt: Attempt
    ) -> OnceResult | None:
        """Write the intent and read it back; return a refusal on failure."""
        remaining_s = min(
            INTENT_TIMEOUT_S, call.deadline - self._clock.monotonic()
        )
        intent = replica.Intent(scope, attempt.id, call.digest())
        pending = self._commit.submit(intent, max(0.0, remaining_s))
        committed = pending.wait(max(0.0, remaining_s))
        if isinstance(committed, result.Ok):
            remaining_s = call.deadline - self._clock.monotonic()
            if self._follower.wait_for(
                committed.ok_value, min(INTENT_TIMEOUT_S, remaining_s)
            ):
                return None
        self._abandon(scope, attempt)
        return result.Err(
            self.with_certain_outcome(_log_unavailable(), call, attempt.id)
        )

    def _abandon(self, scope: str, attempt: Attempt) -> None:
        """End an attempt that sent nothing, and record that in the log."""
        attempt.ended = True
        self._invariants.check(
            _invariants.Invariant.TRUE_NOT_RUN,
            not attempt.sends,
            f"{scope} was sent before it was abandoned",
        )
        self._events.add(timeline.EventKind.CALL_ABANDONED, detail=scope)
        self._commit.submit(
            replica.Abandon(scope, attempt.id), OUTCOME_RETRY_S
        )

    def _dispatch(
        self, call: OnceCall, scope: str, attempt: Attempt
    ) -> OnceResult:
        """Send a claimed call once and record its outcome in the log."""

        def may_send() -> bool:
            if attempt.ended:
                return False
            if self._clock.monotonic() >= call.deadline:
                return False
            if not self._state.owns(scope, attempt.id):
                return False
            attempt.sends += 1
            self._invariants.check(
                _invariants.Invariant.AT_MOST_ONCE,
                attempt.sends == 1,
                f"{scope} is sent again",
            )
            return True

        remaining_s = call.deadline - self._clock.monotonic()
        # After the deadline, may_send refuses whatever the timeout is.
        sent = self._send(call, may_send, max(0.05, remaining_s))
        match sent:
            case NotSent(reason=reason):
                self._abandon(scope, attempt)
                return result.Err(_not_sent(reason))
            case OutcomeUnknown(target=target):
                self._events.add(
                    timeline.EventKind.CALL_LOST,
                    request=call.key,
                    target=target,
                )
                self._commit.submit(
                    replica.AnswerLost(scope, attempt.id),
                    OUTCOME_RETRY_S,
                )
                return result.Err(_outcome_unknown())
            case Answered(target=target, answer=answer):
                self._events.add(
                    timeline.EventKind.CALL_ANSWERED,
                    request=call.key,
                    target=target,
                )
                self._record_answer(scope, attempt, answer)
                return result.Ok(answer)

    def _record_answer(
        self, scope: str, attempt: Attempt, answer: net.HttpAnswer
    ) -> None:
        """Record an answer before it is returned to the caller, if possible.

        If the body is larger than ``MAX_REPLAY_BODY_BYTES``, ``AnswerLost``
        is recorded instead: later attempts with the key get the refusal
        for an unknown outcome. The caller gets the answer after
        ``RECORD_TIMEOUT_S`` even if it is not in the log yet.
        """
        record: replica.Record = replica.AnswerLost(scope, attempt.id)
        if len(answer.body) <= MAX_REPLAY_BODY_BYTES:
            record = replica.Answer(
                scope,
                attempt.id,
                answer.status,
                answer.content_type,
                answer.body,
            )
        pending = self._commit.submit(record, OUTCOME_RETRY_S)
        pending.wait(RECORD_TIMEOUT_S)


def _replayed_result(answer: replica.Answer) -> OnceResult:
    """Return the recorded answer as a result."""
    return result.Ok(
        net.HttpAnswer(answer.status, answer.content_type, answer.body)
    )


def _log_unavailable() -> _exceptions.Refusal:
    """Return the refusal given while intents cannot be written."""
    return _exceptions.Refusal(
        _types.RefusalKind.LOG_DOWN,
        "calls that run at most once cannot be recorded now",
        "repeat the call with the same key after Retry-After",
        retry_after_s=5.0,
    )


def _not_sent(reason: str) -> _exceptions.Refusal:
    """Return the refusal of a call that was sent to no target."""
    return _exceptions.Refusal(
        _types.RefusalKind.NO_TARGET,
        f"the call was not sent: {reason}",
        "repeat the call with the same key after Retry-After",
        retry_after_s=2.0,
    )


def _outcome_unknown() -> _exceptions.Refusal:
    """Return the refusal of a call whose outcome is unknown."""
    return _exceptions.Refusal(
        _types.RefusalKind.OUTCOME_LOST,
        "the call was sent and its answer was lost",
        "ask the service for the state before making a new call",
        _types.Outcome.UNKNOWN,
    )


def _key_pending() -> _exceptions.Refusal:
    """Return the refusal given while another attempt runs the call."""
    return _exceptions.Refusal(
        _types.RefusalKind.KEY_PENDING,
        "another attempt with this key is still running",
        "repeat the call with the same key after Retry-After",
        _types.Outcome.UNKNOWN,
        retry_after_s=1.0,
    )


def _key_reused() -> _exceptions.Refusal:
    """Return the refusal of a key already used for a different call."""
    return _exceptions.Refusal(
        _types.RefusalKind.KEY_REUSED,
        "the key was used for a call with another content",
        "use a new key for a new call",
    )
