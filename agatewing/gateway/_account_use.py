"""Requests of each client account: asked, begun, refused."""

import collections
import collections.abc

from agatewing import accounts

#: Label of requests that count for no account.
NO_ACCOUNT = ""


class AccountUse:
    """Counts requests by account; labels are accounts of the configuration.

    Nothing is counted while the configuration names no accounts.
    """

    __slots__ = ("asked", "begun", "refused", "rejected", "on_begun")

    def __init__(self) -> None:
        #: Number of requests that were accepted, by account.
        self.asked: collections.Counter[str] = collections.Counter()
        #: Number of requests that targets began to run, by account.
        self.begun: collections.Counter[str] = collections.Counter()
        #: Number of requests that this instance refused, by account.
        self.refused: collections.Counter[str] = collections.Counter()
        #: Number of requests without a key of any account.
        self.rejected = 0
        #: Called with the account of each request that begins; ``None`` if
        #: that is of no account.
        self.on_begun: collections.abc.Callable[
            [accounts.Account | None], None
        ] = _ignore

    def record_asked(self, identity: accounts.Identity) -> None:
        """Count a request that was accepted."""
        match identity:
            case accounts.Account(name=name):
                self.asked[name] += 1
            case accounts.Anonymous():
                self.asked[NO_ACCOUNT] += 1

    def record_begun(self, account: accounts.Account | None) -> None:
        """Count a request that a target began to run."""
        if account is not None:
            self.begun[account.name] += 1
        self.on_begun(account)

    def record_refused(self, account: accounts.Account | None) -> None:
        """Count a request that this instance refused."""
        if account is not None:
            self.refused[account.name] += 1

    def retain(self, names: frozenset[str]) -> None:
        """Drop the counts of accounts that are not configured any more."""
        for counter in (self.asked, self.begun, self.refused):
            for name in counter.keys() - names - {NO_ACCOUNT}:
                del counter[name]


def _ignore(account: accounts.Account | None) -> None:
    """Do nothing."""
