"""Verdicts about an instance's own paths to targets."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import decisions

Failure = decisions.LinkFailure
#: Time of the verdict, in seconds; events are named by the time before it.
NOW = 100.0
NEVER = decisions.LinkVerdict()


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What was seen of one target; ages in seconds before the verdict."""

    #: Attempts that failed.
    failed: tuple[tuple[float, Failure], ...] = ()
    #: Connections that were accepted.
    accepted: tuple[float, ...] = ()
    #: Bytes on connections that were open before.
    heard: tuple[float, ...] = ()
    #: Connection of a peer; ``None`` if no peer reaches it.
    peer: float | None = None


def hangs(*ages_s: float, **fields: object) -> Seen:
    return _failing(Failure.TIMED_OUT, ages_s, fields)


def refuses(*ages_s: float, **fields: object) -> Seen:
    return _failing(Failure.REFUSED, ages_s, fields)


def resets(*ages_s: float, **fields: object) -> Seen:
    return _failing(Failure.RESET, ages_s, fields)


def _failing(
    kind: Failure, ages_s: tuple[float, ...], fields: dict[str, object]
) -> Seen:
    failed = tuple((age_s, kind) for age_s in ages_s)
    return Seen(failed, **fields)  # type: ignore[arg-type]


def reached(age_s: float = 0.2, peer: float | None = 0.2) -> Seen:
    return Seen(accepted=(age_s,), peer=peer)


def judge(targets: dict[str, Seen]) -> decisions.LinkVerdict:
    links = {name: decisions.LinkEvidence() for name in targets}
    for name, seen in targets.items():
        events: list[tuple[float, str, Failure | None]] = [
            *((-age_s, "failed", kind) for age_s, kind in seen.failed),
            *((-age_s, "accepted", None) for age_s in seen.accepted),
            *((-age_s, "heard", None) for age_s in seen.heard),
        ]
        for at, event, kind in sorted(events, key=lambda e: e[0]):
            match event:
                case "failed":
                    assert kind is not None
                    links[name].record_failure(NOW + at, kind, NOW + at)
                case "accepted":
                    links[name].record_connected(NOW + at)
                    links[name].settle(NOW + at + decisions.HOLD_S)
                case "heard":
                    links[name].record_heard(NOW + at)
    peers = {
        name: [decisions.PeerConnection(NOW - seen.peer, NOW - seen.peer)]
        for name, seen in targets.items()
        if seen.peer is not None
    }
    return decisions.judge_links(links, peers, NOW)


def lost(*names: str) -> decisions.LinkVerdict:
    return decisions.LinkVerdict(frozenset(names), True)


def partly(*names: str) -> decisions.LinkVerdict:
    return decisions.LinkVerdict(frozenset(names), False)


