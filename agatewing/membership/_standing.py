"""Decides whether an instance may still rely on its configuration.

See docs/design/staleness.md for the alternatives considered.
"""

import dataclasses
import enum

#: Age up to which a peer's last answer, or the last read to the end of the
#: log, counts as fresh, in seconds.
MAX_FRESH_AGE_S = 2.0


class Standing(enum.StrEnum):
    """How certain it is that the configuration in force is the newest."""

    #: This instance, or a peer, has just read to the end of the log.
    CURRENT = "current"
    #: A majority of the instances answers, but none of them reaches the log.
    OUTAGE = "outage"
    #: This instance may be partitioned; others may have a newer
    #: configuration.
    STALE = "stale"
    #: This instance has no configuration.
    EMPTY = "empty"


@dataclasses.dataclass(frozen=True, slots=True)
class PeerEvidence:
    """What one peer last reported."""

    #: Seconds since the last probe that the peer answered was sent.
    answered_probe_age_s: float
    #: Seconds since the peer last read to the end of the log.
    log_age_s: float
    #: Highest configuration version that the peer has reported.
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Evidence:
    """The input of :func:`configuration_standing`."""

    #: Configuration version in force on this instance; 0 for none.
    version: int
    #: Seconds since this instance last read to the end of the log.
    log_age_s: float
    #: Last report of each known peer that has not left.
    peers: tuple[PeerEvidence, ...]
    #: Expected number of instances, this one included.
    members: int
    #: Highest configuration version that any peer has ever reported.
    highest_reported_version: int = 0


def configuration_standing(evidence: Evidence) -> Standing:
    """Return the standing of this instance's configuration.

    Without a fresh read of the log, the configuration is stale if a peer
    has reported a higher version. If no peer that answers reaches the log
    either, the standing is an outage only if a majority of the instances
    answers; otherwise this instance may be partitioned.
    """
    if not evidence.version:
        return Standing.EMPTY
    fresh_peers = [
        p for p in evidence.peers if p.answered_probe_age_s <= MAX_FRESH_AGE_S
    ]
    if evidence.log_age_s <= MAX_FRESH_AGE_S:
        return Standing.CURRENT
    if evidence.highest_reported_version > evidence.version:
        return Standing.STALE
    if any(p.log_age_s <= MAX_FRESH_AGE_S for p in fresh_peers):
        return Standing.CURRENT
    if 2 * (len(fresh_peers) + 1) > evidence.members:
        return Standing.OUTAGE
    return Standing.STALE
