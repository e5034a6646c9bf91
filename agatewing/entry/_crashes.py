"""Keeps requests from engines and targets that would crash on them.

On this interface, the parts of a prompt are its prefix blocks, each identified
by the hash of the prompt from its start to the end of the block. A request of
a model or of a plain service is also known as a whole, by the hash of what is
the same each time that its caller repeats it. Instances share evidence
against whole requests; of prefix blocks, each learns from its own requests.
"""

import typing

import gevent.event
import msgspec

from agatewing import _clock
from agatewing import _exceptions
from agatewing import _types
from agatewing import decisions
from agatewing import enginemodel
from agatewing import fleet
from agatewing import net

#: Largest number of blocks suspected after a crash: the first ones that no
#: prompt answered in full has had. The later ones contain them.
MAX_SUSPECTS = 8
#: Time after a request broke off at which its target is tried, in seconds: a
#: process that ends closes its connections before its port.
SETTLE_S = 0.05
#: Time within which failures of a target count as one crash, in seconds;
#: a crashed target is not back sooner.
CRASH_WINDOW_S = 2.0
#: Largest number of requests in one report to another instance.
MAX_REPORTED = 32


class _Suspect(msgspec.Struct, frozen=True):
    """Fields of a ``SuspectReport`` without those of trials.

    Requests are not tried on this interface, and JSON has no infinity.
    """

    key: int
    engines: frozenset[int]
    prompts: frozenset[int]
    age_s: float


class _Evidence(msgspec.Struct, frozen=True):
    """Evidence against whole requests, as instances exchange it."""

    suspects: tuple[_Suspect, ...] = ()
    served: tuple[decisions.ServedReport, ...] = ()


_evidence_decoder = msgspec.json.Decoder(_Evidence)


class Target(typing.Protocol):
    """An engine or a target of a plain service."""

    @property
    def name(self) -> str:
        """Name in the inventory."""

    @property
    def client(self) -> net.HttpClient:
        """Connections to it."""


def request_key(caller: str, method: str, path: str, body: bytes) -> int:
    """Return the hash of what is the same when a caller repeats a request."""
    parts = (caller.encode(), method.encode(), path.encode(), body)
    return decisions.fingerprint(parts)


