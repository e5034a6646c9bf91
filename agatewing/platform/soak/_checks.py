"""Records what callers and targets saw; finds broken promises."""

import collections
import dataclasses

from agatewing.platform import standins

#: Statuses that promise that a request has not run and never will run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt of a caller."""

    #: Id of the attempt.
    id: str
    #: Whether the request may run more than once.
    idempotent: bool
    #: Events of the whole stream; 0 for a plain request.
    events: int
    #: Attempt that began the stream; empty if this one begins it.
    resumes: str = ""
    #: Number of events that the caller had before.
    after: int = 0
    #: Name of the instance to which it is sent.
    instance: str = ""
    #: Monotonic time at which it is sent, in seconds.
    sent_at: float = 0.0


class CallerRecords:
    """Attempts and replies of all callers, to compare with targets' runs."""

    def __init__(self) -> None:
        self._attempts: dict[str, Attempt] = {}
        self._replies: dict[str, standins.Reply] = {}
        #: Number of replies by status; 0 for connections without a reply.
        self.statuses: collections.Counter[int] = collections.Counter()

    def record_attempt(self, attempt: Attempt) -> None:
        """Record an attempt; to be called before it is sent."""
        self._attempts[attempt.id] = attempt

    def record_reply(self, request_id: str, reply: standins.Reply) -> None:
        """Record the reply that the caller received."""
        self._replies[request_id] = reply
        self.statuses[reply.status] += 1

    def failed(self) -> list[str]:
        """Return attempts without a complete 200 reply, with their status."""
        return [
            f"{name} got {reply.status}"
            for name, reply in self._replies.items()
            if reply.status != 200 or not reply.complete
        ]

    def violations(self, engines: list[standins.EngineStandin]) -> list[str]:
        """Return every broken promise as a line of text.

        Each line starts with its kind: TWICE for a request that ran more
        than once, UNASKED for one that no caller sent, REFUSED for one that
        ran although its status promises that it did not, MIXED or ORDER for
        a wrong body, STOPPED for a sound prompt that was put under quarantine.
        """
        runs = collections.Counter(
            run.id for engine in engines for run in engine.runs
        )
        violations = [
            f"TWICE: {name} ran {count} times"
            for name, count in runs.items()
            if name in self._attempts
            and count > 1
            and not self._attempts[name].idempotent
        ]
        violations += [
            f"UNASKED: {name} ran"
            for name in runs
            if name not in self._attempts
        ]
        for name, reply in self._replies.items():
            attempt = self._attempts[name]
            if reply.status in NOT_RUN_STATUSES and runs[name]:
                if not attempt.idempotent:
                    violations.append(
                        f"REFUSED: {name} got {reply.status}, ran"
                    )
            if reply.status == 200 and reply.complete:
                violations += _wrong_body(attempt, reply)
            if reply.body.startswith(b"quarantined"):
                # No prompt of the soak crashes engines.
                violations.append(f"STOPPED: {name} got {reply.status}")
        return violations + self._mixed_versions()

    def _mixed_versions(self) -> list[str]:
        """Return the streams with events of several software versions.

        The data of an event end with the version of its engine.
        """
        versions: dict[str, set[bytes]] = collections.defaultdict(set)
        for name, reply in self._replies.items():
            attempt = self._attempts[name]
            if attempt.events and reply.status == 200:
                versions[attempt.resumes or name].update(
                    event.split()[-1]
                    for event in reply.body.split(b"\n\n")[:-1]
                    if event.startswith(b"id: ")
                )
        return [
            f"ORDER: stream {name} has events of {sorted(found)}"
            for name, found in versions.items()
            if len(found) > 1
        ]


def _wrong_body(attempt: Attempt, reply: standins.Reply) -> list[str]:
    """Return violations in the body of a complete 200 reply."""
    if not attempt.events:
        expected = b"body of " + attempt.id.encode()
        if reply.body != expected:
            return [f"MIXED: {attempt.id} got {reply.body[:40]!r}"]
        return []
    ids = event_ids(reply.body)
    if ids != list(range(attempt.after + 1, attempt.events + 1)):
        return [f"ORDER: {attempt.id} got events {ids}"]
    return []


def event_ids(body: bytes) -> list[int]:
    """Return the ids of the events in a body."""
    return [
        int(line[4:]) for line in body.split(b"\n") if line.startswith(b"id: ")
    ]
