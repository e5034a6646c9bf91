"""Idempotency keys are accepted only as recent UUIDs of version 7."""

import uuid

import hypothesis
from hypothesis import strategies
import pytest

from agatewing import calls

NOW = 1.8e9


def _key(age_s: float) -> str:
    return str(calls.new_key(NOW - age_s, 12345))


@pytest.mark.parametrize(
    ("text", "kind", "outcome"),
    [
        ("", "idempotency-key-required", "not-run"),
        ("order-7", "idempotency-key-invalid", "not-run"),
        (str(uuid.UUID(int=1)), "idempotency-key-invalid", "not-run"),
        (
            "0b5c2a3e-6c8f-4f7e-9a53-111111111111",
            "idempotency-key-invalid",
            "not-run",
        ),
        (_key(-120), "idempotency-key-invalid", "not-run"),
        (_key(1_000), "idempotency-key-expired", "unknown"),
    ],
)
def test_unusable_key_is_refused(text: str, kind: str, outcome: str) -> None:
    refusal = calls.check_key(text, NOW, 900.0).unwrap_err()
    assert (refusal.kind, refusal.outcome) == (kind, outcome)
    assert refusal.remedy


@pytest.mark.parametrize("age", [-59.0, 0.0, 899.0])
def test_recent_key_is_accepted(age: float) -> None:
    assert calls.check_key(_key(age), NOW, 900.0).is_ok()


@hypothesis.given(strategies.floats(0, 2e9), strategies.integers(0, 2**74 - 1))
def test_fuzz_new_key_is_a_version_7_uuid(wall: float, bits: int) -> None:
    key = calls.new_key(wall, bits)
    assert key.version == 7 and key.variant == uuid.RFC_4122
    assert abs(calls.key_time_s(key) - wall) <= 0.001


@hypothesis.given(strategies.text(max_size=60))
def test_fuzz_check_key_never_raises(text: str) -> None:
    calls.check_key(text, NOW, 900.0)
