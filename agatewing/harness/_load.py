"""Load client of one caller, which retries safely and checks answers."""

import collections
import dataclasses
import random
import re
import time

import gevent
import msgspec

from agatewing import _exceptions
from agatewing import calls
from agatewing.harness import _balancer
from agatewing import net
from agatewing.standins import _tokens

#: Attempts at one request for an answer, each at a random ready instance.
MAX_ATTEMPTS = 8
#: Pause before a retry, in seconds; at-most-once calls multiply it by the
#: number of attempts so far.
RETRY_PAUSE_S = 0.15
#: Silence of a connection after which a caller reconnects, in seconds.
SILENCE_TIMEOUT_S = 8.0

_EVENT_ID = re.compile(rb"^id: (\S+)\.(\d+)$", re.MULTILINE)
_RETRY_KINDS = frozenset(
    {"instance-leaving", "stale-configuration", "not-ready"}
)


@dataclasses.dataclass(slots=True)
class GenerationResult:
    """The result of one request to a model."""

    #: Name of the kind of request, for the report.
    kind: str
    #: Time until the first event, in seconds; ``None`` without one.
    first_s: float | None = None
    #: Time until the last event or the refusal, in seconds.
    total_s: float = 0.0
    #: Longest time between two events, in seconds.
    longest_gap_s: float = 0.0
    #: Kind of refusal, or ``broken`` if attempts ran out; empty if the
    #: stream was completed.
    refused: str = ""
    #: Whether the stream was completed with the expected text.
    complete: bool = False
    #: Whether the stream was completed with another text, or broke off
    #: after a skipped or repeated event.
    wrong_text: bool = False
    #: Number of attempts to resume the stream.
    resumes: int = 0
    #: Monotonic time of the first attempt, in seconds.
    at: float = 0.0


@dataclasses.dataclass(slots=True)
class AtMostOnceResult:
    """The result of one at-most-once call, as reported to the caller."""

    #: Idempotency key.
    key: str
    #: Final outcome: ``answered``, ``not-run`` or ``unknown``.
    outcome: str = "unknown"
    #: Kind of the last refusal, or ``no-connection`` or ``broken``; empty
    #: if there was none.
    refused: str = ""
    #: Number of attempts.
    attempts: int = 0
    #: Time until the final outcome, in seconds.
    total_s: float = 0.0


