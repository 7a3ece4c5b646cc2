"""Steps on repeats of several routers as their replicas count them."""

import threading
import time

from behave import given, then, when
from platform_standins import Fleet, repeated, worst_window
from platform_standins.fleet import eventually

RATIO = 0.2
SLACK = 54
ROUTERS = 4
PRESSED = 9


def start_fleet(context, window_s, **bounds):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    context.window_s = window_s
    context.sent = []
    for _ in range(3):
        context.fleet.add_replica("portal").behaviour = "refuse"
    for _ in range(ROUTERS):
        context.fleet.add_router(
            retry_ratio=RATIO, retry_slack=SLACK, retry_window_s=window_s, **bounds
        )


def together(action, items):
    threads = [threading.Thread(target=action, args=(item,)) for item in items]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def press(context):
    """Have each router get some requests at once."""

    def ask(router):
        context.sent.append(time.monotonic())
        caller = router.call()
        caller.request("GET", "/receipt/1")
        caller.close()

    together(ask, context.fleet.routers * PRESSED)


def start_again(context):
    for router in context.fleet.routers:
        router.kill()
    together(context.fleet.start_again, list(context.fleet.routers))


def repeats(context):
    requests = [each for replica in context.fleet.replicas for each in list(replica.requests)]
    return repeated(requests)


def worst(context):
    found = repeats(context)
    return worst_window(found, context.sent, ratio=RATIO, slack=SLACK, window=context.window_s)[0]


@given("four gateways that hear of nobody, before replicas that refuse every request")
def unheard_gateways(context):
    start_fleet(context, 10)


@when("they are pressed, killed and started again three times, and the store loses the answers")
def pressed_and_killed(context):
    press(context)
    for endpoint in context.fleet.store.endpoints:
        endpoint.lose_writes = 1_000_000
    for _ in range(3):
        start_again(context)
        press(context)


@then("in no window did the replicas get more repeats than the fleet may make")
def within_budget(context):
    assert worst(context) <= 0, (worst(context), len(repeats(context)))


@given("four gateways that share repeats in windows of 2 s, before replicas that refuse")
def gateways_in_touch(context):
    start_fleet(context, 2, retry_start_ms=1_000)


@when("they are killed and started again, and the store answers")
def killed_once(context):
    start_again(context)


@then("repeats arrive again, and in no window more than the fleet may make")
def repeats_again(context):
    def pressed():
        press(context)
        return repeats(context)

    assert eventually(pressed), context.fleet.routers[0].lines[-5:]
    assert worst(context) <= 0, worst(context)
