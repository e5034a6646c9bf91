"""Keeps prompts from the engines on which they would crash.

Finds out which streams broke off because their engine crashed, and shares
that with the other instances by the load reports.
"""

import collections
import collections.abc
import logging

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
#: Largest numbers of blocks in one report, so that it fits into a datagram.
MAX_SUSPECTS = 6
MAX_SERVED = 6


class Quarantine:
    """Prefix blocks that are kept from engines, by this instance's view."""

    __slots__ = (
        "_clock",
        "_suspects",
        "_changed",
        "_checks",
        "_crashed",
        "crashes",
    )

    def __init__(
        self,
        clock: _clock.Clock,
        suspects: decisions.CrashSuspects,
        changed: gevent.event.Event,
    ) -> None:
        self._clock = clock
        self._suspects = suspects
        # Set when there is something new to report.
        self._changed = changed
        # Checks in progress by incarnation of the engine.
        self._checks: dict[int, gevent.Greenlet] = {}
        # Incarnations that crashed, oldest first.
        self._crashed: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        #: Number of engines whose crash broke off a request of this instance
        #: whose prompt may have been the cause.
        self.crashes = 0

    @property
    def block_count(self) -> int:
        """Number of prefix blocks under quarantine."""
        return self._suspects.quarantined(self._clock.monotonic())

    def find_block(
        self, req: _messages.CallerRequest
    ) -> tuple[str, float] | None:
        """Return a block of a request that is under quarantine.

        Also returns the time left, in seconds; ``None`` if there is none.
        """
        now = self._clock.monotonic()
        for block in req.shared_blocks:
            left_s = self._suspects.quarantine_left_s(
                decisions.long_key(block), now
            )
            if left_s > 0:
                return block, left_s
        return None

    def record_served(self, req: _messages.CallerRequest) -> None:
        """Record a request that an engine answered in full."""
        keys = _keys(req)
        if keys:
            self._suspects.record_served(keys, self._clock.monotonic())

    def check_break(
        self,
        req: _messages.CallerRequest,
        target: _contracts.Target,
        outcome: _messages.Outcome,
        events: int = 0,
    ) -> gevent.Greenlet | None:
        """Start to find out whether a failed send crashed its engine.

        ``events`` is the number of events that its answer had brought.
        Returns ``None`` if the prompt is not the cause.
        """
        if not isinstance(outcome, _messages.Unknown) or events > MAX_EVENTS:
            return None
        if target.state is not _types.TargetState.ACTIVE:
            # It may have ended in order.
            return None
        if self._suspects.is_cleared(_keys(req), self._clock.monotonic()):
            return None
        return gevent.spawn(self._check, req, target)

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
        return self._suspects.may_be_sent_again(_keys(req), now)

    def _check(
        self, req: _messages.CallerRequest, target: _contracts.Target
    ) -> None:
        """Record the crash of an engine, if it crashed."""
        engine = target.key
        if engine not in self._crashed:
            check = self._checks.get(engine)
            if check is None:
                check = gevent.spawn(self._refuses_connections, target.address)
                self._checks[engine] = check
            crashed = check.get()
            self._checks.pop(engine, None)
            if not crashed:
                return
            self._record_crashed(engine, target)
        found = self._suspects.record_crash(
            _keys(req),
            engine,
            decisions.short_key(req.own_block),
            self._clock.monotonic(),
        )
        self._log_found(found)
        self._changed.set()

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
        """Return the evidence for the next load report."""
        now = self._clock.monotonic()
        return [
            wire.CrashSuspect(
                block=report.block,
                engines=sorted(report.engines),
                prompts=sorted(report.prompts),
                age_ms=int(report.age_s * 1_000),
            )
            for report in self._suspects.take_reports(now, MAX_SUSPECTS)
        ]

    def take_served(self) -> list[wire.ServedBlock]:
        """Return the cleared blocks for the next load report."""
        now = self._clock.monotonic()
        return [
            wire.ServedBlock(
                block=report.block, age_ms=int(report.age_s * 1_000)
            )
            for report in self._suspects.take_served(now, MAX_SERVED)
        ]

    def merge(
        self,
        suspects: collections.abc.Iterable[wire.CrashSuspect],
        served: collections.abc.Iterable[wire.ServedBlock],
    ) -> None:
        """Add what another instance reported."""
        now = self._clock.monotonic()
        for block in served:
            self._suspects.merge_served(
                decisions.ServedReport(block.block, block.age_ms / 1_000), now
            )
        found = []
        for suspect in suspects:
            report = decisions.SuspectReport(
                suspect.block,
                frozenset(suspect.engines),
                frozenset(suspect.prompts),
                suspect.age_ms / 1_000,
            )
            found += self._suspects.merge(report, now)
        self._log_found(found)
        if self._suspects.has_news:
            self._changed.set()

    def _log_found(self, blocks: collections.abc.Iterable[int]) -> None:
        for block in blocks:
            _log.warning(
                "quarantine: engines crash on a prefix block",
                extra={"block_key": f"{block & (1 << 64) - 1:016x}"},
            )


def _keys(req: _messages.CallerRequest) -> list[int]:
    return [decisions.long_key(block) for block in req.shared_blocks]
