"""The account of a request by its key."""

import dataclasses
import logging

import pytest

from agatewing import accounts

SHOP = accounts.Account("shop", 1, (accounts.key_digest(b"k-shop"),))
FLEET = accounts.Account(
    "fleet",
    None,
    (accounts.key_digest(b"k-fleet"), accounts.key_digest(b"shared")),
)
PORT = accounts.Account("port", 0, (accounts.key_digest(b"shared"),))
MUTE = accounts.Account("mute")
LISTED = (SHOP, FLEET, PORT, MUTE)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    key: bytes
    expected: accounts.Identity | accounts.Rejected
    public: bool = False


CASES = {
    "known": Case(b"k-shop", SHOP),
    "known, of two keys": Case(b"k-fleet", FLEET),
    "unknown": Case(b"k-shoq", accounts.Rejected()),
    "none": Case(b"", accounts.Rejected()),
    "of two accounts": Case(b"shared", accounts.Rejected()),
    "with a space": Case(b"k shop", accounts.Rejected()),
    "no text": Case(b"\xff\xfe\x00", accounts.Rejected()),
    "16 kB": Case(b"k" * 16_384, accounts.Rejected()),
    "public, none": Case(b"", accounts.Anonymous(), public=True),
    "public, unknown": Case(b"x", accounts.Anonymous(), public=True),
    "public, known": Case(b"k-shop", SHOP, public=True),
}


@pytest.mark.parametrize("name", CASES)
def test_a_key_selects_its_account(name: str) -> None:
    case = CASES[name]
    table = accounts.AccountTable(LISTED)
    digest = accounts.key_digest(case.key)
    assert table.identify(digest, case.public) == case.expected


@pytest.mark.parametrize("key", [b"", b"k-shop"])
def test_keys_mean_nothing_without_accounts(key: bytes) -> None:
    table = accounts.AccountTable(None)
    found = table.identify(accounts.key_digest(key), public=False)
    assert found == accounts.Unidentified()


def test_no_account_at_all_refuses_every_key() -> None:
    table = accounts.AccountTable(())
    found = table.identify(accounts.key_digest(b"k"), public=False)
    assert found == accounts.Rejected()


def test_a_key_of_two_accounts_is_logged_without_the_key(
    caplog: pytest.LogCaptureFixture,
) -> None:
    with caplog.at_level(logging.WARNING):
        table = accounts.AccountTable(LISTED)
        # The next configuration has the same faults.
        accounts.AccountTable(LISTED, table)
    faults = [record.__dict__ for record in caplog.records]
    assert [fault["accounts"] for fault in faults] == [
        ["fleet", "port"],
        ["mute"],
    ]
    assert "shared" not in str(faults)
