"""Weighted fair queue over callers, ordered by virtual start time.

Source: Goyal, Vin, Cheng, "Start-time Fair Queuing", 1996.
"""

import bisect
import dataclasses
import heapq
import itertools
import typing

T = typing.TypeVar("T")

#: Number of known callers from which on idle ones are dropped, unless their
#: virtual start time is ahead because of service that they already had.
CLEANUP_THRESHOLD = 4_096


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
    #: Whether it was cancelled.
    cancelled: bool = False


def _rank(entry: Entry[typing.Any]) -> float:
    """Return the order of an entry among those of its caller."""
    return entry.rank


class _Flow(typing.Generic[T]):
    """A flow: queue and virtual start time of one caller.

    ``active`` is whether the heap holds the caller.
    """

    __slots__ = ("weight", "start", "entries", "backlog", "active")

    def __init__(self) -> None:
        self.weight = 1.0
        self.start = 0.0
        self.entries: list[Entry[T]] = []
        self.backlog = 0.0
        self.active = False


class FairQueue(typing.Generic[T]):
    """Serves callers in proportion to their weights."""

    __slots__ = (
        "_flows",
        "_heap",
        "_insertion_numbers",
        "_virtual_time",
        "_length",
        "_backlog",
    )

    def __init__(self) -> None:
        self._flows: dict[str, _Flow[T]] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._insertion_numbers = itertools.count()
        self._virtual_time = 0.0
        self._length = 0
        self._backlog = 0.0

    def __len__(self) -> int:
        return self._length

    @property
    def backlog(self) -> float:
        """Cost of all queued entries."""
        return self._backlog

    def backlog_of(self, caller: str) -> float:
        """Return the cost of the queued entries of one caller."""
        flow = self._flows.get(caller)
        return flow.backlog if flow else 0.0

    def share_of(self, caller: str, weight: float) -> float:
        """Return the share of service that a caller can expect, 0 to 1.

        ``weight`` is the weight of the caller.
        """
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
        """Queue an item after the caller's items of the same or lower rank."""
        flow = self._flows.get(caller)
        if flow is None:
            self._drop_idle_flows()
            flow = self._flows[caller] = _Flow()
        flow.weight = weight
        entry = Entry(caller, cost, item, rank)
        bisect.insort_right(flow.entries, entry, key=_rank)
        flow.backlog += cost
        self._length += 1
        self._backlog += cost
        if not flow.active:
            flow.active = True
            flow.start = max(flow.start, self._virtual_time)
            self._schedule(caller, flow)
        return entry

    def cancel(self, entry: Entry[T]) -> bool:
        """Remove an entry; return whether it was still queued."""
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
        """Remove and return the first entry of the caller with least service.

        Service is compared by virtual start time. ``None`` if the queue is
        empty.
        """
        caller = self._next_caller()
        if caller is None:
            return None
        heapq.heappop(self._heap)
        entry = self._remove_first(self._flows[caller])
        self._schedule(caller, self._flows[caller])
        return entry

    def entries(self) -> list[Entry[T]]:
        """Return all queued entries, those of each caller in their order."""
        return [e for flow in self._flows.values() for e in flow.entries]

    def heads(self) -> list[Entry[T]]:
        """Return the first entry of each caller, by virtual start time."""
        non_empty = [f for f in self._flows.values() if f.entries]
        non_empty.sort(key=lambda flow: flow.start)
        return [flow.entries[0] for flow in non_empty]

    def remove_head(self, entry: Entry[T]) -> None:
        """Remove a caller's first entry, even if other callers come first.

        ``entry`` must be one that :meth:`heads` returned.
        """
        self._remove_first(self._flows[entry.caller])

    def _remove_first(self, flow: _Flow[T]) -> Entry[T]:
        entry = flow.entries.pop(0)
        self._account_removal(flow, entry)
        start = max(flow.start, self._virtual_time)
        self._virtual_time = max(self._virtual_time, flow.start)
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

    def adjust_charge(self, caller: str, cost: float) -> None:
        """Correct the cost charged to a caller; negative is a refund."""
        flow = self._flows.get(caller)
        if flow is not None:
            corrected = flow.start + cost / flow.weight
            flow.start = max(corrected, self._virtual_time)

    def _schedule(self, caller: str, flow: _Flow[T]) -> None:
        entry = (flow.start, next(self._insertion_numbers), caller)
        heapq.heappush(self._heap, entry)

    def _account_removal(self, flow: _Flow[T], entry: Entry[T]) -> None:
        flow.backlog -= entry.cost
        self._length -= 1
        self._backlog -= entry.cost

    def _drop_idle_flows(self) -> None:
        if len(self._flows) < CLEANUP_THRESHOLD:
            return
        droppable = [
            name
            for name, flow in self._flows.items()
            if not flow.active and flow.start <= self._virtual_time
        ]
        for name in droppable:
            del self._flows[name]
