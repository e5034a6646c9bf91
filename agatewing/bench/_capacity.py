"""Arithmetic of docs/CAPACITY.md: from slopes to the users' plan."""

import dataclasses
import pathlib

import msgspec

from agatewing.bench import _entry

Figure = _entry.Figure


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The size to design for, letter 1."""

    nodes: int = 1_700
    engines: int = 10_000
    requests_per_s: float = 110_000.0
    tokens_per_s: float = 28_000_000.0
    callers: int = 370
    zones: int = 29
    changes_per_day: float = 21_000.0
    restarts_per_day: float = 780.0
    log_appends_per_s: float = 300.0
    #: Share of requests that run at most once, assumed.
    once_share: float = 0.05
    #: Age up to which keys are accepted, in seconds.
    key_window_s: float = 900.0


@dataclasses.dataclass(frozen=True, slots=True)
class Design:
    """Constants of the code that the arithmetic uses."""

    probes_per_round: int = 4
    round_s: float = 0.75
    udp_header_bytes: int = 28
    polls_per_s: float = 2.0
    fresh_s: float = 2.0
    budget_share: float = 0.8
    lease_renew_s: float = 2.5
    plan_s: float = 2.0
    #: Nodes of one cell, in the design for the plan's size.
    cell_nodes: int = 16
    #: Time without renewal in cells, in seconds.
    cell_renew_s: float = 10.0
    #: Writers of calls streams, each with its own partition.
    call_writers: int = 200


#: Limits on control of one node.
LIMIT_CPU = 0.032
LIMIT_MEMORY = 128e6
LIMIT_BYTES_S = 9_000.0

PLAN = Plan()
DESIGN = Design()


class Slopes:
    """Measured figures by name."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._values: dict[str, float] = {}
        for name in ("slopes", "entry"):
            raw = (directory / f"{name}.json").read_bytes()
            for figure in msgspec.json.decode(raw, type=list[Figure]):
                self._values[figure.name] = figure.value

    def __getitem__(self, name: str) -> float:
        return self._values[name]


