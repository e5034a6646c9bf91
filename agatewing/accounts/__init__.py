"""Client accounts of the configuration, found by the keys of requests."""

from agatewing.accounts._accounts import Account
from agatewing.accounts._accounts import AccountTable
from agatewing.accounts._accounts import Anonymous
from agatewing.accounts._accounts import Identity
from agatewing.accounts._accounts import key_digest
from agatewing.accounts._accounts import Rejected
from agatewing.accounts._accounts import Unidentified
