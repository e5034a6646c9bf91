"""Fake engines and services that record the calls they receive."""

import collections
import dataclasses
import random
import typing

import msgspec

from agatewing import net


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedOrder:
    """An order that an engine accepted."""

    #: Virtual time of arrival, in seconds.
    at: float
    #: Order number, which engines check as fencing token.
    number: int
    #: Id of the order.
    id: str
    #: Change that the order asks for, as decoded JSON.
    change: dict[str, typing.Any]
    #: Id of the process that sent it.
    sender: str


class FakeEngine:
    """Accepts orders; refuses outdated ones if it checks fencing tokens."""

    def __init__(self, name: str, checks_fencing: bool) -> None:
        self.name = name
        self.checks_fencing = checks_fencing
        self.down = False
        self.received: list[ReceivedOrder] = []
        self.refused_orders = 0

    def handle(self, body: bytes, sender: str, now: float) -> net.HttpAnswer:
        """Accept one order, or refuse it as outdated with status 409."""
        order = msgspec.json.decode(body)
        highest = max((r.number for r in self.received), default=0)
        if self.checks_fencing and order["number"] < highest:
            self.refused_orders += 1
            return net.HttpAnswer(409, "application/json", b"{}")
        self.received.append(
            ReceivedOrder(
                now, order["number"], order["id"], order["change"], sender
            )
        )
        return net.HttpAnswer(200, "application/json", b"{}")

    def conflicts(self) -> list[str]:
        """Return violations: orders accepted after a newer, different one."""
        conflicting = []
        newest: ReceivedOrder | None = None
        for item in self.received:
            if newest is not None and item.number < newest.number:
                if item.change != newest.change:
                    conflicting.append(
                        f"{self.name} accepted {item} after {newest}"
                    )
            else:
                newest = item
        return conflicting


class FakeService:
    """Counts effects by idempotency key; may lose answers."""

    def __init__(self, name: str, rng: random.Random) -> None:
        self.name = name
        self.down = False
        #: Share of calls whose answer is lost after they ran, 0 to 1.
        self.lose_answers = 0.0
        self.effects: collections.Counter[str] = collections.Counter()
        #: Virtual time of the first effect of each key, in seconds.
        self.ran_at: dict[str, float] = {}
        self._random = rng

    def handle(self, key: str, now: float) -> net.HttpAnswer | None:
        """Run one call; return ``None`` if its answer is lost."""
        if key:
            self.effects[key] += 1
            self.ran_at.setdefault(key, now)
        if self._random.random() < self.lose_answers:
            return None
        return net.HttpAnswer(
            200, "application/json", msgspec.json.encode({"key": key})
        )
