"""Steps on planned shutdowns and on changed settings of a gateway."""

import random
import signal
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from behave import given, then, when
from platform_standins import Caller
from platform_standins.builds import ROOT
from platform_standins.fleet import eventually
from platform_standins.load import SteadyLoad

from gateway_world import TOKENS, in_background, start_gateways

SIGNAL_PAIRS = 200
LOAD_PER_S = 200
MAX_SIGNAL_PAUSE_S = 0.000_15
# Longer than a gateway takes to reload its settings and to wait for the next signal.
RELOAD_S = 0.01


@given("a gateway with replicas of both services")
def gateway_with_replicas(context):
    start_gateways(context, fields={"events": 30, "pause_s": 0.02}, stop_s=6)


@given("a gateway with replicas that take longer than a shutdown")
def gateway_with_slow_replicas(context):
    start_gateways(context, fields={"events": 1_000, "pause_s": 0.05}, stop_s=4)


@given("a gateway with 2 threads and replicas that take longer than a shutdown")
def gateway_with_few_threads(context):
    start_gateways(context, fields={"events": 1_000, "pause_s": 0.05}, stop_s=4, threads=2)


@when("a request waits for a thread until late in a shutdown")
def wait_for_thread(context):
    callers = [context.router.call() for _ in range(3)]
    fields = {"body": b"x", "tokens": TOKENS, "deadline_ms": 60_000}
    for number, caller in enumerate(callers[:2]):
        caller.send("POST", f"/score/{number}", **fields)
    engine = context.fleet.of("engine")[0]
    assert eventually(lambda: len(engine.runs) == 2)
    context.late_id = callers[2].send("POST", "/score/2", **fields)
    context.router.terminate()
    context.answer = callers[2].read()


@given("a gateway with a replica that does not answer, and a shutdown of 4 s")
def gateway_with_mute_replica(context):
    start_gateways(context, stop_s=4)
    context.fleet.of("portal")[0].behaviour = "mute"


@when("SIGTERM is received during a request that may run only once")
def terminate_during_request(context):
    caller = context.router.call()
    caller.send("POST", "/status/1", body=b"x", deadline_ms=60_000)
    portal = context.fleet.of("portal")[0]
    assert eventually(lambda: portal.runs)
    context.router.terminate()
    context.answer = caller.read()


@then("the request receives a failure, complete, before the gateway exits")
def receives_failure(context):
    # It may have run, so that a 503, which says that it has not, would be false.
    assert context.answer.status in (502, 504) and context.answer.whole, context.answer.status
    assert context.router.process.wait(4) == 0


@when("SIGTERM is received during {count:d} requests that may run only once")
def terminate_during_requests(context, count):
    callers = [context.router.call() for _ in range(count)]
    for number, caller in enumerate(callers):
        caller.send("POST", f"/status/{number}", body=b"x", deadline_ms=60_000)
    portal = context.fleet.of("portal")[0]
    assert eventually(lambda: len(portal.runs) == count)
    context.router.terminate()
    context.outcomes = Counter(map(outcome_of, callers))


def outcome_of(caller):
    try:
        answer = caller.read()
    except OSError:
        return "no response"
    return (answer.status, answer.whole)


@then("each of these requests receives a failure, complete")
def all_receive_failure(context):
    assert set(context.outcomes) <= {(502, True), (504, True)}, context.outcomes


@when("SIGTERM is received during a stream")
def terminate_during_stream(context):
    caller = context.router.call()
    running = in_background(lambda: caller.request("POST", "/score/1", body=b"x", tokens=TOKENS))
    engine = context.fleet.of("engine")[0]
    assert eventually(lambda: engine.runs)
    context.router.terminate()
    assert eventually(lambda: context.router.find("gateway.leaving"))
    context.ready = context.router.is_ready()
    context.answer = running()


@then("the stream's response is complete, with every event")
def stream_is_whole(context):
    assert context.answer.status == 200 and context.answer.whole
    assert context.answer.event_ids == list(range(1, 31)), context.answer.event_ids


@then("the gateway was no longer ready, and it exits with code 0")
def gateway_exited(context):
    assert not context.ready
    assert context.router.process.wait(30) == 0


@when("a request arrives on a new connection late in a shutdown")
def late_request(context):
    running = in_background(
        lambda: context.router.call().request(
            "POST", "/score/1", body=b"x", tokens=TOKENS, deadline_ms=60_000
        )
    )
    engine = context.fleet.of("engine")[0]
    assert eventually(lambda: engine.runs)
    context.router.terminate()
    assert eventually(lambda: context.router.find("gateway.refusing"))
    caller = Caller(context.router.address)
    context.late_id = caller.send("POST", "/score/2", body=b"x", tokens=TOKENS, deadline_ms=60_000)
    context.answer = caller.read()
    running()


@then("it receives a complete response 503 with a Retry-After, and no replica received it")
def late_request_refused(context):
    assert context.answer.status == 503 and context.answer.whole
    assert context.answer.header("Retry-After")
    assert not context.fleet.runs(context.late_id)


