"""Finds the account of a request by the digest of its key.

Keys themselves are kept nowhere: the configuration holds digests, so that no
key is in what instances tell each other, and a lookup takes as long for a key
that is almost right as for any other.
"""

import collections
import collections.abc
import dataclasses
import hashlib
import logging
import typing

_log = logging.getLogger("agatewing.accounts")

#: Length of a key's digest, in bytes; 128 bits cannot be searched.
DIGEST_BYTES = 16
#: Longest key that is looked up, in bytes; the head of a request is bounded,
#: and no configuration holds a key of this length.
MAX_KEY_BYTES = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class Account:
    """A client account of the configuration."""

    #: Name, as targets are told it.
    name: str
    #: Rank of its requests, 0 is the most urgent; ``None`` if that of the
    #: route counts.
    priority: int | None = None
    #: Digests of its keys, see :func:`key_digest`.
    keys: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Unidentified:
    """The configuration names no accounts; keys mean nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class Anonymous:
    """A request of no account, on a public route."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """A request without a key of any account, where one is needed."""


#: Who a request counts as.
Identity: typing.TypeAlias = Unidentified | Anonymous | Account


def key_digest(key: bytes) -> str:
    """Return the digest of a key, in hexadecimal; empty if it can be none.

    No key is empty, longer than ``MAX_KEY_BYTES`` or of other characters than
    visible ASCII.
    """
    if not 0 < len(key) <= MAX_KEY_BYTES:
        return ""
    if not all(0x21 <= byte <= 0x7E for byte in key):
        return ""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).hexdigest()


class AccountTable:
    """The accounts of one configuration, by the digests of their keys."""

    __slots__ = ("_by_key", "_faults", "names")

    def __init__(
        self,
        accounts: collections.abc.Iterable[Account] | None,
        former: "AccountTable | None" = None,
    ) -> None:
        """Index the accounts; ``None`` if the configuration names none.

        Faults are logged unless the ``former`` table had them too.

        A key of two accounts identifies neither of them: which one a request
        is of is not known.
        """
        self._by_key: dict[str, Account] | None = None
        # Names of accounts that share a key, and of those without one.
        self._faults: set[tuple[str, ...]] = set()
        #: Names of all accounts.
        self.names: frozenset[str] = frozenset()
        if accounts is None:
            return
        listed = tuple(accounts)
        self.names = frozenset(account.name for account in listed)
        holders: dict[str, list[Account]] = collections.defaultdict(list)
        for account in listed:
            for key in account.keys:
                holders[key].append(account)
        self._by_key = {
            key: found[0]
            for key, found in holders.items()
            if len({account.name for account in found}) == 1
        }
        self._log_faults(listed, holders, former)

    def _log_faults(
        self,
        listed: tuple[Account, ...],
        holders: dict[str, list[Account]],
        former: "AccountTable | None",
    ) -> None:
        known = former._faults if former is not None else set()
        for found in holders.values():
            names = sorted({account.name for account in found})
            if len(names) > 1:
                self._faults.add(tuple(names))
                if tuple(names) in known:
                    continue
                _log.error(
                    "accounts: a key of several accounts is refused; give "
                    "each account keys of its own",
                    extra={"accounts": names},
                )
        without = sorted(a.name for a in listed if not a.keys)
        if without:
            self._faults.add(("", *without))
        if without and ("", *without) not in known:
            _log.warning(
                "accounts: accounts without a key can send nothing",
                extra={"accounts": without},
            )

    @property
    def in_force(self) -> bool:
        """Whether the configuration names accounts."""
        return self._by_key is not None

    def identify(self, digest: str, public: bool) -> Identity | Rejected:
        """Return who a request counts as.

        ``digest`` is that of its key, empty without a usable one; ``public``
        says whether its route needs none. A known key counts there too.
        """
        if self._by_key is None:
            return Unidentified()
        account = self._by_key.get(digest) if digest else None
        if account is not None:
            return account
        return Anonymous() if public else Rejected()
