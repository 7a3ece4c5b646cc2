"""Steps on responses that end with their connection."""

import socket
import statistics
import threading
import time

from behave import given, then, when
from platform_standins.client import Answer
from platform_standins.fleet import eventually
from platform_standins.replica import RESET, fill_queue

from aspengate.clock import SystemClock
from aspengate.connections import ListenerProbe
from gateway_answers_steps import break_first_response, request_receipt, request_status
from gateway_world import GENEROUS_RETRIES, in_background, metrics_page, start_gateways

PROBE_TIMEOUT_MS = 600.0
CLOSED_AFTER_S = 0.02


def count_of(router, event):
    """Return a counter's value by its metrics page."""
    lines = [line for line in metrics_page(router).splitlines() if f'event="{event}"' in line]
    return sum(float(line.rpartition(" ")[2]) for line in lines if "_total" in line)


@then('the request\'s line and a counter say that its response was judged as "{end}"')
def end_is_logged(context, end):
    line = eventually(lambda: context.router.find("request.ended", request_id=context.identity))
    assert [attempt.get("unframed_end") for attempt in line["attempts"]] == [end], line
    assert count_of(context.router, f"gateway.unframed_{end}") == 1


@when('a receipt is requested and the first response is "{behaviour}"')
def receipt_with_first_response(context, behaviour):
    break_first_response(context, behaviour, "well", "portal")
    context.answer = request_receipt(context)


@when('a status is requested by HTTP/{version} and the response is "{behaviour}"')
def status_by_version(context, version, behaviour):
    context.fleet.of("portal")[0].behaviour = behaviour
    caller = context.router.call()
    context.identity = caller.send("POST", "/status/1", body=b"candidate", version=version)
    context.answer = caller.read()


@then("the caller receives a response that is recognisably incomplete")
def recognisably_incomplete(context):
    assert context.answer.status == 200, context.answer.status
    assert not context.answer.whole, len(context.answer.body)


@given("a gateway with a replica whose record states its start")
def replica_with_start(context):
    start_gateways(context, fields={"born": 1_000}, **GENEROUS_RETRIES)
    context.replica = context.fleet.of("portal")[0]
    context.replica.behaviours = {1: "unframed, held"}


def request_held_status(context):
    """Request a status whose response is held in its middle; return a function that reads it."""
    caller = context.router.call()
    context.identity = caller.send("POST", "/status/1", body=b"candidate", deadline_ms=20_000)
    assert eventually(lambda: context.replica.runs[context.identity])
    return in_background(caller.read)


@when(
    "a response without a length ends after another request's connection to its replica was refused"
)
def ends_after_refusal(context):
    answer = request_held_status(context)
    identity = context.identity
    context.replica.stop_listening()
    assert request_status(context, "/status/refused").status == 503
    context.replica.listen_again()
    context.replica.may_end.set()
    context.identity, context.answer = identity, answer()


@when(
    "a response without a length ends after "
    "the replica's record is of another start at the same address"
)
def ends_after_restart(context):
    answer = request_held_status(context)
    context.replica.born += 1_000
    context.replica.list()
    start = f"{context.replica.identity}@{context.replica.born}"
    assert eventually(lambda: context.router.find("replica.listed", start=start))
    context.replica.may_end.set()
    context.answer = answer()


@when("a response without a length ends after another replica was listed at the same address")
def ends_after_reuse(context):
    answer = request_held_status(context)
    other = context.fleet.add_replica("engine")
    other.address = context.replica.address
    other.list()
    found = eventually(
        lambda: len(context.router.find_all("replica.listed", address=other.address)) > 1
    )
    assert found, context.router.lines
    context.replica.may_end.set()
    context.answer = answer()


@when('a receipt is requested by {method} and the response is "{behaviour}"')
def receipt_by_method(context, method, behaviour):
    context.fleet.of("portal")[0].behaviour = behaviour
    caller = context.router.call()
    context.identity = caller.send(method, "/receipt/1")
    caller.socket.settimeout(5.0)
    status, headers = caller.read_head()
    context.answer = Answer(status, headers, b"", True, 0.0)


@then("the caller receives a complete response {status:d} with the replica's signature")
def bodyless_response(context, status):
    assert context.answer.status == status, context.answer.status
    assert context.answer.header("X-Server-Stamp"), context.answer.headers


@when("{count:d} receipts are answered without a length")
def many_unframed(context, count):
    context.fleet.of("portal")[0].behaviour = "unframed whole"
    caller = context.router.call()
    context.answers = []
    for number in range(count):
        identity = caller.send("GET", f"/receipt/{number}")
        context.answers.append((identity, number, caller.read()))


@then('a counter says that {count:d} responses were judged as "{end}"')
def ends_are_counted(context, count, end):
    assert count_of(context.router, f"gateway.unframed_{end}") == count


def handle_connections(listener, handle):
    def run():
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            with connection:
                handle(connection)

    threading.Thread(target=run, daemon=True).start()


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def let_nothing_in(context, listener):
    """Have the kernel drop all further connections."""
    listener.listen(0)
    for each in fill_queue(listener):
        context.cleanup.enter_context(each)


LISTENERS = {
    "was closed": lambda context, listener: listener.close(),
    "accepts and reads": lambda context, listener: handle_connections(
        listener, lambda connection: connection.recv(1)
    ),
    "belongs to a suspended process": lambda context, listener: None,
    "is closed 20 ms later, with connections in wait": lambda context, listener: threading.Timer(
        CLOSED_AFTER_S, listener.close
    ).start(),
    "resets each connection": lambda context, listener: handle_connections(listener, reset),
    "answers nothing, as its queue is full": let_nothing_in,
}


@given("an address whose listener {listener}")
def address_with_listener(context, listener):
    server = context.cleanup.enter_context(socket.create_server(("127.0.0.1", 0)))
    context.address = f"127.0.0.1:{server.getsockname()[1]}"
    LISTENERS[listener](context, server)


def probe(context):
    begun_s = time.monotonic()
    context.state = ListenerProbe(SystemClock()).probe(context.address, PROBE_TIMEOUT_MS)
    return time.monotonic() - begun_s


@when("it is probed")
def probed(context):
    context.took_s = probe(context)


@then("it is found to be {state}")
def found_to_be(context, state):
    assert context.state.value == state, context.state
    assert context.took_s < 1.0, context.took_s


@when("it is probed {count:d} times")
def probed_often(context, count):
    context.durations_s = [probe(context) for _ in range(count)]


@then("half of the probes took less than {limit_ms:d} ms each")
def probes_are_short(context, limit_ms):
    assert statistics.median(context.durations_s) * 1_000 < limit_ms, context.durations_s
