"""What callers and targets saw, and whether the promises held."""

import collections
import dataclasses

from agatewing.platform import standins

#: Statuses that promise that a request has not run and never will.
PROMISES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Asked:
    """One attempt of a caller."""

    #: Id of the attempt.
    id: str
    #: Whether it may run more than once.
    idempotent: bool
    #: Events of its answer; 0 for a plain call.
    events: int


class Ledger:
    """Collects attempts, replies and runs; finds broken promises."""

    def __init__(self) -> None:
        self._asked: dict[str, Asked] = {}
        self._replies: dict[str, standins.Reply] = {}
        #: Replies by status; 0 for closed connections.
        self.statuses: collections.Counter[int] = collections.Counter()

    def ask(self, asked: Asked) -> None:
        """Note an attempt before it is sent."""
        self._asked[asked.id] = asked

    def reply(self, request_id: str, reply: standins.Reply) -> None:
        """Note what its caller got."""
        self._replies[request_id] = reply
        self.statuses[reply.status] += 1

    def failed(self) -> list[str]:
        """Return attempts that got no whole success, with their status."""
        return [
            f"{name} got {reply.status}"
            for name, reply in self._replies.items()
            if reply.status != 200 or not reply.whole
        ]

    def broken(self, engines: list[standins.EngineStandin]) -> list[str]:
        """Return every broken promise, as text."""
        runs = collections.Counter(
            run.id for engine in engines for run in engine.runs
        )
        found = [
            f"TWICE: {name} ran {count} times"
            for name, count in runs.items()
            if name in self._asked
            and count > 1
            and not self._asked[name].idempotent
        ]
        found += [
            f"UNASKED: {name} ran" for name in runs if name not in self._asked
        ]
        for name, reply in self._replies.items():
            asked = self._asked[name]
            if reply.status in PROMISES and runs[name]:
                if not asked.idempotent:
                    found.append(f"REFUSED: {name} got {reply.status}, ran")
            if reply.status == 200 and reply.whole:
                found += _wrong_body(asked, reply)
        return found


def _wrong_body(asked: Asked, reply: standins.Reply) -> list[str]:
    """Return what is wrong with the body of a success."""
    if not asked.events:
        expected = b"body of " + asked.id.encode()
        if reply.body != expected:
            return [f"MIXED: {asked.id} got {reply.body[:40]!r}"]
        return []
    ids = [
        int(line[4:])
        for line in reply.body.split(b"\n")
        if line.startswith(b"id: ")
    ]
    if ids != list(range(1, asked.events + 1)):
        return [f"ORDER: {asked.id} got events {ids}"]
    return []
