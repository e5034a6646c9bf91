"""Tests of whole processes on loopback with the standard HTTP client."""

import collections.abc
import http.client
import json
import pathlib
import re
import signal
import socket
import threading
import time
import typing

import gevent
import pytest

from agatewing import _program
from agatewing import harness

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
TOKEN = "shops-guarda-token"
HEADERS = {
    "Authorization": f"Bearer {TOKEN}",
    "Content-Type": "application/json",
}
BODY = {
    "model": "restock-draft",
    "prompt": "weekly restock " * 20,
    "max_tokens": 120,
    "stream": True,
    "seed": 5,
}


@pytest.fixture(scope="module")
def deployment() -> collections.abc.Iterator[harness.Deployment]:
    with harness.Deployment(EXAMPLES / "aldeias.jsonc", instances=3) as d:
        d.start()
        d.wait_ready(d.version)
        gevent.sleep(2.5)
        yield d


def _open(
    address: str,
    method: str,
    path: str,
    body: bytes | str = b"",
    headers: dict[str, str] | None = None,
) -> http.client.HTTPResponse:
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=20)
    conn.request(method, path, body, HEADERS if headers is None else headers)
    return conn.getresponse()


def _problem(resp: http.client.HTTPResponse) -> dict[str, typing.Any]:
    assert resp.headers["Content-Type"] == "application/problem+json"
    body: dict[str, typing.Any] = json.loads(resp.read())
    assert body["status"] == resp.status
    assert body["remedy"] and body["detail"]
    return body


def _events(raw: bytes) -> list[tuple[str, str]]:
    """Return the position and the data of each complete event."""
    events = []
    for event in raw.split(b"\n\n"):
        match = re.match(rb"id: \S+\.(\d+)\ndata: (.*)$", event, re.DOTALL)
        if match:
            events.append((match[1].decode(), match[2].decode()))
    return events


def _last_id(raw: bytes) -> str:
    complete = raw[: raw.rfind(b"\n\n")]
    return re.findall(rb"^id: (\S+)$", complete, re.MULTILINE)[-1].decode()


def test_a_stock_client_streams_a_completion(
    deployment: harness.Deployment,
) -> None:
    resp = _open(
        deployment.caller_address("entry-1"),
        "POST",
        "/v1/completions",
        json.dumps(BODY),
    )
    assert resp.status == 200
    assert resp.headers["Content-Type"] == "text/event-stream"
    events = _events(resp.read())
    assert [int(p) for p, _ in events] == list(range(1, len(events) + 1))
    assert events[-1][1] == "[DONE]"
    last = json.loads(events[-2][1])
    assert last["choices"][0]["finish_reason"] == "stop"


@pytest.mark.parametrize("endpoint", ["completions", "chat/completions"])
def test_an_answer_that_is_not_streamed(
    deployment: harness.Deployment, endpoint: str
) -> None:
    body = {**BODY, "stream": False, "max_tokens": 10}
    if endpoint != "completions":
        del body["prompt"]
        body["messages"] = [{"role": "user", "content": "how much rice?"}]
    resp = _open(
        deployment.caller_address("entry-2"),
        "POST",
        f"/v1/{endpoint}",
        json.dumps(body),
    )
    answer = json.loads(resp.read())
    assert resp.status == 200
    choice = answer["choices"][0]
    text = choice.get("text") or choice["message"]["content"]
    assert len(text.split()) == answer["usage"]["completion_tokens"] > 0


def test_a_killed_instance_loses_no_byte_of_a_stream(
    deployment: harness.Deployment,
) -> None:
    uninterrupted = _open(
        deployment.caller_address("entry-1"),
        "POST",
        "/v1/completions",
        json.dumps(BODY),
    ).read()
    resp = _open(
        deployment.caller_address("entry-2"),
        "POST",
        "/v1/completions",
        json.dumps(BODY),
    )
    partial = b""
    while partial.count(b"\n\n") < 20:
        partial += resp.read1(4096)
    deployment.instances["entry-2"].kill()
    received = partial[: partial.rfind(b"\n\n") + 2]
    resp = _open(
        deployment.caller_address("entry-3"),
        "POST",
        "/v1/completions",
        json.dumps(BODY),
        {**HEADERS, "Last-Event-ID": _last_id(received)},
    )
    rest = resp.read()
    deployment.instances["entry-2"].start()
    harness.wait_open(deployment.caller_address("entry-2"))
    resumed = _events(received + rest)
    expected = _events(uninterrupted)
    assert [p for p, _ in resumed] == [p for p, _ in expected]
    resumed_texts = [_choices(data) for _, data in resumed]
    assert resumed_texts == [_choices(data) for _, data in expected]


def _choices(data: str) -> str:
    """Return the choices of an event.

    Its other fields, such as ``created``, may differ between two runs.
    """
    if data == "[DONE]":
        return data
    return str(json.loads(data)["choices"])


