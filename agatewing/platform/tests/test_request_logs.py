"""Fields of the log lines that describe a request."""

import collections.abc
import dataclasses
import logging

import gevent
import pytest

from agatewing import gateway
from agatewing.gateway import _caller_conn
from agatewing.gateway import _caller_limits
from agatewing.gateway import _lifecycle
from agatewing.platform import standins

#: Longest time that a line may name, in seconds.
WAIT_S = 5.0
PROMPT_HEADERS = {
    "X-Token-Count": "1200,20",
    "X-Prefix-Hash": "aa:700,bb:100,cc:400",
}


@pytest.fixture
def site() -> collections.abc.Iterator[standins.Site]:
    with standins.Site() as made:
        made.route("/chat/", "streaming", sticky=True)
        made.route("/slow/", "streaming", sticky=True, timeout_ms=9_000)
        made.add_target("e1")
        made.publish()
        yield made


@pytest.fixture
def instance(site: standins.Site) -> gateway.GatewayInstance:
    made = site.start()
    site.wait(lambda: made.catalog.targets)
    site.wait(lambda: made.lifecycle.ready)
    return made


# Nothing said that a target limits the requests of all instances.
def test_lines_name_the_limit_of_a_target(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
) -> None:
    engine = site.targets["e1"]
    with caplog.at_level(logging.INFO, logger="agatewing.limits"):
        for engine.limit in ("", "5.1", "5.1", "not a number"):
            reply = site.ask(instance, "/chat/x", "s1", PROMPT_HEADERS)
            assert reply.status == 200
    assert [
        (r.getMessage(), getattr(r, "limit_per_s", None))
        for r in caplog.records
    ] == [
        ("limits: a target limits its requests", 5.1),
        ("limits: a target has no limit any more", None),
    ]
    metrics = instance.render_metrics()[0].decode()
    assert "agatewing_sends_to_limited_total 2" in metrics


# Logs did not say which prefix blocks the requests of a crash had in common.
@pytest.mark.parametrize(
    ("behaviour", "message"),
    [
        (standins.Behaviour.ANSWER, "request: answered"),
        (standins.Behaviour.RESET, "request: send failed"),
    ],
)
def test_lines_name_the_shared_prefix_blocks(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
    behaviour: standins.Behaviour,
    message: str,
) -> None:
    site.targets["e1"].script.append(behaviour)
    with caplog.at_level(logging.INFO, logger="agatewing.request"):
        site.ask(instance, "/chat/x", "s1", PROMPT_HEADERS)
    (line,) = [r for r in caplog.records if r.getMessage() == message]
    assert getattr(line, "prefix") == "aa,bb"


def lines_of(
    caplog: pytest.LogCaptureFixture, message: str
) -> list[logging.LogRecord]:
    return [r for r in caplog.records if r.getMessage() == message]


# Nothing told a target that was silent from one that broke the connection.
@pytest.mark.parametrize(
    ("behaviour", "at_least", "below"),
    [
        (standins.Behaviour.RESET, 0.0, 0.3),
        (standins.Behaviour.HANG, 0.4, 3.0),
        (standins.Behaviour.NOT_RUN, None, None),
    ],
)
def test_a_failed_send_names_the_silence_before_it(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
    behaviour: standins.Behaviour,
    at_least: float | None,
    below: float | None,
) -> None:
    site.targets["e1"].script.append(behaviour)
    headers = {**PROMPT_HEADERS, "X-Deadline-Ms": "1500"}
    with caplog.at_level(logging.INFO, logger="agatewing.request"):
        site.ask(instance, "/chat/x", "s1", headers)
    (line,) = lines_of(caplog, "request: send failed")
    silent_s = getattr(line, "silent_s")
    if at_least is None or below is None:
        assert silent_s is None
    else:
        assert at_least <= silent_s < below


# Nothing said how long a connection was awaited that was not established, nor
# whether the instance reached any target.
def test_lines_name_connections_that_fail_and_targets_not_reached(
    site: standins.Site,
    caplog: pytest.LogCaptureFixture,
) -> None:
    site.add_target("e2")
    instance = site.start()
    site.wait(lambda: len(instance.catalog.targets) == 2)
    site.wait(lambda: instance.lifecycle.ready)
    for engine in site.targets.values():
        engine.stop()
    headers = {**PROMPT_HEADERS, "X-Deadline-Ms": "900"}
    with caplog.at_level(logging.INFO, logger="agatewing"):
        site.ask(instance, "/chat/x", "s1", headers)
        site.wait(lambda: lines_of(caplog, "links: targets not reached"))
    (lost,) = lines_of(caplog, "links: targets not reached")
    assert (
        getattr(lost, "service"),
        getattr(lost, "targets"),
        getattr(lost, "failing"),
        getattr(lost, "picture"),
    ) == ("chat", 2, 2, "refused")
    assert 0.0 <= getattr(lost, "since_s") < WAIT_S
    failed = lines_of(caplog, "request: send failed")
    assert failed
    assert all(0.0 <= getattr(r, "connect_s") < WAIT_S for r in failed)


