"""The mix of requests that the demo sends, shifting as it goes."""

import collections.abc
import dataclasses
import random

import gevent

from agatewing import harness


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request to a model."""

    #: Name in the report.
    name: str
    #: Model.
    model: str
    #: Characters of the prompt that requests of one shop share.
    shared_chars: int
    #: Further characters of the prompt.
    own_chars: int
    #: Longest answer, in tokens.
    max_tokens: int
    #: Time for the whole answer, in seconds.
    deadline_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Rates of one part of the run, in requests a second."""

    #: Name in the report.
    name: str
    #: Length, in seconds.
    seconds: float
    #: Rate of each kind, by its name.
    rates: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The traffic of one deployment."""

    #: Kinds of requests to models, by name.
    kinds: dict[str, Kind]
    #: Phases in order.
    phases: tuple[Phase, ...]
    #: Path of an at-most-once call, with ``{n}`` for a number.
    once_path: str
    #: At-most-once calls a second.
    once_rate: float
    #: Path of a look-up, with ``{n}`` for a number.
    read_path: str
    #: Look-ups a second.
    read_rate: float


_ALDEIAS = Plan(
    {
        "history": Kind("history", "restock-draft", 16_000, 8_000, 60, 12.0),
        "question": Kind("question", "restock-draft", 256, 200, 40, 6.0),
        "tag": Kind("tag", "restock-tag", 128, 160, 8, 4.0),
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
        "report": Kind("report", "defect-report", 2_000, 6_000, 90, 15.0),
        "question": Kind("question", "defect-report", 256, 200, 40, 6.0),
        "tag": Kind("tag", "defect-tag", 128, 240, 8, 4.0),
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

PLANS = {"aldeias": _ALDEIAS, "tala": _TALA}

#: Shops or units whose long prefixes recur.
PREFIXES = 12
_ALPHABET = "abcdefghijklmnopqrstuvwxyz     "


class Traffic:
    """Sends a plan's requests and keeps what became of them."""

    def __init__(
        self, plan: Plan, clients: list[harness.LoadClient], seed: int
    ) -> None:
        self._plan = plan
        self._clients = clients
        self._random = random.Random(seed)
        self._tasks: list[gevent.Greenlet] = []
        self._prefixes: dict[tuple[str, int], str] = {}
        #: Answers and refusals of models.
        self.generations: list[harness.GenerationResult] = []
        #: At-most-once calls.
        self.once: list[harness.OnceRecord] = []
        #: Look-ups answered, and all.
        self.reads_answered = 0
        self.reads = 0

    def run(self) -> None:
        """Send all phases, then wait for the last answers."""
        seconds = sum(phase.seconds for phase in self._plan.phases)
        side = [
            gevent.spawn(
                self._send, self._plan.once_rate, seconds, self._one_once
            ),
            gevent.spawn(
                self._send, self._plan.read_rate, seconds, self._one_read
            ),
        ]
        for phase in self._plan.phases:
            senders = [
                gevent.spawn(self._send_kind, kind, rate, phase.seconds)
                for kind, rate in phase.rates.items()
            ]
            gevent.joinall(senders)
        gevent.joinall(side)
        gevent.joinall(self._tasks, timeout=30)

    def unfinished(self) -> int:
        """Return requests that never ended."""
        return sum(not task.ready() for task in self._tasks)

    def _send_kind(self, name: str, rate: float, seconds: float) -> None:
        kind = self._plan.kinds[name]
        self._send(rate, seconds, lambda: self._one_generation(kind))

    def _send(
        self,
        rate: float,
        seconds: float,
        one: collections.abc.Callable[[], None],
    ) -> None:
        left = seconds
        while rate > 0:
            pause = self._random.expovariate(rate)
            if pause > left:
                return
            left -= pause
            gevent.sleep(pause)
            self._tasks.append(gevent.spawn(one))

    def _one_generation(self, kind: Kind) -> None:
        number = self._random.randrange(PREFIXES)
        prompt = self._prefix(kind, number) + self._text(kind.own_chars)
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

    def _one_once(self) -> None:
        path = self._plan.once_path.format(n=self._random.randrange(999))
        client = self._random.choice(self._clients)
        patience = self._random.choice((1, 6, 12))
        self.once.append(client.call_once(path, patience))

    def _one_read(self) -> None:
        path = self._plan.read_path.format(n=self._random.randrange(999))
        client = self._random.choice(self._clients)
        self.reads += 1
        answered = client.read(path)
        self.reads_answered += answered

    def _prefix(self, kind: Kind, number: int) -> str:
        key = (kind.name, number)
        if key not in self._prefixes:
            self._prefixes[key] = self._text(kind.shared_chars)
        return self._prefixes[key]

    def _text(self, chars: int) -> str:
        return "".join(self._random.choices(_ALPHABET, k=chars))
