"""Stand-in of a model engine, over HTTP."""

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

#: Time without a token after which a comment is sent, in seconds.
KEEP_ALIVE_S = 1.0
#: Time a stream without a reader is kept, in seconds.
LINGER_S = 20.0
#: Cache events kept for readers.
CACHE_EVENTS = 512


class KvSource(msgspec.Struct, frozen=True):
    """Where the KV cache of a prompt can be fetched."""

    # IP number and port of the engine that holds it.
    address: str
    # Id of the exported cache.
    id: str


class Generate(msgspec.Struct, frozen=True):
    """Body of a generate or prefill call."""

    id: str
    model: str
    prompt: str
    max_tokens: int = 16
    shape: str = "completions"
    priority: int = 0
    seed: int = 0
    created: int = 0
    start: int = msgspec.field(default=0, name="from")
    kv: KvSource | None = None


class OrderBody(msgspec.Struct, frozen=True):
    """Body of an order."""

    id: str
    number: int
    change: dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class EngineFaults:
    """What goes wrong at the moment."""

    #: Whether open streams send nothing any more, for good.
    mute: bool = False
    #: Factor on the time of every step.
    slowdown: float = 1.0
    #: Whether the engine reports that it is draining.
    draining: bool = False
    #: Whether load reports fail.
    no_reports: bool = False


class _Stream:
    """Events of one generation, computed from their index."""

    __slots__ = ("call", "writer", "sequence", "changed", "readers", "idle")

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
        self.changed = gevent.event.Event()
        self.readers = 0
        self.idle = 0.0

    @property
    def available(self) -> int:
        """Number of events that can be read."""
        produced = min(self.sequence.produced, self.sequence.output_tokens)
        done = produced >= self.sequence.output_tokens
        return produced + 1 if done else produced

    def notify(self) -> None:
        """Wake readers."""
        changed, self.changed = self.changed, gevent.event.Event()
        changed.set()


