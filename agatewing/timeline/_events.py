"""Typed events and the bounded buffer of the last events of a process."""

import collections
import enum

import msgspec

from agatewing.timeline import _hlc

#: Number of most recent events that a process keeps.
RING_SIZE = 8_192


class EventKind(enum.StrEnum):
    """Kinds of events on the time line."""

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
    TARGET_LOAD_REDUCED = "target-eased"
    TARGET_SILENT = "target-silent"
    AUDIT = "audit"
    INVARIANT_BROKEN = "invariant-broken"


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """Something that happened in one process."""

    # Position in causal order.
    stamp: _hlc.Stamp
    # Process that recorded the event, as ``instance/incarnation``.
    process: str
    # What happened.
    kind: EventKind
    # Id of the request concerned, if any.
    request: str = ""
    # Name of the engine or target concerned, if any.
    target: str = ""
    # Name of the lease concerned, if any.
    lease: str = ""
    # Configuration version concerned; 0 for none.
    version: int = 0
    # Further details as a short text.
    detail: str = ""


class EventRecorder:
    """Records the events of one process; keeps the last ``RING_SIZE``."""

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
        """Record an event with the current stamp."""
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
        """Return the retained events, oldest first."""
        return list(self._ring)
