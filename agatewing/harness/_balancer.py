"""Stand-in of the platform's load balancer."""

import random

import gevent

from agatewing import _exceptions
from agatewing.harness import _deployment
from agatewing import net

#: Interval of the health checks, in seconds.
CHECK_INTERVAL_S = 0.3


class Balancer:
    """Picks random instances among those ready at the last health check."""

    __slots__ = ("_deployment", "_random", "_ready", "_task")

    def __init__(self, deployment: _deployment.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._ready: list[str] = list(deployment.instances)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the health checks."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the health checks."""
        if self._task is not None:
            self._task.kill(block=False)

    def pick(self) -> str:
        """Return the caller address of a ready instance; of any if none is."""
        names = self._ready or list(self._deployment.instances)
        return self._deployment.caller_address(self._random.choice(names))

    def _run(self) -> None:
        while True:
            names = list(self._deployment.instances)
            checks = {n: gevent.spawn(self._check, n) for n in names}
            gevent.joinall(checks.values())
            self._ready = [n for n, c in checks.items() if c.value]
            gevent.sleep(CHECK_INTERVAL_S)

    def _check(self, name: str) -> bool:
        client = net.HttpClient(
            self._deployment.caller_address(name),
            connect_timeout_s=0.3,
            silence_timeout_s=0.5,
        )
        try:
            return client.call("GET", "/readyz").status == 200
        except _exceptions.AgatewingError:
            return False
        finally:
            client.close()
