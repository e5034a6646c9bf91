"""When work that was sent to an engine counts as lost.

Pattern answered: engines that run requests and lose the answers, or hang,
while their connections stay open. Nothing but time shows it. What may be
repeated goes to another engine then; what may not is waited for, but no
longer counts as work of the engine, whose queue would seem to grow.
"""

#: Least time before work counts as lost, in seconds: twice the objective of
#: a short prompt, so that a repeat still comes before its caller leaves.
LEAST_S = 0.5
#: Times its expected time that work may take: more urgent prompts that come
#: later may pass it, and estimates are off by half under load.
TIMES = 3.0


def stall_s(expected_s: float) -> float:
    """Return after how many seconds work counts as lost."""
    return LEAST_S + TIMES * expected_s