class CrashGuard:
    """What targets crash on, as this instance knows it."""

    __slots__ = ("_clock", "_suspects", "_requests", "changed")

    def __init__(
        self,
        clock: _clock.Clock,
        suspects: decisions.CrashSuspects,
        jitter: float = 0.0,
    ) -> None:
        self._clock = clock
        self._suspects = suspects
        # Evidence against whole requests. Apart, since many different
        # requests answered in full would displace the prefix blocks.
        self._requests = decisions.CrashSuspects(jitter)
        #: Set when there is new evidence of this instance to share.
        self.changed = gevent.event.Event()

    def take_evidence(self) -> bytes:
        """Return the evidence against whole requests, as JSON."""
        now = self._clock.monotonic()
        return msgspec.json.encode(
            _Evidence(
                tuple(
                    _Suspect(
                        report.key,
                        report.engines,
                        report.prompts,
                        report.age_s,
                    )
                    for report in self._requests.take_reports(
                        now, MAX_REPORTED
                    )
                ),
                tuple(self._requests.take_served(now, MAX_REPORTED)),
            )
        )

    def merge_evidence(self, data: bytes | str) -> None:
        """Add the evidence of another instance.

        Raises ``msgspec.MsgspecError`` or ``RecursionError`` if it cannot be
        decoded.
        """
        evidence = _evidence_decoder.decode(data)
        now = self._clock.monotonic()
        for suspect in evidence.suspects[:MAX_REPORTED]:
            report = decisions.SuspectReport(
                suspect.key, suspect.engines, suspect.prompts, suspect.age_s
            )
            self._requests.merge(report, now)
        for served in evidence.served[:MAX_REPORTED]:
            self._requests.merge_served(served, now)

    def check_request(self, request: int) -> None:
        """Raise ``RefusedError`` if targets would crash on a request."""
        left_s = self._requests.quarantine_left_s(
            request, self._clock.monotonic()
        )
        if left_s > 0:
            raise _exceptions.RefusedError(
                _exceptions.Refusal(
                    _types.RefusalKind.QUARANTINED,
                    "targets crash on this request",
                    "send another request, or come back after Retry-After",
                    retry_after_s=left_s,
                )
            )

    def record_answered(self, request: int) -> None:
        """Record a request that was answered in full."""
        self._requests.record_served((request,), self._clock.monotonic())

    def record_broken(self, request: int, target: Target) -> bool:
        """Record a request that broke off before its answer began.

        Returns whether it may be sent again. Waits for ``SETTLE_S`` and asks
        whether the target accepts connections.
        """
        now = self._clock.monotonic()
        if not self._requests.is_cleared((request,), now):
            self._clock.sleep(SETTLE_S)
            if _is_gone(target):
                self._record_crash(request, target)
        return self._requests.may_be_sent_again(
            (request,), self._clock.monotonic()
        )

    def _record_crash(self, request: int, target: Target) -> None:
        crash = decisions.short_key(
            f"{target.name}/{self._clock.wall() // CRASH_WINDOW_S}"
        )
        # A block needs crashes under several prompts; a whole request is the
        # same each time, so each crash counts as a prompt of its own.
        self._requests.record_crash(
            (request,), crash, crash, self._clock.monotonic()
        )
        self.changed.set()

    def check(self, prompt: str) -> None:
        """Raise ``RefusedError`` if engines would crash on a prompt."""
        now = self._clock.monotonic()
        left_s = max(
            (
                self._suspects.quarantine_left_s(block, now)
                for block in _shared_blocks(prompt)
            ),
            default=0.0,
        )
        if left_s > 0:
            raise _exceptions.RefusedError(
                _exceptions.Refusal(
                    _types.RefusalKind.QUARANTINED,
                    "engines crash on a part of the prompt",
                    "send another prompt, or come back after Retry-After",
                    retry_after_s=left_s,
                )
            )

    def record_served(self, prompt: str) -> None:
        """Record a prompt that was answered in full."""
        now = self._clock.monotonic()
        self._suspects.record_served(_shared_blocks(prompt), now)

    def record_failure(self, prompt: str, target: fleet.EngineTarget) -> bool:
        """Record an engine that failed before its first event.

        Returns whether the prompt may be sent to another engine.
        """
        now = self._clock.monotonic()
        blocks = [
            block
            for block in _shared_blocks(prompt)
            if not self._suspects.is_cleared((block,), now)
        ][:MAX_SUSPECTS]
        if blocks and _refuses_connections(target):
            # A crashed engine reports no load until it is back.
            incarnation = f"{target.name}/{target.reported_at}"
            self._suspects.record_crash(
                blocks,
                decisions.short_key(incarnation),
                decisions.short_key(prompt),
                now,
            )
        return self._suspects.may_be_sent_again(blocks, now)


def _shared_blocks(prompt: str) -> tuple[int, ...]:
    """Return all blocks but the last, which belongs to the prompt alone."""
    return enginemodel.block_hashes(prompt)[:-1]


def _is_gone(target: Target) -> bool:
    """Return whether a target refuses connections."""
    try:
        target.client.check_connection()
    except _exceptions.ConnectTimeoutError:
        # It may be cut off or silent.
        return False
    except _exceptions.ConnectRefusedError:
        return True
    return False


def _refuses_connections(target: fleet.EngineTarget) -> bool:
    try:
        target.client.call("GET", "/v1/load")
    except _exceptions.ConnectRefusedError:
        return True
    except _exceptions.AgatewingError:
        # It may be cut off or slow.
        return False
    return False
