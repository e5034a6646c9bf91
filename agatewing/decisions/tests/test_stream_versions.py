"""Memory of which software version began which streams."""

import math

import pytest

from agatewing import decisions
from agatewing.decisions import _stream_versions

KEEP_S = _stream_versions.KEEP_S
S1 = decisions.StreamOrigin("s1", "chat", "v1")


@pytest.mark.parametrize(
    ("age_s", "found"), [(0.0, S1), (KEEP_S - 1, S1), (KEEP_S, None)]
)
def test_an_origin_is_remembered_for_a_while(
    age_s: float, found: decisions.StreamOrigin | None
) -> None:
    origins = decisions.StreamOrigins()
    origins.record(S1, 100.0)
    # A late report of the same stream does not replace the origin.
    origins.record(decisions.StreamOrigin("s1", "chat", "v2"), 100.0)
    assert origins.find("s1", 100.0 + age_s) == found
    assert origins.find("other", 100.0 + age_s) is None


def test_the_memory_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(_stream_versions, "MAX_STREAMS", 3)
    origins = decisions.StreamOrigins()
    for number in range(5):
        origin = decisions.StreamOrigin(f"s{number}", "chat", "v1")
        origins.record(origin, float(number))
    assert [o.attempt for o in origins.recent(5.0)] == ["s2", "s3", "s4"]


@pytest.mark.parametrize(
    ("observed", "at", "only"),
    [
        # Nothing is known before the first engine, or soon after it.
        ([], 200.0, None),
        ([(0.0, set())], 200.0, None),
        ([(0.0, {"v1"})], KEEP_S - 1, None),
        ([(0.0, {"v1"})], KEEP_S, "v1"),
        # Several versions at once.
        ([(0.0, {"v1"}), (50.0, {"v1", "v2"})], 90.0, None),
        # Streams of a version that left may still be taken up.
        ([(0.0, {"v1"}), (50.0, {"v2"})], 51.0, None),
        ([(0.0, {"v1"}), (50.0, {"v2"})], 50.0 + KEEP_S, "v2"),
        # A version that came back.
        (
            [(0.0, {"v1"}), (50.0, {"v2"}), (60.0, {"v1"})],
            50.0 + KEEP_S,
            None,
        ),
        # No engine for a moment.
        ([(0.0, {"v1"}), (50.0, set()), (52.0, {"v1"})], 90.0, "v1"),
    ],
)
def test_a_version_is_the_only_one_after_a_while(
    observed: list[tuple[float, set[str]]], at: float, only: str | None
) -> None:
    history = decisions.VersionHistory()
    for when, versions in observed:
        history.observe(versions, when)
    # Nothing was missed since the first observation.
    since = min((when for when, _ in observed), default=math.inf)
    assert decisions.proved_version([history.view(at, since)]) == only