def test_a_lost_engine_is_replaced_in_mid_stream(
    deployment: harness.Deployment,
) -> None:
    received_before = {
        name: deployment.engine_stats(name)["received"]
        for name in deployment.engines
    }
    resp = _open(
        deployment.caller_address("entry-1"),
        "POST",
        "/v1/completions",
        json.dumps(BODY),
    )
    partial = b""
    while partial.count(b"\n\n") < 10:
        partial += resp.read1(4096)
    (engine,) = [
        name
        for name in deployment.engines
        if deployment.engine_stats(name)["received"] > received_before[name]
    ]
    deployment.engines[engine].kill()
    events = _events(partial + resp.read())
    deployment.engines[engine].start()
    harness.wait_open(deployment.document.engines[engine].address)
    assert [int(p) for p, _ in events] == list(range(1, len(events) + 1))
    assert events[-1][1] == "[DONE]"


def test_a_silent_stream_is_resumed_without_loss(
    deployment: harness.Deployment,
) -> None:
    resp = _open(
        deployment.caller_address("entry-1"),
        "POST",
        "/v1/completions",
        json.dumps(BODY),
    )
    partial = b""
    while partial.count(b"\n\n") < 10:
        partial += resp.read1(4096)
    for engine in deployment.document.engines.values():
        deployment.call_standin(
            engine.address, "POST", "/standin/faults", {"mute": True}
        )
    # Longer than STREAM_SILENCE_TIMEOUT_S of agatewing.fleet, 3 s.
    gevent.sleep(4.0)
    for engine in deployment.document.engines.values():
        deployment.call_standin(
            engine.address, "POST", "/standin/faults", {"mute": False}
        )
    events = _events(partial + resp.read())
    assert [int(p) for p, _ in events] == list(range(1, len(events) + 1))
    assert events[-1][1] == "[DONE]"


BadRequest = tuple[str, str, bytes, dict[str, str], int, str]

BAD_REQUESTS: dict[str, BadRequest] = {
    "malformed JSON": (
        "POST", "/v1/completions", b"{", HEADERS, 400, "bad-request",
    ),
    "missing prompt": (
        "POST", "/v1/completions", b'{"model": "restock-draft"}', HEADERS,
        400, "bad-request",
    ),
    "wrong type": (
        "POST", "/v1/completions",
        b'{"model": "restock-draft", "prompt": 7}', HEADERS,
        400, "bad-request",
    ),
    "too many tokens": (
        "POST", "/v1/completions",
        b'{"model": "restock-draft", "prompt": "x", "max_tokens": 9999999}',
        HEADERS, 400, "bad-request",
    ),
    "oversize body": (
        "POST", "/v1/completions", b" " * 4_000_001, HEADERS,
        413, "too-large",
    ),
    "oversize head": (
        "GET", "/v1/models", b"", {**HEADERS, "X-Big": "x" * 40_000},
        413, "too-large",
    ),
    "unknown model": (
        "POST", "/v1/completions", b'{"model": "nope", "prompt": "x"}',
        HEADERS, 404, "unknown-model",
    ),
    "bad token": (
        "POST", "/v1/completions", b"{}", {"Authorization": "Bearer no"},
        401, "bad-token",
    ),
    "no token": ("POST", "/v1/completions", b"{}", {}, 401, "bad-token"),
    "unknown path": ("GET", "/v2/nothing", b"", HEADERS, 404, "not-found"),
    "unknown service": (
        "GET", "/services/none/x", b"", HEADERS, 404, "not-found",
    ),
    "bad deadline": (
        "POST", "/v1/completions", b"{}",
        {**HEADERS, "Agatewing-Deadline": "soon"}, 400, "bad-request",
    ),
    "no key": (
        "POST", "/services/accounts/orders/1/confirm", b"{}", HEADERS,
        400, "idempotency-key-required",
    ),
    "key of the wrong kind": (
        "POST", "/services/accounts/orders/1/confirm", b"{}",
        {**HEADERS, "Idempotency-Key": "order-1"},
        400, "idempotency-key-invalid",
    ),
    "key too old": (
        "POST", "/services/accounts/orders/1/confirm", b"{}",
        {
            **HEADERS,
            "Idempotency-Key": "01000000-0000-7000-8000-000000000000",
        },
        422, "idempotency-key-expired",
    ),
    "forged resume id": (
        "POST", "/v1/completions", json.dumps(BODY).encode(),
        {**HEADERS, "Last-Event-ID": "AAAAAAAAAAAAAAAAAAAAAAAA.3"},
        400, "bad-resume-id",
    ),
    "hopeless deadline": (
        "POST", "/v1/completions", json.dumps(BODY).encode(),
        {**HEADERS, "Agatewing-Deadline": "0.2"},
        503, "deadline-unreachable",
    ),
}  # fmt: skip


