"""Steps on routers that get most of the new connections."""

import threading
import time

from behave import given, then, when

from gateway_world import start_gateways

EVEN_S = 2.0
UNEVEN_S = 4.0
TOKENS = (1_000, 60)
MIN_SERVED_RATIO = 0.75


@given("four gateways with eight replicas per service")
def four_gateways(context):
    start_gateways(context, routers=4, replicas=8, fields={"work_s": 0.02})


def send(router, number):
    """Send a receipt or a stream on a new connection; return whether it is served."""
    try:
        caller = router.call()
        if number % 2:
            answer = caller.request("GET", f"/receipt/{number}")
        else:
            parts = f"f1:300,{number:x}:700"
            body = b"essay %d" % number
            answer = caller.request(
                "POST", f"/score/{number}", body=body, tokens=TOKENS, parts=parts
            )
        caller.close()
    except OSError:
        return False
    return answer.status == 200 and answer.whole


@when("{rate:d} requests a second arrive on new connections, after 2 s mostly at one gateway")
def mostly_at_one(context, rate):
    routers = context.fleet.routers
    context.even, context.uneven = [], []
    threads = []
    begun_s = time.monotonic()
    for number in range(int(rate * (EVEN_S + UNEVEN_S))):
        time.sleep(max(0.0, begun_s + number / rate - time.monotonic()))
        is_uneven = number >= rate * EVEN_S
        router = routers[0] if is_uneven and number % 10 else routers[number % len(routers)]
        results = context.uneven if is_uneven else context.even

        def request(router=router, number=number, results=results):
            results.append(send(router, number))

        threads.append(threading.Thread(target=request, daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join()


@then("at least three quarters as many of them are served as before")
def served_as_before(context):
    before = sum(context.even) / len(context.even)
    served = sum(context.uneven) / len(context.uneven)
    assert before > 0 and served >= MIN_SERVED_RATIO * before, (before, served)
