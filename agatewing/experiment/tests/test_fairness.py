"""A quiet caller's first token while another caller surges tenfold."""

import statistics

from agatewing import experiment
from agatewing.experiment import _scenarios

_MIX = {"question": 1.5, "draft": 0.5, "tag": 0.5, "history": 0.2}
#: Share of the load that the quiet callers ask for, and the surging one.
_QUIET, _OTHER = 0.75, 0.25
#: Allowed rise of a quiet caller's first token at p95.
_ALLOWED_RISE = 0.10


def _quiet_first_p95_s(surge: float) -> float:
    total = _QUIET + _OTHER * surge
    rates = {kind: rate * total * 0.6 for kind, rate in _MIX.items()}
    phase = _scenarios.Phase(80.0, rates, surge_share=_OTHER * surge / total)
    scenario = experiment.Scenario("surge by one", (phase,))
    found = []
    for seed in (1, 2, 3):
        outcome = experiment.Simulation(
            scenario,
            experiment.DEPLOYMENTS["aldeias"],
            experiment.POLICIES["agatewing"],
            seed,
        ).run()
        by_caller = outcome.first_p95_by_caller
        found += [by_caller[name] for name in ("b", "c", "d")]
    return statistics.fmean(found)


def test_a_quiet_caller_hardly_notices_a_surge_of_another() -> None:
    calm = _quiet_first_p95_s(1.0)
    surging = _quiet_first_p95_s(10.0)
    assert surging <= calm * (1 + _ALLOWED_RISE)
