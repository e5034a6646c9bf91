"""Streams that have begun, while no instance reaches a target for a while."""

import collections.abc

import gevent
import pytest

from agatewing.platform import standins
from agatewing.platform.tests import _every_route

Picture = standins.Picture
EVENTS = b"".join(f"id: {n}\ndata: token {n}\n\n".encode() for n in (1, 2, 3))
NAMES = ("i1", "i2")


@pytest.fixture
def site() -> collections.abc.Iterator[standins.LinkedSite]:
    with standins.LinkedSite() as made:
        _every_route.publish(made)
        yield made


def cut_inside_a_stream(
    site: standins.LinkedSite,
    path: str,
    names: tuple[str, ...],
    picture: Picture,
    heals: tuple[str, ...],
) -> standins.Reply:
    """Return the answer to a stream whose instances are all cut within it.

    Those of ``heals`` reach the targets again after 1.2 s.
    """
    first, *_ = _every_route.start_ready(site, *names)
    engines = [site.targets[name] for name in ("e1", "e2")]
    for engine in engines:
        engine.pause_s = 0.2
    asking = gevent.spawn(
        site.ask, first, path, "a1", _every_route.PROMPT_HEADERS
    )
    site.wait(lambda: any(engine.begun_at for engine in engines))
    gevent.sleep(0.1)
    site.cut(names, picture)
    gevent.sleep(1.2)
    site.heal(heals)
    reply = asking.get(timeout=8.0)
    assert isinstance(reply, standins.Reply)
    return reply


# A stream was cut off at once if its instance reached no target and no peer
# took it, though its caller waits for two seconds and the cut ended sooner.
@pytest.mark.parametrize(
    ("names", "heals", "picture"),
    [
        (("i1",), ("i1",), Picture.RESET),
        (("i1",), ("i1",), Picture.HANG),
        (NAMES, NAMES, Picture.RESET),
        (NAMES, NAMES, Picture.HANG),
        (NAMES, ("i1",), Picture.RESET),
        (NAMES, ("i1",), Picture.HANG),
        # Connections that hang are known too late for a peer to serve it.
        (NAMES, ("i2",), Picture.RESET),
    ],
)
def test_a_stream_is_kept_until_targets_are_reached_again(
    site: standins.LinkedSite,
    names: tuple[str, ...],
    heals: tuple[str, ...],
    picture: Picture,
) -> None:
    reply = cut_inside_a_stream(site, "/talk/x", names, picture, heals)
    assert (reply.status, reply.complete) == (200, True)
    assert reply.body == EVENTS


def test_a_stream_that_may_run_once_is_cut_off(
    site: standins.LinkedSite,
) -> None:
    reply = cut_inside_a_stream(
        site, "/chat/x", ("i1",), Picture.RESET, ("i1",)
    )
    assert not reply.complete
    assert len(site.targets["e1"].runs + site.targets["e2"].runs) == 1


# A stream that is never served again ends, when its caller would leave it.
def test_a_kept_stream_ends_with_the_patience_of_its_caller(
    site: standins.LinkedSite,
) -> None:
    reply = cut_inside_a_stream(site, "/talk/x", ("i1",), Picture.RESET, ())
    assert (reply.status, reply.complete) == (200, False)
    assert EVENTS.startswith(reply.body)
