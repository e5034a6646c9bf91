"""The outcome that a refusal names after a request was sent."""

import typing

import pytest

from agatewing import _exceptions
from agatewing import _types
from agatewing import decisions
from agatewing.entry.tests import test_crashing_prompts
from agatewing.entry.tests import test_silent_targets
from agatewing import net

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


class DefectiveClient:
    """A client that fails in a way nothing expects, after the call."""

    def __init__(self, client: net.HttpClient) -> None:
        self._client = client
        self.statuses: list[int] = []

    def call(self, *args: typing.Any) -> typing.NoReturn:
        self.statuses.append(self._client.call(*args).status)
        raise RuntimeError("a defect")


# A call whose answer met with a defect of the instance was refused as not-run.
def test_a_call_that_ran_is_not_refused_as_not_run_after_a_defect() -> None:
    deployment = test_silent_targets.Deployment(1, 1, call_s=0.01)
    try:
        (instance,) = deployment.instances
        target = instance.fleet.pick_target("reports", frozenset(), "z")
        assert target is not None
        client = DefectiveClient(target.client)
        target.client = typing.cast(net.HttpClient, client)
        wrong = deployment.ask("safe", 0)
        assert client.statuses == [200]
        assert '"unknown"' in wrong
        assert target.in_flight == 0
        target.client = client._client
        assert not deployment.ask("safe", 1)
    finally:
        deployment.close()
