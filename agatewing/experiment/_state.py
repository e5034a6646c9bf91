"""State of a simulated run: jobs, engines, instances, outcome."""

import dataclasses
import random
import typing

from agatewing import _types
from agatewing import config
from agatewing import decisions
from agatewing import enginemodel
from agatewing.experiment import _scenarios
from agatewing import fleet
from agatewing import net

#: Instances that decide without coordination.
INSTANCES = 6


@dataclasses.dataclass(slots=True)
class Outcome:
    """What one run showed."""

    #: Answers whole within their deadline, a second.
    goodput: float
    #: Role changes made.
    role_changes: int
    #: Requests.
    requests: int
    #: Answers whole within their deadline.
    good: int
    #: Answers that came too late, or never.
    late: int
    #: Requests refused.
    refused: int
    #: Time to the first token at p95, in seconds.
    first_p95_s: float
    #: Time between tokens at p95, in seconds.
    between_p95_s: float
    #: Jain's index over callers' served shares of what they asked.
    jain: float
    #: Time to the first token at p95 by caller, in seconds.
    first_p95_by_caller: dict[str, float]
    #: Answers whole within their deadline, by phase of arrival.
    good_by_phase: list[int]


class _NullClient:
    """Stands in for connections; nothing is sent in an experiment."""


def _no_client(address: str, *, silence_timeout_s: float) -> net.HttpClient:
    return typing.cast(net.HttpClient, _NullClient())


@dataclasses.dataclass(slots=True)
class Job:
    """A request on its way."""

    request: _scenarios.Request
    instance: "Instance"
    work: decisions.Work
    cost: float
    service_s: float = 0.0
    first_at: float | None = None
    decode: str = ""
    machine: fleet.EngineMachine | None = None
    second: "str" = ""


class Engine:
    """A model of an engine with its role changes."""

    def __init__(
        self, name: str, spec: enginemodel.EngineSpec, role: _types.Role
    ) -> None:
        self.name = name
        self.model = enginemodel.EngineModel(spec, role)
        self.stepping = False
        self.wanted: _types.Role | None = None
        self.away = False
        self.lost = False
        self.jobs: dict[str, Job] = {}


class Instance:
    """Decision state of one instance."""

    def __init__(
        self, index: int, engines: list[str], rng: random.Random, slots: int
    ) -> None:
        self.index = index
        self.queue: decisions.FairQueue[Job] = decisions.FairQueue()
        self.pool = fleet.Pool("pool", rng, slots)
        self.lengths = fleet.LengthEstimate()
        self.rate = decisions.ServiceRate()
        self.calibration = 1.0
        self.next_engine = index
        for name in engines:
            spec = config.Engine(
                f"10.0.0.1:{len(self.pool.engines) + 1}", "z", "s"
            )
            machine = fleet.EngineMachine(name, spec, slots, _no_client)
            machine.instances = INSTANCES
            self.pool.engines[name] = machine
