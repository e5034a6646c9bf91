"""Silences of a stand-in: it neither reads nor writes, and then goes on."""

import dataclasses
import enum
import time

import gevent


class Place(enum.StrEnum):
    """Step of a request before which an engine falls silent."""

    #: The answer to a separate prefill.
    PREFILL = "prefill"
    #: The head of an answer.
    HEAD = "head"
    #: The first event of a stream, whose head has been sent.
    FIRST_EVENT = "first-event"
    #: A later event.
    EVENT = "event"


@dataclasses.dataclass(slots=True)
class Silence:
    """A silence that begins when a request reaches a place at an engine."""

    #: Place at which it begins.
    place: Place
    #: Length, in seconds.
    length_s: float
    #: Engines that fall silent; none for that which was reached.
    voices: list["Voice"] = dataclasses.field(default_factory=list)
    #: Whether it has begun; it does so once.
    begun: bool = False


class Voice:
    """Whether an engine is silent, while its connections stay open."""

    __slots__ = ("planned", "_silent_until")

    def __init__(self) -> None:
        #: Planned silence; several engines may share one.
        self.planned: Silence | None = None
        # Monotonic time of the end of the silence, in seconds.
        self._silent_until = 0.0

    def fall_silent(self, length_s: float) -> None:
        """Begin a silence; its length is in seconds."""
        self._silent_until = time.monotonic() + length_s

    def reach(self, place: Place) -> None:
        """Begin the silence that is planned for a place, if any."""
        silence = self.planned
        if silence is None or silence.begun or silence.place is not place:
            return
        silence.begun = True
        for voice in silence.voices or [self]:
            voice.fall_silent(silence.length_s)

    @property
    def silence_left_s(self) -> float:
        """Time until the end of the silence, in seconds; 0 without one."""
        return max(0.0, self._silent_until - time.monotonic())

    def wait(self) -> None:
        """Wait until the end of the silence."""
        while (left_s := self.silence_left_s) > 0:
            gevent.sleep(left_s)
