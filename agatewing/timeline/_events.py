"""Typed events and the bounded ring that keeps them."""

import collections
import enum

import msgspec

from agatewing.timeline import _hlc

#: Events that one process keeps.
RING_SIZE = 8_192


class EventKind(enum.StrEnum):
    """Everything that the time line can show."""

    STARTED = "started"
    READY = "ready"
    NOT_READY = "not-ready"
    LEAVING = "leaving"
    STOPPED = "stopped"
    REQUEST_ACCEPTED = "request-accepted"
    REQUEST_ROUTED = "request-routed"
    REQUEST_ANSWERED = "request-answered"
    REQUEST_REFUSED = "request-refused"
    STREAM_RESUMED = "stream-resumed"
    STREAM_REPLACED = "stream-replaced"
    STREAM_CUT = "stream-cut"
    CALL_DISPATCHED = "call-dispatched"
    CALL_REPLAYED = "call-replayed"
    CALL_ABANDONED = "call-abandoned"
    CALL_LOST = "call-lost"
    CONFIG_APPLIED = "config-applied"
    CONFIG_UNUSABLE = "config-unusable"
    CONFIG_FETCHED = "config-fetched"
    SNAPSHOT_WRITTEN = "snapshot-written"
    PUBLISH_ACCEPTED = "publish-accepted"
    PUBLISH_REJECTED = "publish-rejected"
    LEASE_GRANTED = "lease-granted"
    LEASE_LOST = "lease-lost"
    LEASE_RELEASED = "lease-released"
    PAUSE_DETECTED = "pause-detected"
    ORDER_VALID = "order-valid"
    ORDER_INVALID = "order-invalid"
    ORDER_DELIVERED = "order-delivered"
    ORDER_SETTLED = "order-settled"
    PEER_ALIVE = "peer-alive"
    PEER_SUSPECT = "peer-suspect"
    PEER_DEAD = "peer-dead"
    PEER_LEFT = "peer-left"
    LOG_LOST = "log-lost"
    LOG_BACK = "log-back"
    TARGET_EASED = "target-eased"
    TARGET_SILENT = "target-silent"
    AUDIT = "audit"
    INVARIANT_BROKEN = "invariant-broken"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """Something that happened in one process."""

    # Place in causal order.
    stamp: _hlc.Stamp
    # Process, as ``instance/incarnation``.
    process: str
    # What happened.
    kind: EventKind
    # Id of the request, if it concerns one.
    request: str = ""
    # Engine or target, if it concerns one.
    target: str = ""
    # Lease, if it concerns one.
    lease: str = ""
    # Configuration version, if it concerns one.
    version: int = 0
    # Short text.
    detail: str = ""


class Timeline:
    """Records events of one process in a bounded ring."""

    __slots__ = ("_clock", "_ring", "_process", "recorded")

    def __init__(self, clock: _hlc.HybridClock, process: str) -> None:
        self._clock = clock
        self._process = process
        self._ring: collections.deque[Event] = collections.deque(
            maxlen=RING_SIZE
        )
        #: Number of events recorded since the start.
        self.recorded = 0

    def add(
        self,
        kind: EventKind,
        request: str = "",
        target: str = "",
        lease: str = "",
        version: int = 0,
        detail: str = "",
    ) -> None:
        """Record one event."""
        self.recorded += 1
        self._ring.append(
            Event(
                self._clock.now(),
                self._process,
                kind,
                request,
                target,
                lease,
                version,
                detail,
            )
        )

    def events(self) -> list[Event]:
        """Return the events kept, oldest first."""
        return list(self._ring)