class Capacity:
    """Works each role out at the plan's size."""

    def __init__(self, slopes: Slopes, base_memory: float = 42e6) -> None:
        self._slopes = slopes
        self._base = base_memory

    def rows(self) -> list[Figure]:
        """Return every figure of the page."""
        return [
            *self._data_plane(),
            *self._membership(),
            *self._configuration(),
            *self._load_reports(),
            *self._calls(),
            *self._leases(),
            *self._cells(),
        ]

    def _data_plane(self) -> list[Figure]:
        s = self._slopes
        events = PLAN.tokens_per_s / PLAN.nodes
        requests = PLAN.requests_per_s / PLAN.nodes
        slow = s["slow stream, one event a read, processor time of an event"]
        fast = s["fast stream, many events a read, processor time of an event"]
        look_up = s["look-up, processor time"]
        route = s["routing a request among 500 engines"]
        hashing = s["hashing a prompt of 6000 tokens"]
        open_streams = requests * 20.0
        memory = s["memory of an open stream"] * open_streams
        return [
            Figure("entry: requests a node", requests, "1/s"),
            Figure("entry: relayed events a node", events, "1/s"),
            Figure("entry: cores, one event a read", events * slow / 1e6, ""),
            Figure(
                "entry: cores, many events a read", events * fast / 1e6, ""
            ),
            Figure(
                "entry: cores for requests",
                requests * (look_up + route + hashing) / 1e6,
                "",
            ),
            Figure("entry: memory of open streams (20 s)", memory / 1e6, "MB"),
        ]

    def _membership(self) -> list[Figure]:
        s, d = self._slopes, DESIGN
        rounds = 1 / d.round_s
        messages = 2 * d.probes_per_round * rounds
        size = s["size of a heartbeat"] + d.udp_header_bytes
        cpu = rounds * s["round of probes, 1700 peers"]
        cpu += messages / 2 * s["heartbeat taken and answered, 1700 peers"]
        cpu += messages / 2 * s["heartbeat taken and answered, 1700 peers"]
        vouched = d.fresh_s * d.probes_per_round * rounds
        return [
            Figure("membership: messages sent", messages, "1/s"),
            Figure("membership: bytes sent", messages * size, "B/s"),
            Figure("membership: processor", cpu / 1e4, "% core"),
            Figure(
                "membership: memory",
                PLAN.nodes * s["memory of a peer"] / 1e6,
                "MB",
            ),
            Figure(
                "membership: majority evidence breaks beyond",
                2 * vouched,
                "nodes",
            ),
        ]

    def _configuration(self) -> list[Figure]:
        s = self._slopes
        changes = PLAN.changes_per_day / 86_400
        size = s["size of a record: configuration patch"] + 150
        cpu = changes * s["configuration put in force, 10000 engines"]
        memory = PLAN.engines * s["memory of an engine"]
        memory += PLAN.callers * s["memory of a caller account"]
        left = LIMIT_MEMORY - self._base
        return [
            Figure("configuration: changes", changes, "1/s"),
            Figure("configuration: bytes read", changes * size, "B/s"),
            Figure("configuration: processor", cpu / 1e4, "% core"),
            Figure("configuration: memory", memory / 1e6, "MB"),
            Figure(
                "configuration: memory limit reached at",
                left / s["memory of an engine"],
                "engines",
            ),
            Figure(
                "configuration: processor limit reached at",
                LIMIT_CPU
                * 1e6
                / s["configuration put in force, 10000 engines"]
                * 86_400,
                "changes/day",
            ),
        ]

    def _load_reports(self) -> list[Figure]:
        s, d = self._slopes, DESIGN
        poll = s["look-up, processor time"] / 2
        cpu = PLAN.engines * d.polls_per_s * poll
        return [
            Figure("load reports: processor", cpu / 1e6, "cores"),
            Figure(
                "load reports: break beyond",
                LIMIT_CPU * 1e6 / (d.polls_per_s * poll),
                "engines a node",
            ),
        ]

    def _calls(self) -> list[Figure]:
        s = self._slopes
        calls = PLAN.requests_per_s * PLAN.once_share
        pair = s["size of a record: intent"] + s["size of a record: answer"]
        each = s["memory of an at-most-once key"]
        rate = PLAN.log_appends_per_s * DESIGN.budget_share / PLAN.nodes
        left = LIMIT_MEMORY - self._base
        return [
            Figure("calls: at-most-once, assumed 5%", calls, "1/s"),
            Figure("calls: bytes read by each node", calls * pair, "B/s"),
            Figure(
                "calls: byte limit reached at", LIMIT_BYTES_S / pair, "calls/s"
            ),
            Figure(
                "calls: memory of all keys",
                calls * PLAN.key_window_s * each / 1e6,
                "MB",
            ),
            Figure(
                "calls: memory limit reached at",
                left / each / PLAN.key_window_s,
                "calls/s",
            ),
            Figure("calls: appends left to a node", rate, "1/s"),
            Figure("calls: wait for an append", 1 / rate, "s"),
            Figure(
                "calls: 100 ms a commit up to",
                PLAN.log_appends_per_s * DESIGN.budget_share / 10,
                "nodes",
            ),
        ]

    def _leases(self) -> list[Figure]:
        holders = min(PLAN.nodes, PLAN.zones)
        return [
            Figure(
                "leases: appends, one holder a zone",
                holders / DESIGN.lease_renew_s,
                "1/s",
            ),
            Figure(
                "roles: processor of a holder, 345 engines",
                self._slopes["planning roles of 345 engines"]
                / DESIGN.plan_s
                / 1e4,
                "% core",
            ),
        ]

    def _cells(self) -> list[Figure]:
        s, d = self._slopes, DESIGN
        cells = PLAN.nodes / d.cell_nodes
        engines = PLAN.engines / cells
        own = engines / d.cell_nodes
        poll = s["look-up, processor time"] / 2
        polls = own * d.polls_per_s
        shared = engines * 12 * 2.0
        calls = PLAN.requests_per_s * PLAN.once_share
        writer = calls / d.call_writers
        pair = s["size of a record: intent"] + s["size of a record: answer"]
        records = 2 * writer * s["decoding a record: answer"]
        keys = writer * PLAN.key_window_s * s["memory of an at-most-once key"]
        renewals = cells / d.cell_renew_s
        appends = PLAN.log_appends_per_s * d.budget_share - renewals
        wait = d.call_writers / appends
        changes = PLAN.changes_per_day / 86_400
        size = s["size of a record: configuration patch"] + 150
        messages = 2 * d.probes_per_round / d.round_s
        heartbeat = s["size of a heartbeat"] + d.udp_header_bytes
        cpu = polls * poll + records
        cpu += s["round of probes, 1700 peers"] / d.round_s
        cpu += messages * s["heartbeat taken and answered, 6 peers"]
        cpu += changes * s["configuration put in force, 345 engines"]
        traffic = messages * heartbeat + changes * size + shared
        memory = engines * s["memory of an engine"] + keys
        return [
            Figure("cells: number", cells, ""),
            Figure("cells: engines of a cell", engines, ""),
            Figure("cells: load polls of a node", polls, "1/s"),
            Figure("cells: bytes of shared loads", shared, "B/s"),
            Figure("cells: renewals, all cells", renewals, "1/s"),
            Figure("cells: calls of a writer", writer, "1/s"),
            Figure("cells: bytes of a writer's stream", writer * pair, "B/s"),
            Figure("cells: memory of a writer's keys", keys / 1e6, "MB"),
            Figure("cells: wait for an append", wait, "s"),
            Figure("cells: control processor of a node", cpu / 1e4, "% core"),
            Figure("cells: control bytes of a node", traffic, "B/s"),
            Figure(
                "cells: memory of a node", (memory + self._base) / 1e6, "MB"
            ),
        ]


def compute(directory: pathlib.Path) -> list[Figure]:
    """Return the figures from the stored slopes."""
    return Capacity(Slopes(directory)).rows()
