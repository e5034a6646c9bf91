"""Client accounts of an episode, whose keys change while it runs."""

import collections.abc
import dataclasses
import random
import time
import typing

from agatewing.platform.soak import _disturbances
from agatewing.platform.soak import _versions
from agatewing.platform import standins

#: Number of client accounts.
ACCOUNTS = 4
#: Time between two changes of keys, in seconds: every instance has followed
#: the one before, unless it or the log was disturbed.
CHANGE_PERIOD_S = 2.5
#: Share of requests that are sent with a key that was taken away.
REVOKED_SHARE = 0.05
#: Time for which an instance may take a request that was sent after its key
#: was taken away, in seconds: to follow the log, and to wake up.
BOUND_S = _versions.APPLY_S + 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Credential:
    """The key that a request is sent with, and its account."""

    #: Name of the account.
    account: str
    #: The key.
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """A request as far as its account matters."""

    #: Key that it was sent with.
    credential: Credential
    #: Monotonic time at which it was sent, in seconds.
    at: float
    #: Names of the instances through which it reached a target.
    through: frozenset[str]


class Accounts:
    """Publishes accounts, adds and removes their keys, checks runs."""

    __slots__ = ("_random", "_number", "_ended_at")

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"{seed}/accounts")
        # Number of the key that callers use; the next one is valid too.
        self._number = 1
        # Monotonic time at which the removal of a key was acknowledged.
        self._ended_at: dict[int, float] = {}

    def tenants(self) -> list[dict[str, typing.Any]]:
        """Return the accounts as the platform's configuration has them."""
        numbers = (self._number, self._number + 1)
        return [
            {
                "name": _name(account),
                "api_keys": [_key(account, n) for n in numbers],
            }
            for account in range(ACCOUNTS)
        ]

    def change(self, publish: collections.abc.Callable[[], None]) -> None:
        """Add a key to each account and take one away."""
        self._number += 1
        publish()
        self._ended_at[self._number - 1] = time.monotonic()

    def draw(self, caller: int) -> Credential:
        """Return a key for a request of a caller, at times a removed one."""
        account = caller % ACCOUNTS
        number = self._number
        if number - 1 in self._ended_at:
            number -= self._random.random() < REVOKED_SHARE
        return Credential(_name(account), _key(account, number))

    def violations(
        self,
        request: str,
        sent: Sent,
        run: standins.Run,
        disturbances: _disturbances.Disturbances,
    ) -> collections.abc.Iterator[str]:
        """Yield what a run breaks, one line each.

        ACCOUNT if a target was told another account or the key, REVOKED if
        the key was gone for longer than the bound. ``disturbances`` are the
        faults of instances and of the log.
        """
        account = run.headers.get("x-tenant")
        if account != sent.credential.account or "x-api-key" in run.headers:
            yield f"ACCOUNT: {request} of {sent.credential} ran as {account}"
        number = int(sent.credential.key.rpartition("-")[2])
        late_s = sent.at - self._ended_at.get(number, sent.at) - BOUND_S
        since = sent.at - _versions.SETTLE_S - BOUND_S
        if late_s > 0 and not any(
            disturbances.overlap(place, since, run.at)
            for place in (*sent.through, _versions.LOG)
        ):
            yield f"REVOKED: {request} ran {late_s:.2f} s after the bound"


def _name(account: int) -> str:
    return f"account-{account}"


def _key(account: int, number: int) -> str:
    return f"key-{account}-{number}"
