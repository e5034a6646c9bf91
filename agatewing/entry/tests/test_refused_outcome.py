"""The outcome that a refusal names after a request was sent."""

import typing

import pytest

from agatewing import _exceptions
from agatewing import _types
from agatewing import decisions
from agatewing.entry.tests import test_crashing_prompts

FAILURES = {
    "broken off": (
        _exceptions.TargetSilentError("engine", "reset"),
        _types.Outcome.UNKNOWN,
    ),
    "never connected": (
        _exceptions.ConnectRefusedError("engine", "is gone"),
        _types.Outcome.NOT_RUN,
    ),
}


# A request that was sent to engines, each of which broke off before its head,
# was refused with the outcome not-run.
@pytest.mark.parametrize("name", FAILURES)
def test_a_sent_request_is_not_refused_as_not_run(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    failure, outcome = FAILURES[name]

    def fail(*args: typing.Any) -> typing.NoReturn:
        raise failure

    monkeypatch.setattr(test_crashing_prompts.Client, "open", fail)
    interface = test_crashing_prompts.Interface()
    relay = interface.relay(0, "prompt")
    with pytest.raises(_exceptions.RefusedError) as refused:
        relay.start(decisions.Single("e0", 0.0))
    assert refused.value.refusal.outcome is outcome
