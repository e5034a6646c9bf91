"""Log lines about what an instance knows of its own links."""

import collections.abc
import logging

from agatewing import decisions

_log = logging.getLogger("agatewing.links")


class ReachLog:
    """Logs when a service is no longer reached, and when it is again."""

    __slots__ = ("unreached",)

    def __init__(self) -> None:
        #: Monotonic time since which no target was reached, in seconds, by
        #: service.
        self.unreached: dict[str, float] = {}

    def record(
        self,
        service: str,
        links: collections.abc.Sequence[decisions.LinkEvidence],
        peers: collections.abc.Iterable[str],
        now: float,
    ) -> bool:
        """Return whether that changed; ``now`` is monotonic, in seconds.

        ``links`` are those to the targets of the service, ``peers`` the names
        of peers that reach it.
        """
        since = decisions.unreached_since(links)
        before = self.unreached.pop(service, None)
        if since is not None:
            self.unreached[service] = since
        if since is not None and before is None:
            _log_unreached(service, links, peers, now, since)
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
    service: str,
    links: collections.abc.Sequence[decisions.LinkEvidence],
    peers: collections.abc.Iterable[str],
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
            "peers": ",".join(peers),
        },
    )


def log_verdict(
    service: str,
    before: decisions.LinkVerdict,
    verdict: decisions.LinkVerdict,
    targets: int,
    peers: collections.abc.Iterable[str],
    decided_s: float,
    lost_s: float,
) -> None:
    """Log the beginning and the end of lost paths to a service.

    ``targets`` is the number of its targets. ``decided_s`` is the time since
    the suspicion, ``lost_s`` that since paths were found lost.
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
                "peers": ",".join(peers),
                "decided_s": round(decided_s, 3),
            },
        )
    else:
        _log.info(
            "links: own paths restored",
            extra={"service": service, "after_s": round(lost_s, 3)},
        )
