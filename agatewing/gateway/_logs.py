"""Structured logging with a bounded rate that never blocks the loop."""

import logging
import os
import sys

from pythonjsonlogger import json as json_logger

from agatewing import _clock

#: Average rate of log lines of a process, in lines per second, and the
#: largest burst. A process serves about 65 requests a second at the planned
#: size (110,000 over 1,700 nodes), each of which writes one or two lines.
LINES_PER_S = 100.0
BURST_LINES = 200.0


class RateLimitFilter(logging.Filter):
    """Limits the rate of lines by a token bucket; warnings always pass."""

    def __init__(self, clock: _clock.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._tokens = BURST_LINES
        self._refilled_at = clock.monotonic()
        #: Number of lines over the rate, which were not written.
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return False
        self._tokens = max(0.0, self._tokens - 1)
        return True


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor without blocking; drops them if full."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        #: Number of lines dropped because the reader was too slow.
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        line = self.format(record) + "\n"
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            self.dropped += 1


class LoggingSetup:
    """Configures the logging of a process."""

    __slots__ = ("_filter", "_handler")

    def __init__(self, clock: _clock.Clock, instance: str, level: str) -> None:
        self._filter = RateLimitFilter(clock)
        self._handler = NonBlockingHandler(sys.stdout.fileno())
        self._handler.addFilter(self._filter)
        self._handler.setFormatter(
            json_logger.JsonFormatter(
                "%(created)f %(levelname)s %(name)s %(message)s",
                rename_fields={
                    "created": "at",
                    "levelname": "level",
                    "name": "part",
                },
                static_fields={"instance": instance},
            )
        )
        logging.basicConfig(level=level, handlers=[self._handler], force=True)

    @property
    def dropped(self) -> int:
        """Number of lines that were not written."""
        return self._filter.dropped + self._handler.dropped
