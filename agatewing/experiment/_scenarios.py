"""Deployments, load scenarios and the requests generated from them."""

import dataclasses
import random

import xxhash

#: Callers of each deployment; the first one surges in some scenarios.
CALLERS = ("a", "b", "c", "d")


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """A deployment's engines and the weights of its score."""

    #: Name.
    name: str
    #: Number of engines.
    engines: int
    #: Weight of goodput in the score, 0 to 1; role changes have the rest.
    goodput_weight: float
    #: Smallest number of engines that can prefill, and that can decode.
    role_floor: int


DEPLOYMENTS = {
    "aldeias": Deployment("aldeias", 5, 0.8, 1),
    "tala": Deployment("tala", 9, 0.4, 2),
}


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """Sizes and deadline of one kind of request."""

    #: Mean length of the prompt, in tokens.
    prompt_tokens: int
    #: Share of the prompt that is a prefix common to other prompts, 0 to 1.
    shared_prefix: float
    #: Longest answer, in tokens.
    max_tokens: int
    #: Time from arrival by which the answer has to be complete, in seconds.
    deadline_s: float


KINDS = {
    "history": RequestKind(6_000, 0.5, 80, 12.0),
    "question": RequestKind(150, 0.3, 120, 8.0),
    "draft": RequestKind(900, 0.3, 300, 15.0),
    "tag": RequestKind(100, 0.5, 8, 4.0),
}


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Part of a scenario with constant request rates."""

    #: Duration, in seconds.
    seconds: float
    #: Requests per second and engine, by kind.
    rates: dict[str, float]
    #: Share of requests by the first caller; the others share the rest
    #: evenly.
    first_caller_share: float = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Phases of load, with the faults of engines and load reports."""

    #: Name.
    name: str
    #: Phases in order.
    phases: tuple[Phase, ...]
    #: Time at which the first engine is lost, in seconds; ``None`` for never.
    engine_lost_at: float | None = None
    #: Delay of load reports, in seconds.
    report_lag_s: float = 0.5
    #: Share of load reports that are lost, 0 to 1.
    report_loss: float = 0.0
    #: Factor by which the last engine's steps take longer.
    slow_factor: float = 1.0
    #: Whether tuning must not use the scenario.
    held_back: bool = False

    @property
    def seconds(self) -> float:
        """Duration of the scenario, in seconds."""
        return sum(phase.seconds for phase in self.phases)


# Request mixes: requests per second and engine, by kind.
_SHORT_PROMPTS = {"history": 0.12, "question": 4.5, "tag": 1.5}
_LONG_PROMPTS = {"history": 1.2, "question": 0.6, "tag": 0.3}
_LONG_ANSWERS = {"history": 0.05, "draft": 2.8, "question": 0.5}
_BALANCED = {"history": 0.35, "question": 1.5, "draft": 0.4, "tag": 0.5}
_BALANCED_AND_LONG_PROMPTS = {
    "history": 1.1,
    "question": 1.5,
    "draft": 0.5,
    "tag": 0.5,
}


def _interpolate(
    first: dict[str, float], second: dict[str, float], share: float
) -> dict[str, float]:
    """Return the first mix, with ``share`` of it replaced by the second."""
    names = {*first, *second}
    return {
        n: first.get(n, 0.0) * (1 - share) + second.get(n, 0.0) * share
        for n in sorted(names)
    }


SCENARIOS = {
    s.name: s
    for s in (
        Scenario(
            "step",
            (
                Phase(50, _SHORT_PROMPTS),
                Phase(70, _LONG_PROMPTS),
                Phase(60, _LONG_ANSWERS),
            ),
        ),
        Scenario(
            "drift",
            tuple(
                Phase(20, _interpolate(_SHORT_PROMPTS, _LONG_PROMPTS, n / 8))
                for n in range(9)
            ),
        ),
        Scenario(
            "swing",
            tuple(
                Phase(25, _LONG_PROMPTS if n % 2 else _LONG_ANSWERS)
                for n in range(7)
            ),
        ),
        Scenario(
            "surge",
            (
                Phase(50, _BALANCED),
                Phase(60, _BALANCED_AND_LONG_PROMPTS, first_caller_share=0.8),
                Phase(50, _BALANCED),
            ),
        ),
        Scenario(
            "loss",
            (Phase(60, _BALANCED), Phase(60, _LONG_PROMPTS)),
            engine_lost_at=45.0,
        ),
        Scenario(
            "late-reports",
            (Phase(60, _SHORT_PROMPTS), Phase(60, _LONG_PROMPTS)),
            report_lag_s=2.0,
            report_loss=0.3,
            held_back=True,
        ),
        Scenario(
            "slow-engine",
            (Phase(60, _BALANCED), Phase(60, _LONG_ANSWERS)),
            slow_factor=3.0,
            held_back=True,
        ),
    )
}


@dataclasses.dataclass(slots=True)
class Request:
    """One request of a scenario."""

    #: Position in the order of arrival, from 0.
    number: int
    #: Time of arrival, in seconds.
    at: float
    #: Name of the caller.
    caller: str
    #: Name of the kind in KINDS.
    kind: str
    #: Length of the prompt, in tokens.
    prompt_tokens: int
    #: Hashes of the prompt's prefix blocks.
    blocks: tuple[int, ...]
    #: Longest answer, in tokens.
    max_tokens: int
    #: Actual length of the answer, in tokens.
    output_tokens: int
    #: Time by which the answer has to be complete, in seconds.
    deadline: float


def generate_requests(
    scenario: Scenario, deployment: Deployment, seed: int, load: float = 1.0
) -> list[Request]:
    """Return the requests of a scenario, in order of arrival.

    ``load`` is a factor on all request rates.
    """
    rng = random.Random(f"{scenario.name} {deployment.name} {seed}")
    arrivals: list[tuple[float, str, Phase]] = []
    start = 0.0
    for phase in scenario.phases:
        for name, rate in phase.rates.items():
            at = start
            rate_per_s = rate * deployment.engines * load
            while rate_per_s > 0:
                at += rng.expovariate(rate_per_s)
                if at >= start + phase.seconds:
                    break
                arrivals.append((at, name, phase))
        start += phase.seconds
    arrivals.sort(key=lambda item: item[0])
    return [
        _request(number, at, name, phase, rng)
        for number, (at, name, phase) in enumerate(arrivals)
    ]


def _block_hash(text: str) -> int:
    """Return a block hash that is the same in every process."""
    return xxhash.xxh3_64_intdigest(text.encode())


def _request(
    number: int, at: float, name: str, phase: Phase, rng: random.Random
) -> Request:
    """Return one request with random lengths, prefix group and caller."""
    kind = KINDS[name]
    prompt = max(16, int(kind.prompt_tokens * rng.uniform(0.5, 1.5)))
    # A prefix block has 64 tokens. Each kind has 16 groups of requests, each
    # with a prefix of its own.
    shared_blocks = int(prompt * kind.shared_prefix) // 64
    group = rng.randrange(16)
    own_blocks = prompt // 64 - shared_blocks
    prefix = [_block_hash(f"{name} {group} {n}") for n in range(shared_blocks)]
    tail = [_block_hash(f"{number} {n}") for n in range(own_blocks)]
    caller = CALLERS[0]
    if rng.random() >= phase.first_caller_share:
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
