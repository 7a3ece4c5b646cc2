"""Steps that start gateways against the stand-ins, and look at what callers and replicas saw."""

import signal

from behave import given, then, when
from platform_standins import Caller
from platform_standins.fleet import eventually

from gateway_world import TOKENS, in_background, start_gateways


@given("a gateway before replicas of both services")
def gateway_with_replicas(context):
    start_gateways(context, fields={"events": 30, "pause_s": 0.02}, stop_s=6)


@given("a gateway before replicas that take longer than a stop")
def gateway_with_slow_replicas(context):
    start_gateways(context, fields={"events": 1_000, "pause_s": 0.05}, stop_s=4)


@when("SIGTERM comes while a stream runs")
def terminate_during_stream(context):
    caller = context.router.call()
    running = in_background(lambda: caller.request("POST", "/score/1", body=b"x", tokens=TOKENS))
    engine = context.fleet.of("engine")[0]
    assert eventually(lambda: engine.runs)
    context.router.terminate()
    assert eventually(lambda: context.router.find("gateway.leaving"))
    context.ready = context.router.is_ready()
    context.answer = running()


@then("the stream's answer is whole, and says that the connection closes")
def stream_is_whole(context):
    assert context.answer.status == 200 and context.answer.whole
    assert context.answer.event_ids == list(range(1, 31)), context.answer.event_ids


@then("the gateway was not ready any more, and ends with exit code 0")
def gateway_ended(context):
    assert not context.ready
    assert context.router.process.wait(30) == 0


@when("a request comes on a new connection late in a stop")
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
    context.late = caller.send("POST", "/score/2", body=b"x", tokens=TOKENS, deadline_ms=60_000)
    context.answer = caller.read()
    running()


@then("it gets a whole answer 503 that says when to come back, and no replica got it")
def refused_late(context):
    assert context.answer.status == 503 and context.answer.whole
    assert context.answer.header("Retry-After")
    assert not context.fleet.runs(context.late)


@when("some streams are answered and the gateway is stopped")
def answered_and_stopped(context):
    for number in range(3):
        answer = context.router.call().request(
            "POST", f"/score/{number}", body=b"x", tokens=(1_000, 600)
        )
        assert answer.status == 200, answer.body
    context.router.terminate()
    assert context.router.process.wait(30) == 0


@then("the store counts just their tokens, and no session is open")
def settled_exactly(context):
    document = context.fleet.store.value("aspengate/allowances/board")
    assert document["closed"] == 3 * (1_000 + 30 * 3), document
    assert document["sessions"] == document["witnesses"] == {}, document


def rewrite(context, **bounds):
    router = context.router
    router.bounds = {**router.bounds, **bounds}
    router.write_settings(context.fleet.peer_port)


@when("its settings file changes and SIGHUP comes while a stream runs")
def hang_up_during_stream(context):
    context.caller = context.router.call()
    running = in_background(
        lambda: context.caller.request("POST", "/score/1", body=b"x", tokens=TOKENS)
    )
    engine = context.fleet.of("engine")[0]
    assert eventually(lambda: engine.runs)
    rewrite(context, retry_slack=77)
    context.router.process.send_signal(signal.SIGHUP)
    assert eventually(lambda: context.router.find("gateway.reloaded"))
    context.answer = running()


@then("the stream's answer is whole, and the connection goes on")
def whole_and_kept(context):
    assert context.answer.status == 200 and context.answer.whole
    assert context.caller.request("GET", "/receipt/1").status == 200


@then("the new settings are in force")
def settings_in_force(context):
    reloaded = eventually(lambda: context.router.find("gateway.reloaded"))
    assert reloaded["changed"] == ["retry_slack"] and not reloaded["at_next_start"], reloaded


@when("its settings file is spoilt and SIGHUP comes")
def spoilt_settings(context):
    rewrite(context, retry_slack="many")
    context.router.process.send_signal(signal.SIGHUP)


@then("it says what is wrong and serves on")
def says_what_is_wrong(context):
    refused = eventually(lambda: context.router.find("gateway.reload_refused"))
    assert "[bounds] retry_slack" in refused["error"], refused
    assert context.router.call().request("GET", "/receipt/1").status == 200


@when("its settings file changes without a signal")
def changes_without_signal(context):
    rewrite(context, retry_slack=77)
