"""Shares of accounts, as instances see them together or alone.

The patterns: an account surges tenfold, all do, one asks in one zone only, 20
instances see a part each, one is cut off, a crowd returns after a pause.
"""

import dataclasses
import random

import pytest

from agatewing import decisions

#: Requests a second of all accounts together: two large ones, many small.
USUAL = {1: 60.0, 2: 40.0, **{n: 1.5 for n in range(3, 50)}}
BEFORE_S, AFTER_S = 40.0, 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """What a time of AFTER_S brings beside the usual requests."""

    #: Factors on the rates of accounts; 0 names all others.
    factors: dict[int, float]
    #: Instances that an account's callers reach; all if it is not named.
    reached: dict[int, int] = dataclasses.field(default_factory=dict)
    instances: int = 20
    #: Time without any request before it, in seconds.
    pause_s: float = 0.0
    #: Accounts that exceed their share, and the least part by which they do in
    #: the mean of all views.
    over: dict[int, float] = dataclasses.field(default_factory=dict)
    #: Whether the instances know of each other.
    joint: bool = True


LOADS = {
    "nothing": Load({}),
    "a large account surges tenfold": Load({1: 10.0}, over={1: 0.6}),
    "a small account surges tenfold": Load({7: 10.0}, over={7: 0.3}),
    "all surge": Load({0: 3.0}),
    "all surge, one of them more": Load({0: 2.0, 2: 10.0}, over={2: 0.3}),
    "one account in one zone only": Load({}, reached={2: 5}),
    "it surges there": Load({2: 6.0}, reached={2: 5}, over={2: 0.3}),
    "two instances": Load({1: 10.0}, instances=2, over={1: 0.6}),
    # It decides by what its own callers ask; a twentieth of the requests
    # leaves more to chance.
    "an instance cut off": Load({1: 10.0}, joint=False, over={1: 0.4}),
    "a crowd returns": Load({}, pause_s=10.0),
}


#: Time between two exchanges of reports, in seconds.
PERIOD_S = 0.2


def arrivals(load: Load, rng: random.Random) -> list[tuple[float, int, int]]:
    """Return times, accounts and instances of all requests."""
    made = []
    begin = BEFORE_S + load.pause_s
    for account, rate in USUAL.items():
        factor = load.factors.get(account, load.factors.get(0, 1.0))
        reached = load.reached.get(account, load.instances)
        for since, until, times in (
            (0.0, BEFORE_S, 1.0),
            (begin, begin + AFTER_S, factor),
        ):
            now = since + rng.expovariate(rate * times)
            while now < until:
                made.append((now, account, rng.randrange(reached)))
                now += rng.expovariate(rate * times)
    return sorted(made)


def views(load: Load, seed: int) -> list[decisions.AccountRates]:
    """Return what each of the instances decides by at the end."""
    meters = [decisions.AccountDemandMeter() for _ in range(load.instances)]
    seen: list[decisions.AccountRates] = [{} for _ in meters]
    due_at = BEFORE_S
    for now, account, instance in arrivals(load, random.Random(seed)):
        if now >= due_at:
            due_at = now + PERIOD_S
            seen = exchange(load, [meter.rates(now) for meter in meters])
        excess = decisions.excess_share(seen[instance], account)
        meters[instance].add(account, account % 2 == 0, now, excess)
    return seen if not load.joint else seen[:1]


def exchange(
    load: Load, own: list[decisions.AccountRates]
) -> list[decisions.AccountRates]:
    if not load.joint:
        return own
    total = decisions.add_up_accounts(map(decisions.bounded_accounts, own))
    return [total] * len(own)


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("name", LOADS)
def test_only_a_surge_of_its_own_exceeds_an_accounts_share(
    name: str, seed: int
) -> None:
    load = LOADS[name]
    seen = views(load, seed)
    for account in USUAL:
        excess = [decisions.excess_share(view, account) for view in seen]
        if account in load.over:
            mean = sum(excess) / len(excess)
            assert mean >= load.over[account], account
        else:
            assert not any(excess), account


def test_a_surge_that_lasts_becomes_usual() -> None:
    meter = decisions.AccountDemandMeter()
    for step in range(8_000):
        now = step * 0.05
        meter.add(1, False, now)
        excess = decisions.excess_share(meter.rates(now), 2)
        if now > 40.0:
            for _ in range(4):
                meter.add(2, False, now, excess)
        elif step % 10 == 0:
            meter.add(2, False, now, excess)
        if step == 860:
            assert excess > 0.7
    assert excess < 0.1


def test_reports_name_the_largest_accounts_and_sum_up_the_rest() -> None:
    rates = {
        (account, False): decisions.AccountRate(account, account)
        for account in range(1, 101)
    }
    reported = decisions.bounded_accounts(rates)
    assert len(reported) <= 14
    assert (100, False) in reported and (1, False) not in reported
    assert sum(r.recent for r in reported.values()) == 5_050
    # Sums of sums are bounded, too, and keep the rest apart.
    again = decisions.bounded_accounts(
        decisions.add_up_accounts([reported, reported])
    )
    assert len(again) <= 14
    assert sum(r.recent for r in again.values()) == 10_100


def test_accounts_that_are_gone_are_dropped() -> None:
    meter = decisions.AccountDemandMeter()
    for now in range(10):
        meter.add(1, False, float(now))
        meter.add(2, True, float(now))
    meter.retain({1})
    assert {account for account, _ in meter.rates(10.0)} == {1}


@pytest.mark.parametrize("room_s", [0.1, 1.0, 30.0])
def test_callers_return_in_order_and_do_not_meet(room_s: float) -> None:
    draws = [n / 100 for n in range(100)]
    pressing = [decisions.retry_after_s(room_s, False, d) for d in draws]
    yielding = [decisions.retry_after_s(room_s, True, d) for d in draws]
    assert min(pressing) >= room_s
    assert max(pressing) < min(yielding)
    assert max(yielding) <= room_s + max(1.0, room_s)
    # No tenth of the time gets more than a tenth of them, and some.
    width = (max(pressing) - min(pressing)) / 10
    first = [at for at in pressing if at < room_s + width]
    assert len(first) <= 11
