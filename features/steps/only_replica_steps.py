"""Steps on requests for which only one replica is available."""

from behave import given, then, when
from platform_standins.fleet import eventually

from gateway_world import GENEROUS_RETRIES, start_gateways

WORK_S = 0.02


@given("a gateway with one replica that has responded quickly")
def responded_quickly(context):
    start_gateways(context, fields={"work_s": WORK_S}, **GENEROUS_RETRIES)
    context.replica = context.fleet.of("portal")[0]
    for number in range(30):
        assert request_receipt(context, number).status == 200


def request_receipt(context, number):
    return context.router.call().request("GET", f"/receipt/{number}", identity=f"only-{number}")


@when("that replica takes 40 times as long for a receipt")
def slows_down(context):
    context.replica.work_s = WORK_S * 40
    context.answer = request_receipt(context, 99)


@when("that replica responds to a receipt with a server error")
def fails(context):
    context.replica.behaviour = "fail"
    context.answer = request_receipt(context, 99)


def assert_one_attempt(context):
    line = eventually(lambda: context.router.find("request.ended", request_id="only-99"))
    assert len(line["attempts"]) == 1, line


@then("the caller receives its response after one attempt")
def receives_response(context):
    assert context.answer.status == 200, context.answer.status
    assert_one_attempt(context)


@then("the caller receives that error after one attempt")
def receives_error(context):
    assert context.answer.status == 500, context.answer.status
    assert_one_attempt(context)
