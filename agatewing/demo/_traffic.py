"""Requests of the demo, whose mix changes from phase to phase."""

import collections.abc
import dataclasses
import random

import gevent

from agatewing import harness


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request to a model."""

    #: Name in the report.
    name: str
    #: Name of the model.
    model: str
    #: Length of the prompt prefix that requests for one shop or unit share,
    #: in characters.
    prefix_chars: int
    #: Length of the rest of the prompt, in characters.
    suffix_chars: int
    #: Limit of the answer's length that the request sets, in tokens.
    max_tokens: int
    #: Deadline of the whole answer, in seconds.
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """A part of the run with constant request rates."""

    #: Name for readers of the plan; the code does not use it.
    name: str
    #: Duration, in seconds.
    seconds: float
    #: Rate of each kind of request, by its name, per second.
    rates: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The traffic of one deployment."""

    #: Kinds of requests to models, by name.
    kinds: dict[str, RequestKind]
    #: Phases in order.
    phases: tuple[Phase, ...]
    #: Path of an at-most-once call, with ``{n}`` for a number.
    at_most_once_path: str
    #: Rate of at-most-once calls, per second.
    at_most_once_rate: float
    #: Path of an idempotent read, with ``{n}`` for a number.
    read_path: str
    #: Rate of idempotent reads, per second.
    read_rate: float


_ALDEIAS = Plan(
    {
        "history": RequestKind(
            "history", "restock-draft", 16_000, 8_000, 60, 12.0
        ),
        "question": RequestKind(
            "question", "restock-draft", 256, 200, 40, 6.0
        ),
        "tag": RequestKind("tag", "restock-tag", 128, 160, 8, 4.0),
    },
    (
        Phase("terse", 10, {"history": 0.6, "question": 9, "tag": 4}),
        Phase("histories", 12, {"history": 3.6, "question": 3, "tag": 1}),
        Phase("drafts", 10, {"history": 0.6, "question": 12, "tag": 2}),
    ),
    "/services/accounts/orders/{n}/confirm",
    4.0,
    "/services/accounts/accounts/{n}",
    5.0,
)

_TALA = Plan(
    {
        "report": RequestKind(
            "report", "defect-report", 2_000, 6_000, 90, 15.0
        ),
        "question": RequestKind(
            "question", "defect-report", 256, 200, 40, 6.0
        ),
        "tag": RequestKind("tag", "defect-tag", 128, 240, 8, 4.0),
    },
    (
        Phase("day", 10, {"report": 1.0, "question": 8, "tag": 6}),
        Phase("evening", 12, {"report": 5.0, "question": 5, "tag": 2}),
        Phase("night", 10, {"report": 1.0, "question": 10, "tag": 2}),
    ),
    "/services/ticketing/units/{n}/tickets",
    4.0,
    "/services/ticketing/tickets/{n}",
    5.0,
)

#: Traffic plans by deployment.
PLANS = {"aldeias": _ALDEIAS, "tala": _TALA}

#: Number of prompt prefixes per kind of request. Each stands for one shop
#: or, in the deployment ``tala``, for one unit.
PREFIX_COUNT = 12
_ALPHABET = "abcdefghijklmnopqrstuvwxyz     "


class Traffic:
    """Sends the requests of a plan and keeps their results."""

    def __init__(
        self, plan: Plan, clients: list[harness.LoadClient], seed: int
    ) -> None:
        self._plan = plan
        self._clients = clients
        self._random = random.Random(seed)
        self._tasks: list[gevent.Greenlet] = []
        self._prefixes: dict[tuple[str, int], str] = {}
        #: Results of requests to models.
        self.generations: list[harness.GenerationResult] = []
        #: Results of at-most-once calls.
        self.at_most_once_results: list[harness.AtMostOnceResult] = []
        #: Number of answered idempotent reads, and of all that were sent.
        self.reads_answered = 0
        self.reads = 0

    def run(self) -> None:
        """Send all phases, then wait at most 30 s for open requests."""
        seconds = sum(phase.seconds for phase in self._plan.phases)
        service_senders = [
            gevent.spawn(
                self._send_at_rate,
                self._plan.at_most_once_rate,
                seconds,
                self._send_at_most_once,
            ),
            gevent.spawn(
                self._send_at_rate,
                self._plan.read_rate,
                seconds,
                self._send_read,
            ),
        ]
        for phase in self._plan.phases:
            senders = [
                gevent.spawn(
                    self._send_requests, kind_name, rate, phase.seconds
                )
                for kind_name, rate in phase.rates.items()
            ]
            gevent.joinall(senders)
        gevent.joinall(service_senders)
        gevent.joinall(self._tasks, timeout=30)

    def unfinished(self) -> int:
        """Return the number of requests that have not ended."""
        return sum(not task.ready() for task in self._tasks)

    def _send_requests(
        self, kind_name: str, rate: float, seconds: float
    ) -> None:
        kind = self._plan.kinds[kind_name]
        self._send_at_rate(rate, seconds, lambda: self._send_generation(kind))

    def _send_at_rate(
        self,
        rate: float,
        seconds: float,
        send_one: collections.abc.Callable[[], None],
    ) -> None:
        """Send requests at random (Poisson) times for ``seconds``.

        Each request runs in its own greenlet.
        """
        remaining_s = seconds
        while rate > 0:
            pause = self._random.expovariate(rate)
            if pause > remaining_s:
                return
            remaining_s -= pause
            gevent.sleep(pause)
            self._tasks.append(gevent.spawn(send_one))

    def _send_generation(self, kind: RequestKind) -> None:
        number = self._random.randrange(PREFIX_COUNT)
        prompt = self._prefix(kind, number) + self._random_text(
            kind.suffix_chars
        )
        client = self._random.choice(self._clients)
        self.generations.append(
            client.generate(
                kind.name,
                kind.model,
                prompt,
                kind.max_tokens,
                kind.deadline_s,
            )
        )

    def _send_at_most_once(self) -> None:
        path = self._plan.at_most_once_path.format(
            n=self._random.randrange(999)
        )
        client = self._random.choice(self._clients)
        # Callers differ in how often they retry; 1 means no retry.
        max_attempts = self._random.choice((1, 6, 12))
        self.at_most_once_results.append(client.call_once(path, max_attempts))

    def _send_read(self) -> None:
        path = self._plan.read_path.format(n=self._random.randrange(999))
        client = self._random.choice(self._clients)
        self.reads += 1
        answered = client.read(path)
        self.reads_answered += answered

    def _prefix(self, kind: RequestKind, number: int) -> str:
        key = (kind.name, number)
        if key not in self._prefixes:
            self._prefixes[key] = self._random_text(kind.prefix_chars)
        return self._prefixes[key]

    def _random_text(self, chars: int) -> str:
        return "".join(self._random.choices(_ALPHABET, k=chars))
