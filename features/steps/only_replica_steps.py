"""Steps on requests that could go nowhere else than to one replica."""

from behave import given, then, when
from platform_standins.fleet import eventually

from gateway_world import GENEROUS_RETRIES, start_gateways

WORK_S = 0.02


@given("a gateway before one replica that has answered quickly")
def answered_quickly(context):
    start_gateways(context, fields={"work_s": WORK_S}, **GENEROUS_RETRIES)
    context.replica = context.fleet.of("portal")[0]
    for number in range(30):
        assert ask(context, number).status == 200


def ask(context, number):
    return context.router.call().request("GET", f"/receipt/{number}", identity=f"only-{number}")


@when("that replica takes 40 times as long for a receipt")
def takes_long(context):
    context.replica.work_s = WORK_S * 40
    context.answer = ask(context, 99)


@when("that replica answers a receipt with a failure of its own")
def fails(context):
    context.replica.behaviour = "fail"
    context.answer = ask(context, 99)


def one_attempt(context):
    line = eventually(lambda: context.router.find("request.ended", request_id="only-99"))
    assert len(line["attempts"]) == 1, line


@then("the caller gets its answer, after one attempt")
def gets_answer(context):
    assert context.answer.status == 200, context.answer.status
    one_attempt(context)


@then("the caller gets that failure, after one attempt")
def gets_failure(context):
    assert context.answer.status == 500, context.answer.status
    one_attempt(context)
