"""The policy under test and the baselines."""

import dataclasses
import enum


class Routing(enum.StrEnum):
    """How an engine is chosen."""

    OURS = "ours"
    ROUND_ROBIN = "round robin"
    LEAST_REPORTED = "least reported load"


class Roles(enum.StrEnum):
    """How roles are chosen."""

    OURS = "ours"
    STATIC = "static"
    EAGER = "eager"
    CLAIRVOYANT = "clairvoyant"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """One combination of decisions."""

    #: Name in tables.
    name: str
    #: How an engine is chosen.
    routing: Routing = Routing.OURS
    #: How roles are chosen.
    roles: Roles = Roles.OURS
    #: Whether admission and fair queueing are used.
    admission: bool = True
    #: Share of engines that a static split dedicates to prefill.
    static_prefill: float = 0.0


POLICIES = {
    p.name: p
    for p in (
        Policy("agatewing", static_prefill=0.4),
        Policy(
            "round robin", Routing.ROUND_ROBIN, Roles.STATIC, admission=False
        ),
        Policy(
            "least reported",
            Routing.LEAST_REPORTED,
            Roles.STATIC,
            admission=False,
        ),
        Policy("static split", roles=Roles.STATIC, static_prefill=0.4),
        Policy("all mixed", roles=Roles.STATIC),
        Policy("eager", roles=Roles.EAGER),
        Policy("clairvoyant", roles=Roles.CLAIRVOYANT),
    )
}

#: Policies that the target compares with; the bound is apart.
BASELINES = ("round robin", "least reported", "static split", "eager")
