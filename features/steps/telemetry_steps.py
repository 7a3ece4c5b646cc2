"""Steps for the log, the metrics, and the trace of one request."""

import io
import itertools
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when
from platform_standins import Caller
from platform_standins.fleet import eventually
from platform_standins.operator import KEY

from aspengate.telemetry import BackgroundLog
from gateway_world import GENEROUS_RETRIES, TOKENS, start_gateways

PIPE_CAPACITY_LINES = 400


@given("a gateway whose standard output is not read")
def unread_output(context):
    start_gateways(context, unread=True, **GENEROUS_RETRIES)


@when("more lines are logged than fit into the pipe and the queue")
def many_lines(context):
    caller = context.router.call()
    context.statuses = set()
    for number in range(PIPE_CAPACITY_LINES * 8):
        context.statuses.add(caller.request("GET", f"/receipt/{number}").status)


@then("every request succeeds, and the dropped lines are counted")
def dropped_counted(context):
    assert context.statuses == {200}, context.statuses
    page = eventually(lambda: scrape(context.router, 'what="log_lines_dropped"'))
    assert float(page.split()[-1]) > 0, page


def scrape(router, wanted):
    caller = Caller(router.metrics_address)
    caller.raw(b"GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n")
    text = caller.read().body.decode()
    found = [line for line in text.splitlines() if wanted in line]
    return found[0] if found else ""


@given("a log with a queue of 5 lines")
def small_log(context):
    context.stream = io.StringIO()
    context.log = BackgroundLog(context.stream, capacity=5)


@when("20 lines are logged before any is written")
def twenty_lines(context):
    for number in range(20):
        context.log({"message_type": "aspengate.test", "number": number})
    context.log.start()
    context.log.close()


@then("5 lines are written, and one that reports 15 dropped lines")
def five_written(context):
    lines = [json.loads(line) for line in context.stream.getvalue().splitlines()]
    assert [line.get("number") for line in lines[:5]] == [0, 1, 2, 3, 4]
    assert lines[5] == {"message_type": "aspengate.log.dropped", "lines": 15}, lines


@when("requests are answered, refused, retried and abandoned by their clients")
def requests_of_all_outcomes(context):
    context.ids = {}
    caller = context.router.call()
    secret = b"the essay of candidate zq4711qz"
    context.ids["answered"] = caller.send("POST", "/score/1", body=secret, tokens=TOKENS)
    assert caller.read().status == 200
    context.ids["unauthenticated"] = caller.send("GET", "/receipt/1", key="wrong-key")
    assert caller.read().status == 401
    for replica in context.fleet.of("portal"):
        replica.behaviours = {1: "lose"}
    context.ids["retried"] = caller.send("GET", "/receipt/2")
    caller.read()
    for engine in context.fleet.of("engine"):
        engine.behaviour = "mute"
    disconnecting = context.router.call()
    context.ids["caller_gone"] = disconnecting.send("POST", "/review/3", body=secret, tokens=TOKENS)
    assert eventually(lambda: context.fleet.runs(context.ids["caller_gone"]))
    disconnecting.close()


def ended_line(context, identity):
    return eventually(lambda: context.router.find("request.ended", request_id=identity))


@then("each has one line with its id, outcome, attempts and configuration version")
def one_line_each(context):
    for name, identity in context.ids.items():
        line = ended_line(context, identity)
        assert line, name
        expected = {"retried": line["outcome"]}.get(name, name)
        assert line["outcome"] == expected, line
        assert line["version"] >= 1
    lines = [line for line in context.router.lines if "request_id" in line]
    assert sorted(line["request_id"] for line in lines) == sorted(context.ids.values())
    assert len(ended_line(context, context.ids["retried"])["attempts"]) == 2
    assert not ended_line(context, context.ids["unauthenticated"])["attempts"]


@then("no line holds a key, a body or a prompt")
def no_secrets_logged(context):
    text = json.dumps(context.router.lines)
    # Only words of the body are searched for: its digits alone may occur in a random request id.
    words = (KEY, "wrong-key", "essay", "candidate", "zq4711qz")
    assert not [word for word in words if word in text], text[:2_000]


@when("some requests are answered and refused")
def some_requests(context):
    caller = context.router.call()
    for number in range(5):
        assert caller.request("GET", f"/receipt/{number}").status == 200
    assert caller.request("GET", "/nowhere/1").status == 404


