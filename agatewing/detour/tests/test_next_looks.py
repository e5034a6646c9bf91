"""When failures that had no verdict are looked at again."""

from agatewing.detour import _next_looks


# Failures without a verdict were never looked at again.
def test_looks_get_rarer_until_nothing_fails() -> None:
    looks = _next_looks.NextLooks()
    now = 0.0
    times: list[float] = []
    while len(times) < 7:
        looks.plan("chat", now)
        now = looks.due_at
        assert looks.take_due(now - 0.01) == []
        assert looks.take_due(now) == ["chat"]
        # One that is under way is not due again.
        assert looks.take_due(now + 100.0) == []
        times.append(now)
    waits = [b - a for a, b in zip([0.0, *times], times)]
    assert waits == [1.0, 2.0, 4.0, 8.0, 16.0, 16.0, 16.0]
    looks.forget("chat")
    assert not len(looks)
    assert looks.due_at == float("inf")
    looks.plan("chat", now)
    assert looks.due_at == now + 1.0


def test_each_service_has_its_own_time() -> None:
    looks = _next_looks.NextLooks()
    looks.plan("chat", 0.0)
    looks.plan("ledger", 0.5)
    assert looks.take_due(1.2) == ["chat"]
    assert looks.take_due(2.0) == ["ledger"]