class LoadClient:
    """Sends requests of one caller account to ready instances."""

    def __init__(
        self,
        balancer: _balancer.Balancer,
        token: str,
        rng: random.Random,
    ) -> None:
        self._balancer = balancer
        self._token = token
        self._random = rng
        self._clients: dict[str, net.HttpClient] = {}
        #: Number of refusals by kind, over all attempts.
        self.refusals: collections.Counter[str] = collections.Counter()

    def generate(
        self,
        kind: str,
        model: str,
        prompt: str,
        max_tokens: int,
        deadline_s: float,
    ) -> GenerationResult:
        """Request a streamed answer; resume it with Last-Event-ID."""
        seed = self._random.getrandbits(31)
        body = msgspec.json.encode(
            {
                "model": model,
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": True,
                "seed": seed,
            }
        )
        result = GenerationResult(kind, at=time.monotonic())
        reader = _StreamReader(result, time.monotonic())
        for _ in range(MAX_ATTEMPTS):
            if not self._attempt_stream(body, reader, deadline_s):
                break
            gevent.sleep(RETRY_PAUSE_S)
        result.total_s = time.monotonic() - result.at
        if reader.done:
            expected = _expected_text(model, seed, prompt, max_tokens)
            result.complete = reader.text() == expected
            result.wrong_text = not result.complete
        elif not result.refused:
            result.refused = "broken"
        return result

    def _attempt_stream(
        self, body: bytes, reader: "_StreamReader", deadline_s: float
    ) -> bool:
        """Make one attempt; return whether to retry."""
        headers = self._headers()
        headers["Agatewing-Deadline"] = f"{deadline_s:g}"
        if reader.last_id:
            headers["Last-Event-ID"] = reader.last_id
            reader.result.resumes += 1
        try:
            answer = self._client().open(
                "POST", "/v1/completions", body, headers
            )
            if answer.status != 200:
                return self._count_refusal(answer, reader.result)
            while data := answer.read_available():
                if reader.feed(data):
                    answer.close()
                    return False
        except _exceptions.AgatewingError:
            return not reader.done
        return not reader.done

    def _count_refusal(
        self, answer: net.StreamAnswer, result: GenerationResult
    ) -> bool:
        problem = msgspec.json.decode(answer.read_all())
        kind = problem["type"].rpartition(":")[2]
        self.refusals[kind] += 1
        if kind in _RETRY_KINDS:
            return True
        result.refused = kind
        return False

    def call_once(self, path: str, max_attempts: int) -> AtMostOnceResult:
        """Make an at-most-once call; retry it with the same key."""
        key = str(calls.new_key(time.time(), self._random.getrandbits(74)))
        record = AtMostOnceResult(key)
        started = time.monotonic()
        headers = {**self._headers(), "Idempotency-Key": key}
        for _ in range(max_attempts):
            record.attempts += 1
            if not self._attempt_call(path, headers, record):
                break
            gevent.sleep(RETRY_PAUSE_S * record.attempts)
        record.total_s = time.monotonic() - started
        return record

    def _attempt_call(
        self, path: str, headers: dict[str, str], record: AtMostOnceResult
    ) -> bool:
        """Make one attempt; return whether a retry makes sense."""
        try:
            answer = self._client().call("POST", path, b"{}", headers)
        except _exceptions.ConnectRefusedError:
            record.refused = "no-connection"
            return True
        except _exceptions.AgatewingError:
            record.outcome = "unknown"
            record.refused = "broken"
            return True
        if answer.status == 200:
            record.outcome = "answered"
            return False
        problem = msgspec.json.decode(answer.body)
        record.refused = problem["type"].rpartition(":")[2]
        record.outcome = problem["outcome"]
        self.refusals[record.refused] += 1
        return "retry_after_s" in problem

    def read(self, path: str) -> bool:
        """Make an idempotent read; return whether it was answered."""
        try:
            answer = self._client().call("GET", path, b"", self._headers())
        except _exceptions.AgatewingError:
            return False
        if answer.status != 200:
            problem = msgspec.json.decode(answer.body)
            self.refusals[problem["type"].rpartition(":")[2]] += 1
        return answer.status == 200

    def _headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._token}",
            "Content-Type": "application/json",
        }

    def _client(self) -> net.HttpClient:
        address = self._balancer.pick()
        client = self._clients.get(address)
        if client is None:
            client = net.HttpClient(
                address, silence_timeout_s=SILENCE_TIMEOUT_S
            )
            self._clients[address] = client
        return client


class _StreamReader:
    """Parses events; keeps the last id and checks their order."""

    def __init__(self, result: GenerationResult, started: float) -> None:
        self.result = result
        self.last_id = ""
        self.done = False
        self._started = started
        self._last_at = started
        self._buffer = b""
        self._position = 0
        self._texts: list[str] = []

    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self._texts)

    def feed(self, data: bytes) -> bool:
        """Parse received bytes; return whether the stream is complete."""
        self._buffer += data
        *events, self._buffer = self._buffer.split(b"\n\n")
        for event in events:
            self._parse_event(event)
        return self.done

    def _parse_event(self, event: bytes) -> None:
        match = _EVENT_ID.search(event)
        if match is None:
            return
        now = time.monotonic()
        if self.result.first_s is None:
            self.result.first_s = now - self._started
        else:
            gap = now - self._last_at
            self.result.longest_gap_s = max(self.result.longest_gap_s, gap)
        self._last_at = now
        position = int(match.group(2))
        if position != self._position + 1:
            self.result.wrong_text = True
        self._position = position
        self.last_id = f"{match.group(1).decode()}.{position}"
        payload = event[event.index(b"data: ") + 6 :]
        if payload == b"[DONE]":
            self.done = True
            return
        choice = msgspec.json.decode(payload)["choices"][0]
        self._texts.append(choice["text"])


def _expected_text(model: str, seed: int, prompt: str, max_tokens: int) -> str:
    """Return the text with which every stand-in engine must answer."""
    key = _tokens.text_key(model, seed, prompt)
    tokens = max_tokens - key % max(1, max_tokens // 2)
    event_writer = _tokens.EventWriter(
        "", model, "completions", 0, key, tokens
    )
    texts = []
    for event in event_writer.events(1, tokens).split(b"\n\n")[:-1]:
        payload = event[event.index(b"data: ") + 6 :]
        texts.append(msgspec.json.decode(payload)["choices"][0]["text"])
    return "".join(texts)
