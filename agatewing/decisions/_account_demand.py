"""Which requests of an account exceed its share while room is short.

The patterns: one account asks ten times as much as usual; all do; one that
uses one zone only; an instance sees a part of the requests, or is cut off.

An account's share is its usual part of the demand, as nobody configures one.
What exceeds it yields to all others, so that an account's surge takes no
room of theirs, and uses what they leave. The share itself yields to nobody.
"""

import collections.abc
import dataclasses
import heapq
import math

#: Time constant of the recent rate of an account, in seconds: the shortest
#: bursts of callers take about as long.
RECENT_S = 3.0
#: Time constant of its usual rate, in seconds: ten times as long.
USUAL_S = 30.0
#: Time with requests from which on rates are known, in seconds; the usual one
#: is that of a surge before.
MIN_OBSERVED_S = 6.0
#: Part of its usual rate by which an account may exceed its share.
MARGIN = 0.5
#: Standard deviations of the recent rate that count as chance, where requests
#: come independently: one in 30,000 looks at an account is beyond.
CHANCE_SIGMAS = 4.0
#: Rate that is never in excess, in requests a second: a single caller's that
#: repeats at once.
FREE_RATE = 1.0
#: Largest number of accounts that a report names; the rest are summed up.
MAX_NAMED = 12
#: Key of all accounts that a report does not name.
REST = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Requests of an account, a second, refused ones included."""

    #: Over ``RECENT_S``.
    recent: float = 0.0
    #: Over ``USUAL_S``.
    usual: float = 0.0

    def plus(self, other: "Rates") -> "Rates":
        """Return the sum of two rates."""
        return Rates(self.recent + other.recent, self.usual + other.usual)


#: Rates by account, and whether the requests may wait. An account is known by
#: the hash of its name.
AccountRates = dict[tuple[int, bool], Rates]


class AccountDemandMeter:
    """Averages the requests of each account at one instance."""

    __slots__ = ("_sums", "_started_at")

    def __init__(self) -> None:
        # Decayed numbers of requests, and the monotonic time of each.
        self._sums: dict[tuple[int, bool], tuple[Rates, float]] = {}
        # Monotonic time of the first request of any account, in seconds.
        self._started_at = math.inf

    def add(
        self, account: int, may_wait: bool, now: float, excess: float = 0.0
    ) -> None:
        """Count one request.

        ``excess`` is the part by which its account exceeds its share. So much
        less does it add to what is usual: a surge is usual once it has lasted
        for minutes, but not within its first seconds.
        """
        self._started_at = min(self._started_at, now)
        key = account, may_wait
        sums = self._decayed(key, now)
        self._sums[key] = sums.plus(Rates(1.0, 1.0 - excess)), now

    def _decayed(self, key: tuple[int, bool], now: float) -> Rates:
        sums, at = self._sums.get(key, (Rates(), now))
        return Rates(
            sums.recent * math.exp((at - now) / RECENT_S),
            sums.usual * math.exp((at - now) / USUAL_S),
        )

    def retain(self, accounts: collections.abc.Set[int]) -> None:
        """Drop accounts that are not configured any more."""
        for key in [key for key in self._sums if key[0] not in accounts]:
            del self._sums[key]

    def rates(self, now: float) -> AccountRates:
        """Return the present rates; empty until they were observed."""
        observed_s = now - self._started_at
        if observed_s < MIN_OBSERVED_S:
            return {}
        recent_s = RECENT_S * -math.expm1(-observed_s / RECENT_S)
        usual_s = USUAL_S * -math.expm1(-observed_s / USUAL_S)
        rates = {}
        for key in self._sums:
            sums = self._decayed(key, now)
            rates[key] = Rates(sums.recent / recent_s, sums.usual / usual_s)
        return rates


def add_up_accounts(
    several: collections.abc.Iterable[AccountRates],
) -> AccountRates:
    """Return the sums by account."""
    sums: AccountRates = {}
    for rates in several:
        for key, added in rates.items():
            sums[key] = sums.get(key, Rates()).plus(added)
    return sums


def bounded(rates: AccountRates) -> AccountRates:
    """Return the rates of the largest accounts, and of the rest together."""
    named = {key: r for key, r in rates.items() if key[0] != REST}
    if len(named) <= MAX_NAMED:
        return dict(rates)
    largest = heapq.nlargest(
        MAX_NAMED, named, key=lambda key: (named[key].recent, key)
    )
    kept = {key: rates[key] for key in largest}
    rest = {(REST, may_wait): Rates() for may_wait in (False, True)}
    for key, added in rates.items():
        if key not in kept:
            rest[REST, key[1]] = rest[REST, key[1]].plus(added)
    return kept | {key: r for key, r in rest.items() if r.recent or r.usual}


def excess_share(rates: AccountRates, account: int) -> float:
    """Return the part of an account's requests that exceed its share, 0 to 1.

    Its share is its usual part of what all accounts ask now, so that a surge
    of all exceeds nobody's; 0 if that is not known.
    """
    own = total = Rates()
    for (name, _), added in rates.items():
        total = total.plus(added)
        if name == account:
            own = own.plus(added)
    if not own.recent or not total.usual:
        return 0.0
    # An account's own surge must not raise what is usual for it.
    others = Rates(total.recent - own.recent, total.usual - own.usual)
    growth = 1.0
    if others.usual > 0:
        growth = max(1.0, others.recent / others.usual)
    usual = own.usual * growth
    chance = CHANCE_SIGMAS * math.sqrt(usual / (2 * RECENT_S))
    allowed = usual + max(MARGIN * usual, chance) + FREE_RATE
    return max(0.0, 1.0 - allowed / own.recent)
