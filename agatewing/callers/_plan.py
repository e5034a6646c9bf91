"""What an instance may hold for callers, from the limits of its process."""

import dataclasses

#: Memory of a process that serves nobody, with its log and targets, in
#: megabytes: 45 to 50 measured, the rest for what connections and requests
#: take besides bodies and answers.
BASE_MB = 64
#: Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
#: Bytes that the kernel may hold unread for a connection: over a link of 100
#: ms it still carries 0.3 MB/s, so that the largest body comes in its time.
UNREAD_BYTES = 32_768
#: Most memory of a connection besides bodies and answers, in bytes: 20 kB
#: measured for a silent one, 16 kB that it reads ahead, a head of 16 kB, and
#: what the kernel holds.
CONNECTION_BYTES = 20_000 + 2 * 16_384 + UNREAD_BYTES


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Shares of a process's memory and descriptors."""

    #: Bytes of all bodies together that callers and peers have sent.
    body_bytes: int
    #: Bytes kept beside them for small bodies of announced length.
    small_bytes: int
    #: Bytes of answers that are read in whole and not yet delivered.
    answer_bytes: int
    #: Bytes of events that have arrived and are not yet delivered.
    event_bytes: int
    #: Connections of callers, those that linger included.
    connections: int
    #: Connections of peers.
    peer_connections: int


def plan_memory(process_mb: int, max_descriptors: int) -> MemoryPlan:
    """Divide the memory of a process, in megabytes, and its descriptors.

    Of the memory beyond its own, bodies get an eighth, small ones a 48th,
    answers a quarter, events of streams a 24th and connections half; of the
    descriptors that are not for files, callers get two thirds at most, peers a
    twelfth, and targets and the log the rest.
    """
    spare = (process_mb - BASE_MB) * 1_000_000
    sockets = max_descriptors - FILE_DESCRIPTORS
    return MemoryPlan(
        body_bytes=spare // 8,
        small_bytes=spare // 48,
        answer_bytes=spare // 4,
        event_bytes=spare // 24,
        connections=min(sockets * 2 // 3, spare // 2 // CONNECTION_BYTES),
        peer_connections=sockets // 12,
    )
