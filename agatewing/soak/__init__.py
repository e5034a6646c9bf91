"""Long randomised test runs of real instances with injected faults."""

from agatewing.soak._episode import Episode
from agatewing.soak._episode import EpisodeResult
from agatewing.soak._episode import run_episode
