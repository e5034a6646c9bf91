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
    #: The instance started to drain.
    LEAVING = "leaving"
    STOPPED = "stopped"
    REQUEST_ACCEPTED = "request-accepted"
    REQUEST_ROUTED = "request-routed"
    REQUEST_ANSWERED = "request-answered"
    REQUEST_REFUSED = "request-refused"
    #: A stream is continued on its engine, after a broken connection or for
    #: a caller that resumes it.
    STREAM_RESUMED = "stream-resumed"
    #: A stream is continued on another engine after a failure.
    STREAM_REPLACED = "stream-replaced"
    #: A streamed answer ended incomplete.
    STREAM_CUT = "stream-cut"
    #: A target answered an at-most-once call.
    CALL_ANSWERED = "call-dispatched"
    #: The recorded answer of an at-most-once call was returned again.
    CALL_REPLAYED = "call-replayed"
    #: An attempt at an at-most-once call ended before anything was sent.
    CALL_ABANDONED = "call-abandoned"
    #: The outcome of an at-most-once call is unknown.
    CALL_LOST = "call-lost"
    CONFIG_APPLIED = "config-applied"
    #: An accepted configuration version has faults and is not applied.
    CONFIG_UNUSABLE = "config-unusable"
    #: The configuration state was taken over from a peer.
    CONFIG_FETCHED = "config-fetched"
    SNAPSHOT_WRITTEN = "snapshot-written"
    PUBLISH_ACCEPTED = "publish-accepted"
    PUBLISH_REJECTED = "publish-rejected"
    LEASE_GRANTED = "lease-granted"
    #: The instance lost or released a lease.
    LEASE_LOST = "lease-lost"
    #: Not recorded; a release is recorded as ``LEASE_LOST``.
    LEASE_RELEASED = "lease-released"
    #: The process paused or its wall clock jumped.
    PAUSE_DETECTED = "pause-detected"
    #: An order that this instance appended is in force.
    ORDER_VALID = "order-valid"
    #: An order that this instance appended is not in force.
    ORDER_INVALID = "order-invalid"
    #: Recorded before each attempt to send an order to its engine.
    ORDER_DELIVERED = "order-delivered"
    #: One deliverer's part in an order has ended.
    ORDER_SETTLED = "order-settled"
    PEER_ALIVE = "peer-alive"
    PEER_SUSPECT = "peer-suspect"
    PEER_DEAD = "peer-dead"
    PEER_LEFT = "peer-left"
    #: The log became unavailable.
    LOG_LOST = "log-lost"
    #: The log is available again.
    LOG_BACK = "log-back"
    #: The traffic share of an engine fell below 1, as it is slow.
    TARGET_LOAD_REDUCED = "target-eased"
    #: A stream from an engine failed, for any reason.
    STREAM_FAILED = "target-silent"
    #: An operator's action at the administration API.
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
