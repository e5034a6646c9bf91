"""Which sends without an answer count as runs of a request."""

import types
import typing

import pytest

from agatewing import accounts
from agatewing.gateway import _account_use
from agatewing.gateway import _context
from agatewing.gateway import _messages

ACCOUNT = accounts.Account("acme")
OUTCOMES: dict[str, tuple[_messages.Outcome, bool, bool]] = {
    "lost after a run": (
        _messages.Unknown("reset", silent_s=0.05),
        False,
        True,
    ),
    "lost on a reused connection": (
        _messages.Unknown("reset", stale=True, silent_s=0.05),
        False,
        True,
    ),
    "the connection was closed while idle": (
        _messages.Unknown("reset", stale=True, silent_s=0.001),
        False,
        False,
    ),
    "an error of the target": (_messages.Unknown("status 500"), False, False),
    "counted by the peer that hands it on": (
        _messages.Unknown("reset", silent_s=0.05),
        True,
        False,
    ),
    "not run": (_messages.NotRun("status 503"), False, False),
    "not sent": (_messages.NotSent("refused"), False, False),
    "no answer in time": (
        _messages.TimedOut("late", silent_s=1.0),
        False,
        False,
    ),
}


# While engines lost 378 answers in a window of 5 s, 971 requests were counted
# of 1,365 that they had begun.
@pytest.mark.parametrize("name", OUTCOMES)
def test_a_run_whose_answer_is_lost_counts(name: str) -> None:
    outcome, handed_on, counts = OUTCOMES[name]
    use = _account_use.AccountUse()
    begun: list[accounts.Account | None] = []
    use.on_begun = begun.append
    ctx = types.SimpleNamespace(account_use=use)
    req = types.SimpleNamespace(handed_on=object() if handed_on else None)
    job = types.SimpleNamespace(req=req, account=ACCOUNT)
    _context.record_lost(
        typing.cast(_context.HandlerContext, ctx),
        typing.cast(_context.Job, job),
        outcome,
    )
    assert begun == ([ACCOUNT] if counts else [])
