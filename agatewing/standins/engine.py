"""Stand-in of a model engine."""

import argparse
import collections
import collections.abc
import dataclasses
import typing

import gevent
import gevent.event
import msgspec

from agatewing import _exceptions
from agatewing import _types
from agatewing import enginemodel
from agatewing import net
from agatewing.standins import _http
from agatewing.standins import _tokens

#: Interval of keep-alive comments on a stream without new tokens, in seconds.
KEEP_ALIVE_S = 1.0
#: Time for which a stream is kept after its last reader left, in seconds.
UNREAD_STREAM_TTL_S = 20.0
#: Limit of the cache events kept for readers, and of the exported KV caches
#: kept.
MAX_KEPT_ENTRIES = 512


class KvSource(msgspec.Struct, frozen=True):
    """Source of the KV cache of a prompt."""

    # IP address and port of the engine that exports the KV cache.
    address: str
    # Id of the exported KV cache.
    id: str


class Generate(msgspec.Struct, frozen=True):
    """Body of a generate or prefill call."""

    # Id of the stream.
    id: str
    model: str
    prompt: str
    # Longest answer, in tokens.
    max_tokens: int = 16
    # Format of the events: ``completions`` or ``chat``.
    shape: str = "completions"
    # Priority class; lower classes start first.
    priority: int = 0
    # Selects one of several answers to the same prompt.
    seed: int = 0
    # Creation time to put into the events, in seconds since the epoch.
    created: int = 0
    # Index of the last event that the reader already has.
    start: int = msgspec.field(default=0, name="from")
    # KV cache to import instead of processing the prompt.
    kv: KvSource | None = None


class OrderBody(msgspec.Struct, frozen=True):
    """Body of an order."""

    id: str
    # Fencing token of the sender.
    number: int
    # Role or model version to apply.
    change: dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """Faults that are currently injected."""

    #: Whether streams send nothing after the first comment, not even
    #: keep-alive comments.
    mute: bool = False
    #: Factor by which every step takes longer.
    slowdown: float = 1.0
    #: Whether the engine reports that it is draining.
    draining: bool = False
    #: Whether requests for the load report fail.
    no_reports: bool = False


class _Stream:
    """Events of one generation, each encoded from its index."""

    __slots__ = (
        "call",
        "writer",
        "sequence",
        "changed",
        "readers",
        "idle_since",
    )

    def __init__(self, call: Generate, sequence: enginemodel.Sequence) -> None:
        self.call = call
        self.writer = _tokens.EventWriter(
            call.id,
            call.model,
            call.shape,
            call.created,
            _tokens.text_key(call.model, call.seed, call.prompt),
            sequence.output_tokens,
        )
        self.sequence = sequence
        #: Set, and replaced, when new events can be read.
        self.changed = gevent.event.Event()
        #: Number of connections that read the stream.
        self.readers = 0
        #: Event loop time at which the last reader left; 0 before that.
        self.idle_since = 0.0

    @property
    def available(self) -> int:
        """Number of events that can be read, with ``[DONE]`` at the end."""
        produced = min(self.sequence.produced, self.sequence.output_tokens)
        done = produced >= self.sequence.output_tokens
        return produced + 1 if done else produced

    def notify(self) -> None:
        """Wake the readers that wait for new events."""
        changed, self.changed = self.changed, gevent.event.Event()
        changed.set()


