"""Computes the figures of docs/CAPACITY.md from the measured slopes."""

import dataclasses
import pathlib

import msgspec

from agatewing.bench import _entry

Figure = _entry.Figure


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Size of the deployment that the users plan to run."""

    #: Nodes; each runs one instance.
    nodes: int = 1_700
    engines: int = 10_000
    #: Requests and output tokens of all nodes together, per second.
    requests_per_s: float = 110_000.0
    tokens_per_s: float = 28_000_000.0
    #: Caller accounts.
    callers: int = 370
    #: Availability zones.
    zones: int = 29
    #: Changes of the configuration per day.
    changes_per_day: float = 21_000.0
    #: Restarts of instances per day.
    restarts_per_day: float = 780.0
    #: Appends that the log accepts from all nodes together, per second.
    log_appends_per_s: float = 300.0
    #: Assumed share of requests that must run at most once.
    at_most_once_share: float = 0.05
    #: Largest age of an accepted idempotency key, in seconds.
    idempotency_window_s: float = 900.0


@dataclasses.dataclass(frozen=True, slots=True)
class Design:
    """Constants of the implementation and of the cell design."""

    #: Probes that an instance sends in each round of the failure detector.
    probes_per_round: int = 4
    #: Time between two rounds, in seconds.
    probe_period_s: float = 0.75
    #: IP and UDP headers of a datagram.
    udp_header_bytes: int = 28
    #: Polls of one engine's load report, per second.
    polls_per_s: float = 2.0
    #: Largest age of evidence from a peer that counts as current, in seconds.
    evidence_ttl_s: float = 2.0
    #: Share of the log's append rate that the instances plan to use.
    append_budget_share: float = 0.8
    #: Time between two renewals of a lease, in seconds.
    lease_renewal_period_s: float = 2.5
    #: Time between two role plans of a pool, in seconds.
    role_plan_period_s: float = 2.0
    #: Nodes of one cell, in the design for the planned size.
    cell_nodes: int = 16
    #: Time between two renewals of a cell's lease, in seconds.
    cell_renewal_period_s: float = 10.0
    #: Writers of the calls streams, each with its own partition.
    call_writers: int = 200


#: Limits for the control work of one node: cores, bytes, bytes per second.
LIMIT_CORES = 0.032
LIMIT_MEMORY_BYTES = 128e6
LIMIT_BYTES_PER_S = 9_000.0

PLAN = Plan()
DESIGN = Design()


class Slopes:
    """Measured figures by name, read from the stored JSON files."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._values: dict[str, float] = {}
        for name in ("slopes", "entry"):
            raw = (directory / f"{name}.json").read_bytes()
            for figure in msgspec.json.decode(raw, type=list[Figure]):
                self._values[figure.name] = figure.value

    def __getitem__(self, name: str) -> float:
        return self._values[name]


