"""In-memory network, and process clocks that can be paused."""

import collections.abc
import random
import typing

import gevent
import gevent.event
import gevent.queue
import result

from agatewing import _clock
from agatewing import _compose
from agatewing import _exceptions
from agatewing import membership
from agatewing import net
from agatewing.rig import _targets
from agatewing import wire

#: Bounds of the random delay of a message, in seconds.
DELAY_MIN_S = 0.001
DELAY_MAX_S = 0.02


class PausableClock:
    """The clock of one process; while paused, no sleep or wait returns."""

    def __init__(self, inner: _clock.ManualClock) -> None:
        self._inner = inner
        self._running = gevent.event.Event()
        self._running.set()
        #: Virtual time of the last pause, in seconds.
        self.paused_at = float("-inf")

    @property
    def paused(self) -> bool:
        """Whether the process is paused."""
        return not self._running.is_set()

    def pause(self) -> None:
        """Pause the process."""
        self.paused_at = self._inner.monotonic()
        self._running.clear()

    def resume(self) -> None:
        """Resume the process."""
        self._running.set()

    def wait_while_paused(self) -> None:
        """Block while the process is paused."""
        self._running.wait()

    def monotonic(self) -> float:
        """Return the virtual monotonic time, in seconds."""
        return self._inner.monotonic()

    def wall(self) -> float:
        """Return the virtual wall time, in seconds."""
        return self._inner.wall()

    def sleep(self, seconds: float) -> None:
        """Sleep in virtual time; if paused at the end, until the resume."""
        self._inner.sleep(seconds)
        self._running.wait()

    def wait(self, waitable: _clock.Waitable, timeout_s: float) -> bool:
        """Wait in virtual time; return whether the waitable is ready."""
        ready = self._inner.wait(waitable, timeout_s)
        if self.paused:
            self._running.wait()
            return waitable.ready()
        return ready


class Network:
    """Connects instances, engines and services; delays every message."""

    def __init__(self, clock: _clock.ManualClock, rng: random.Random) -> None:
        self._clock = clock
        self._random = rng
        self._cuts: set[frozenset[str]] = set()
        self.links: dict[str, "MemoryLinks"] = {}
        self.engines: dict[str, _targets.FakeEngine] = {}
        self.services: dict[str, _targets.FakeService] = {}
        #: Called with the names of sender and target when a call is sent.
        self.on_send: collections.abc.Callable[[str, str], None] = (
            lambda sender, target: None
        )
        #: Longest delay of an order or call before it arrives, in seconds.
        self.call_delay_s = DELAY_MAX_S

    def cut(self, one: str, other: str) -> None:
        """Cut an instance off from another one or from a target, by name.

        Messages, calls and answers between them are lost.
        """
        self._cuts.add(frozenset((one, other)))

    def heal(self) -> None:
        """Remove all cuts."""
        self._cuts.clear()

    def reaches(self, one: str, other: str) -> bool:
        """Return whether no cut separates the two names."""
        return frozenset((one, other)) not in self._cuts

    def delay(self) -> float:
        """Return the delay of one message, in seconds."""
        return self._random.uniform(DELAY_MIN_S, DELAY_MAX_S)

    def send(self, sender: str, address: str, message: wire.Message) -> None:
        """Deliver a datagram after a random delay."""
        gevent.spawn(self._deliver, sender, address, message)

    def _deliver(
        self, sender: str, address: str, message: wire.Message
    ) -> None:
        self._clock.sleep(self.delay())
        target = self.links.get(address)
        if target is not None and self.reaches(sender, target.name):
            target.inbox.put(message)

    def make_call_once(
        self, instance: str, process_id: str, clock: PausableClock
    ) -> net.CallOnce:
        """Return the function with which one process makes calls.

        ``process_id`` is recorded with the orders that it sends. The name of
        the instance decides which cuts apply.
        """

        def call_once(
            address: str,
            method: str,
            path: str,
            body: bytes,
            headers: net.Headers,
            timeout_s: float,
            may_send: typing.Any = lambda: True,
        ) -> net.HttpAnswer:
            clock.sleep(self.delay())
            target = self.engines.get(address) or self.services[address]
            if target.down or not self.reaches(instance, target.name):
                raise _exceptions.ConnectRefusedError(
                    address, "down or cut off"
                )
            if not may_send():
                raise net.SendForbiddenError(address)
            reply: gevent.event.AsyncResult[net.HttpAnswer | None] = (
                gevent.event.AsyncResult()
            )
            key = headers.get("Idempotency-Key", "")
            self.on_send(instance, target.name)
            gevent.spawn(
                self._handle_call,
                target,
                body,
                key,
                process_id,
                reply,
                instance,
            )
            if not clock.wait(reply, timeout_s):
                raise _exceptions.TargetSilentError(address, "no answer")
            answer = reply.get()
            if answer is None:
                raise _exceptions.TargetSilentError(address, "lost answer")
            return answer

        return call_once

    def client_factory(
        self, call_once: net.CallOnce
    ) -> "collections.abc.Callable[..., typing.Any]":
        """Return the function with which one process creates clients."""

        def make(address: str, *, silence_timeout_s: float) -> _Client:
            return _Client(
                call_once, address, silence_timeout_s, self._target_of
            )

        return make

    def _target_of(
        self, address: str
    ) -> _targets.FakeEngine | _targets.FakeService:
        return self.engines.get(address) or self.services[address]

    def _handle_call(
        self,
        target: _targets.FakeEngine | _targets.FakeService,
        body: bytes,
        key: str,
        process_id: str,
        reply: "gevent.event.AsyncResult[net.HttpAnswer | None]",
        instance: str,
    ) -> None:
        self._clock.sleep(self._random.uniform(0, self.call_delay_s))
        now = self._clock.monotonic()
        answer: net.HttpAnswer | None
        if target.down:
            answer = None
        elif isinstance(target, _targets.FakeEngine):
            answer = target.handle(body, process_id, now)
        else:
            answer = target.handle(key, now)
        self._clock.sleep(self.delay())
        reply.set(answer if self.reaches(instance, target.name) else None)


