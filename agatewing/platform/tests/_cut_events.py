"""What else happens while instances have lost their links to targets."""

import enum
import math
import time

import gevent

from agatewing import gateway
from agatewing.platform import standins
from agatewing.platform.tests import _link_checks

#: Length of a silence of targets, in seconds.
SILENCE_S = 1.0
#: Time between two cuts of a series, in seconds.
WHOLE_S = 0.5
#: Time limits of the routes after a change, in milliseconds.
OTHER_TIMEOUT_MS = 2_800


class Event(enum.StrEnum):
    """Something that happens once."""

    CONFIGURATION = "the configuration changes"
    PEER_KILLED = "a peer is killed"
    PEER_STOPPED = "a peer is stopped"
    PEER_CUT = "a peer is cut too"
    SILENCE = "all targets of a zone fall silent"
    NEXT_CUT = "the links are back for a moment"


class Events:
    """Cuts links and lets events happen; records what they concern."""

    def __init__(
        self,
        site: standins.LinkedSite,
        instances: dict[str, gateway.GatewayInstance],
        cut: list[str],
        lost: list[str],
    ) -> None:
        self._site = site
        self._instances = instances
        # Names of the instances that are cut, and of the targets that these
        # do not reach.
        self._cut = cut
        self._lost = lost
        self._peers = iter([name for name in instances if name not in cut])
        self._also_cut: list[str] = []
        self._picture = standins.Picture.HANG
        some_reach = len(cut) < len(instances)
        self.history = _link_checks.History(
            frozenset(cut), math.inf, some_reach=some_reach, lasts=some_reach
        )

    def cut(self, picture: standins.Picture) -> None:
        """Begin the cut."""
        self.history.cut_at = time.monotonic()
        self._cut_links(self._cut, picture, self._lost)

    def heal(self) -> None:
        """End all cuts."""
        self._site.heal([*self._cut, *self._also_cut])
        self.history.healed_at = time.monotonic()

    def happen(self, event: Event) -> None:
        """Let an event happen."""
        match event:
            case Event.CONFIGURATION:
                for rule in self._site.routes:
                    rule["timeout_ms"] = OTHER_TIMEOUT_MS
                self._site.route("/new/", "safe", "ledger")
                self._site.publish()
            case Event.SILENCE:
                for name, target in self._site.targets.items():
                    if name.startswith("z1"):
                        target.voice.fall_silent(SILENCE_S)
            case Event.NEXT_CUT:
                self.history.lasts = False
                self._site.heal(self._cut)
                gevent.sleep(WHOLE_S)
                self._cut_links(self._cut, self._next_picture(), self._lost)
            case _:
                self._concern_peer(event, next(self._peers))

    def _concern_peer(self, event: Event, name: str) -> None:
        now = time.monotonic()
        self.history.left_out[name] = now
        match event:
            case Event.PEER_KILLED:
                self.history.killed.add(name)
                self.history.breaks.append(
                    _link_checks.Break(now, frozenset((name,)))
                )
                self._site.kill(self._instances[name])
            case Event.PEER_STOPPED:
                gevent.spawn(self._instances[name].stop)
            case Event.PEER_CUT:
                self._also_cut.append(name)
                self._cut_links([name], self._next_picture(), None)

    def _cut_links(
        self,
        instances: list[str],
        picture: standins.Picture,
        targets: list[str] | None,
    ) -> None:
        self._picture = picture
        self._site.cut(instances, picture, targets)
        if picture is not standins.Picture.LIVE_ON:
            self.history.breaks.append(
                _link_checks.Break(time.monotonic(), frozenset(instances))
            )

    def _next_picture(self) -> standins.Picture:
        """Return another picture than that of the last cut."""
        pictures = list(standins.Picture)
        return pictures[(pictures.index(self._picture) + 1) % len(pictures)]
