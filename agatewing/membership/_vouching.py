"""Whether an instance may still vouch for its configuration.

See docs/design/staleness.md for the ways that were weighed.
"""

import dataclasses
import enum

#: Age up to which knowledge of the log's end counts as current, in seconds.
FRESH_S = 2.0


class Standing(enum.StrEnum):
    """What an instance knows about its configuration."""

    #: It, or a peer, has just seen the end of the log.
    CURRENT = "current"
    #: The log is down for a majority of the instances.
    OUTAGE = "outage"
    #: It may be cut off; others may have a newer configuration.
    STALE = "stale"
    #: It has no configuration.
    EMPTY = "empty"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerEvidence:
    """What one peer last said."""

    #: Seconds since the probe was sent that it answered last.
    heard_age_s: float
    #: Seconds since it knew the log's end.
    log_age_s: float
    #: Configuration version that it named.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """Everything the judgement rests on."""

    #: Version in force here; 0 for none.
    version: int
    #: Seconds since the log's end was known here.
    log_age_s: float
    #: What peers said.
    peers: tuple[PeerEvidence, ...]
    #: Instances that should exist, this one included.
    members: int
    #: Highest version that any peer ever named.
    named_version: int = 0


def judge(evidence: Evidence) -> Standing:
    """Return the standing of the own configuration."""
    if not evidence.version:
        return Standing.EMPTY
    heard = [p for p in evidence.peers if p.heard_age_s <= FRESH_S]
    if evidence.log_age_s <= FRESH_S:
        return Standing.CURRENT
    if evidence.named_version > evidence.version:
        return Standing.STALE
    if any(p.log_age_s <= FRESH_S for p in heard):
        return Standing.CURRENT
    if 2 * (len(heard) + 1) > evidence.members:
        return Standing.OUTAGE
    return Standing.STALE