class _Client:
    """A client of one target on the in-memory network."""

    def __init__(
        self,
        call_once: net.CallOnce,
        address: str,
        silence_s: float,
        target_of: collections.abc.Callable[
            [str], _targets.FakeEngine | _targets.FakeService
        ],
    ) -> None:
        self._target_of = target_of
        self._call_once = call_once
        self._address = address
        self._silence_s = silence_s

    def check_connection(self) -> None:
        """Raise ``ConnectRefusedError`` if the target is down."""
        if self._target_of(self._address).down:
            raise _exceptions.ConnectRefusedError(self._address, "down")

    def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: net.Headers | None = None,
        may_send: net.MaySend = lambda: True,
    ) -> net.HttpAnswer:
        """Make one call; return the answer."""
        return self._call_once(
            self._address,
            method,
            path,
            body,
            headers or {},
            self._silence_s,
            may_send,
        )


class MemoryLinks:
    """The peer links of one instance on the in-memory network."""

    def __init__(
        self,
        network: Network,
        clock: PausableClock,
        instance: "_compose.Instance",
    ) -> None:
        self._network = network
        self._clock = clock
        self._instance = instance
        self.name = instance.settings.instance
        self.sent_bytes = 0
        self.inbox: gevent.queue.Queue[wire.Message] = gevent.queue.Queue()
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start the loops for probe rounds and for received messages."""
        settings = self._instance.settings
        address = f"{settings.host}:{settings.peer_port}"
        self._network.links[address] = self
        self._tasks = [
            gevent.spawn(self._run_probe_rounds),
            gevent.spawn(self._run_inbox),
        ]

    def stop(self) -> None:
        """Probe once more, which reports an announced departure, and stop."""
        self._probe()
        gevent.killall(self._tasks, block=False)

    def kill(self) -> None:
        """Stop as a crash would, without sending anything."""
        gevent.killall(self._tasks, block=False)

    def fetch_state(
        self, address: str, stream: str, key: str = ""
    ) -> "result.Result[wire.StateReply, _exceptions.AgatewingError]":
        """Return a peer's state of a stream, or the error of the call."""
        self._clock.sleep(self._network.delay())
        peer = self._network.links.get(address)
        if peer is None or not self._network.reaches(self.name, peer.name):
            return result.Err(_exceptions.TargetSilentError(address, "cut"))
        if peer._clock.paused:
            # A paused peer doesn't answer; the call times out.
            self._clock.sleep(1.0)
            return result.Err(_exceptions.TargetSilentError(address, "paused"))
        reply = peer._instance.state_reply(stream, key)
        self._clock.sleep(self._network.delay())
        return result.Ok(reply)

    def _run_probe_rounds(self) -> None:
        while True:
            self._probe()
            # Interval of probe rounds of the failure detector, in seconds.
            self._clock.sleep(0.75)

    def _probe(self) -> None:
        instance = self._instance
        now = self._clock.monotonic()
        self._send(instance.detector.tick(now, instance.sender_state()))

    def _run_inbox(self) -> None:
        while True:
            message = self.inbox.get()
            self._clock.wait_while_paused()
            instance = self._instance
            source = message.sender.address
            self._send(
                instance.detector.receive(
                    message,
                    source,
                    self._clock.monotonic(),
                    instance.sender_state(),
                )
            )

    def _send(self, outgoing: list[membership.Outgoing]) -> None:
        for item in outgoing:
            self._network.send(self.name, item.address, item.message)
