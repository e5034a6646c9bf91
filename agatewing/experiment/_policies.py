"""The policy under test and the baselines."""

import dataclasses
import enum


class Routing(enum.StrEnum):
    """How an engine is chosen."""

    OURS = "ours"
    ROUND_ROBIN = "round robin"
    LEAST_REPORTED = "least reported load"


class Roles(enum.StrEnum):
    """How engines get their roles.

    ``EAGER`` changes a role for any gain. ``CLAIRVOYANT`` knows the load in
    advance and changes roles at no cost: an upper bound.
    """

    OURS = "ours"
    STATIC = "static"
    EAGER = "eager"
    CLAIRVOYANT = "clairvoyant"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """How one compared policy makes each decision."""

    #: Name in the printed tables.
    name: str
    #: How an engine is chosen.
    routing: Routing = Routing.OURS
    #: How engines get their roles.
    roles: Roles = Roles.OURS
    #: Whether admission and fair queueing are used.
    admission: bool = True
    #: Share of engines that start in the prefill role, the others in the
    #: decode role; 0 starts all as mixed. Not used if the simulation
    #: is given role plans.
    initial_prefill_share: float = 0.0


POLICIES = {
    p.name: p
    for p in (
        Policy("agatewing", initial_prefill_share=0.4),
        Policy(
            "round robin", Routing.ROUND_ROBIN, Roles.STATIC, admission=False
        ),
        Policy(
            "least reported",
            Routing.LEAST_REPORTED,
            Roles.STATIC,
            admission=False,
        ),
        Policy("static split", roles=Roles.STATIC, initial_prefill_share=0.4),
        Policy("all mixed", roles=Roles.STATIC),
        Policy("eager", roles=Roles.EAGER),
        Policy("clairvoyant", roles=Roles.CLAIRVOYANT),
    )
}

#: Policies that the score of "agatewing" is compared with.
BASELINES = ("round robin", "least reported", "static split", "eager")
