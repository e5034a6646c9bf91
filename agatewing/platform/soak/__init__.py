"""Soak test with injected faults: instances as processes on loopback."""

from agatewing.platform.soak._checks import CallerRecords
from agatewing.platform.soak._episode import Episode
from agatewing.platform.soak._episode import Verdict
