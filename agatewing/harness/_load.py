"""A caller: sends requests as a careful client does, and checks answers."""

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

#: Tries of one request at other instances.
MAX_TRIES = 8
#: Pause before another instance is tried, in seconds.
PAUSE_S = 0.15
#: Silence after which a caller reconnects, in seconds.
SILENCE_S = 8.0

_ID = re.compile(rb"^id: (\S+)\.(\d+)$", re.MULTILINE)
_RETRY_KINDS = frozenset(
    {"instance-leaving", "stale-configuration", "not-ready"}
)


@dataclasses.dataclass(slots=True)
class GenerationResult:
    """What became of one request for an answer."""

    #: Name of the kind of request.
    kind: str
    #: Time until the first event, in seconds; ``None`` without one.
    first_s: float | None = None
    #: Time until the whole answer, in seconds.
    total_s: float = 0.0
    #: Longest time between two events, in seconds.
    longest_gap_s: float = 0.0
    #: Kind of refusal; empty if the answer was whole.
    refused: str = ""
    #: Whether the answer was whole and the right one.
    whole: bool = False
    #: Whether it was passed off as whole and was not.
    wrong: bool = False
    #: Number of reconnects.
    resumes: int = 0
    #: Monotonic time at which it was sent.
    at: float = 0.0


@dataclasses.dataclass(slots=True)
class OnceRecord:
    """What a caller was told about one at-most-once call."""

    #: Idempotency key.
    key: str
    #: Final answer: ``answered``, ``not-run``, ``unknown``.
    told: str = "unknown"
    #: Kind of the last refusal.
    refused: str = ""
    #: Tries made.
    tries: int = 0
    #: Time until the final answer, in seconds.
    total_s: float = 0.0


class LoadClient:
    """One caller account."""

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
        #: Refusals by kind, over all tries.
        self.refusals: collections.Counter[str] = collections.Counter()

    def generate(
        self,
        kind: str,
        model: str,
        prompt: str,
        max_tokens: int,
        deadline_s: float,
    ) -> GenerationResult:
        """Ask for an answer; reconnect with Last-Event-ID if it breaks."""
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
        outcome = GenerationResult(kind, at=time.monotonic())
        reader = _StreamReader(outcome, time.monotonic())
        for _ in range(MAX_TRIES):
            if not self._try_stream(body, reader, deadline_s):
                break
            gevent.sleep(PAUSE_S)
        outcome.total_s = time.monotonic() - outcome.at
        if reader.done:
            expected = _expected_text(model, seed, prompt, max_tokens)
            outcome.whole = reader.text() == expected
            outcome.wrong = not outcome.whole
        elif not outcome.refused:
            outcome.refused = "broken"
        return outcome

    def _try_stream(
        self, body: bytes, reader: "_StreamReader", deadline_s: float
    ) -> bool:
        """Make one connection; return whether to try again."""
        headers = self._headers()
        headers["Agatewing-Deadline"] = f"{deadline_s:g}"
        if reader.last_id:
            headers["Last-Event-ID"] = reader.last_id
            reader.outcome.resumes += 1
        try:
            answer = self._client().open(
                "POST", "/v1/completions", body, headers
            )
            if answer.status != 200:
                return self._note_refusal(answer, reader.outcome)
            while data := answer.read_available():
                if reader.feed(data):
                    answer.close()
                    return False
        except _exceptions.AgatewingError:
            return not reader.done
        return not reader.done

    def _note_refusal(
        self, answer: net.StreamAnswer, outcome: GenerationResult
    ) -> bool:
        problem = msgspec.json.decode(answer.read_all())
        kind = problem["type"].rpartition(":")[2]
        self.refusals[kind] += 1
        if kind in _RETRY_KINDS:
            return True
        outcome.refused = kind
        return False

    def call_once(self, path: str, patience: int) -> OnceRecord:
        """Make an at-most-once call; repeat it with the same key."""
        key = str(calls.new_key(time.time(), self._random.getrandbits(74)))
        record = OnceRecord(key)
        started = time.monotonic()
        headers = {**self._headers(), "Idempotency-Key": key}
        for _ in range(patience):
            record.tries += 1
            if not self._try_once(path, headers, record):
                break
            gevent.sleep(PAUSE_S * record.tries)
        record.total_s = time.monotonic() - started
        return record

    def _try_once(
        self, path: str, headers: dict[str, str], record: OnceRecord
    ) -> bool:
        """Make one try; return whether another makes sense."""
        try:
            answer = self._client().call("POST", path, b"{}", headers)
        except _exceptions.ConnectRefusedError:
            record.refused = "no-connection"
            return True
        except _exceptions.AgatewingError:
            record.told = "unknown"
            record.refused = "broken"
            return True
        if answer.status == 200:
            record.told = "answered"
            return False
        problem = msgspec.json.decode(answer.body)
        record.refused = problem["type"].rpartition(":")[2]
        record.told = problem["outcome"]
        self.refusals[record.refused] += 1
        return "retry_after_s" in problem

    def read(self, path: str) -> bool:
        """Make a repeatable call; return whether it was answered."""
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
            client = net.HttpClient(address, silence_timeout_s=SILENCE_S)
            self._clients[address] = client
        return client


class _StreamReader:
    """Reads events; knows the last id and whether all came in order."""

    def __init__(self, outcome: GenerationResult, started: float) -> None:
        self.outcome = outcome
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
        """Take bytes in; return whether the answer is whole."""
        self._buffer += data
        *events, self._buffer = self._buffer.split(b"\n\n")
        for event in events:
            self._take(event)
        return self.done

    def _take(self, event: bytes) -> None:
        match = _ID.search(event)
        if match is None:
            return
        now = time.monotonic()
        if self.outcome.first_s is None:
            self.outcome.first_s = now - self._started
        else:
            gap = now - self._last_at
            self.outcome.longest_gap_s = max(self.outcome.longest_gap_s, gap)
        self._last_at = now
        position = int(match.group(2))
        if position != self._position + 1:
            self.outcome.wrong = True
        self._position = position
        self.last_id = f"{match.group(1).decode()}.{position}"
        payload = event[event.index(b"data: ") + 6 :]
        if payload == b"[DONE]":
            self.done = True
            return
        choice = msgspec.json.decode(payload)["choices"][0]
        self._texts.append(choice["text"])


def _expected_text(model: str, seed: int, prompt: str, max_tokens: int) -> str:
    """Return the one right answer of the stand-in engines."""
    key = _tokens.text_key(model, seed, prompt)
    tokens = max_tokens - key % max(1, max_tokens // 2)
    writer = _tokens.EventWriter("", model, "completions", 0, key, tokens)
    parts = []
    for event in writer.events(1, tokens).split(b"\n\n")[:-1]:
        payload = event[event.index(b"data: ") + 6 :]
        parts.append(msgspec.json.decode(payload)["choices"][0]["text"])
    return "".join(parts)
