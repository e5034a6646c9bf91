"""Structured log lines, bounded in rate, that never block the loop."""

import logging
import os
import sys

from pythonjsonlogger import json as json_logger

from agatewing import _clock

#: Lines a second that a process writes on the average, and at once. A node
#: serves about 65 requests a second at the plan's size (110,000 over 1,700
#: nodes), of which each writes one or two lines.
LINES_PER_S = 100.0
BURST_LINES = 200.0


class BoundedFilter(logging.Filter):
    """Lets lines pass at a bounded rate; warnings always pass."""

    def __init__(self, clock: _clock.Clock) -> None:
        super().__init__()
        self._clock = clock
        self._left = BURST_LINES
        self._at = clock.monotonic()
        #: Lines that were not written.
        self.dropped = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line is written."""
        now = self._clock.monotonic()
        earned = (now - self._at) * LINES_PER_S
        self._left = min(BURST_LINES, self._left + earned)
        self._at = now
        if self._left < 1 and record.levelno < logging.WARNING:
            self.dropped += 1
            return False
        self._left = max(0.0, self._left - 1)
        return True


class OutputHandler(logging.Handler):
    """Writes whole lines to a descriptor, or drops them if it is full."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        #: Lines that the reader was too slow for.
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        line = self.format(record) + "\n"
        try:
            os.write(self._descriptor, line.encode())
        except OSError:
            self.dropped += 1


class Logs:
    """The set-up of a process's log."""

    __slots__ = ("_filter", "_handler")

    def __init__(self, clock: _clock.Clock, instance: str, level: str) -> None:
        self._filter = BoundedFilter(clock)
        self._handler = OutputHandler(sys.stdout.fileno())
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
        """Lines that were not written."""
        return self._filter.dropped + self._handler.dropped
