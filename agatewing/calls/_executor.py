"""Runs calls at most once; the log's order decides which attempt runs."""

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
from agatewing.calls import _history
from agatewing.calls import _keys
from agatewing import net
from agatewing import replica
from agatewing import timeline

#: Age of the log's end up to which an intent is tried, in seconds.
LOG_FRESH_S = 2.0
#: Longest wait until an intent is in the log and read back, in seconds.
INTENT_S = 3.0
#: Time for which an answer or a surrender is offered to the log.
OUTCOME_PATIENCE_S = 600.0
#: Longest wait until an answer is in the log, in seconds.
ANSWER_S = 2.0
#: Largest answer kept for replays, in bytes.
MAX_KEPT_BYTES = 65_536

Send = collections.abc.Callable[
    ["OnceCall", collections.abc.Callable[[], bool], float], "SendResult"
]


@dataclasses.dataclass(frozen=True, slots=True)
class OnceCall:
    """A call that runs at most once."""

    #: Caller account.
    caller: str
    #: Plain service.
    service: str
    #: Idempotency key as the caller sent it.
    key: str
    #: HTTP method.
    method: str
    #: Path and query below the service.
    path: str
    #: Content type of the body.
    content_type: str
    #: Body.
    body: bytes
    #: Monotonic time at which the caller stops waiting.
    deadline: float

    def scope(self) -> str:
        """Return caller, service and key as one string."""
        return f"{self.caller}/{self.service}/{uuid.UUID(self.key)}"

    def digest(self) -> str:
        """Return the digest by which a reused key is found out."""
        parts = (self.method, self.path, self.content_type)
        digest = hashlib.blake2b("\0".join(parts).encode(), digest_size=16)
        digest.update(b"\0" + self.body)
        return digest.hexdigest()


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """The call provably did not leave this process."""

    #: Why.
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoAnswer:
    """The call left, and nothing came back."""

    #: Target that may have run it.
    target: str


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The target answered."""

    #: Target that ran it.
    target: str
    #: Its answer.
    answer: net.HttpAnswer


SendResult: typing.TypeAlias = NotSent | NoAnswer | Answered
OnceResult: typing.TypeAlias = result.Result[
    net.HttpAnswer, _exceptions.Refusal
]


@dataclasses.dataclass(slots=True)
class Attempt:
    """One attempt of this process to run a call."""

    #: Unique id.
    id: str
    #: Whether it has given up; it never sends after that.
    given_up: bool = False
    #: Number of times it was allowed to send.
    sends: int = 0


class OnceExecutor:
    """Runs at-most-once calls of this instance."""

    __slots__ = (
        "_clock",
        "_state",
        "_follower",
        "_commit",
        "_events",
        "_send",
        "_history",
        "_invariants",
        "active",
        "joined",
        "window_s",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        state: replica.CallsState,
        follower: replica.Follower,
        commit: replica.GroupCommit,
        events: timeline.Timeline,
        send: Send,
        history: _history.History,
        invariants: _invariants.Invariants,
    ) -> None:
        self._clock = clock
        self._state = state
        self._follower = follower
        self._commit = commit
        self._events = events
        self._send = send
        self._history = history
        self._invariants = invariants
        #: Attempts under way here, by id.
        self.active: dict[str, Attempt] = {}
        #: Whether the platform's list has shown this instance.
        self.joined = False
        #: Age up to which keys are accepted, in seconds.
        self.window_s = 900.0

    def _check_key(self, text: str) -> _keys.KeyResult:
        """Check a key against the rule and the log's retention."""
        window = self.window_s
        if self._follower.position:
            window = _keys.usable_window_s(window, self._follower.retention_s)
        return _keys.check_key(text, self._clock.wall(), window)

    def available(self) -> bool:
        """Return whether an intent would reach the log now.

        Before it is listed, an instance runs nothing: others could not
        know of it when they say ``not-run``.
        """
        if not self.joined or self._commit.failing_since is not None:
            return False
        return self._follower.age() <= LOG_FRESH_S

    def truthful(
        self,
        refusal: _exceptions.Refusal,
        call: OnceCall,
        own_attempt: str = "",
    ) -> _exceptions.Refusal:
        """Say ``not-run`` only if no attempt with the key can have run.

        ``own_attempt`` is the id of the attempt that has given up; another
        attempt of this process may be running the same call.
        """
        checked = self._check_key(call.key)
        if isinstance(checked, result.Err):
            return checked.err_value
        if self._is_free(call, own_attempt) and self._history.is_complete():
            if self._is_free(call, own_attempt):
                return refusal
        return dataclasses.replace(refusal, outcome=_types.Outcome.UNKNOWN)

    def _is_free(self, call: OnceCall, own_attempt: str) -> bool:
        """Return whether no other attempt is known to have the key."""
        known = self._state.calls.get(call.scope())
        return known is None or known.attempt == own_attempt

    def run(self, call: OnceCall) -> OnceResult:
        """Run a call, replay its answer, or refuse it truthfully."""
        checked = self._check_key(call.key)
        if isinstance(checked, result.Err):
            return result.Err(checked.err_value)
        scope = call.scope()
        while True:
            known = self._state.calls.get(scope)
            if known is not None:
                settled = self._settle_known(call, known)
                if settled is not None:
                    return settled
                continue
            if not self.available():
                return result.Err(self.truthful(_log_down(), call))
            ended = self._try_to_run(call, scope)
            if ended is not None:
                return ended

    def _settle_known(
        self, call: OnceCall, known: replica.Call
    ) -> OnceResult | None:
        """Answer from the log, or wait for another attempt."""
        if known.digest != call.digest():
            return result.Err(_key_reused())
        match known.phase:
            case replica.CallPhase.ANSWERED:
                assert known.answer is not None
                self._invariants.check(
                    _invariants.Promise.OWN_ANSWER,
                    known.answer.key == call.scope(),
                    f"{call.scope()} would get that of {known.answer.key}",
                )
                self._events.add(
                    timeline.EventKind.CALL_REPLAYED, request=call.key
                )
                return _replay(known.answer)
            case replica.CallPhase.LOST:
                return result.Err(_lost())
        left = call.deadline - self._clock.monotonic()
        if left <= 0:
            return result.Err(_pending())
        self._follower.wait_change(min(left, 0.5))
        return None

    def _try_to_run(self, call: OnceCall, scope: str) -> OnceResult | None:
        """Make one attempt; ``None`` if another attempt was first."""
        attempt = Attempt(uuid.uuid4().hex)
        self.active[attempt.id] = attempt
        try:
            claimed = self._claim(call, scope, attempt)
            if claimed is not None:
                return claimed
            if not self._state.owns(scope, attempt.id):
                return None
            return self._dispatch(call, scope, attempt)
        finally:
            attempt.given_up = True
            del self.active[attempt.id]

    def _claim(
        self, call: OnceCall, scope: str, attempt: Attempt
    ) -> OnceResult | None:
        """Write the intent and read it back; a result if that failed."""
        left = min(INTENT_S, call.deadline - self._clock.monotonic())
        intent = replica.Intent(scope, attempt.id, call.digest())
        pending = self._commit.submit(intent, max(0.0, left))
        committed = pending.wait(max(0.0, left))
        if isinstance(committed, result.Ok):
            left = call.deadline - self._clock.monotonic()
            if self._follower.wait_for(
                committed.ok_value, min(INTENT_S, left)
            ):
                return None
        self._abandon(scope, attempt)
        return result.Err(self.truthful(_log_down(), call, attempt.id))

    def _abandon(self, scope: str, attempt: Attempt) -> None:
        """Never send, and let the log know as soon as it can."""
        attempt.given_up = True
        self._invariants.check(
            _invariants.Promise.TRUE_NOT_RUN,
            not attempt.sends,
            f"{scope} was sent before it was abandoned",
        )
        self._events.add(timeline.EventKind.CALL_ABANDONED, detail=scope)
        self._commit.submit(
            replica.Abandon(scope, attempt.id), OUTCOME_PATIENCE_S
        )

    def _dispatch(
        self, call: OnceCall, scope: str, attempt: Attempt
    ) -> OnceResult:
        def may_send() -> bool:
            if attempt.given_up:
                return False
            if self._clock.monotonic() >= call.deadline:
                return False
            if not self._state.owns(scope, attempt.id):
                return False
            attempt.sends += 1
            self._invariants.check(
                _invariants.Promise.AT_MOST_ONCE,
                attempt.sends == 1,
                f"{scope} is sent again",
            )
            return True

        left = call.deadline - self._clock.monotonic()
        sent = self._send(call, may_send, max(0.05, left))
        match sent:
            case NotSent(reason=reason):
                self._abandon(scope, attempt)
                return result.Err(_not_sent(reason))
            case NoAnswer(target=target):
                self._events.add(
                    timeline.EventKind.CALL_LOST,
                    request=call.key,
                    target=target,
                )
                self._commit.submit(
                    replica.AnswerLost(scope, attempt.id),
                    OUTCOME_PATIENCE_S,
                )
                return result.Err(_lost())
            case Answered(target=target, answer=answer):
                self._events.add(
                    timeline.EventKind.CALL_DISPATCHED,
                    request=call.key,
                    target=target,
                )
                self._record_answer(scope, attempt, answer)
                return result.Ok(answer)

    def _record_answer(
        self, scope: str, attempt: Attempt, answer: net.HttpAnswer
    ) -> None:
        """Write the answer down before the caller gets it, if possible."""
        record: replica.Record = replica.AnswerLost(scope, attempt.id)
        if len(answer.body) <= MAX_KEPT_BYTES:
            record = replica.Answer(
                scope,
                attempt.id,
                answer.status,
                answer.content_type,
                answer.body,
            )
        pending = self._commit.submit(record, OUTCOME_PATIENCE_S)
        pending.wait(ANSWER_S)


