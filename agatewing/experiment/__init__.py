"""Comparison of the decisions with baselines on simulated engines."""

from agatewing.experiment._policies import POLICIES
from agatewing.experiment._policies import Policy
from agatewing.experiment._scenarios import Deployment
from agatewing.experiment._scenarios import DEPLOYMENTS
from agatewing.experiment._scenarios import Scenario
from agatewing.experiment._scenarios import SCENARIOS
from agatewing.experiment._sim import Simulation
from agatewing.experiment._state import Outcome
