"""Weighted fair queue over callers, by start times in virtual time.

Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", 1996.
"""

import bisect
import dataclasses
import heapq
import itertools
import typing

T = typing.TypeVar("T")

#: Idle callers remembered before the settled ones are dropped.
MAX_IDLE_FLOWS = 4_096


@dataclasses.dataclass(slots=True, eq=False)
class Entry(typing.Generic[T]):
    """A queued item."""

    #: Name of the caller.
    caller: str
    #: Expected cost, in the unit of the queue.
    cost: float
    #: The item itself.
    item: T
    #: Order among the caller's own entries; lower is served first.
    rank: float = 0.0
    #: Whether it was taken back.
    cancelled: bool = False


def _rank(entry: Entry[typing.Any]) -> float:
    """Return the order of an entry among its caller's."""
    return entry.rank


class _Flow(typing.Generic[T]):
    """Queue and virtual start time of one caller."""

    __slots__ = ("weight", "start", "entries", "backlog", "active")

    def __init__(self) -> None:
        self.weight = 1.0
        self.start = 0.0
        self.entries: list[Entry[T]] = []
        self.backlog = 0.0
        self.active = False


class FairQueue(typing.Generic[T]):
    """Serves callers in proportion to their weights."""

    __slots__ = ("_flows", "_heap", "_ties", "_virtual", "_length", "_cost")

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[T]] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._ties = itertools.count()
        self._virtual = 0.0
        self._length = 0
        self._cost = 0.0

    def __len__(self) -> int:
        return self._length

    @property
    def backlog(self) -> float:
        """Cost of everything queued."""
        return self._cost

    def backlog_of(self, caller: str) -> float:
        """Return the cost that one caller has queued."""
        flow = self._flows.get(caller)
        return flow.backlog if flow else 0.0

    def share_of(self, caller: str, weight: float) -> float:
        """Return the share of service that a caller may expect."""
        others = sum(
            flow.weight
            for name, flow in self._flows.items()
            if flow.active and name != caller
        )
        return weight / (weight + others)

    def push(
        self,
        caller: str,
        weight: float,
        cost: float,
        item: T,
        rank: float = 0.0,
    ) -> Entry[T]:
        """Queue an item behind those of the caller with the same rank."""
        flow = self._flows.get(caller)
        if flow is None:
            self._drop_settled()
            flow = self._flows[caller] = _Flow()
        flow.weight = weight
        entry = Entry(caller, cost, item, rank)
        bisect.insort_right(flow.entries, entry, key=_rank)
        flow.backlog += cost
        self._length += 1
        self._cost += cost
        if not flow.active:
            flow.active = True
            flow.start = max(flow.start, self._virtual)
            self._schedule(caller, flow)
        return entry

    def cancel(self, entry: Entry[T]) -> bool:
        """Take an entry back; return whether it was still queued."""
        flow = self._flows.get(entry.caller)
        if entry.cancelled or flow is None or entry not in flow.entries:
            return False
        entry.cancelled = True
        flow.entries.remove(entry)
        self._account_removal(flow, entry)
        return True

    def peek(self) -> Entry[T] | None:
        """Return the entry that :meth:`pop` would return."""
        caller = self._next_caller()
        return self._flows[caller].entries[0] if caller is not None else None

    def pop(self) -> Entry[T] | None:
        """Return the entry whose caller is furthest behind its share."""
        caller = self._next_caller()
        if caller is None:
            return None
        heapq.heappop(self._heap)
        entry = self._take(self._flows[caller])
        self._schedule(caller, self._flows[caller])
        return entry

    def heads(self) -> list[Entry[T]]:
        """Return the next entry of each caller, the furthest behind first."""
        waiting = [f for f in self._flows.values() if f.entries]
        waiting.sort(key=lambda flow: flow.start)
        return [flow.entries[0] for flow in waiting]

    def take(self, entry: Entry[T]) -> None:
        """Serve a caller's next entry before those of other callers."""
        self._take(self._flows[entry.caller])

    def _take(self, flow: _Flow[T]) -> Entry[T]:
        entry = flow.entries.pop(0)
        self._account_removal(flow, entry)
        start = max(flow.start, self._virtual)
        self._virtual = max(self._virtual, flow.start)
        flow.start = start + entry.cost / flow.weight
        return entry

    def _next_caller(self) -> str | None:
        while self._heap:
            start, _, caller = self._heap[0]
            flow = self._flows[caller]
            if flow.entries and flow.start <= start:
                return caller
            heapq.heappop(self._heap)
            if flow.entries:
                self._schedule(caller, flow)
            else:
                flow.active = False
        return None

    def correct(self, caller: str, cost: float) -> None:
        """Charge a caller ``cost`` more, or less if it is negative."""
        flow = self._flows.get(caller)
        if flow is not None:
            corrected = flow.start + cost / flow.weight
            flow.start = max(corrected, self._virtual)

    def _schedule(self, caller: str, flow: _Flow[T]) -> None:
        entry = (flow.start, next(self._ties), caller)
        heapq.heappush(self._heap, entry)

    def _account_removal(self, flow: _Flow[T], entry: Entry[T]) -> None:
        flow.backlog -= entry.cost
        self._length -= 1
        self._cost -= entry.cost

    def _drop_settled(self) -> None:
        if len(self._flows) < MAX_IDLE_FLOWS:
            return
        settled = [
            name
            for name, flow in self._flows.items()
            if not flow.active and flow.start <= self._virtual
        ]
        for name in settled:
            del self._flows[name]
