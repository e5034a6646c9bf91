"""The era of the log, which rises when the log is restored from a copy."""

import logging

import gevent.event

_log = logging.getLogger("agatewing.era")

#: Era of a log that was never restored.
FIRST_ERA = 1


class LogEra:
    """The newest era of the log that this instance knows of.

    All that calls the log, and the exchange with peers, report the eras that
    they see. Answers of an older era may still arrive, on other connections.
    """

    __slots__ = ("current", "rises", "risen")

    def __init__(self) -> None:
        #: Newest era; ``None`` before the log named one.
        self.current: int | None = None
        #: Number of times that it rose.
        self.rises = 0
        #: Set when it rises, then replaced by a new event.
        self.risen = gevent.event.Event()

    def observe(self, era: int | None) -> bool:
        """Record an era that was seen; return whether it is the newest.

        ``None``, of an answer that names none, changes nothing.
        """
        if era is None or era == self.current:
            return True
        if self.current is None:
            self.current = era
            return True
        if era < self.current:
            return False
        _log.warning(
            "era: the log was restored from an older copy",
            extra={"era": era, "before": self.current},
        )
        self.current = era
        self.rises += 1
        risen, self.risen = self.risen, gevent.event.Event()
        risen.set()
        return True