class EngineServer:
    """One engine: batch, streams, orders and reports."""

    def __init__(
        self,
        name: str,
        spec: enginemodel.EngineSpec,
        role: _types.Role,
        models: frozenset[str],
        checks_fencing: bool,
        report_lag_s: float,
        weights_url: str,
    ) -> None:
        self._name = name
        self._model = enginemodel.EngineModel(spec, role)
        self._models = models
        self._checks = checks_fencing
        self._weights = weights_url
        self._lag_s = report_lag_s
        self._streams: dict[str, _Stream] = {}
        self._exports: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._prefills: dict[str, gevent.event.AsyncResult[None]] = {}
        self._work = gevent.event.Event()
        self._changing = False
        self._reports: collections.deque[tuple[float, dict[str, object]]] = (
            collections.deque()
        )
        self._cache_events: collections.deque[dict[str, typing.Any]] = (
            collections.deque(maxlen=CACHE_EVENTS)
        )
        self._cache_next = 1
        self.highest_number = 0
        self.orders: list[dict[str, object]] = []
        self.refused_orders = 0
        self.received = 0
        self.faults = EngineFaults()
        self._tokens_prefilled = 0
        self._tokens_decoded = 0

    def start(self) -> None:
        """Start the batch and the reports."""
        gevent.spawn(self._run_batch)
        gevent.spawn(self._run_reports)
        gevent.spawn(self._run_expiry)

    def route(self, req: _http.Request) -> _http.Reply:
        """Answer one request."""
        match [req.method, *req.path.strip("/").split("/")]:
            case ["POST", "v1", "generate"]:
                return self._generate(_decode(req, Generate))
            case ["POST", "v1", "prefill"]:
                return self._prefill(_decode(req, Generate))
            case ["GET", "v1", "streams", name]:
                return self._resume(name, int(req.query.get("from", "0")))
            case ["DELETE", "v1", "streams", name]:
                return self._cancel(name)
            case ["GET", "v1", "kv", name]:
                return self._export(name)
            case ["GET", "v1", "load"]:
                return self._load()
            case ["GET", "v1", "cache-events"]:
                return self._cache(int(req.query.get("from", "0")))
            case ["POST", "v1", "orders"]:
                return self._order(_decode(req, OrderBody))
            case [_, "standin", *rest]:
                return self._standin(rest, req)
        return _http.Reply(404, {"error": "no such path"})

    def _standin(self, rest: list[str], req: _http.Request) -> _http.Reply:
        match rest:
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

    def _refuse_work(self, call: Generate) -> _http.Reply | None:
        if self._models and call.model not in self._models:
            return _http.Reply(404, {"error": "unknown-model"})
        if self._changing:
            return _http.Reply(409, {"error": "changing"})
        if self.faults.draining:
            return _http.Reply(409, {"error": "draining"})
        return None

    def _generate(self, call: Generate) -> _http.Reply:
        if call.id in self._streams:
            return self._resume(call.id, call.start)
        refusal = self._refuse_work(call)
        if refusal is not None:
            return refusal
        self.received += 1
        imported = False
        if call.kv is not None:
            imported = _import_kv(call.kv)
        sequence = self._sequence(call, call.max_tokens, imported)
        stream = _Stream(call, sequence)
        self._streams[call.id] = stream
        self._model.submit(sequence)
        self._work.set()
        return self._stream_reply(stream, call.start)

    def _sequence(
        self, call: Generate, most: int, imported: bool
    ) -> enginemodel.Sequence:
        tokens = max(1, len(call.prompt) // _tokens.CHARS_PER_TOKEN)
        output = 0
        if most:
            key = _tokens.text_key(call.model, call.seed, call.prompt)
            output = most - key % max(1, most // 2)
        return enginemodel.Sequence(
            call.id,
            tokens,
            output,
            enginemodel.block_hashes(call.prompt),
            call.priority,
            imported,
        )

    def _resume(self, name: str, start: int) -> _http.Reply:
        stream = self._streams.get(name)
        if stream is None:
            return _http.Reply(404, {"error": "no-stream"})
        return self._stream_reply(stream, start)

    def _stream_reply(self, stream: _Stream, start: int) -> _http.Reply:
        return _http.Reply(
            200, self._events(stream, start), "text/event-stream"
        )

    def _events(
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
            stream.idle = gevent.get_hub().loop.now()

    def _cancel(self, name: str) -> _http.Reply:
        stream = self._streams.pop(name, None)
        if stream is None:
            return _http.Reply(404, {"error": "no-stream"})
        self._model.cancel(name)
        return _http.Reply(200, {"cancelled": name})

    def _prefill(self, call: Generate) -> _http.Reply:
        refusal = self._refuse_work(call)
        if refusal is not None:
            return refusal
        self.received += 1
        sequence = self._sequence(call, 0, False)
        done: gevent.event.AsyncResult[None] = gevent.event.AsyncResult()
        self._prefills[sequence.id] = done
        self._model.submit(sequence)
        self._work.set()
        done.get()
        self._exports[call.id] = sequence.prompt_tokens
        while len(self._exports) > CACHE_EVENTS:
            self._exports.popitem(last=False)
        return _http.Reply(
            200, {"kv": call.id, "tokens": sequence.prompt_tokens}
        )

    def _export(self, name: str) -> _http.Reply:
        tokens = self._exports.get(name)
        if tokens is None:
            return _http.Reply(404, {"error": "no-kv"})
        gevent.sleep(tokens / self._model.spec.import_tokens_per_s)
        return _http.Reply(200, {"kv": name, "tokens": tokens})

    def _load(self) -> _http.Reply:
        if self.faults.no_reports or not self._reports:
            return _http.Reply(503, {"error": "no-report"})
        now = gevent.get_hub().loop.now()
        chosen = self._reports[0][1]
        for at, report in self._reports:
            if at <= now - self._lag_s:
                chosen = report
        return _http.Reply(200, chosen)

    def _cache(self, start: int) -> _http.Reply:
        events = [e for e in self._cache_events if e["offset"] >= start]
        return _http.Reply(200, {"next": self._cache_next, "events": events})

    def _order(self, order: OrderBody) -> _http.Reply:
        if self._checks and order.number < self.highest_number:
            self.refused_orders += 1
            return _http.Reply(
                409, {"error": "stale", "highest": self.highest_number}
            )
        known = any(old["id"] == order.id for old in self.orders)
        self.highest_number = max(self.highest_number, order.number)
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
        self._changing = True
        while self._model.busy:
            gevent.sleep(0.02)
        gevent.sleep(self._model.spec.role_change_s)
        self._model.role = role
        self._changing = False

    def _load_model(self, change: dict[str, typing.Any]) -> None:
        path = f"/v1/weights/{change['model']}/{change['version']}"
        client = net.HttpClient(self._weights, silence_timeout_s=60.0)
        if client.call("GET", path).status == 200:
            self._models = self._models | {change["model"]}

    def _run_batch(self) -> None:
        while True:
            step = self._model.step()
            if not step.duration_s:
                self._work.clear()
                self._work.wait()
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
            waiter = self._prefills.pop(sequence.id, None)
            if waiter is not None:
                waiter.set(None)

    def _run_reports(self) -> None:
        while True:
            now = gevent.get_hub().loop.now()
            self._reports.append((now, self._report()))
            while self._reports[0][0] < now - self._lag_s - 1.0:
                self._reports.popleft()
            self._publish_cache()
            gevent.sleep(0.1)

    def _publish_cache(self) -> None:
        cache = self._model.cache
        if not (cache.added or cache.removed):
            return
        event: dict[str, typing.Any] = {
            "offset": self._cache_next,
            "added": cache.added[:256],
            "removed": cache.removed[:256],
        }
        cache.added, cache.removed = [], []
        self._cache_next += 1
        if self._cache_next % 7:
            gevent.spawn_later(self._lag_s, self._cache_events.append, event)

    def _report(self) -> dict[str, object]:
        model = self._model
        return {
            "role": model.role,
            "changing": self._changing,
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
        load = spec.step_per_sequence_s * len(self._model.running)
        return (spec.step_base_s + load) * self._model.slowdown

    def _run_expiry(self) -> None:
        while True:
            gevent.sleep(1.0)
            now = gevent.get_hub().loop.now()
            for name, stream in list(self._streams.items()):
                if stream.readers or now - stream.idle < LINGER_S:
                    continue
                if stream.idle:
                    self._cancel(name)


T = typing.TypeVar("T")


def _decode(req: _http.Request, kind: type[T]) -> T:
    """Return the decoded body of a request."""
    return msgspec.json.decode(req.body, type=kind)


def _import_kv(source: KvSource) -> bool:
    """Fetch an exported KV cache; return whether that worked."""
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
    """Serve the engine."""
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
