"""A window is never reported with two different counts."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from agatewing import duties
from agatewing.duties.tests import _fakes

ZONES = {"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b"}
names = strategies.sampled_from(sorted(ZONES))
ANSWERS = (
    (duties.Accepted(), True),
    (duties.NoAnswer("lost"), True),
    (duties.NoAnswer("away"), False),
    (duties.Busy(), False),
)


class Reporters(stateful.RuleBasedStateMachine):
    """Instances that count and report while all kinds of things fail."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = _fakes.Fleet(ZONES)

    @stateful.rule(name=names)
    def count(self, name: str) -> None:
        if name in self.fleet.instances:
            self.fleet.instances[name].reports.begin("x")

    @stateful.rule(name=names)
    def restart(self, name: str) -> None:
        self.fleet.start(name)

    @stateful.rule(name=names)
    def kill(self, name: str) -> None:
        if len(self.fleet.instances) > 1:
            self.fleet.instances.pop(name, None)

    @stateful.rule(name=names)
    def freeze_or_wake(self, name: str) -> None:
        if name in self.fleet.instances:
            instance = self.fleet.instances[name]
            instance.acts = not instance.acts

    @stateful.rule(name=names)
    def cut_or_heal(self, name: str) -> None:
        self.fleet.cut ^= {name}

    @stateful.rule(
        field=strategies.sampled_from(("down", "lose_answer", "late"))
    )
    def break_or_mend_log(self, field: str) -> None:
        setattr(self.fleet.log, field, not getattr(self.fleet.log, field))
        self.fleet.log.apply_delayed()

    @stateful.rule(answer=strategies.sampled_from(ANSWERS))
    def answer(self, answer: tuple[duties.CallResult, bool]) -> None:
        self.fleet.port.answer, self.fleet.port.takes = answer

    @stateful.rule(seconds=strategies.sampled_from((0.0, 0.9, 1.2, 7.0)))
    def stall_before_sends(self, seconds: float) -> None:
        self.fleet.port.before = lambda: self.fleet.clock.advance(seconds)

    @stateful.rule(lost=strategies.integers(0, 2))
    def restore_log(self, lost: int) -> None:
        self.fleet.log.era = self.fleet.log.era or 1
        self.fleet.log.restore(lost)

    @stateful.rule(seconds=strategies.sampled_from((0.5, 2.0, 5.0, 9.0)))
    def wait(self, seconds: float) -> None:
        self.fleet.advance(seconds)

    @stateful.invariant()
    def one_report_for_each_window(self) -> None:
        self.fleet.reported()

    @stateful.invariant()
    def holders_take_turns(self) -> None:
        sent = self.fleet.port.sent
        for before, after in zip(sent, sent[1:], strict=False):
            assert after.token >= before.token
            if before.holder != after.holder:
                assert after.token > before.token
                assert after.at - before.at >= _fakes.GAP_S


TestReporters = Reporters.TestCase
TestReporters.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