@pytest.mark.parametrize("name", BAD_REQUESTS)
def test_a_bad_request_gets_a_problem_document(
    deployment: harness.Deployment, name: str
) -> None:
    method, path, body, headers, status, kind = BAD_REQUESTS[name]
    address = deployment.caller_address("entry-1")
    resp = _open(address, method, path, body, headers)
    problem = _problem(resp)
    assert problem["type"] == f"urn:agatewing:problem:{kind}"
    assert resp.status == status
    if status == 503:
        assert int(resp.headers["Retry-After"]) >= 1
    # The log may no longer hold the records of an expired key, so it is
    # unknown whether its call ran.
    outcome = "unknown" if name == "key too old" else "not-run"
    assert problem["outcome"] == outcome


def _read_until(sock: socket.socket, marker: bytes) -> bytes:
    """Read until the answer contains ``marker`` or the connection ends.

    One ``recv`` isn't enough: head and body arrive separately.
    """
    received = b""
    while marker not in received:
        chunk = sock.recv(65_536)
        if not chunk:
            break
        received += chunk
    return received


def test_a_slow_sender_is_cut_off(tmp_path: pathlib.Path) -> None:
    limits = {"limits": {"request_read_s": 0.5}}
    with harness.Deployment(
        EXAMPLES / "aldeias.jsonc", instances=1, settings=limits
    ) as d:
        d.start()
        d.wait_ready(d.version)
        host, _, port = d.caller_address("entry-1").rpartition(":")
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {TOKEN}\r\n"
        )
        for unfinished in (head, head + "Content-Length: 10\r\n\r\n{"):
            with socket.create_connection((host, int(port)), 10) as sock:
                sock.sendall(unfinished.encode())
                answer = _read_until(sock, b"slow-sender")
                assert answer.startswith(b"HTTP/1.1 408")
                assert b"slow-sender" in answer


def test_a_reused_key_with_another_body_is_refused(
    deployment: harness.Deployment,
) -> None:
    path = "/services/accounts/orders/1/confirm"
    key = _new_key(1)
    headers = {**HEADERS, "Idempotency-Key": key}
    first_address = deployment.caller_address("entry-1")
    other_address = deployment.caller_address("entry-3")
    assert _open(first_address, "POST", path, b"{}", headers).status == 200
    retried = _open(other_address, "POST", path, b"{}", headers)
    assert retried.status == 200
    assert json.loads(retried.read())["key"] == key
    problem = _problem(
        _open(other_address, "POST", path, b'{"a": 1}', headers)
    )
    assert problem["type"].endswith("idempotency-key-reused")
    assert deployment.effects()[key] == 1


def _new_key(number: int) -> str:
    from agatewing import calls

    return str(calls.new_key(time.time(), number))


def test_sigterm_lets_streams_complete_before_the_process_exits() -> None:
    with harness.Deployment(EXAMPLES / "aldeias.jsonc", instances=2) as d:
        d.start()
        d.wait_ready(d.version)
        address = d.caller_address("entry-1")
        resp = _open(address, "POST", "/v1/completions", json.dumps(BODY))
        partial = resp.read1(4096)
        process = d.instances["entry-1"]
        process.send(signal.SIGTERM)
        time.sleep(0.15)
        ready = _open(address, "GET", "/readyz")
        assert ready.status == 503
        ready.read()
        refused = _open(address, "POST", "/v1/completions", json.dumps(BODY))
        assert _problem(refused)["type"].endswith("instance-leaving")
        events = _events(partial + resp.read())
        assert events[-1][1] == "[DONE]"
        assert process.wait(15.0) == 0


def test_the_daemon_checks_its_settings(tmp_path: pathlib.Path) -> None:
    from agatewing import daemon

    path = tmp_path / "bad.jsonc"
    # "hots" is not a setting.
    path.write_text('{"instance": "a", "hots": "x"} // no')
    args = ["--settings", str(path), "--check"]
    assert daemon.main(args) == _program.EXIT_SETTINGS
    good = EXAMPLES / "settings.jsonc"
    assert daemon.main(["--settings", str(good), "--check"]) == 0


def test_concurrent_streams_do_not_mix(
    deployment: harness.Deployment,
) -> None:
    texts: dict[int, str] = {}

    def generate(seed: int) -> None:
        body = {**BODY, "seed": seed, "max_tokens": 30}
        # Even seeds go to entry-1, odd ones to entry-3.
        address = deployment.caller_address(f"entry-{seed % 2 * 2 + 1}")
        raw = _open(
            address, "POST", "/v1/completions", json.dumps(body)
        ).read()
        events = _events(raw)
        assert events[-1][1] == "[DONE]"
        texts[seed] = "".join(_choices(data) for _, data in events)

    threads = [threading.Thread(target=generate, args=(n,)) for n in range(12)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(texts) == 12
    concurrent_texts = dict(texts)
    # Alone, a seed gives the same answer as among concurrent streams.
    for seed in (0, 5, 11):
        generate(seed)
    assert texts == concurrent_texts
