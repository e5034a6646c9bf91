"""Keeps requests from the targets on which they would crash.

Finds out which requests broke off because their target crashed, and shares
that with the other instances by the load reports. Suspects are the prefix
blocks that prompts share, and whole requests that come again.
"""

import collections
import collections.abc
import dataclasses
import logging
import math
import typing

import gevent
import gevent.event

from agatewing import _clock
from agatewing import _types
from agatewing import decisions
from agatewing.gateway import _channel
from agatewing.gateway import _contracts
from agatewing.gateway import _messages
from agatewing import wire

_log = logging.getLogger("agatewing.quarantine")

#: Time after a stream broke off at which its engine is tried, in seconds: a
#: process that ends closes its connections before its port.
SETTLE_S = 0.05
#: Timeout of that try, in seconds.
CONNECT_TIMEOUT_S = 0.5
#: Largest number of events in an answer that was broken off because of its
#: prompt: an engine crashes as it begins to write.
MAX_EVENTS = 1
#: Number of crashed engines that are remembered.
MAX_CRASHED = 256
#: Largest numbers of blocks, and of whole requests, in one report, so that it
#: fits into a datagram.
MAX_SUSPECTS = 6
MAX_SERVED = 6


@dataclasses.dataclass(frozen=True, slots=True)
class HeldBlock:
    """A prefix block of a request is under quarantine."""

    #: Id of the block.
    block: str
    #: Time left, in seconds.
    left_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class HeldRequest:
    """The request as a whole is under quarantine, or tried elsewhere."""

    #: Time left, in seconds.
    left_s: float


Held: typing.TypeAlias = HeldBlock | HeldRequest


class Links(typing.Protocol):
    """What this instance knows of its own paths to targets."""

    def unclear(self, service: str, name: str) -> bool:
        """Return whether a verdict about the path to a target is awaited."""

    def await_verdict(self, service: str, name: str) -> bool:
        """Return whether the path to a target is lost, once that is known."""


