"""Checks the results of a demo run and formats them as a table."""

import collections
import dataclasses
import typing

from hdrh import histogram

from agatewing.demo import _faults
from agatewing.demo import _traffic
from agatewing import harness

#: Values of ``GenerationResult.refused`` that count as a broken promise: no
#: refusal explains why the answer is incomplete.
INCOMPLETE_KINDS = frozenset({"broken", "stream-lost"})


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One line of the table."""

    #: Label of the figure.
    name: str
    #: Value as text, with its unit.
    value: str


class Latencies:
    """Histogram of durations."""

    def __init__(self) -> None:
        self._histogram = histogram.HdrHistogram(1, 120_000_000, 3)

    def add(self, seconds: float) -> None:
        """Record one duration."""
        self._histogram.record_value(max(1, int(seconds * 1e6)))

    def text(self) -> str:
        """Return p50, p95 and p99 in milliseconds."""
        if not self._histogram.get_total_count():
            return "none"
        parts = [
            f"p{p} {self._histogram.get_value_at_percentile(p) / 1e3:.0f} ms"
            for p in (50, 95, 99)
        ]
        return ", ".join(parts)


@dataclasses.dataclass(frozen=True, slots=True)
class AtMostOnceCheck:
    """Outcomes of at-most-once calls compared with effects at the targets."""

    #: Number of keys with more than one effect.
    duplicates: int
    #: Number of answered calls without a counted effect.
    missing: int
    #: Number of calls with final outcome ``not-run`` and a counted effect.
    false_not_run: int
    #: Number of calls with final outcome ``unknown``.
    unknown: int
    #: Number of answered calls.
    answered: int


def check_at_most_once(
    records: list[harness.AtMostOnceResult], effects: dict[str, int]
) -> AtMostOnceCheck:
    """Compare the outcomes that callers got with the targets' effects."""
    outcomes: collections.Counter[str] = collections.Counter()
    missing = false_not_run = 0
    for record in records:
        outcomes[record.outcome] += 1
        count = effects.get(record.key, 0)
        missing += record.outcome == "answered" and not count
        false_not_run += record.outcome == "not-run" and count > 0
    return AtMostOnceCheck(
        sum(count > 1 for count in effects.values()),
        missing,
        false_not_run,
        outcomes["unknown"],
        outcomes["answered"],
    )


def conflicting_orders(deployment: harness.Deployment) -> int:
    """Return the number of orders that engines accepted after a newer one."""
    conflicts = 0
    for name in deployment.engines:
        highest = 0
        for order in deployment.engine_stats(name)["orders"]:
            conflicts += order["number"] < highest
            highest = max(highest, order["number"])
    return conflicts


