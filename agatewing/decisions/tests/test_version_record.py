"""What proves the software version of a stream, and what is recorded of it."""

import math

import pytest

from agatewing import decisions
from agatewing.decisions import _stream_versions

KEEP_S = _stream_versions.KEEP_S


def view(versions: str, complete: bool) -> decisions.VersionView:
    return decisions.VersionView(frozenset(versions.split()), complete)


def record(era: int, **services: str) -> decisions.VersionRecord:
    return decisions.VersionRecord(
        {name: frozenset(v.split()) for name, v in services.items()}, era
    )


# All instances saw one version, but their views were younger than the stream.
@pytest.mark.parametrize(
    ("views", "proved"),
    [
        ([], None),
        ([view("v2", False)], None),
        ([view("v2", False)] * 9, None),
        ([view("v2", True)], "v2"),
        ([view("v2", False), view("v2", True)], "v2"),
        # An instance may know of versions that another has missed.
        ([view("v1", False), view("v2", True)], None),
        ([view("v1 v2", True)], None),
        ([view("", True)], None),
        ([view("", False), view("v1", True)], "v1"),
    ],
)
def test_views_of_the_present_prove_no_version(
    views: list[decisions.VersionView], proved: str | None
) -> None:
    assert decisions.proved_version(views) == proved


@pytest.mark.parametrize(
    ("recorded", "complete", "present", "after_s", "only"),
    [
        # The record names all; what is present may have come since.
        ({"v1"}, True, {"v1"}, 0.0, "v1"),
        ({"v1"}, True, {"v2"}, 0.0, None),
        ({"v1"}, True, {"v1", "v2"}, 0.0, None),
        ({"v1", "v2"}, True, {"v2"}, 0.0, None),
        # A recorded version counts until its streams are forgotten.
        ({"v1"}, True, {"v2"}, KEEP_S - 1, None),
        ({"v1"}, True, {"v2"}, KEEP_S, "v2"),
        # The first start of all instances.
        (set(), True, {"v1"}, 0.0, "v1"),
        # No record, or one that may lack versions, says nothing of the past.
        (set(), False, {"v1"}, KEEP_S - 1, None),
        (set(), False, {"v1"}, KEEP_S, "v1"),
        ({"v1"}, False, {"v1"}, 0.0, None),
        ({"v2"}, False, {"v1"}, KEEP_S - 1, None),
    ],
)
def test_a_record_tells_of_the_time_before_the_start(
    recorded: set[str],
    complete: bool,
    present: set[str],
    after_s: float,
    only: str | None,
) -> None:
    seen = dict.fromkeys(recorded, 100.0)
    for recorded_first in (True, False):
        history = decisions.VersionHistory()
        coverage = decisions.LogCoverage()
        coverage.advance(decisions.LogStretch(1, 7, 7, 100.0))
        if recorded_first:
            history.remember(seen)
        history.observe(present, 100.0)
        if not recorded_first:
            history.remember(seen)
        if complete:
            coverage.vouch(decisions.LogStretch(1, 7, 7, -math.inf))
        view = history.view(100.0 + after_s, coverage.since)
        assert decisions.proved_version([view]) == only


def test_a_service_without_engines_until_now_has_no_earlier_streams() -> None:
    history = decisions.VersionHistory()
    history.observe(set(), 0.0)
    history.observe({"v1"}, 100.0)
    assert decisions.proved_version([history.view(100.0, 0.0)]) == "v1"


@pytest.mark.parametrize(
    ("views", "expected"),
    [
        ({}, None),
        ({"chat": view("v1", True)}, record(3, chat="v1")),
        ({"chat": view("v1 v2", True)}, record(3, chat="v1 v2")),
        (
            {"chat": view("v1", True), "plain": view("", True)},
            record(3, chat="v1"),
        ),
        # A record has to name all versions.
        ({"chat": view("v1", False)}, None),
        ({"chat": view("v1", True), "code": view("v1", False)}, None),
    ],
)
def test_only_complete_views_are_recorded(
    views: dict[str, decisions.VersionView],
    expected: decisions.VersionRecord | None,
) -> None:
    assert decisions.version_record(views, 3, 9) == expected


@pytest.mark.parametrize(
    ("recorded", "before", "unknown"),
    [
        (None, None, {}),
        (None, record(1, chat="v1"), {}),
        (record(1, chat="v1"), None, {"chat": {"v1"}}),
        (record(1, chat="v1"), record(1, chat="v1"), {"chat": set()}),
        # Another instance saw a version first.
        (record(1, chat="v1 v2"), record(1, chat="v1"), {"chat": {"v2"}}),
        # One that was recorded before may have left since.
        (record(1, chat="v1"), record(1, chat="v1 v2"), {"chat": set()}),
    ],
)
def test_versions_that_another_instance_recorded_are_found(
    recorded: decisions.VersionRecord | None,
    before: decisions.VersionRecord | None,
    unknown: dict[str, set[str]],
) -> None:
    assert decisions.unknown_versions(recorded, before) == unknown
