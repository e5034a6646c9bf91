"""Requests of each client account: asked, begun, refused."""

import collections
import collections.abc

from agatewing import accounts
from agatewing import decisions

#: Label of requests that count for no account.
NO_ACCOUNT = ""


class AccountUse:
    """Counts requests by account; labels are accounts of the configuration.

    Nothing is counted while the configuration names no accounts.
    """

    __slots__ = (
        "asked",
        "begun",
        "refused",
        "over_share",
        "rejected",
        "on_begun",
        "demand",
        "rates",
    )

    def __init__(self) -> None:
        #: Number of requests that were accepted, by account.
        self.asked: collections.Counter[str] = collections.Counter()
        #: Number of requests that targets began to run, by account.
        self.begun: collections.Counter[str] = collections.Counter()
        #: Number of requests that this instance refused, by account.
        self.refused: collections.Counter[str] = collections.Counter()
        #: Number of requests that exceeded the share of their account, so
        #: that they yielded to others, by account.
        self.over_share: collections.Counter[str] = collections.Counter()
        #: Requests for engines of each account at this instance.
        self.demand = decisions.AccountDemandMeter()
        #: Returns those at all instances, as far as known.
        self.rates: collections.abc.Callable[[], decisions.AccountRates] = dict
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

    def excess_share(
        self, account: accounts.Account, may_wait: bool, now: float
    ) -> float:
        """Count a request for engines; return the part beyond the share."""
        key = decisions.short_key(account.name)
        excess = decisions.excess_share(self.rates(), key)
        self.demand.add(key, may_wait, now, excess)
        return excess

    def retain(self, names: frozenset[str]) -> None:
        """Drop the counts of accounts that are not configured any more."""
        keys = {decisions.short_key(name) for name in names}
        self.demand.retain(keys)
        for counter in (
            self.asked,
            self.begun,
            self.refused,
            self.over_share,
        ):
            for name in counter.keys() - names - {NO_ACCOUNT}:
                del counter[name]


def _ignore(account: accounts.Account | None) -> None:
    """Do nothing."""