VERDICTS = {
    "hangs": (
        {"a": hangs(0.5, 0.25, peer=0.2), "b": hangs(0.4, 0.15, peer=0.1)},
        lost("a", "b"),
    ),
    "resets": (
        {"a": resets(0.2, 0.1, peer=0.1), "b": refuses(0.1, 0.05, peer=0.1)},
        lost("a", "b"),
    ),
    "open connections live on": (
        {
            "a": refuses(0.4, 0.05, heard=(0.01,), peer=0.1),
            "b": refuses(0.3, 0.05, heard=(0.05,), peer=0.1),
        },
        lost("a", "b"),
    ),
    "a peer reaches only one of them": (
        {"a": hangs(0.5, 0.25, peer=0.2), "b": hangs(0.4, 0.2)},
        lost("a"),
    ),
    "others were not tried since": (
        {
            "a": hangs(0.5, 0.25, peer=0.2),
            "b": hangs(0.4, 0.15, peer=0.1),
            "c": reached(0.8),
            "d": Seen(),
        },
        lost("a", "b"),
    ),
    "one was reached before the second failed": (
        {
            "a": hangs(0.9, 0.25, peer=0.2),
            "b": hangs(0.4, 0.15, peer=0.1),
            "c": reached(0.6),
        },
        partly("a", "b"),
    ),
    "one that crashed long before": (
        {
            "a": refuses(9.0, 5.0, 1.0),
            "b": hangs(0.5, 0.25, peer=0.2),
            "c": hangs(0.4, 0.15, peer=0.1),
            "d": reached(1.5),
        },
        lost("b", "c"),
    ),
    "a cut that spares some": (
        {
            "a": hangs(0.5, 0.25, peer=0.2),
            "b": hangs(0.4, 0.15, peer=0.1),
            "c": reached(0.1),
        },
        partly("a", "b"),
    ),
    "the only target": ({"a": hangs(0.6, 0.3, peer=0.25)}, lost("a")),
    "the only target, once": ({"a": hangs(0.3, peer=0.2)}, NEVER),
    "one crashed target": (
        {"a": refuses(0.5, 0.1), "b": reached()},
        NEVER,
    ),
    "one target that hangs for all": (
        {"a": hangs(0.9, 0.5, 0.25), "b": reached()},
        NEVER,
    ),
    "nobody reaches any": (
        {"a": hangs(0.5, 0.25), "b": hangs(0.4, 0.2)},
        NEVER,
    ),
    "peers reached them only before": (
        {
            "a": hangs(0.5, 0.25, peer=0.6),
            "b": hangs(0.4, 0.2, peer=0.6),
        },
        NEVER,
    ),
    "a target that was back before the peer came": (
        {"a": refuses(2.0, 1.5, peer=0.2), "b": reached()},
        NEVER,
    ),
    "a peer reached them first when links healed for all": (
        {
            "a": refuses(0.9, 0.6, 0.3, peer=0.2),
            "b": refuses(0.8, 0.5, 0.25, peer=0.2),
        },
        NEVER,
    ),
    "a peer came just after links healed for all": (
        {
            "a": refuses(0.3, 0.12, 0.01, peer=0.0),
            "b": refuses(0.3, 0.12, 0.01, peer=0.0),
        },
        NEVER,
    ),
    "one lost SYN": (
        {"a": hangs(0.3, peer=0.2), "b": reached()},
        NEVER,
    ),
    "lost SYNs at all, each reached again": (
        {
            "a": hangs(0.9, accepted=(0.6,), peer=0.2),
            "b": hangs(0.8, accepted=(0.5,), peer=0.2),
        },
        NEVER,
    ),
    "an attempt from before the last connection": (
        {
            "a": hangs(0.9, 0.5, accepted=(0.1,), peer=0.2),
            "b": reached(),
        },
        NEVER,
    ),
    "a target without room for more connections": (
        {
            "a": resets(0.3, 0.2, 0.1, heard=(0.05,)),
            "b": reached(),
        },
        NEVER,
    ),
    "idle": ({"a": Seen(peer=0.1), "b": Seen()}, NEVER),
    "silent, but connections are accepted": (
        {"a": reached(0.2), "b": reached(0.3)},
        NEVER,
    ),
    "peers of the previous release": (
        {"a": refuses(0.5, 0.25), "b": refuses(0.4, 0.2)},
        NEVER,
    ),
    "no targets": ({}, NEVER),
}


@pytest.mark.parametrize("name", VERDICTS)
def test_verdicts(name: str) -> None:
    targets, verdict = VERDICTS[name]
    assert judge(targets) == verdict