class Report:
    """Results of one run as table rows and as broken promises."""

    def __init__(
        self,
        deployment: harness.Deployment,
        traffic: _traffic.Traffic,
        seconds: float,
        idle_cpu: dict[str, float],
        faults: _faults.FaultFigures | None,
    ) -> None:
        self._deployment = deployment
        self._traffic = traffic
        self._seconds = seconds
        self._idle_cpu = idle_cpu
        self._faults = faults
        self._at_most_once_check = check_at_most_once(
            traffic.at_most_once_results, deployment.effects()
        )
        self._conflicts = conflicting_orders(deployment)
        self._statuses = [
            status
            for name in deployment.instances
            if (status := deployment.status(name))
        ]

    def broken(self) -> list[str]:
        """Return each broken promise with its count, as text."""
        traffic, check = self._traffic, self._at_most_once_check
        incomplete = sum(
            g.refused in INCOMPLETE_KINDS for g in traffic.generations
        )
        wrong = sum(g.wrong_text for g in traffic.generations)
        broken_invariants = sum(
            sum(s["broken"].values()) for s in self._statuses
        )
        counts = {
            "duplicates": check.duplicates,
            "answered calls without effect": check.missing,
            "false not-run": check.false_not_run,
            "conflicting orders": self._conflicts,
            "streams cut": incomplete,
            "wrong answers": wrong,
            "requests without an answer": traffic.unfinished(),
            "invariants broken in the instances": broken_invariants,
        }
        return [f"{name}: {count}" for name, count in counts.items() if count]

    def rows(self) -> list[Row]:
        """Return the rows of the table."""
        return [
            *self._generation_rows(),
            *self._at_most_once_rows(),
            *self._control_rows(),
            *self._fault_rows(),
        ]

    def _generation_rows(self) -> list[Row]:
        results = self._traffic.generations
        complete = [g for g in results if g.complete]
        refused = collections.Counter(g.refused for g in results if g.refused)
        first, gaps, total = Latencies(), Latencies(), Latencies()
        for item in complete:
            first.add(item.first_s or 0.0)
            gaps.add(item.longest_gap_s)
            total.add(item.total_s)
        by_kind = collections.Counter(g.kind for g in results)
        complete_by_kind = collections.Counter(g.kind for g in complete)
        kinds = ", ".join(
            f"{name} {complete_by_kind[name]}/{count}"
            for name, count in by_kind.items()
        )
        return [
            Row("answers in full", f"{len(complete)} of {len(results)}"),
            Row("  by kind", kinds),
            Row("refused by kind", _counts(refused)),
            Row("goodput", f"{len(complete) / self._seconds:.1f} answers/s"),
            Row("first event", first.text()),
            Row("longest gap in a stream", gaps.text()),
            Row("whole answer", total.text()),
            Row(
                "reconnects by callers",
                str(sum(g.resumes for g in results)),
            ),
        ]

    def _at_most_once_rows(self) -> list[Row]:
        check, traffic = self._at_most_once_check, self._traffic
        refused = collections.Counter(
            r.refused
            for r in traffic.at_most_once_results
            if r.outcome != "answered"
        )
        times = Latencies()
        for record in traffic.at_most_once_results:
            if record.outcome == "answered":
                times.add(record.total_s)
        return [
            Row(
                "at-most-once calls",
                f"{check.answered} answered, {check.unknown} unknown "
                f"of {len(traffic.at_most_once_results)}",
            ),
            Row("  refused at last", _counts(refused)),
            Row("  time of answered ones", times.text()),
            Row("duplicates", str(check.duplicates)),
            Row("false not-run", str(check.false_not_run)),
            Row(
                "look-ups",
                f"{traffic.reads_answered} of {traffic.reads} answered",
            ),
        ]

    def _control_rows(self) -> list[Row]:
        changes = sum(s["role_changes"] for s in self._statuses)
        cpu = [s["cpu_s"] for s in self._statuses]
        memory = [s["memory_bytes"] / 1e6 for s in self._statuses]
        idle = self._idle_cpu.values()
        return [
            Row("role changes", str(changes)),
            Row("conflicting orders", str(self._conflicts)),
            Row(
                "control cost while idle",
                f"{100 * max(idle, default=0):.1f}% of a core at most",
            ),
            Row(
                "processor time of an instance",
                f"{min(cpu):.1f} to {max(cpu):.1f} s",
            ),
            Row("memory of an instance", f"{max(memory):.0f} MB at most"),
        ]

    def _fault_rows(self) -> list[Row]:
        figures = self._faults
        if figures is None:
            return []
        rows = [Row("fault", note) for note in figures.notes]
        return [
            *rows,
            Row("last work after a drain", _seconds(figures.drain_s)),
            Row("drain in force everywhere", _seconds(figures.in_force_s)),
        ]


def render(rows: typing.Iterable[Row]) -> str:
    """Return the table as text."""
    lines = list(rows)
    width = max(len(row.name) for row in lines)
    return "\n".join(f"{r.name.ljust(width)}  {r.value}" for r in lines)


def _counts(counter: collections.Counter[str]) -> str:
    """Return the counts as text, sorted by name."""
    if not counter:
        return "none"
    return ", ".join(f"{name} {n}" for name, n in sorted(counter.items()))


def _seconds(value: float | None) -> str:
    """Return a duration as text; ``not seen`` if it is ``None``."""
    return "not seen" if value is None else f"{value:.2f} s"