@when("some streams are answered and the gateway is shut down")
def answered_and_shut_down(context):
    for number in range(3):
        answer = context.router.call().request(
            "POST", f"/score/{number}", body=b"x", tokens=(1_000, 600)
        )
        assert answer.status == 200, answer.body
    context.router.terminate()
    assert context.router.process.wait(30) == 0


@then("the store holds exactly the tokens used, and no session is open")
def settled_exactly(context):
    document = context.fleet.store.value("aspengate/allowances/board")
    assert document["closed"] == 3 * (1_000 + 30 * 3), document
    assert document["sessions"] == document["witnesses"] == {}, document


def change_settings(context, **bounds):
    router = context.router
    router.bounds = {**router.bounds, **bounds}
    router.write_settings(context.fleet.peer_port)


@when("its settings file changes and SIGHUP is received during a stream")
def reload_during_stream(context):
    context.caller = context.router.call()
    running = in_background(
        lambda: context.caller.request("POST", "/score/1", body=b"x", tokens=TOKENS)
    )
    engine = context.fleet.of("engine")[0]
    assert eventually(lambda: engine.runs)
    change_settings(context, retry_slack=77)
    context.router.process.send_signal(signal.SIGHUP)
    assert eventually(lambda: context.router.find("gateway.reloaded"))
    context.answer = running()


@then("the stream's response is complete, and the connection remains usable")
def complete_and_reusable(context):
    assert context.answer.status == 200 and context.answer.whole
    assert context.caller.request("GET", "/receipt/1").status == 200


@then("the new settings are in effect")
def settings_in_effect(context):
    reloaded = eventually(lambda: context.router.find("gateway.reloaded"))
    assert reloaded["changed"] == ["retry_slack"] and not reloaded["at_next_start"], reloaded


@when("SIGHUP is received in quick succession under load, and SIGTERM during a stream")
def signals_in_succession(context):
    # Under load, the main thread takes longer to wake up for the first signal of a pair.
    load = SteadyLoad([context.router], LOAD_PER_S).start()
    rng = random.Random(1)
    for _ in range(SIGNAL_PAIRS):
        context.router.process.send_signal(signal.SIGHUP)
        wait_busily(rng.uniform(0.0, MAX_SIGNAL_PAUSE_S))
        context.router.process.send_signal(signal.SIGHUP)
        time.sleep(RELOAD_S)
    load.stop()
    caller = context.router.call()
    running = in_background(lambda: caller.request("POST", "/score/1", body=b"x", tokens=TOKENS))
    engine = context.fleet.of("engine")[0]
    assert eventually(lambda: engine.runs)
    context.router.terminate()
    context.terminated_s = time.monotonic()
    context.answer = running()


def wait_busily(seconds):
    """Wait for less time than a sleep takes at least."""
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        pass


@when("SIGTERM is received during a stream, and its store does not respond")
def terminate_without_store(context):
    context.caller = context.router.call()
    context.caller.send("POST", "/score/1", body=b"x", tokens=TOKENS, deadline_ms=60_000)
    engine = context.fleet.of("engine")[0]
    assert eventually(lambda: engine.runs)
    context.router.endpoint.fault = "mute"
    context.router.terminate()
    context.terminated_s = time.monotonic()
    assert eventually(lambda: context.router.find("gateway.refusing"))


@then("the gateway exits with code 0 within its grace period")
def exits_within_grace(context):
    grace_s = context.router.bounds["stop_s"]
    remaining_s = context.terminated_s + grace_s - time.monotonic()
    assert context.router.process.wait(max(0.0, remaining_s)) == 0


@when("its settings file becomes invalid and SIGHUP is received")
def invalid_settings(context):
    change_settings(context, retry_slack="many")
    context.router.process.send_signal(signal.SIGHUP)


@then("it logs the invalid setting and continues to serve requests")
def logs_invalid_setting(context):
    refused = eventually(lambda: context.router.find("gateway.reload_refused"))
    assert "[bounds] retry_slack" in refused["error"], refused
    assert context.router.call().request("GET", "/receipt/1").status == 200


@when("its settings file changes without a signal")
def changes_without_signal(context):
    change_settings(context, retry_slack=77)


# Takes the place of the module that assembles the gateway.
HUNG_UP_MODULE = """\
import os
import signal

SETTINGS_VARIABLE = "PATH"
os.kill(os.getpid(), signal.SIGHUP)


def read_build(path):
    return ""


def run_gateway(*arguments):
    print("started")
"""


@when("SIGHUP is received while the program of a gateway is still being imported")
def hang_up_during_import(context):
    folder = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))
    source = ROOT / "src" / "aspengate"
    package = folder / "src" / "aspengate"
    package.mkdir(parents=True)
    for path in source.iterdir():
        (package / path.name).symlink_to(path)
    (package / "deployed.py").unlink()
    (package / "deployed.py").write_text(HUNG_UP_MODULE, encoding="utf-8")
    (folder / "deploy").mkdir()
    program = folder / "deploy" / "start.py"
    program.write_bytes((ROOT / "deploy" / "start.py").read_bytes())
    context.program = subprocess.run(
        [sys.executable, str(program)], capture_output=True, text=True, timeout=30
    )


@then("the program reaches the start of the gateway")
def program_starts(context):
    assert context.program.stdout == "started\n", context.program
