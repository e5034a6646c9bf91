"""Fault soak of the real programs as processes on loopback."""

from agatewing.platform.soak._checks import Ledger
from agatewing.platform.soak._episode import Episode
from agatewing.platform.soak._episode import Verdict
