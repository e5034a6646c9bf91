"""What an instance may hold for callers, from the limits of its process."""

import dataclasses

#: Memory of a process that serves nobody, with its log and targets, in
#: megabytes: 45 to 50 measured, the rest for what connections and requests
#: take besides bodies and answers.
BASE_MB = 64
#: Descriptors that the platform reserves for files.
FILE_DESCRIPTORS = 200
#: Least and most bytes that the kernel may hold unread for a connection: the
#: least fills a link of 100 ms with 0.3 MB/s, so that the largest body comes
#: within its time; the most is what kernels begin with.
MIN_UNREAD_BYTES = 32_768
MAX_UNREAD_BYTES = 131_072


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Shares of a process's memory and descriptors."""

    #: Bytes of all bodies together that callers and peers have sent.
    body_bytes: int
    #: Bytes kept beside them for small bodies of announced length.
    small_bytes: int
    #: Bytes of answers that are read in whole and not yet delivered.
    answer_bytes: int
    #: Connections of callers, those that linger included.
    connections: int
    #: Connections of peers.
    peer_connections: int
    #: Bytes that the kernel may hold unread for a caller's connection.
    unread_bytes: int


def plan_memory(process_mb: int, max_descriptors: int) -> MemoryPlan:
    """Divide the memory of a process, in megabytes, and its descriptors.

    Of the memory beyond its own, bodies get a sixth, answers a quarter and
    unread bytes a quarter; of the descriptors that are not for files, callers
    get two thirds, peers a twelfth, and targets and the log the rest.
    """
    spare = (process_mb - BASE_MB) * 1_000_000
    sockets = max_descriptors - FILE_DESCRIPTORS
    connections = sockets * 2 // 3
    return MemoryPlan(
        body_bytes=spare // 6,
        small_bytes=spare // 48,
        answer_bytes=spare // 4,
        connections=connections,
        peer_connections=sockets // 12,
        unread_bytes=min(
            MAX_UNREAD_BYTES,
            max(MIN_UNREAD_BYTES, spare // 4 // connections),
        ),
    )
