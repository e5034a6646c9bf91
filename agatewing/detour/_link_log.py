"""Log lines about what an instance knows of its own links."""

import collections.abc
import logging

from agatewing import decisions

_log = logging.getLogger("agatewing.links")


class LinkLog:
    """Logs when services or paths are lost, and when they are back."""

    __slots__ = ("_reaching", "unreached")

    def __init__(
        self, reaching: collections.abc.Callable[[str], list[str]]
    ) -> None:
        # Returns the names of the peers that reach a service.
        self._reaching = reaching
        #: Monotonic time since which no target was reached, in seconds, by
        #: service.
        self.unreached: dict[str, float] = {}

    def record_reach(
        self,
        service: str,
        links: collections.abc.Sequence[decisions.LinkEvidence],
        now: float,
    ) -> bool:
        """Return whether it has changed that a service is reached.

        ``links`` are those to its targets; ``now`` is monotonic, in seconds.
        """
        since = decisions.unreached_since(links)
        before = self.unreached.pop(service, None)
        if since is not None:
            self.unreached[service] = since
        if since is not None and before is None:
            self._log_unreached(service, links, now, since)
            return True
        if since is None and before is not None:
            _log.info(
                "links: targets reached again",
                extra={
                    "service": service,
                    "after_s": round(now - before, 3),
                },
            )
            return True
        return False

    def _log_unreached(
        self,
        service: str,
        links: collections.abc.Sequence[decisions.LinkEvidence],
        now: float,
        since: float,
    ) -> None:
        kinds = {kind for link in links for kind in link.kinds}
        heard_at = max(link.heard_at for link in links)
        _log.warning(
            "links: targets not reached",
            extra={
                "service": service,
                "targets": len(links),
                "failing": sum(link.failures > 0 for link in links),
                "since_s": round(now - since, 3),
                "picture": ",".join(sorted(kinds)),
                "heard_s": round(min(now - heard_at, 1e9), 3),
                "peers": ",".join(self._reaching(service)),
            },
        )

    def record_verdict(
        self,
        service: str,
        before: decisions.LinkVerdict,
        verdict: decisions.LinkVerdict,
        targets: int,
        decided_s: float,
        lost_s: float,
    ) -> None:
        """Log the beginning and the end of lost paths to a service.

        ``targets`` is the number of its targets. ``decided_s`` is the time
        since the suspicion, ``lost_s`` that since paths were found lost, both
        in seconds.
        """
        if verdict.all_lost == before.all_lost and (
            bool(verdict.lost) == bool(before.lost)
        ):
            return
        if verdict.lost:
            _log.warning(
                "links: own paths lost",
                extra={
                    "service": service,
                    "lost": targets if verdict.all_lost else len(verdict.lost),
                    "targets": targets,
                    "peers": ",".join(self._reaching(service)),
                    "decided_s": round(decided_s, 3),
                },
            )
        else:
            _log.info(
                "links: own paths restored",
                extra={"service": service, "after_s": round(lost_s, 3)},
            )