def _replay(answer: replica.Answer) -> OnceResult:
    """Return the answer that the log holds."""
    return result.Ok(
        net.HttpAnswer(answer.status, answer.content_type, answer.body)
    )


def _log_down() -> _exceptions.Refusal:
    """Return the refusal while intents cannot be written."""
    return _exceptions.Refusal(
        _types.RefusalKind.LOG_DOWN,
        "calls that run at most once cannot be recorded now",
        "repeat the call with the same key after Retry-After",
        retry_after_s=5.0,
    )


def _not_sent(reason: str) -> _exceptions.Refusal:
    """Return the refusal of a call that no target took."""
    return _exceptions.Refusal(
        _types.RefusalKind.NO_TARGET,
        f"the call was not sent: {reason}",
        "repeat the call with the same key after Retry-After",
        retry_after_s=2.0,
    )


def _lost() -> _exceptions.Refusal:
    """Return the refusal of a call whose answer was lost."""
    return _exceptions.Refusal(
        _types.RefusalKind.OUTCOME_LOST,
        "the call was sent and its answer was lost",
        "ask the service for the state before making a new call",
        _types.Outcome.UNKNOWN,
    )


def _pending() -> _exceptions.Refusal:
    """Return the refusal while another attempt runs the call."""
    return _exceptions.Refusal(
        _types.RefusalKind.KEY_PENDING,
        "another attempt with this key is still running",
        "repeat the call with the same key after Retry-After",
        _types.Outcome.UNKNOWN,
        retry_after_s=1.0,
    )


def _key_reused() -> _exceptions.Refusal:
    """Return the refusal of a key that came with another call."""
    return _exceptions.Refusal(
        _types.RefusalKind.KEY_REUSED,
        "the key was used for a call with another content",
        "use a new key for a new call",
    )