class EngineServer:
    """Serves one engine: its batch, streams, orders and load reports."""

    def __init__(
        self,
        name: str,
        spec: enginemodel.EngineSpec,
        role: _types.Role,
        models: frozenset[str],
        checks_fencing: bool,
        report_lag_s: float,
        weights_address: str,
    ) -> None:
        self._name = name
        self._model = enginemodel.EngineModel(spec, role)
        self._models = models
        self._checks_fencing = checks_fencing
        self._weights_address = weights_address
        self._report_lag_s = report_lag_s
        self._streams: dict[str, _Stream] = {}
        #: Prompt tokens of the exported KV caches, by id; oldest first.
        self._exported_kv_tokens: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        #: Set when the prefill is done, by sequence id.
        self._pending_prefills: dict[str, gevent.event.AsyncResult[None]] = {}
        #: Set when a sequence is queued; wakes the batch when idle.
        self._sequence_queued = gevent.event.Event()
        self._changing_role = False
        #: Load reports with the event loop time at which they were made.
        self._reports: collections.deque[tuple[float, dict[str, object]]] = (
            collections.deque()
        )
        self._cache_events: collections.deque[dict[str, typing.Any]] = (
            collections.deque(maxlen=MAX_KEPT_ENTRIES)
        )
        self._next_cache_offset = 1
        #: Highest fencing token of all accepted orders.
        self.highest_fencing_token = 0
        #: Accepted orders, each once.
        self.orders: list[dict[str, object]] = []
        #: Number of orders refused for a stale fencing token.
        self.refused_orders = 0
        #: Number of accepted generate and prefill calls.
        self.received = 0
        self.faults = EngineFaults()
        self._tokens_prefilled = 0
        self._tokens_decoded = 0

    def start(self) -> None:
        """Start the batch, the load reports and the expiry of streams."""
        gevent.spawn(self._run_batch)
        gevent.spawn(self._run_reports)
        gevent.spawn(self._run_stream_expiry)

    def route(self, req: _http.Request) -> _http.Reply:
        """Answer one request."""
        match [req.method, *req.path.strip("/").split("/")]:
            case ["POST", "v1", "generate"]:
                return self._generate(_decode(req, Generate))
            case ["POST", "v1", "prefill"]:
                return self._prefill(_decode(req, Generate))
            case ["GET", "v1", "streams", resource_id]:
                return self._resume(
                    resource_id, int(req.query.get("from", "0"))
                )
            case ["DELETE", "v1", "streams", resource_id]:
                return self._cancel(resource_id)
            case ["GET", "v1", "kv", resource_id]:
                return self._exported_kv(resource_id)
            case ["GET", "v1", "load"]:
                return self._read_load_report()
            case ["GET", "v1", "cache-events"]:
                return self._read_cache_events(int(req.query.get("from", "0")))
            case ["POST", "v1", "orders"]:
                return self._accept_order(_decode(req, OrderBody))
            case [_, "standin", *subpath]:
                return self._standin_control(subpath, req)
        return _http.Reply(404, {"error": "no such path"})

    def _standin_control(
        self, subpath: list[str], req: _http.Request
    ) -> _http.Reply:
        match subpath:
            case ["faults"]:
                for name, value in req.json().items():
                    setattr(self.faults, name, value)
                self._model.slowdown = self.faults.slowdown
                return _http.Reply(200, {"ok": True})
            case ["stats"]:
                return _http.Reply(
                    200,
                    {
                        "name": self._name,
                        "role": self._model.role,
                        "orders": self.orders,
                        "refused_orders": self.refused_orders,
                        "received": self.received,
                        "streams": len(self._streams),
                    },
                )
        return _http.Reply(404, {"error": "no such path"})

    def _refusal(self, call: Generate) -> _http.Reply | None:
        if self._models and call.model not in self._models:
            return _http.Reply(404, {"error": "unknown-model"})
        if self._changing_role:
            return _http.Reply(409, {"error": "changing"})
        if self.faults.draining:
            return _http.Reply(409, {"error": "draining"})
        return None

    def _generate(self, call: Generate) -> _http.Reply:
        if call.id in self._streams:
            return self._resume(call.id, call.start)
        refusal = self._refusal(call)
        if refusal is not None:
            return refusal
        self.received += 1
        imported = False
        if call.kv is not None:
            imported = _import_kv(call.kv)
        sequence = self._new_sequence(call, call.max_tokens, imported)
        stream = _Stream(call, sequence)
        self._streams[call.id] = stream
        self._model.submit(sequence)
        self._sequence_queued.set()
        return self._stream_reply(stream, call.start)

    def _new_sequence(
        self, call: Generate, max_tokens: int, imported: bool
    ) -> enginemodel.Sequence:
        tokens = max(1, len(call.prompt) // _tokens.CHARS_PER_TOKEN)
        output = 0
        if max_tokens:
            key = _tokens.text_key(call.model, call.seed, call.prompt)
            # The answer takes more than half of the allowed tokens.
            output = max_tokens - key % max(1, max_tokens // 2)
        return enginemodel.Sequence(
            call.id,
            tokens,
            output,
            enginemodel.block_hashes(call.prompt),
            call.priority,
            imported,
        )

    def _resume(self, stream_id: str, start: int) -> _http.Reply:
        stream = self._streams.get(stream_id)
        if stream is None:
            return _http.Reply(404, {"error": "no-stream"})
        return self._stream_reply(stream, start)

    def _stream_reply(self, stream: _Stream, start: int) -> _http.Reply:
        return _http.Reply(
            200, self._read_events(stream, start), "text/event-stream"
        )

    def _read_events(
        self, stream: _Stream, start: int
    ) -> collections.abc.Iterator[bytes]:
        last = stream.writer.last
        stream.readers += 1
        try:
            yield b": open\n\n"
            while start < last:
                while self.faults.mute:
                    gevent.sleep(0.2)
                if stream.available <= start:
                    changed = stream.changed
                    if not changed.wait(KEEP_ALIVE_S):
                        yield b": ping\n\n"
                    continue
                end = stream.available
                yield stream.writer.events(start + 1, end)
                start = end
        finally:
            stream.readers -= 1
            stream.idle_since = gevent.get_hub().loop.now()

    def _cancel(self, stream_id: str) -> _http.Reply:
        stream = self._streams.pop(stream_id, None)
        if stream is None:
            return _http.Reply(404, {"error": "no-stream"})
        self._model.cancel(stream_id)
        return _http.Reply(200, {"cancelled": stream_id})

    def _prefill(self, call: Generate) -> _http.Reply:
        refusal = self._refusal(call)
        if refusal is not None:
            return refusal
        self.received += 1
        sequence = self._new_sequence(call, 0, False)
        done: gevent.event.AsyncResult[None] = gevent.event.AsyncResult()
        self._pending_prefills[sequence.id] = done
        self._model.submit(sequence)
        self._sequence_queued.set()
        done.get()
        self._exported_kv_tokens[call.id] = sequence.prompt_tokens
        while len(self._exported_kv_tokens) > MAX_KEPT_ENTRIES:
            self._exported_kv_tokens.popitem(last=False)
        return _http.Reply(
            200, {"kv": call.id, "tokens": sequence.prompt_tokens}
        )

    def _exported_kv(self, kv_id: str) -> _http.Reply:
        tokens = self._exported_kv_tokens.get(kv_id)
        if tokens is None:
            return _http.Reply(404, {"error": "no-kv"})
        gevent.sleep(tokens / self._model.spec.import_tokens_per_s)
        return _http.Reply(200, {"kv": kv_id, "tokens": tokens})

    def _read_load_report(self) -> _http.Reply:
        if self.faults.no_reports or not self._reports:
            return _http.Reply(503, {"error": "no-report"})
        now = gevent.get_hub().loop.now()
        # The newest report that is at least as old as the lag, or the oldest.
        chosen = self._reports[0][1]
        for at, report in self._reports:
            if at <= now - self._report_lag_s:
                chosen = report
        return _http.Reply(200, chosen)

    def _read_cache_events(self, start: int) -> _http.Reply:
        events = [e for e in self._cache_events if e["offset"] >= start]
        return _http.Reply(
            200, {"next": self._next_cache_offset, "events": events}
        )

    def _accept_order(self, order: OrderBody) -> _http.Reply:
        if self._checks_fencing and order.number < self.highest_fencing_token:
            self.refused_orders += 1
            return _http.Reply(
                409, {"error": "stale", "highest": self.highest_fencing_token}
            )
        known = any(earlier["id"] == order.id for earlier in self.orders)
        self.highest_fencing_token = max(
            self.highest_fencing_token, order.number
        )
        if known:
            return _http.Reply(200, {"state": "accepted"})
        self.orders.append(
            {"id": order.id, "number": order.number, "change": order.change}
        )
        gevent.spawn(self._apply_change, order.change)
        return _http.Reply(200, {"state": "accepted"})

    def _apply_change(self, change: dict[str, typing.Any]) -> None:
        if change.get("kind") == "model":
            self._load_model(change)
            return
        role = _types.Role(change["role"])
        if role is self._model.role:
            return
        self._changing_role = True
        while self._model.busy:
            gevent.sleep(0.02)
        gevent.sleep(self._model.spec.role_change_s)
        self._model.role = role
        self._changing_role = False

    def _load_model(self, change: dict[str, typing.Any]) -> None:
        path = f"/v1/weights/{change['model']}/{change['version']}"
        client = net.HttpClient(self._weights_address, silence_timeout_s=60.0)
        if client.call("GET", path).status == 200:
            self._models = self._models | {change["model"]}

    def _run_batch(self) -> None:
        while True:
            step = self._model.step()
            if not step.duration_s:
                self._sequence_queued.clear()
                self._sequence_queued.wait()
                continue
            gevent.sleep(step.duration_s)
            self._publish_step(step)

    def _publish_step(self, step: enginemodel.StepResult) -> None:
        for sequence, count in step.produced:
            self._tokens_decoded += count
            stream = self._streams.get(sequence.id)
            if stream is not None:
                stream.notify()
        for sequence in step.prefilled:
            self._tokens_prefilled += sequence.prompt_tokens
            waiter = self._pending_prefills.pop(sequence.id, None)
            if waiter is not None:
                waiter.set(None)

    def _run_reports(self) -> None:
        while True:
            now = gevent.get_hub().loop.now()
            self._reports.append((now, self._make_report()))
            while self._reports[0][0] < now - self._report_lag_s - 1.0:
                self._reports.popleft()
            self._publish_cache_event()
            gevent.sleep(0.1)

    def _publish_cache_event(self) -> None:
        cache = self._model.cache
        if not (cache.added or cache.removed):
            return
        event: dict[str, typing.Any] = {
            "offset": self._next_cache_offset,
            "added": cache.added[:256],
            "removed": cache.removed[:256],
        }
        cache.added, cache.removed = [], []
        self._next_cache_offset += 1
        # Every seventh event is lost on purpose; readers see a gap in the
        # offsets.
        if self._next_cache_offset % 7:
            gevent.spawn_later(
                self._report_lag_s, self._cache_events.append, event
            )

    def _make_report(self) -> dict[str, object]:
        model = self._model
        return {
            "role": model.role,
            "changing": self._changing_role,
            "draining": self.faults.draining,
            "running": len(model.running),
            "queued": model.queued,
            "queued_tokens": model.queued_tokens(),
            "kv_used": model.kv_used,
            "kv_capacity": model.spec.kv_tokens,
            "slots": model.spec.max_batch,
            "prefill_tokens_per_s": model.spec.prefill_tokens_per_s,
            "step_s": self._step_s(),
            "tokens_prefilled": self._tokens_prefilled,
            "tokens_decoded": self._tokens_decoded,
        }

    def _step_s(self) -> float:
        spec = self._model.spec
        sequences_s = spec.step_per_sequence_s * len(self._model.running)
        return (spec.step_base_s + sequences_s) * self._model.slowdown

    def _run_stream_expiry(self) -> None:
        while True:
            gevent.sleep(1.0)
            now = gevent.get_hub().loop.now()
            for stream_id, stream in list(self._streams.items()):
                if (
                    stream.readers
                    or now - stream.idle_since < UNREAD_STREAM_TTL_S
                ):
                    continue
                if stream.idle_since:
                    self._cancel(stream_id)


T = typing.TypeVar("T")


def _decode(req: _http.Request, kind: type[T]) -> T:
    """Return the decoded body of a request."""
    return msgspec.json.decode(req.body, type=kind)


def _import_kv(source: KvSource) -> bool:
    """Fetch an exported KV cache; return whether the fetch succeeded."""
    client = net.HttpClient(source.address, silence_timeout_s=10.0)
    try:
        return client.call("GET", f"/v1/kv/{source.id}").status == 200
    except _exceptions.AgatewingError:
        return False
    finally:
        client.close()


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the command line of this stand-in."""
    parser.add_argument("--name", default="engine")
    parser.add_argument("--role", default="mixed")
    parser.add_argument("--models", default="")
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--report-lag", type=float, default=0.5)
    parser.add_argument("--role-change", type=float, default=3.0)
    parser.add_argument("--speed", type=float, default=1.0)
    parser.add_argument("--weights", default="127.0.0.1:1")


def run(args: argparse.Namespace) -> None:
    """Serve the engine until SIGTERM or SIGINT."""
    base = enginemodel.EngineSpec()
    spec = dataclasses.replace(
        base,
        prefill_tokens_per_s=base.prefill_tokens_per_s * args.speed,
        step_base_s=base.step_base_s / args.speed,
        step_per_sequence_s=base.step_per_sequence_s / args.speed,
        role_change_s=args.role_change,
    )
    server = EngineServer(
        args.name,
        spec,
        _types.Role(args.role),
        frozenset(m for m in args.models.split(",") if m),
        args.checks_fencing,
        args.report_lag,
        args.weights,
    )
    server.start()
    _http.serve(args.host, args.port, server.route)
