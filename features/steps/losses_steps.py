"""Steps for the report of failed and late requests."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from aspengate.explanation import read_lines
from aspengate.losses import Loss, report_losses
from telemetry_steps import log_line

SERVED = {"outcome": "answered", "status": 200, "aim_ms": 1_000, "gap_aim_ms": 300, "tokens": 500}


def ended_line(at, **fields):
    return log_line(at, "request.ended", **{"account": "board", **fields})


def served_line(at, replica, first_ms=90, gap_ms=200, name="served"):
    attempts = [{"replica": replica, "outcome": "answered"}]
    timing = {"first_event_ms": first_ms, "longest_gap_ms": gap_ms}
    return ended_line(at, **SERVED, **timing, settled=400, attempts=attempts, request_id=name)


def allowance_line(at, session, **fields):
    return log_line(
        at, "allowance.granted", account="board", session=session, limit=10_000, **fields
    )


FIRST_LOG = [
    allowance_line(100.0, "a.1", spent=0, reserved=0, idle=3_000, unheld=7_000),
    served_line(101.0, "i-1"),
    served_line(101.5, "i-1", gap_ms=301, name="paused"),
    served_line(101.6, "i-2", first_ms=1_001, name="late"),
    allowance_line(102.0, "a.1", spent=1_200, reserved=500, idle=1_300, unheld=7_000),
    log_line(102.5, "store.calls", session="a.1", calls={"watch": 2}),
    log_line(103.0, "store.calls", session="a.1", calls={"watch": 3, "write": 1}),
    log_line(104.0, "store.calls", session="a.2", calls={"watch": 1}),
    allowance_line(104.0, "a.2", spent=0, reserved=0, idle=1_000, unheld=6_000),
]
SECOND_LOG = [
    ended_line(
        103.0,
        outcome="budget_exhausted",
        status=402,
        tokens=9_000,
        attempts=[],
        request_id="exhausted",
    ),
    ended_line(103.1, outcome="budget_unavailable", status=503, tokens=900, attempts=[]),
    ended_line(
        103.2,
        outcome="upstream_failed",
        reason="reset by i-2",
        request_id="cut",
        status=200,
        tokens=500,
        settled=500,
        attempts=[{"replica": "i-2", "outcome": "reset"}],
    ),
]


@given("logs of two routers with requests served, late, refused and cut")
def two_routers(context):
    folder = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))
    context.logs = []
    for name, lines in (("a", FIRST_LOG), ("b", SECOND_LOG)):
        path = folder / f"{name}.log"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        context.logs.append(path)


@given("a file without any line of a router")
def no_line(context):
    folder = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))
    context.logs = [folder / "noise.log"]
    context.logs[0].write_text("noise\n{}\n", encoding="utf-8")


@when("the loss report is requested")
def request_report(context):
    context.run = subprocess.run(
        [sys.executable, "-m", "aspengate", "losses", *map(str, context.logs)],
        capture_output=True,
        text=True,
        env={**os.environ, "NO_COLOR": "1"},
    )
    lines = []
    for path in context.logs:
        lines += read_lines(path.stem, path.read_text(encoding="utf-8").splitlines())
    context.report = report_losses(lines, 10.0)


@then("each reason is counted by account and by replica")
def reasons_counted(context):
    assert context.run.returncode == 0, context.run.stderr
    assert "6 requests, 1 served in time" in context.run.stdout, context.run.stdout
    by_account = next(t for t in context.report.tables if t.title == "account").rows["board"]
    assert by_account == {
        Loss.LATE_PAUSE: 1,
        Loss.LATE_FIRST: 1,
        Loss.TOKENS_EXHAUSTED: 1,
        Loss.TOKENS_UNAVAILABLE: 1,
        Loss.CUT: 1,
    }
    by_replica = next(t for t in context.report.tables if t.title == "replica").rows
    assert by_replica["i-2"] == {Loss.LATE_FIRST: 1, Loss.CUT: 1}, by_replica


@then("the store calls are the sum of what each session logged last")
def store_calls(context):
    assert context.report.store_calls == {"watch": 4, "write": 1}
    assert "5 calls to the store" in context.run.stdout, context.run.stdout


@when("the reason for the end of {request} is requested")
def request_reason(context, request):
    context.run = subprocess.run(
        [sys.executable, "-m", "aspengate", "explain", request, *map(str, context.logs)],
        capture_output=True,
        text=True,
        env={**os.environ, "NO_COLOR": "1"},
    )


@then("the output ends with a line that contains {text}")
def last_line_contains(context, text):
    assert context.run.returncode == 0, context.run.stderr
    assert text in context.run.stdout.splitlines()[-1], context.run.stdout


@then("the account's spent, reserved, idle, unallocated and lost tokens add up to its limit")
def states_add_up(context):
    last = context.report.tokens[-1]
    assert (last.limit, last.spent, last.charged_to_failed) == (10_000, 1_700, 500), last
    assert (last.reserved, last.idle, last.unallocated, last.lost) == (0, 1_000, 6_000, 1_300), last
    parts = last.spent + last.reserved + last.idle + last.unallocated + last.lost
    assert parts == last.limit
    assert "17.0" in context.run.stdout and "13.0" in context.run.stdout, context.run.stdout


@then("the command reports the error and prints no report")
def error_reported(context):
    assert context.run.returncode == 2
    assert "no line of a router's log" in context.run.stderr, context.run.stderr
    assert not context.run.stdout
