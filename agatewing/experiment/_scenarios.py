"""Deployments and scenarios: who asks for what, when."""

import dataclasses
import random

import xxhash

#: Callers of each deployment.
CALLERS = ("a", "b", "c", "d")


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Engines of one users' deployment."""

    #: Name.
    name: str
    #: Number of engines.
    engines: int
    #: Weight of goodput; the rest weighs role changes.
    goodput_weight: float
    #: Least engines that can prefill, and decode.
    role_floor: int


DEPLOYMENTS = {
    "aldeias": Deployment("aldeias", 5, 0.8, 1),
    "tala": Deployment("tala", 9, 0.4, 2),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """One kind of request."""

    #: Mean length of the prompt, in tokens.
    prompt_tokens: int
    #: Part of the prompt that recurs, 0 to 1.
    shared: float
    #: Longest answer, in tokens.
    max_tokens: int
    #: Time for the whole answer, in seconds.
    deadline_s: float


KINDS = {
    "history": Kind(6_000, 0.5, 80, 12.0),
    "question": Kind(150, 0.3, 120, 8.0),
    "draft": Kind(900, 0.3, 300, 15.0),
    "tag": Kind(100, 0.5, 8, 4.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Part of a scenario with steady rates."""

    #: Length, in seconds.
    seconds: float
    #: Requests a second of each kind for each engine.
    rates: dict[str, float]
    #: Share of requests by the first caller; the rest is even.
    surge_share: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A shifting mix, and what happens to engines."""

    #: Name.
    name: str
    #: Phases in order.
    phases: tuple[Phase, ...]
    #: Engine that is lost, and when; ``None`` for none.
    lost_at: float | None = None
    #: Time that reports lag, in seconds.
    report_lag_s: float = 0.5
    #: Share of reports that never arrive.
    report_loss: float = 0.0
    #: Factor on the time of one engine's steps.
    slow_factor: float = 1.0
    #: Whether it is held back from tuning.
    held_back: bool = False

    @property
    def seconds(self) -> float:
        """Length of the scenario, in seconds."""
        return sum(phase.seconds for phase in self.phases)


_TERSE = {"history": 0.12, "question": 4.5, "tag": 1.5}
_HISTORIES = {"history": 1.2, "question": 0.6, "tag": 0.3}
_DRAFTS = {"history": 0.05, "draft": 2.8, "question": 0.5}
_EVEN = {"history": 0.35, "question": 1.5, "draft": 0.4, "tag": 0.5}
_HEAVY = {"history": 1.1, "question": 1.5, "draft": 0.5, "tag": 0.5}


def _mixed(
    one: dict[str, float], other: dict[str, float], share: float
) -> dict[str, float]:
    """Return rates between two mixes."""
    names = {*one, *other}
    return {
        n: one.get(n, 0.0) * (1 - share) + other.get(n, 0.0) * share
        for n in sorted(names)
    }


SCENARIOS = {
    s.name: s
    for s in (
        Scenario(
            "step",
            (
                Phase(50, _TERSE),
                Phase(70, _HISTORIES),
                Phase(60, _DRAFTS),
            ),
        ),
        Scenario(
            "drift",
            tuple(
                Phase(20, _mixed(_TERSE, _HISTORIES, n / 8)) for n in range(9)
            ),
        ),
        Scenario(
            "swing",
            tuple(
                Phase(25, _HISTORIES if n % 2 else _DRAFTS) for n in range(7)
            ),
        ),
        Scenario(
            "surge",
            (
                Phase(50, _EVEN),
                Phase(60, _HEAVY, surge_share=0.8),
                Phase(50, _EVEN),
            ),
        ),
        Scenario(
            "loss",
            (Phase(60, _EVEN), Phase(60, _HISTORIES)),
            lost_at=45.0,
        ),
        Scenario(
            "late-reports",
            (Phase(60, _TERSE), Phase(60, _HISTORIES)),
            report_lag_s=2.0,
            report_loss=0.3,
            held_back=True,
        ),
        Scenario(
            "slow-engine",
            (Phase(60, _EVEN), Phase(60, _DRAFTS)),
            slow_factor=3.0,
            held_back=True,
        ),
    )
}


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a scenario."""

    #: Number in order of arrival.
    number: int
    #: Time of arrival, in seconds.
    at: float
    #: Caller.
    caller: str
    #: Name of the kind.
    kind: str
    #: Length of the prompt, in tokens.
    prompt_tokens: int
    #: Hashes of the prompt's blocks.
    blocks: tuple[int, ...]
    #: Longest answer, in tokens.
    max_tokens: int
    #: True length of the answer, in tokens.
    output_tokens: int
    #: Time by which it has to be whole, in seconds.
    deadline: float


def requests_of(
    scenario: Scenario, deployment: Deployment, seed: int, load: float = 1.0
) -> list[Request]:
    """Return the requests of a scenario, in order of arrival."""
    rng = random.Random(f"{scenario.name} {deployment.name} {seed}")
    arrivals: list[tuple[float, str, Phase]] = []
    start = 0.0
    for phase in scenario.phases:
        for name, rate in phase.rates.items():
            at = start
            total = rate * deployment.engines * load
            while total > 0:
                at += rng.expovariate(total)
                if at >= start + phase.seconds:
                    break
                arrivals.append((at, name, phase))
        start += phase.seconds
    arrivals.sort(key=lambda item: item[0])
    return [
        _request(number, at, name, phase, rng)
        for number, (at, name, phase) in enumerate(arrivals)
    ]


def _block(text: str) -> int:
    """Return the hash of a block, the same in every process."""
    return xxhash.xxh3_64_intdigest(text.encode())


def _request(
    number: int, at: float, name: str, phase: Phase, rng: random.Random
) -> Request:
    """Return one request with its random lengths."""
    kind = KINDS[name]
    prompt = max(16, int(kind.prompt_tokens * rng.uniform(0.5, 1.5)))
    shared = int(prompt * kind.shared) // 64
    group = rng.randrange(16)
    own = prompt // 64 - shared
    prefix = [_block(f"{name} {group} {n}") for n in range(shared)]
    tail = [_block(f"{number} {n}") for n in range(own)]
    caller = CALLERS[0]
    if rng.random() >= phase.surge_share:
        caller = rng.choice(CALLERS[1:])
    output = max(1, int(kind.max_tokens * rng.uniform(0.5, 1.0)))
    return Request(
        number,
        at,
        caller,
        name,
        prompt,
        (*prefix, *tail),
        kind.max_tokens,
        output,
        at + kind.deadline_s,
    )
