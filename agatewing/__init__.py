"""Serving system for a fixed fleet of model engines and services."""

from agatewing._clock import Clock
from agatewing._clock import ManualClock
from agatewing._clock import SystemClock
from agatewing._exceptions import AgatewingError
from agatewing._exceptions import Refusal
from agatewing._exceptions import RefusedError
from agatewing._types import Outcome
from agatewing._types import RefusalKind
from agatewing._types import Role
from agatewing._types import TargetState

__version__ = "0.1.0"