class Capacity:
    """Computes the cost of each subsystem at the planned size.

    ``base_memory_bytes`` is the memory of an instance without engines,
    callers, peers and keys.
    """

    def __init__(
        self, slopes: Slopes, base_memory_bytes: float = 42e6
    ) -> None:
        self._slopes = slopes
        self._base_memory_bytes = base_memory_bytes

    def rows(self) -> list[Figure]:
        """Return all figures of the capacity page, grouped by subsystem."""
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
        slopes = self._slopes
        events_per_s = PLAN.tokens_per_s / PLAN.nodes
        requests_per_s = PLAN.requests_per_s / PLAN.nodes
        event_us = slopes[
            "slow stream, one event a read, processor time of an event"
        ]
        batched_event_us = slopes[
            "fast stream, many events a read, processor time of an event"
        ]
        look_up_us = slopes["look-up, processor time"]
        routing_us = slopes["routing a request among 500 engines"]
        hashing_us = slopes["hashing a prompt of 6000 tokens"]
        # A stream is open for 20 s.
        open_streams = requests_per_s * 20.0
        memory_bytes = slopes["memory of an open stream"] * open_streams
        return [
            Figure("entry: requests a node", requests_per_s, "1/s"),
            Figure("entry: relayed events a node", events_per_s, "1/s"),
            Figure(
                "entry: cores, one event a read",
                events_per_s * event_us / 1e6,
                "",
            ),
            Figure(
                "entry: cores, many events a read",
                events_per_s * batched_event_us / 1e6,
                "",
            ),
            Figure(
                "entry: cores for requests",
                requests_per_s * (look_up_us + routing_us + hashing_us) / 1e6,
                "",
            ),
            Figure(
                "entry: memory of open streams (20 s)",
                memory_bytes / 1e6,
                "MB",
            ),
        ]

    def _membership(self) -> list[Figure]:
        slopes, design = self._slopes, DESIGN
        rounds_per_s = 1 / design.probe_period_s
        messages_per_s = 2 * design.probes_per_round * rounds_per_s
        message_bytes = slopes["size of a heartbeat"] + design.udp_header_bytes
        cpu_us_per_s = rounds_per_s * slopes["round of probes, 1700 peers"]
        # Half of the messages are the own pings, half are answers to pings of
        # peers; each half costs as much as receiving and answering a ping.
        cpu_us_per_s += (
            messages_per_s
            / 2
            * slopes["heartbeat taken and answered, 1700 peers"]
        )
        cpu_us_per_s += (
            messages_per_s
            / 2
            * slopes["heartbeat taken and answered, 1700 peers"]
        )
        fresh_peers = (
            design.evidence_ttl_s * design.probes_per_round * rounds_per_s
        )
        return [
            Figure("membership: messages sent", messages_per_s, "1/s"),
            Figure(
                "membership: bytes sent", messages_per_s * message_bytes, "B/s"
            ),
            Figure("membership: processor", cpu_us_per_s / 1e4, "% core"),
            Figure(
                "membership: memory",
                PLAN.nodes * slopes["memory of a peer"] / 1e6,
                "MB",
            ),
            Figure(
                "membership: majority evidence breaks beyond",
                2 * fresh_peers,
                "nodes",
            ),
        ]

    def _configuration(self) -> list[Figure]:
        slopes = self._slopes
        changes_per_s = PLAN.changes_per_day / 86_400
        # 150 bytes are added for the envelope.
        record_bytes = slopes["size of a record: configuration patch"] + 150
        cpu_us_per_s = (
            changes_per_s * slopes["configuration put in force, 10000 engines"]
        )
        memory_bytes = PLAN.engines * slopes["memory of an engine"]
        memory_bytes += PLAN.callers * slopes["memory of a caller account"]
        free_bytes = LIMIT_MEMORY_BYTES - self._base_memory_bytes
        return [
            Figure("configuration: changes", changes_per_s, "1/s"),
            Figure(
                "configuration: bytes read",
                changes_per_s * record_bytes,
                "B/s",
            ),
            Figure("configuration: processor", cpu_us_per_s / 1e4, "% core"),
            Figure("configuration: memory", memory_bytes / 1e6, "MB"),
            Figure(
                "configuration: memory limit reached at",
                free_bytes / slopes["memory of an engine"],
                "engines",
            ),
            Figure(
                "configuration: processor limit reached at",
                LIMIT_CORES
                * 1e6
                / slopes["configuration put in force, 10000 engines"]
                * 86_400,
                "changes/day",
            ),
        ]

    def _load_reports(self) -> list[Figure]:
        slopes, design = self._slopes, DESIGN
        # A look-up handles two HTTP exchanges, with the caller and the target;
        # a poll counts as one.
        poll_us = slopes["look-up, processor time"] / 2
        cpu_us_per_s = PLAN.engines * design.polls_per_s * poll_us
        return [
            Figure("load reports: processor", cpu_us_per_s / 1e6, "cores"),
            Figure(
                "load reports: break beyond",
                LIMIT_CORES * 1e6 / (design.polls_per_s * poll_us),
                "engines a node",
            ),
        ]

    def _calls(self) -> list[Figure]:
        slopes = self._slopes
        calls_per_s = PLAN.requests_per_s * PLAN.at_most_once_share
        call_bytes = (
            slopes["size of a record: intent"]
            + slopes["size of a record: answer"]
        )
        key_bytes = slopes["memory of an at-most-once key"]
        node_appends_per_s = (
            PLAN.log_appends_per_s * DESIGN.append_budget_share / PLAN.nodes
        )
        free_bytes = LIMIT_MEMORY_BYTES - self._base_memory_bytes
        return [
            Figure("calls: at-most-once, assumed 5%", calls_per_s, "1/s"),
            Figure(
                "calls: bytes read by each node",
                calls_per_s * call_bytes,
                "B/s",
            ),
            Figure(
                "calls: byte limit reached at",
                LIMIT_BYTES_PER_S / call_bytes,
                "calls/s",
            ),
            Figure(
                "calls: memory of all keys",
                calls_per_s * PLAN.idempotency_window_s * key_bytes / 1e6,
                "MB",
            ),
            Figure(
                "calls: memory limit reached at",
                free_bytes / key_bytes / PLAN.idempotency_window_s,
                "calls/s",
            ),
            Figure("calls: appends left to a node", node_appends_per_s, "1/s"),
            Figure("calls: wait for an append", 1 / node_appends_per_s, "s"),
            # At 100 ms per commit a node appends 10 times per second.
            Figure(
                "calls: 100 ms a commit up to",
                PLAN.log_appends_per_s * DESIGN.append_budget_share / 10,
                "nodes",
            ),
        ]

    def _leases(self) -> list[Figure]:
        holders = min(PLAN.nodes, PLAN.zones)
        return [
            Figure(
                "leases: appends, one holder a zone",
                holders / DESIGN.lease_renewal_period_s,
                "1/s",
            ),
            Figure(
                "roles: processor of a holder, 345 engines",
                self._slopes["planning roles of 345 engines"]
                / DESIGN.role_plan_period_s
                / 1e4,
                "% core",
            ),
        ]

    def _cells(self) -> list[Figure]:
        slopes, design = self._slopes, DESIGN
        cells = PLAN.nodes / design.cell_nodes
        cell_engines = PLAN.engines / cells
        node_engines = cell_engines / design.cell_nodes
        # As in _load_reports: half a look-up.
        poll_us = slopes["look-up, processor time"] / 2
        polls_per_s = node_engines * design.polls_per_s
        # 12 bytes of each engine, twice a second.
        load_bytes_per_s = cell_engines * 12 * 2.0
        calls_per_s = PLAN.requests_per_s * PLAN.at_most_once_share
        writer_calls_per_s = calls_per_s / design.call_writers
        call_bytes = (
            slopes["size of a record: intent"]
            + slopes["size of a record: answer"]
        )
        decode_us_per_s = (
            2 * writer_calls_per_s * slopes["decoding a record: answer"]
        )
        writer_keys_bytes = (
            writer_calls_per_s
            * PLAN.idempotency_window_s
            * slopes["memory of an at-most-once key"]
        )
        renewals_per_s = cells / design.cell_renewal_period_s
        appends_per_s = (
            PLAN.log_appends_per_s * design.append_budget_share
            - renewals_per_s
        )
        append_wait_s = design.call_writers / appends_per_s
        changes_per_s = PLAN.changes_per_day / 86_400
        # 150 bytes are added for the envelope.
        record_bytes = slopes["size of a record: configuration patch"] + 150
        messages_per_s = 2 * design.probes_per_round / design.probe_period_s
        heartbeat_bytes = (
            slopes["size of a heartbeat"] + design.udp_header_bytes
        )
        cpu_us_per_s = polls_per_s * poll_us + decode_us_per_s
        cpu_us_per_s += (
            slopes["round of probes, 1700 peers"] / design.probe_period_s
        )
        cpu_us_per_s += (
            messages_per_s * slopes["heartbeat taken and answered, 6 peers"]
        )
        cpu_us_per_s += (
            changes_per_s * slopes["configuration put in force, 345 engines"]
        )
        bytes_per_s = (
            messages_per_s * heartbeat_bytes
            + changes_per_s * record_bytes
            + load_bytes_per_s
        )
        memory_bytes = (
            cell_engines * slopes["memory of an engine"] + writer_keys_bytes
        )
        return [
            Figure("cells: number", cells, ""),
            Figure("cells: engines of a cell", cell_engines, ""),
            Figure("cells: load polls of a node", polls_per_s, "1/s"),
            Figure("cells: bytes of shared loads", load_bytes_per_s, "B/s"),
            Figure("cells: renewals, all cells", renewals_per_s, "1/s"),
            Figure("cells: calls of a writer", writer_calls_per_s, "1/s"),
            Figure(
                "cells: bytes of a writer's stream",
                writer_calls_per_s * call_bytes,
                "B/s",
            ),
            Figure(
                "cells: memory of a writer's keys",
                writer_keys_bytes / 1e6,
                "MB",
            ),
            Figure("cells: wait for an append", append_wait_s, "s"),
            Figure(
                "cells: control processor of a node",
                cpu_us_per_s / 1e4,
                "% core",
            ),
            Figure("cells: control bytes of a node", bytes_per_s, "B/s"),
            Figure(
                "cells: memory of a node",
                (memory_bytes + self._base_memory_bytes) / 1e6,
                "MB",
            ),
        ]


def compute(directory: pathlib.Path) -> list[Figure]:
    """Return the capacity figures from the slopes stored in ``directory``."""
    return Capacity(Slopes(directory)).rows()
