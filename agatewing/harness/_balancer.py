"""Stand-in of the platform's balancer: sends to ready instances."""

import random

import gevent

from agatewing import _exceptions
from agatewing.harness import _deployment
from agatewing import net

#: Time between two health checks, in seconds.
CHECK_S = 0.3


class Balancer:
    """Knows which instances were ready a moment ago."""

    __slots__ = ("_deployment", "_random", "_ready", "_task")

    def __init__(self, deployment: _deployment.Deployment, seed: int) -> None:
        self._deployment = deployment
        self._random = random.Random(seed)
        self._ready: list[str] = list(deployment.instances)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start checking."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop checking."""
        if self._task is not None:
            self._task.kill(block=False)

    def pick(self) -> str:
        """Return the address of an instance for one request."""
        names = self._ready or list(self._deployment.instances)
        return self._deployment.caller_address(self._random.choice(names))

    def _run(self) -> None:
        while True:
            names = list(self._deployment.instances)
            checks = {n: gevent.spawn(self._check, n) for n in names}
            gevent.joinall(checks.values())
            self._ready = [n for n, c in checks.items() if c.value]
            gevent.sleep(CHECK_S)

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
