"""Time to the first token of quiet callers while another one surges.

Guards against a tenfold surge of one caller delaying the others, which
admission and fair queueing are meant to prevent.
"""

import statistics

from agatewing import experiment
from agatewing.experiment import _scenarios

_MIX = {"question": 1.5, "draft": 0.5, "tag": 0.5, "history": 0.2}
#: Shares of the load of the three quiet callers and of the surging one.
_QUIET_SHARE, _SURGING_SHARE = 0.75, 0.25
#: Allowed relative rise of the quiet callers' time to the first token at
#: p95.
_ALLOWED_RISE = 0.10


def _quiet_first_p95_s(surge_factor: float) -> float:
    total_load = _QUIET_SHARE + _SURGING_SHARE * surge_factor
    # 0.6 is the load without a surge, relative to _MIX.
    rates = {kind: rate * total_load * 0.6 for kind, rate in _MIX.items()}
    phase = _scenarios.Phase(
        80.0,
        rates,
        first_caller_share=_SURGING_SHARE * surge_factor / total_load,
    )
    scenario = experiment.Scenario("surge by one", (phase,))
    first_p95_s = []
    for seed in (1, 2, 3):
        outcome = experiment.Simulation(
            scenario,
            experiment.DEPLOYMENTS["aldeias"],
            experiment.POLICIES["agatewing"],
            seed,
        ).run()
        by_caller = outcome.first_p95_by_caller
        first_p95_s += [by_caller[name] for name in ("b", "c", "d")]
    return statistics.fmean(first_p95_s)


def test_a_quiet_caller_hardly_notices_a_surge_of_another() -> None:
    calm = _quiet_first_p95_s(1.0)
    surging = _quiet_first_p95_s(10.0)
    assert surging <= calm * (1 + _ALLOWED_RISE)
