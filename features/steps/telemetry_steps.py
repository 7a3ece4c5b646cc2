"""Steps on the log, the figures, and the story of one request."""

import io
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

PIPE_LINES = 400


@given("a gateway whose standard output nobody reads")
def nobody_reads(context):
    start_gateways(context, unread=True, **GENEROUS_RETRIES)


@when("more lines are logged than the pipe and the queue hold")
def many_lines(context):
    caller = context.router.call()
    context.statuses = set()
    for number in range(PIPE_LINES * 8):
        context.statuses.add(caller.request("GET", f"/receipt/{number}").status)


@then("every request is answered, and the dropped lines are counted")
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


@given("a log with room for 5 lines")
def small_log(context):
    context.stream = io.StringIO()
    context.log = BackgroundLog(context.stream, capacity=5)


@when("20 lines are logged before any is written")
def twenty_lines(context):
    for number in range(20):
        context.log({"message_type": "aspengate.test", "number": number})
    context.log.start()
    context.log.close()


@then("5 lines are written, and one that 15 were dropped")
def five_written(context):
    lines = [json.loads(line) for line in context.stream.getvalue().splitlines()]
    assert [line.get("number") for line in lines[:5]] == [0, 1, 2, 3, 4]
    assert lines[5] == {"message_type": "aspengate.log.dropped", "lines": 15}, lines


@when("requests are answered, refused, repeated and left by their callers")
def all_kinds(context):
    context.ids = {}
    caller = context.router.call()
    secret = b"the essay of candidate zq4711qz"
    context.ids["answered"] = caller.send("POST", "/score/1", body=secret, tokens=TOKENS)
    assert caller.read().status == 200
    context.ids["unauthenticated"] = caller.send("GET", "/receipt/1", key="wrong-key")
    assert caller.read().status == 401
    for replica in context.fleet.of("portal"):
        replica.behaviours = {1: "lose"}
    context.ids["repeated"] = caller.send("GET", "/receipt/2")
    caller.read()
    for engine in context.fleet.of("engine"):
        engine.behaviour = "mute"
    leaving = context.router.call()
    context.ids["caller_gone"] = leaving.send("POST", "/review/3", body=secret, tokens=TOKENS)
    assert eventually(lambda: context.fleet.runs(context.ids["caller_gone"]))
    leaving.close()


def line_of(context, identity):
    return eventually(lambda: context.router.find("request.ended", request_id=identity))


@then("each has one line with its id, outcome, attempts and version")
def one_line_each(context):
    for name, identity in context.ids.items():
        line = line_of(context, identity)
        assert line, name
        expected = {"repeated": line["outcome"]}.get(name, name)
        assert line["outcome"] == expected, line
        assert line["version"] >= 1
    lines = [line for line in context.router.lines if "request_id" in line]
    assert sorted(line["request_id"] for line in lines) == sorted(context.ids.values())
    assert len(line_of(context, context.ids["repeated"])["attempts"]) == 2
    assert not line_of(context, context.ids["unauthenticated"])["attempts"]


@then("no line holds a key, a body or a prompt")
def nothing_secret(context):
    text = json.dumps(context.router.lines)
    # No word of the body; digits alone may stand in the random id of a line.
    words = (KEY, "wrong-key", "essay", "candidate", "zq4711qz")
    assert not [word for word in words if word in text], text[:2_000]


@when("some requests are answered and refused")
def some_requests(context):
    caller = context.router.call()
    for number in range(5):
        assert caller.request("GET", f"/receipt/{number}").status == 200
    assert caller.request("GET", "/nowhere/1").status == 404


@then("the figures count them by outcome and tell the version in force")
def figures(context):
    router = context.router
    assert scrape(router, 'event="request.answered"').endswith(" 5.0")
    assert scrape(router, 'event="request.not_found"').endswith(" 1.0")
    assert scrape(router, 'what="configuration_version"').endswith(" 1.0")
    assert scrape(router, 'milliseconds_count{what="request.held"}').endswith(" 6.0")


@given("logs of two routers in which one request was tried at both")
def two_logs(context):
    folder = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))
    first = [
        message(100.0, "store.lost", prefix="op/", error="cut"),
        message(
            103.0,
            "request.ended",
            request_id="0a",
            outcome="budget_unavailable",
            account="board",
            held_ms=100,
            attempts=[],
        ),
        message(103.1, "request.ended", request_id="0b", outcome="answered", attempts=[]),
    ]
    second = [
        message(50.0, "allowance.granted", account="board", granted=5),
        message(102.0, "allowance.granted", account="board", granted=9),
        message(102.5, "allowance.granted", account="shop", granted=9),
        message(
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


def message(at, change, **fields):
    return json.dumps({"message_type": f"aspengate.{change}", "timestamp": at, **fields})


@when("its story is asked for")
def ask_story(context):
    context.run = subprocess.run(
        [sys.executable, "-m", "aspengate", "explain", "0a", *context.logs],
        capture_output=True,
        text=True,
        env={**os.environ, "NO_COLOR": "1"},
    )


@then("the command prints both ends in order, and what was believed at that time")
def story(context):
    assert context.run.returncode == 0, context.run.stderr
    lines = context.run.stdout.splitlines()
    ends = [line for line in lines if "request.ended" in line]
    assert "router-1" in ends[0] and "budget_unavailable" in ends[0], lines
    assert "router-2" in ends[1] and "answered" in ends[1], lines
    assert any("attempt 1: replica=i-1" in line for line in lines)
    assert any("granted=9" in line and "board" in line for line in lines)
    assert not any("granted=5" in line or "shop" in line for line in lines)
    assert any("not known at router-1" in line and "3.0 s" in line for line in lines), lines


@when("receipts are asked for and every replica refuses them")
def refused_receipts(context):
    for replica in context.fleet.of("portal"):
        replica.behaviour = "refuse"
    caller = context.router.call()
    for number in range(10):
        caller.request("GET", f"/receipt/{number}")


@then("a line tells how many repeats were allowed and refused, the share and the routers")
def repeats_told(context):
    def told():
        lines = [line for line in context.router.lines if is_about_repeats(line)]
        decided = sum(line["allowed_since"] + line["refused_since"] for line in lines)
        return lines if decided >= 10 else []

    lines = eventually(told)
    assert sum(line["allowed_since"] + line["refused_since"] for line in lines) == 10, lines
    assert lines[-1]["service"] == "portal" and lines[-1]["requests"] == 10, lines[-1]
    assert {"share", "repeats", "routers", "routers_told_ms"} <= set(lines[-1]), lines[-1]


def is_about_repeats(line):
    return line.get("message_type") == "aspengate.retry.decided"


@then("each request's line tells the decision on its own repeat")
def repeat_of_each_told(context):
    ended = [
        line
        for line in context.router.lines
        if line.get("message_type") == "aspengate.request.ended"
    ]
    decisions = [decision for line in ended for decision in line["repeats"]]
    assert len(decisions) == 10, ended
    assert all({"allowed", "share", "requests", "routers"} <= set(each) for each in decisions)
