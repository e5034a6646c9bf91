"""When this instance reads a topic of the log, and for how long it waits.

In small fleets every instance reads the log all the time. In large ones a few
of each zone do; all are charged for every read, and each change would end the
reads of all. Load reports carry what an instance knows the log to hold, and
how long ago that was so. The others fetch what they lack from a peer, and
read the log themselves once nobody has told them for a while that they have
all of it: when readers are lost, cut off or late, or the log is away.

The readers of a zone are those with the fastest links: a configuration may
take half a second of a slow one, which then carries no requests.
"""

import collections.abc
import random

from agatewing import fleetlog
from agatewing.gateway import _ranks

#: Number of instances above which only some of them read the log all the time.
MANY_INSTANCES = 10
#: Readers in a zone: a second one, so that the loss of one delays nothing.
READERS_PER_ZONE = 2
#: Time from the end of a wait that the log does not answer to the answer of
#: the next read, in seconds: the time limit of an answer, the first backoff,
#: and a connection with its answer.
REPEAT_S = 0.8
#: Time in which peers learn of what an instance has read, in seconds: the
#: longest period of reports, and the request of a snapshot.
TELL_S = 0.6
#: Longest age of what is known of the log at which an instance that is no
#: reader reads it itself, in seconds.
MAX_AGE_S = 1.6
#: Longest time for which a read waits for new records, in seconds; each call
#: is charged for.
WAIT_S: dict[fleetlog.Topic, float] = {
    fleetlog.Topic.CONFIGURATION: 4.0,
    fleetlog.Topic.TARGETS: 4.0,
    fleetlog.Topic.INSTANCES: 20.0,
}
#: Shortest time for which a read waits, however strict a site is, in seconds.
LEAST_WAIT_S = 0.2
#: Shortest wait of a reader of a large fleet, as a share of the longest. A
#: change ends the reads of all at once; unlike times spread them again, so
#: that one of them has always just read up to the end.
READER_WAIT_SHARE = 0.5
#: Time between two reads of the entries of instances by those that are no
#: readers, in seconds: at first, as all instances start together, and at most.
FIRST_PAUSE_S = 2.0
LONGEST_PAUSE_S = 20.0
#: Number of times that the pause doubles at most; the longest comes before.
MAX_DOUBLINGS = 8


def all_read(instances: int) -> bool:
    """Return whether each of so many instances reads the log by itself."""
    return instances <= MANY_INSTANCES


class LogTurns:
    """The turns of this instance at reading the log."""

    __slots__ = (
        "_name",
        "_rng",
        "_instances",
        "_zone_peers",
        "_ages",
        "_limit_s",
        "_link_mbps",
    )

    def __init__(
        self,
        name: str,
        rng: random.Random,
        instances: collections.abc.Callable[[], int],
        zone_peers: collections.abc.Callable[
            [], collections.abc.Iterable[str]
        ],
        ages: collections.abc.Mapping[
            fleetlog.Topic, collections.abc.Callable[[], float]
        ],
        limit_s: float,
        link_mbps: _ranks.LinkMbps = lambda name: 0.0,
    ) -> None:
        """Create the turns of one instance.

        ``limit_s`` is the time within which an instance has to follow a
        change, whatever becomes of one connection, in seconds.
        """
        self._link_mbps = link_mbps
        self._name = name
        self._rng = rng
        # Returns the number of instances.
        self._instances = instances
        # Returns the names of the other instances of the zone that live.
        self._zone_peers = zone_peers
        # Return the age of what is known of a topic, in seconds.
        self._ages = ages
        self._limit_s = limit_s

    @property
    def max_age_s(self) -> float:
        """Age of its view at which an instance that is no reader reads.

        Of what it can know only from a peer, the peer needs to be told first.
        """
        left_s = self._limit_s - REPEAT_S - TELL_S
        return max(LEAST_WAIT_S, min(MAX_AGE_S, left_s))

    @property
    def many(self) -> bool:
        """Whether there are so many instances that only some read."""
        return not all_read(self._instances())

    @property
    def is_reader(self) -> bool:
        """Whether this instance reads all the time."""
        if not self.many:
            return True
        return self._name in _ranks.fastest(
            [self._name, *self._zone_peers()],
            READERS_PER_ZONE,
            self._link_mbps,
        )

    def pause_s(self, topic: fleetlog.Topic, reads: int) -> float:
        """Return the time until the next read of a topic, in seconds.

        ``reads`` is the number of reads so far. What peers tell meanwhile may
        make it longer.
        """
        if self.is_reader:
            return 0.0
        age_s = self._ages.get(topic)
        if age_s is None:
            doublings = min(reads, MAX_DOUBLINGS)
            return min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2**doublings)
        return max(0.0, self.max_age_s - age_s())

    def wait_s(self, topic: fleetlog.Topic) -> float:
        """Return for how long a read waits for new records, in seconds.

        A read that the log never answers, as its connection is dead or the
        log has forgotten it, has to be noticed and repeated in time.
        """
        if not self.many:
            if topic not in self._ages:
                return WAIT_S[topic]
            left_s = self._limit_s - REPEAT_S
            return max(LEAST_WAIT_S, min(WAIT_S[topic], left_s))
        if not self.is_reader:
            return 0.0
        if topic in self._ages:
            longest_s = self.max_age_s
            return self._rng.uniform(READER_WAIT_SHARE * longest_s, longest_s)
        return WAIT_S[topic]