# A target crashed: an idle connection from before was reset, the next attempt
# was refused, and peers named connections from just before the crash. It was
# taken for a lost path.
@pytest.mark.parametrize(
    ("peer", "is_lost"),
    [
        pytest.param((0.4, 0.4), False, id="between opening and reset"),
        pytest.param((0.4, 0.2), False, id="maybe before the reset"),
        pytest.param((0.25, 0.2), True, id="after the reset"),
        pytest.param((0.25, 0.05), False, id="maybe after the last attempt"),
    ],
)
def test_a_peer_has_to_come_between_two_failures(
    peer: tuple[float, float], is_lost: bool
) -> None:
    link = decisions.LinkEvidence()
    link.record_failure(NOW - 0.5, Failure.RESET, NOW - 0.3)
    link.record_failure(NOW - 0.1, Failure.REFUSED, NOW - 0.1)
    earliest_age_s, latest_age_s = peer
    connection = decisions.PeerConnection(
        NOW - earliest_age_s, NOW - latest_age_s
    )
    verdict = decisions.judge_links({"a": link}, {"a": [connection]}, NOW)
    assert verdict.all_lost == is_lost


# What refuses connections on the way may accept them first, and a reset then
# counted as a path that works.
@pytest.mark.parametrize(
    ("reset_after_s", "failures"),
    [(0.0, 1), (decisions.HOLD_S / 2, 1), (2 * decisions.HOLD_S, 0)],
)
def test_a_connection_that_is_reset_at_once_proves_nothing(
    reset_after_s: float, failures: int
) -> None:
    link = decisions.LinkEvidence()
    link.record_connected(NOW)
    reset_at = NOW + reset_after_s
    link.record_failure(NOW - 0.001, Failure.RESET, reset_at)
    link.settle(NOW + 1.0)
    assert link.failures == failures
    assert (link.accepted_at == NOW) == (not failures)


# The first bytes on a connection that was opened before a cut counted as a
# connection that was opened during it.
def test_first_bytes_prove_only_that_their_connection_was_opened() -> None:
    link = decisions.LinkEvidence()
    link.record_connected(NOW)
    link.record_failure(NOW + 0.1, Failure.REFUSED, NOW + 0.1)
    link.record_heard(NOW + 0.2, NOW)
    assert link.accepted_at == NOW
    assert link.failures == 1


AGES_S = strategies.floats(min_value=0.0, max_value=6.0)
SEEN = strategies.builds(
    Seen,
    failed=strategies.lists(
        strategies.tuples(AGES_S, strategies.sampled_from(Failure)),
        max_size=4,
    ).map(tuple),
    accepted=strategies.lists(AGES_S, max_size=2).map(tuple),
    heard=strategies.lists(AGES_S, max_size=2).map(tuple),
    peer=strategies.none() | AGES_S,
)
TARGETS = strategies.dictionaries(
    strategies.sampled_from("abcdef"), SEEN, max_size=6
)


@hypothesis.given(targets=TARGETS)
def test_only_targets_that_peers_reach_are_lost(
    targets: dict[str, Seen],
) -> None:
    verdict = judge(targets)
    assert all(targets[name].peer is not None for name in verdict.lost)
    assert not verdict.all_lost or verdict.lost
    without = {
        name: dataclasses.replace(seen, peer=None)
        for name, seen in targets.items()
    }
    assert judge(without) == NEVER


@hypothesis.given(targets=TARGETS, name=strategies.sampled_from("abcdef"))
def test_a_connection_ends_a_verdict(
    targets: dict[str, Seen], name: str
) -> None:
    seen = targets.get(name, Seen())
    targets[name] = dataclasses.replace(seen, accepted=(*seen.accepted, 0.0))
    verdict = judge(targets)
    assert name not in verdict.lost
    assert not verdict.all_lost


@hypothesis.given(targets=TARGETS)
def test_failures_end_without_further_attempts(
    targets: dict[str, Seen],
) -> None:
    aged = {
        name: dataclasses.replace(
            seen,
            failed=tuple((age_s + 6.0, kind) for age_s, kind in seen.failed),
            accepted=tuple(age_s + 6.0 for age_s in seen.accepted),
        )
        for name, seen in targets.items()
    }
    fresh = all(
        seen.peer is None or seen.peer <= 4.0 for seen in targets.values()
    )
    if fresh:
        assert judge(aged) == NEVER