@then("the metrics count them by outcome and show the version in force")
def metrics_match(context):
    router = context.router
    assert scrape(router, 'event="request.answered"').endswith(" 5.0")
    assert scrape(router, 'event="request.not_found"').endswith(" 1.0")
    assert scrape(router, 'what="configuration_version"').endswith(" 1.0")
    assert scrape(router, 'milliseconds_count{what="request.held"}').endswith(" 6.0")


@given("logs of two routers in which one request was tried at both")
def two_logs(context):
    folder = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))
    first = [
        log_line(100.0, "store.lost", prefix="op/", error="cut"),
        log_line(
            103.0,
            "request.ended",
            request_id="0a",
            outcome="budget_unavailable",
            account="board",
            held_ms=100,
            attempts=[],
        ),
        log_line(103.1, "request.ended", request_id="0b", outcome="answered", attempts=[]),
    ]
    second = [
        log_line(50.0, "allowance.granted", account="board", granted=5),
        log_line(102.0, "allowance.granted", account="board", granted=9),
        log_line(102.5, "allowance.granted", account="shop", granted=9),
        log_line(
            105.0,
            "request.ended",
            request_id="0a",
            outcome="answered",
            account="board",
            held_ms=40,
            attempts=[{"replica": "i-1", "outcome": "answered"}],
        ),
    ]
    context.logs = []
    for name, lines in (("router-1", first), ("router-2", second)):
        path = folder / f"{name}.log"
        path.write_text("noise\n" + "\n".join(lines) + "\n", encoding="utf-8")
        context.logs.append(str(path))


def log_line(at, change, **fields):
    return json.dumps({"message_type": f"aspengate.{change}", "timestamp": at, **fields})


@when("its trace is requested")
def request_trace(context):
    context.run = subprocess.run(
        [sys.executable, "-m", "aspengate", "explain", "0a", *context.logs],
        capture_output=True,
        text=True,
        env={**os.environ, "NO_COLOR": "1"},
    )


@then("the command prints both ends in order, and the routers' state at that time")
def trace_printed(context):
    assert context.run.returncode == 0, context.run.stderr
    lines = context.run.stdout.splitlines()
    ends = [line for line in lines if "request.ended" in line]
    assert "router-1" in ends[0] and "budget_unavailable" in ends[0], lines
    assert "router-2" in ends[1] and "answered" in ends[1], lines
    assert any("attempt 1: replica=i-1" in line for line in lines)
    assert any("granted=9" in line and "board" in line for line in lines)
    assert not any("granted=5" in line or "shop" in line for line in lines)
    assert any("not known at router-1" in line and "3.0 s" in line for line in lines), lines


@when("receipts are requested and every replica refuses them")
def refused_receipts(context):
    for replica in context.fleet.of("portal"):
        replica.behaviour = "refuse"
    caller = context.router.call()
    for number in range(10):
        caller.request("GET", f"/receipt/{number}")


@then("a line reports the allowed and refused retries, the retry share and the router count")
def retries_reported(context):
    def decision_lines():
        lines = [line for line in context.router.lines if is_retry_decision(line)]
        decided = sum(line["allowed_since"] + line["refused_since"] for line in lines)
        return lines if decided >= 10 else []

    lines = eventually(decision_lines)
    assert sum(line["allowed_since"] + line["refused_since"] for line in lines) == 10, lines
    assert {"share", "repeats", "routers", "routers_told_ms"} <= set(lines[-1]), lines[-1]
    # Requests count for a window of 100 ms, and ten take longer on a busy machine: the line is
    # compared with the decisions of the requests instead of with ten.
    decisions = eventually(lambda: len(logged_decisions(context)) == 10) and logged_decisions(
        context
    )
    assert lines[-1]["service"] == "portal", lines[-1]
    assert {key: lines[-1][key] for key in decisions[-1]} == decisions[-1], (lines, decisions)
    counts = [each["requests"] for each in decisions]
    assert counts[0] == 1, counts
    assert all(1 <= after <= before + 1 for before, after in itertools.pairwise(counts)), counts


def logged_decisions(context):
    """Return the decisions that the requests' own lines hold, in the order of the requests."""
    return [
        decision
        for line in context.router.find_all("request.ended")
        for decision in line["repeats"]
    ]


def is_retry_decision(line):
    return line.get("message_type") == "aspengate.retry.decided"


@then("each request's line reports the decision on its own retry")
def each_retry_reported(context):
    decisions = logged_decisions(context)
    assert len(decisions) == 10, decisions
    assert all({"allowed", "share", "requests", "routers"} <= set(each) for each in decisions)