class Quarantine:
    """What is kept from targets, by this instance's view."""

    __slots__ = (
        "_clock",
        "_blocks",
        "_requests",
        "_changed",
        "_links",
        "_checks",
        "_crashed",
        "crashes",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        blocks: decisions.CrashSuspects,
        requests: decisions.CrashSuspects,
        changed: gevent.event.Event,
        links: Links,
    ) -> None:
        self._clock = clock
        self._links = links
        self._blocks = blocks
        self._requests = requests
        # Set when there is something new to report.
        self._changed = changed
        # Checks in progress by incarnation of the engine.
        self._checks: dict[int, gevent.Greenlet] = {}
        # Incarnations that crashed, oldest first.
        self._crashed: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        #: Number of targets whose crash broke off a request of this instance
        #: that may have been the cause.
        self.crashes = 0

    @property
    def block_count(self) -> int:
        """Number of prefix blocks under quarantine."""
        return self._blocks.quarantined(self._clock.monotonic())

    @property
    def request_count(self) -> int:
        """Number of whole requests under quarantine."""
        return self._requests.quarantined(self._clock.monotonic())

    def find(
        self, req: _messages.CallerRequest, on_trial: bool = False
    ) -> Held | None:
        """Return what of a request is under quarantine; ``None`` if nothing.

        ``on_trial`` says that a trial of the request itself is announced.
        """
        now = self._clock.monotonic()
        for block in req.shared_blocks:
            left_s = self._blocks.quarantine_left_s(
                decisions.long_key(block), now
            )
            if left_s > 0:
                return HeldBlock(block, left_s)
        if on_trial and all(
            self._requests.holds_trial(key, now) for key in req.fingerprints
        ):
            return None
        left_s = max(
            self._requests.quarantine_left_s(key, now)
            for key in req.fingerprints
        )
        if on_trial:
            left_s = max(left_s, decisions.CLAIM_S)
        return HeldRequest(left_s) if left_s > 0 else None

    def claim_trial(self, req: _messages.CallerRequest) -> float:
        """Announce a trial; return the time to wait for it, in seconds.

        It is 0 if the request may be sent without one.
        """
        now = self._clock.monotonic()
        wait_s = max(
            self._requests.claim_trial(key, now) for key in req.fingerprints
        )
        if wait_s:
            self._changed.set()
        return wait_s

    def begin_trial(self, req: _messages.CallerRequest) -> bool:
        """Record that a request is sent; return whether this is a trial."""
        now = self._clock.monotonic()
        begun = [
            self._requests.begin_trial(key, now) for key in req.fingerprints
        ]
        if not any(begun):
            return False
        self._changed.set()
        return True

    def record_served(self, req: _messages.CallerRequest) -> None:
        """Record a request that a target answered in full."""
        now = self._clock.monotonic()
        self._blocks.record_served(_block_keys(req), now)
        self._requests.record_served(req.fingerprints, now)
        if self._requests.has_news:
            self._changed.set()

    def check_break(
        self,
        req: _messages.CallerRequest,
        target: _contracts.Target,
        outcome: _messages.Outcome,
        events: int = 0,
    ) -> gevent.Greenlet | None:
        """Start to find out whether a failed send crashed its target.

        ``events`` is the number of events that its answer had brought.
        Returns ``None`` if the request is not the cause.
        """
        now = self._clock.monotonic()
        if self._links.unclear(target.service, target.id):
            gevent.spawn(self._end_trial, req, target, outcome, events)
        else:
            self._end_trial(req, target, outcome, events)
        if not isinstance(outcome, _messages.Unknown) or events > MAX_EVENTS:
            return None
        if target.state is not _types.TargetState.ACTIVE:
            # It may have ended in order.
            return None
        if self._blocks.is_cleared(
            _block_keys(req), now
        ) and self._requests.is_cleared(req.fingerprints, now):
            return None
        return gevent.spawn(self._check, req, target)

    def _end_trial(
        self,
        req: _messages.CallerRequest,
        target: _contracts.Target,
        outcome: _messages.Outcome,
        events: int,
    ) -> None:
        """Record the end of a trial that brought no answer.

        It has failed even if no crash is proved: a target that crashes may
        fall silent. A lost path to the target proves nothing.
        """
        match outcome:
            case _messages.NotSent() | _messages.NotRun():
                failed = False
            case _:
                failed = events <= MAX_EVENTS and not self._path_lost(target)
        now = self._clock.monotonic()
        for key in req.fingerprints:
            self._requests.end_trial(key, target.key, failed, now)
        if self._requests.has_news:
            self._changed.set()

    def may_be_sent_again(
        self, req: _messages.CallerRequest, check: gevent.Greenlet | None
    ) -> bool:
        """Return whether a request may be sent again after a failed send.

        Waits for the end of the send's check.
        """
        if check is None:
            return True
        check.join()
        now = self._clock.monotonic()
        return self._blocks.may_be_sent_again(
            _block_keys(req), now
        ) and self._requests.may_be_sent_again(req.fingerprints, now)

    def _check(
        self, req: _messages.CallerRequest, target: _contracts.Target
    ) -> None:
        """Record the crash of a target, if it crashed."""
        engine = target.key
        if engine not in self._crashed:
            check = self._checks.get(engine)
            if check is None:
                check = gevent.spawn(self._refuses_connections, target.address)
                self._checks[engine] = check
            crashed = check.get()
            self._checks.pop(engine, None)
            if not crashed or self._path_lost(target):
                return
            self._record_crashed(engine, target)
        now = self._clock.monotonic()
        prompt = decisions.short_key(req.own_block)
        self._log_blocks(
            self._blocks.record_crash(_block_keys(req), engine, prompt, now)
        )
        self._log_requests(
            self._requests.record_crash(req.fingerprints, engine, prompt, now)
        )
        self._changed.set()

    def _path_lost(self, target: _contracts.Target) -> bool:
        return self._links.await_verdict(target.service, target.id)

    def _record_crashed(self, engine: int, target: _contracts.Target) -> None:
        if engine in self._crashed:
            return
        self.crashes += 1
        _log.warning(
            "quarantine: an engine crashed under a prompt",
            extra={"target": target.id},
        )
        self._crashed[engine] = None
        if len(self._crashed) > MAX_CRASHED:
            self._crashed.popitem(last=False)

    def _refuses_connections(self, address: str) -> bool:
        self._clock.sleep(SETTLE_S)
        channel = _channel.Channel(address, self._clock)
        try:
            channel.connect(CONNECT_TIMEOUT_S)
        except _channel.ConnectRefusedError:
            return True
        except _channel.ConnectError:
            # An engine behind a cut link answers nothing.
            return False
        channel.close()
        return False

    def take_suspects(self) -> list[wire.CrashSuspect]:
        """Return the evidence against blocks for the next load report."""
        return self._take_suspects(self._blocks)

    def take_requests(self) -> list[wire.CrashSuspect]:
        """Return the evidence against requests for the next load report."""
        return self._take_suspects(self._requests)

    def _take_suspects(
        self, suspects: decisions.CrashSuspects
    ) -> list[wire.CrashSuspect]:
        now = self._clock.monotonic()
        return [
            _wire_suspect(report)
            for report in suspects.take_reports(now, MAX_SUSPECTS)
        ]

    def take_served(self) -> list[wire.ServedBlock]:
        """Return the cleared blocks for the next load report."""
        return self._take_served(self._blocks)

    def take_served_requests(self) -> list[wire.ServedBlock]:
        """Return the cleared requests for the next load report."""
        return self._take_served(self._requests)

    def _take_served(
        self, suspects: decisions.CrashSuspects
    ) -> list[wire.ServedBlock]:
        now = self._clock.monotonic()
        return [
            wire.ServedBlock(
                block=report.key, age_ms=int(report.age_s * 1_000)
            )
            for report in suspects.take_served(now, MAX_SERVED)
        ]

    def merge(self, record: wire.WorkNote) -> None:
        """Add what another instance reported."""
        self._log_blocks(
            self._merge(
                self._blocks, record.suspects or (), record.served or ()
            )
        )
        self._log_requests(
            self._merge(
                self._requests,
                record.requests or (),
                record.served_requests or (),
            )
        )
        if self._blocks.has_news or self._requests.has_news:
            self._changed.set()

    def _merge(
        self,
        suspects: decisions.CrashSuspects,
        reports: collections.abc.Iterable[wire.CrashSuspect],
        served: collections.abc.Iterable[wire.ServedBlock],
    ) -> list[int]:
        """Add reports; return the keys under quarantine from now on."""
        now = self._clock.monotonic()
        for answer in served:
            suspects.merge_served(
                decisions.ServedReport(answer.block, answer.age_ms / 1_000),
                now,
            )
        found = []
        for report in reports:
            found += suspects.merge(_suspect_report(report), now)
        return found

    def _log_blocks(self, keys: collections.abc.Iterable[int]) -> None:
        for key in keys:
            _log.warning(
                "quarantine: engines crash on a prefix block",
                extra={"block_key": _messages.hex_key(key)},
            )

    def _log_requests(self, keys: collections.abc.Iterable[int]) -> None:
        for key in keys:
            _log.warning(
                "quarantine: targets crash on a request",
                extra={"fingerprint": _messages.hex_key(key)},
            )


def _block_keys(req: _messages.CallerRequest) -> list[int]:
    return [decisions.long_key(block) for block in req.shared_blocks]


def _wire_suspect(report: decisions.SuspectReport) -> wire.CrashSuspect:
    tried = math.isfinite(report.trial_age_s)
    return wire.CrashSuspect(
        block=report.key,
        engines=sorted(report.engines),
        prompts=sorted(report.prompts),
        age_ms=int(report.age_s * 1_000),
        trials=sorted(report.trials) or None,
        trial_age_ms=int(report.trial_age_s * 1_000) if tried else None,
        trial_by=report.trial_by or None,
    )


def _suspect_report(record: wire.CrashSuspect) -> decisions.SuspectReport:
    trial_age_s = math.inf
    if record.trial_age_ms is not None:
        trial_age_s = record.trial_age_ms / 1_000
    return decisions.SuspectReport(
        record.block,
        frozenset(record.engines),
        frozenset(record.prompts),
        record.age_ms / 1_000,
        frozenset(record.trials or ()),
        trial_age_s,
        record.trial_by or decisions.SENT,
    )
