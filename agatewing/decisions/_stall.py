"""Time after which a request sent to an engine counts as lost.

An engine may hang, or run a request and lose the answer, while its
connection stays open; only a timeout shows this. An idempotent request is
then also sent to another engine, beside the first. For any other request the
instance goes on waiting. Neither counts any longer in the first engine's
backlog, which would seem to grow otherwise.
"""

#: Shortest time before a request counts as lost, in seconds: twice the
#: latency objective of a short prompt, so that a retry can still succeed
#: before the caller gives up.
MIN_STALL_S = 0.5
#: Factor on the expected time of a request: prompts that come later may be
#: processed first if their priority class is lower, and estimates are off by
#: half under load.
STALL_FACTOR = 3.0


def stall_timeout_s(expected_s: float) -> float:
    """Return the seconds after which a request counts as lost."""
    return MIN_STALL_S + STALL_FACTOR * expected_s
