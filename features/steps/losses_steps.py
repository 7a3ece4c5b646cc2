"""Steps on the report of losses."""

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from behave import given, then, when

from aspengate.explanation import read_lines
from aspengate.losses import Loss, report_losses
from telemetry_steps import message

SERVED = {"outcome": "answered", "status": 200, "aim_ms": 1_000, "gap_aim_ms": 300, "tokens": 500}


def ended(at, **fields):
    return message(at, "request.ended", **{"account": "board", **fields})


def served(at, replica, first_ms=90, gap_ms=200, name="served"):
    attempts = [{"replica": replica, "outcome": "answered"}]
    timing = {"first_event_ms": first_ms, "longest_gap_ms": gap_ms}
    return ended(at, **SERVED, **timing, settled=400, attempts=attempts, request_id=name)


def told(at, session, **fields):
    return message(
        at, "allowance.granted", account="board", session=session, limit=10_000, **fields
    )


FIRST = [
    told(100.0, "a.1", spent=0, reserved=0, idle=3_000, unheld=7_000),
    served(101.0, "i-1"),
    served(101.5, "i-1", gap_ms=301, name="paused"),
    served(101.6, "i-2", first_ms=1_001, name="late"),
    told(102.0, "a.1", spent=1_200, reserved=500, idle=1_300, unheld=7_000),
    message(102.5, "store.calls", session="a.1", calls={"watch": 2}),
    message(103.0, "store.calls", session="a.1", calls={"watch": 3, "write": 1}),
    message(104.0, "store.calls", session="a.2", calls={"watch": 1}),
    told(104.0, "a.2", spent=0, reserved=0, idle=1_000, unheld=6_000),
]
SECOND = [
    ended(
        103.0,
        outcome="budget_exhausted",
        status=402,
        tokens=9_000,
        attempts=[],
        request_id="exhausted",
    ),
    ended(103.1, outcome="budget_unavailable", status=503, tokens=900, attempts=[]),
    ended(
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
    for name, lines in (("a", FIRST), ("b", SECOND)):
        path = folder / f"{name}.log"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        context.logs.append(path)


@given("a file that holds no line of a router")
def no_line(context):
    folder = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))
    context.logs = [folder / "noise.log"]
    context.logs[0].write_text("noise\n{}\n", encoding="utf-8")


@when("the losses are asked for")
def ask_losses(context):
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


@then("each reason has its count, by account and by replica")
def reasons(context):
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


@then("the calls to the store are those that each session told last")
def store_calls(context):
    assert context.report.store_calls == {"watch": 4, "write": 1}
    assert "5 calls to the store" in context.run.stdout, context.run.stdout


@when("the cause of {request} is asked for")
def ask_cause(context, request):
    context.run = subprocess.run(
        [sys.executable, "-m", "aspengate", "explain", request, *map(str, context.logs)],
        capture_output=True,
        text=True,
        env={**os.environ, "NO_COLOR": "1"},
    )


@then("it says {what}")
def says(context, what):
    assert context.run.returncode == 0, context.run.stderr
    assert what in context.run.stdout.splitlines()[-1], context.run.stdout


@then("the account's tokens are spent, reserved, idle, held by nobody or lost, and nothing else")
def statement(context):
    last = context.report.tokens[-1]
    assert (last.limit, last.spent, last.charged_to_failed) == (10_000, 1_700, 500), last
    assert (last.reserved, last.idle, last.unallocated, last.lost) == (0, 1_000, 6_000, 1_300), last
    parts = last.spent + last.reserved + last.idle + last.unallocated + last.lost
    assert parts == last.limit
    assert "17.0" in context.run.stdout and "13.0" in context.run.stdout, context.run.stdout


@then("the command names the fault and prints no report")
def names_the_fault(context):
    assert context.run.returncode == 2
    assert "no line of a router's log" in context.run.stderr, context.run.stderr
    assert not context.run.stdout