# Nothing said that targets were reached again.
def test_a_line_says_that_targets_are_reached_again(
    site: standins.Site,
    caplog: pytest.LogCaptureFixture,
) -> None:
    instance = site.start()
    site.wait(lambda: instance.lifecycle.ready)
    engine = site.targets["e1"]
    port = int(engine.address.rpartition(":")[2])
    engine.stop()
    with caplog.at_level(logging.INFO, logger="agatewing"):
        for number in range(8):
            site.ask(instance, "/chat/x", f"s{number}", PROMPT_HEADERS)
            site.clock.advance(1.0)
            if lines_of(caplog, "links: targets not reached"):
                break
        site.targets["e1"] = standins.EngineStandin("e1", 3, port)
        site.clock.advance(5.0)
        reply = site.ask(instance, "/chat/x", "s9", PROMPT_HEADERS)
        assert reply.status == 200
        site.wait(lambda: lines_of(caplog, "links: targets reached again"))
    (again,) = lines_of(caplog, "links: targets reached again")
    assert getattr(again, "service") == "chat"
    assert getattr(again, "after_s") > 0.0


# Nothing said whether the configuration had changed under an answer that was
# cut off, nor how much of it the caller had.
def test_a_cut_off_answer_names_its_events_and_the_configurations(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
) -> None:
    engine = site.targets["e1"]
    engine.pause_s = 0.3
    engine.script.append(standins.Behaviour.CUT)
    before = instance.catalog.config_version
    with caplog.at_level(logging.INFO, logger="agatewing.server"):
        asked = gevent.spawn(
            site.ask, instance, "/chat/x", "s1", PROMPT_HEADERS
        )
        site.wait(lambda: engine.runs)
        after = site.publish()
        assert not asked.get().complete
    (line,) = lines_of(caplog, "server: answer cut off")
    assert before < after
    assert (
        getattr(line, "events"),
        getattr(line, "config_at_start"),
        getattr(line, "config"),
    ) == (2, before, after)


