"""The rig's checks detect a part that is broken on purpose."""

import collections.abc
import dataclasses
import random
import typing

import pytest

from agatewing import calls
from agatewing.calls import _executor
from agatewing import control
from agatewing import membership
from agatewing import replica
from agatewing import soak

#: Number of soak episodes in which a broken part must be detected.
EPISODES = 30


@dataclasses.dataclass(frozen=True, slots=True)
class Sabotage:
    """A part that is broken on purpose."""

    #: Owner, attribute and replacement of each patched attribute.
    patches: tuple[tuple[typing.Any, str, typing.Any], ...]
    #: Text that the message of the expected violation contains.
    violation_text: str


def _always(value: object) -> collections.abc.Callable[..., object]:
    return lambda *args, **kwargs: value


def _fence_of_expired_lease(
    self: control.LeaseKeeper, lease: str
) -> int | None:
    held = self._held.get(lease)
    return held.fence if held else None


def _intend_last_wins(
    self: replica.CallsState, offset: int, who: str, record: replica.Intent
) -> None:
    self.calls[record.key] = replica.Call(
        record.attempt, who, record.digest, replica.CallPhase.CLAIMED, offset
    )


def _owns_every_key(self: replica.CallsState, key: str, attempt: str) -> bool:
    return True


def _claim_always(self: control.LeaseKeeper, name: str) -> bool:
    return True


def _accept_all(
    self: replica.ConfigState, record: replica.Publish
) -> replica.Decision:
    self.version += 1
    if record.document is not None:
        self.document = record.document
    return replica.Accepted(self.version)


def _lost_as_not_run(*args: object) -> typing.Any:
    refusal = _executor._log_unavailable()
    return refusal


SABOTAGES = {
    "a lease is used after its time": Sabotage(
        ((control.LeaseKeeper, "fence", _fence_of_expired_lease),), "together"
    ),
    "a lease is claimed before it lapsed": Sabotage(
        ((control.LeaseKeeper, "_should_claim", _claim_always),), "together"
    ),
    "orders overtake each other": Sabotage(
        (
            (replica.ControlState, "_refusal_reason", _always(None)),
            (control.OrderKeeper, "may_order", _always(True)),
            (control.OrderKeeper, "_may_still_arrive", _always(False)),
        ),
        "accepted ReceivedOrder(",
    ),
    "the last intent wins": Sabotage(
        ((replica.CallsState, "_apply_intent", _intend_last_wins),), "ran"
    ),
    "every attempt owns its key": Sabotage(
        ((replica.CallsState, "owns", _owns_every_key),), "ran"
    ),
    "not-run is said without proof": Sabotage(
        ((calls.CompletenessCheck, "is_complete", _always(True)),),
        "reported not-run",
    ),
    "a lost answer is called not-run": Sabotage(
        ((_executor, "_outcome_unknown", _lost_as_not_run),),
        "reported not-run",
    ),
    "a cut-off instance goes on": Sabotage(
        (
            (
                membership,
                "configuration_standing",
                _always(membership.Standing.CURRENT),
            ),
        ),
        "after it was drained",
    ),
    "every publish is accepted": Sabotage(
        ((replica.ConfigState, "_decide", _accept_all),), "runs ahead"
    ),
    "lost calls are never settled": Sabotage(
        ((calls.Reaper, "settle", _always(0)),), "keeps open calls"
    ),
}


@pytest.mark.parametrize("name", SABOTAGES)
def test_the_soak_finds_a_broken_part(
    name: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    sabotage = SABOTAGES[name]
    for owner, attribute, value in sabotage.patches:
        monkeypatch.setattr(owner, attribute, value)
    seeds = random.Random(name).sample(range(10_000), EPISODES)
    for seed in seeds:
        result = soak.run_episode(seed)
        if any(sabotage.violation_text in line for line in result.violations):
            return
    pytest.fail(f"not found in {EPISODES} episodes")
