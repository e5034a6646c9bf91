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

#: Number of instances; they decide without coordination.
INSTANCES = 6


@dataclasses.dataclass(slots=True)
class Outcome:
    """Results of one run."""

    #: Answers completed within their deadline, per second.
    goodput: float
    #: Number of role changes.
    role_changes: int
    #: Number of requests.
    requests: int
    #: Number of answers completed within their deadline.
    good: int
    #: Number of requests that were neither refused nor answered in time.
    late: int
    #: Number of refused requests.
    refused: int
    #: 95th percentile of the time to the first token, in seconds.
    first_p95_s: float
    #: 95th percentile of the time between tokens, in seconds.
    between_p95_s: float
    #: Jain's fairness index over the callers' shares of requests answered
    #: in time.
    jain: float
    #: 95th percentile of the time to the first token, in seconds, by caller.
    first_p95_by_caller: dict[str, float]
    #: Number of answers completed within their deadline, by phase of arrival.
    good_by_phase: list[int]


class _NullClient:
    """Placeholder for an engine's connections; a simulation sends nothing."""


def _no_client(address: str, *, silence_timeout_s: float) -> net.HttpClient:
    return typing.cast(net.HttpClient, _NullClient())


@dataclasses.dataclass(slots=True)
class Job:
    """A request in progress at one instance."""

    request: _scenarios.Request
    instance: "Instance"
    profile: decisions.RequestProfile
    #: Cost estimate for the fair queue, in engine seconds.
    cost_s: float
    #: Estimated duration on the fastest engine, in seconds.
    service_s: float = 0.0
    #: Time of the first token, in seconds.
    first_token_at: float | None = None
    #: Name of the engine that has the request at present.
    current_engine: str = ""
    #: Target that the request is sent to; ``None`` while it is on none.
    target: fleet.EngineTarget | None = None
    #: Name of the engine that decodes after the prefill; empty if the same
    #: engine does both, or once decoding was submitted.
    decode_engine: "str" = ""


class Engine:
    """A simulated engine: its model, role change and requests."""

    def __init__(
        self, name: str, spec: enginemodel.EngineSpec, role: _types.Role
    ) -> None:
        self.name = name
        self.model = enginemodel.EngineModel(spec, role)
        #: Whether a step is in progress.
        self.stepping = False
        #: Role of an ordered change that isn't complete.
        self.pending_role: _types.Role | None = None
        #: Whether the role change has begun; no step runs meanwhile.
        self.changing_role = False
        #: Whether the engine has failed for good.
        self.lost = False
        #: Queued and running requests, by sequence id.
        self.jobs: dict[str, Job] = {}


class Instance:
    """State on which one instance bases its decisions."""

    def __init__(
        self, index: int, engines: list[str], rng: random.Random, slots: int
    ) -> None:
        self.index = index
        self.queue: decisions.FairQueue[Job] = decisions.FairQueue()
        self.pool = fleet.Pool("pool", rng, slots)
        self.lengths = fleet.LengthEstimate()
        self.rate = decisions.ServiceRate()
        #: Ratio of measured to estimated duration; always 1 in the simulation.
        self.calibration = 1.0
        #: Counter of round-robin routing.
        self.next_engine = index
        for name in engines:
            spec = config.Engine(
                f"10.0.0.1:{len(self.pool.engines) + 1}", "z", "s"
            )
            target = fleet.EngineTarget(name, spec, slots, _no_client)
            target.live_instances = INSTANCES
            self.pool.engines[name] = target