# A connection that the instance ended under a request left no line.
def test_a_caller_that_does_not_read_leaves_a_line(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(_caller_conn, "WRITE_TIMEOUT_S", 0.2)
    site.targets["e1"].event_suffix = "x" * 900_000
    site.targets["e1"].events = 12
    fields = {"Host": standins.HOST, "X-Request-Id": "s1", **PROMPT_HEADERS}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    ended = "server: connection ended without an answer"
    with caplog.at_level(logging.INFO, logger="agatewing.server"):
        with site.connect(instance) as sock:
            sock.sendall(f"POST /chat/x HTTP/1.1\r\n{lines}\r\n".encode())
            # Other lines may come before, such as that of a slow log.
            site.wait(lambda: lines_of(caplog, ended))
    (line,) = lines_of(caplog, ended)
    assert getattr(line, "reason") == "write timed out"
    assert getattr(line, "request") == "s1"


def test_a_caller_that_disconnects_leaves_no_line(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
) -> None:
    engine = site.targets["e1"]
    engine.script.append(standins.Behaviour.HANG)
    fields = {"Host": standins.HOST, "X-Request-Id": "s1", **PROMPT_HEADERS}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    with caplog.at_level(logging.INFO, logger="agatewing.server"):
        with site.connect(instance) as sock:
            sock.sendall(f"POST /chat/x HTTP/1.1\r\n{lines}\r\n".encode())
            site.wait(lambda: engine.runs)
        site.wait(lambda: engine.dropped)
    assert not caplog.records


def test_a_request_under_way_at_the_end_of_the_instance_leaves_a_line(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
) -> None:
    engine = site.targets["e1"]
    engine.script.append(standins.Behaviour.HANG)
    instance.lifecycle.stop_limit_s = 1.0
    with caplog.at_level(logging.INFO, logger="agatewing.server"):
        asked = gevent.spawn(
            site.ask, instance, "/slow/x", "s1", PROMPT_HEADERS
        )
        site.wait(lambda: engine.runs)
        assert not instance.stop()
        reply = asked.get()
    (line,) = lines_of(caplog, "server: refused")
    assert (getattr(line, "request"), getattr(line, "status")) == ("s1", 502)
    assert (reply.status, reply.complete) == (502, True)


# Nothing told a refusal at the deadline that a request had been given from
# one that a changed configuration had brought forward.
def test_a_refusal_names_its_time_left_and_the_configurations(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
) -> None:
    engine = site.targets["e1"]
    engine.script.append(standins.Behaviour.HANG)
    headers = {**PROMPT_HEADERS, "X-Deadline-Ms": "700"}
    before = instance.catalog.config_version
    with caplog.at_level(logging.INFO, logger="agatewing.server"):
        asked = gevent.spawn(site.ask, instance, "/slow/x", "s1", headers)
        site.wait(lambda: engine.runs)
        after = site.publish()
        assert asked.get().status == 504
    (line,) = lines_of(caplog, "server: refused")
    assert getattr(line, "left_s") <= 0.0
    assert (getattr(line, "config_at_start"), getattr(line, "config")) == (
        before,
        after,
    )


# Nothing told a 404 of a configuration that had just been read from one of an
# instance that had not read the log for seconds.
def test_a_refusal_without_a_route_names_the_age_of_the_configuration(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
) -> None:
    site.logs["i1"].disconnected = True
    site.wait(lambda: instance.catalog.log_unavailable)
    site.clock.advance(7.0)
    with caplog.at_level(logging.INFO, logger="agatewing.server"):
        assert site.ask(instance, "/none/x", "n1").status == 404
    (line,) = lines_of(caplog, "server: refused")
    assert getattr(line, "config") == site.version
    assert 7.0 <= getattr(line, "config_age_s") <= 7.0 + WAIT_S


# A connection that the instance closed while it was idle left no line.
@pytest.mark.parametrize("reason", ["the idle limit", "the instance stops"])
def test_an_idle_connection_that_is_closed_leaves_a_line(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
    monkeypatch: pytest.MonkeyPatch,
    reason: str,
) -> None:
    monkeypatch.setattr(_caller_limits, "FORMER_LIMIT_KEEP_S", 0.0)
    monkeypatch.setattr(_lifecycle, "ACCEPT_AFTER_STOP_S", 0.1)
    stops = reason == "the instance stops"
    site.publish(idle_timeout_ms=9_000 if stops else 100)
    site.wait(lambda: instance.catalog.config_version == site.version)
    with caplog.at_level(logging.INFO, logger="agatewing.caller"):
        with site.connect(instance) as sock:
            host, port = sock.getsockname()
            if stops:
                instance.stop()
            assert not sock.recv(1)
    (line,) = lines_of(caplog, "caller: idle connection closed")
    assert getattr(line, "caller") == f"{host}:{port}"
    assert getattr(line, "reason") == reason
    assert not getattr(line, "unread")


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    path: str = "/chat/x?a=1"
    body: bytes = b"text"


def fingerprints(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
    requests: list[Sent],
    message: str,
) -> list[str]:
    """Send requests; return the fingerprints that the log lines name."""
    with caplog.at_level(logging.INFO, logger="agatewing.request"):
        for number, sent in enumerate(requests):
            headers = {**PROMPT_HEADERS, **sent.headers}
            # A target that broke an answer off would be left out.
            instance.registry.by_id["e1"].record_answer()
            site.ask(
                instance, sent.path, f"s{number}", headers, body=sent.body
            )
    lines = [r for r in caplog.records if r.getMessage() == message]
    return [getattr(line, "fingerprint") for line in lines]


# Logs did not say which requests were the same one, sent again by its caller:
# each attempt has an id of its own.
@pytest.mark.parametrize(
    ("behaviour", "message"),
    [
        (standins.Behaviour.ANSWER, "request: answered"),
        (standins.Behaviour.RESET, "request: send failed"),
    ],
)
def test_lines_show_that_a_request_comes_again(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
    behaviour: standins.Behaviour,
    message: str,
) -> None:
    same = [
        Sent(),
        Sent({"X-Deadline-Ms": "900", "Host": "SITE.example:80"}),
        Sent({"X-Length-Hint": "7", "Traceparent": "00-1"}),
    ]
    site.targets["e1"].script.extend([behaviour] * len(same))
    found = fingerprints(site, instance, caplog, same, message)
    assert len(found) == len(same)
    assert len(set(found)) == 1
    assert len(found[0]) == 16


def test_lines_tell_different_requests_apart(
    site: standins.Site,
    instance: gateway.GatewayInstance,
    caplog: pytest.LogCaptureFixture,
) -> None:
    others = [
        Sent(),
        Sent(path="/chat/y?a=1"),
        Sent(path="/chat/x?a=2"),
        Sent(body=b"texts"),
        Sent(body=b""),
        Sent({"Authorization": "Bearer a"}),
        Sent({"Authorization": "Bearer b"}),
        Sent({"Cookie": "Bearer b"}),
        Sent({"X-Model": "m2"}),
        Sent({"X-Token-Count": "1201,20"}),
        Sent({"X-Prefix-Hash": "aa:700,bb:100,cd:400"}),
        Sent({"X-Prefix-Hash": "aa:700,bb:100"}),
    ]
    found = fingerprints(site, instance, caplog, others, "request: answered")
    assert len(set(found)) == len(others)
