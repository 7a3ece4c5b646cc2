"""Steps on connections of callers that a relay server closes."""

import itertools
import select
import socket
import threading
import time
from unittest import mock

from behave import given, then, when
from platform_standins import Caller
from platform_standins.fleet import eventually

from aspengate.clock import SystemClock
from aspengate.connections import Waiter
from aspengate.serving import RelayServer, WsgiServer
from aspengate.serving._request_parser import StrictRequestParser
from gateway_world import in_background

# Longer than a server waits between two checks for stale connections.
BUSY_S = 0.8
HELD_UP_S = 1.5
SHORT_IDLE_TIMEOUT_MS = 100.0
DRAIN_S = 5.0
# More than the socket buffers hold, so that most of it waits in the server.
LARGE_BYTES = 16 * 1024 * 1024
READ_IDLE_TIMEOUT_MS = 1_000.0
READ_S = 3.5
READ_PIECES = 128
# Several idle timeouts, and longer than a server waits between two checks for stale connections.
LONG_WORK_S = 4.0
# Longer than a server waits between two checks, shorter than the idle timeout of the scenario.
HOLD_S = 0.6
PART_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
# Longer than the reading thread takes to close a connection.
WORK_S = 0.1


class HoldingClock:
    """A clock that blocks the thread that reads it while ``free`` is not set.

    The reading thread reads it at the first bytes of each request, so it can be made busy.
    """

    def __init__(self):
        self.clock = SystemClock()
        self.free = threading.Event()
        self.free.set()
        self.is_held = threading.Event()

    def monotonic_ms(self):
        if not self.free.is_set():
            self.is_held.set()
            self.free.wait(10)
        return self.clock.monotonic_ms()


# Requests with this target take until ``released`` is set; they set ``begun``.
HELD_TARGET = "/held"
begun = threading.Event()
released = threading.Event()


def respond_with_target(caller):
    if caller.request.target == "/large":
        caller.respond(200, "OK", [], bytes(LARGE_BYTES))
        return
    time.sleep(LONG_WORK_S if caller.request.target == "/long" else WORK_S)
    if caller.request.target == HELD_TARGET:
        begun.set()
        released.wait(10)
    caller.respond(200, "OK", [], caller.request.target.encode())


@given("a relay server with a kept connection")
def relay_server(context):
    context.clock = HoldingClock()
    before = StrictRequestParser.clock
    context.cleanup.callback(setattr, StrictRequestParser, "clock", before)
    StrictRequestParser.clock = context.clock
    context.server = RelayServer(
        respond_with_target,
        "127.0.0.1:0",
        threads=4,
        max_connections=100,
        max_header_bytes=16_384,
        max_body_bytes=65_536,
    )
    context.server.start()
    context.cleanup.callback(context.server.stop)
    context.cleanup.callback(context.clock.free.set)
    context.caller = Caller(context.server.address)
    assert context.caller.request("GET", "/first").body == b"/first"
    assert eventually(lambda: context.server.is_idle)


def make_reading_thread_busy(context):
    context.clock.free.clear()
    context.other = Caller(context.server.address)
    context.other.send("GET", "/other")
    assert context.clock.is_held.wait(5)


def close_idle(context):
    context.server.close_idle()


def lower_connection_limit(context):
    context.server.max_connections = 1


def lower_idle_timeout(context):
    context.server.idle_timeout_ms = SHORT_IDLE_TIMEOUT_MS


def drain_server(context):
    deadline_ms = context.clock.clock.monotonic_ms() + DRAIN_S * 1_000
    context.draining = in_background(lambda: context.server.drain(deadline_ms))


EVENTS = {
    "idle connections are closed": close_idle,
    "there are too many connections": lower_connection_limit,
    "the idle timeout passes": lower_idle_timeout,
    "the server is drained": drain_server,
}


@when("its reading thread is busy, a request arrives on that connection, and {event}")
def request_while_busy(context, event):
    make_reading_thread_busy(context)
    context.caller.send("GET", "/second")
    EVENTS[event](context)
    time.sleep(BUSY_S)
    context.clock.free.set()


@when("its reading thread is held up for over two timeouts, and the rest of a request arrives")
def rest_while_held_up(context):
    context.server.header_timeout_ms = HELD_UP_S * 1_000 / 2.5
    context.caller.raw(b"GET /second HTTP/1.1\r\n")
    assert eventually(lambda: not context.server.is_idle, 5.0)
    make_reading_thread_busy(context)
    context.caller.raw(b"Host: relay\r\n\r\n")
    time.sleep(HELD_UP_S)
    context.clock.free.set()


@when("idle connections are closed while a request on that connection is being read")
def close_while_reading(context):
    context.clock.free.clear()
    context.caller.send("GET", "/second")
    assert context.clock.is_held.wait(5)
    context.server.close_idle()
    context.clock.free.set()


@when(
    "its reading thread is busy, a request arrives on a new connection, and the server is drained"
)
def new_connection_while_busy(context):
    make_reading_thread_busy(context)
    context.caller = Caller(context.server.address)
    context.caller.send("GET", "/second")
    drain_server(context)
    time.sleep(BUSY_S)
    context.clock.free.set()


@when("a connection is opened during a drain, and its request follows after {pause_ms:d} ms")
def open_during_drain(context, pause_ms):
    begun.clear()
    released.clear()
    context.held_caller = context.caller
    context.held_caller.send("GET", HELD_TARGET)
    assert begun.wait(10)
    drain_server(context)
    assert eventually(lambda: context.server.leaving, 5.0)
    context.caller = Caller(context.server.address)
    time.sleep(pause_ms / 1_000)
    context.caller.send("GET", "/second")


@when("the other request ends, and connections that send nothing are open")
def other_request_ends(context):
    context.silent = [Caller(context.server.address) for _ in range(3)]
    released.set()
    assert context.held_caller.read().whole


@then("the drain ends in time, with all requests answered")
def drain_ends(context):
    assert context.draining() is True


def refuse_to_start(_thread):
    raise RuntimeError("can't start new thread")


@when("a request arrives while the only thread is busy and the system refuses to start another")
def request_without_thread(context):
    released.clear()
    with mock.patch.object(threading.Thread, "start", refuse_to_start):
        held = Caller(context.server.address)
        held.send("GET", HELD_TARGET)
        assert eventually(lambda: context.server.in_progress == 1, 5.0)
        context.caller.send("GET", "/second")
        assert eventually(lambda: context.server.in_progress == 2 or is_closed(context.caller), 5.0)
    released.set()
    held.close()


def is_closed(caller):
    readable, _, _ = select.select([caller.socket], [], [], 0)
    try:
        return bool(readable) and caller.socket.recv(1, socket.MSG_PEEK) == b""
    except OSError:
        return True


@when("the server begins to leave while a request is in progress")
def leave_during_request(context):
    context.caller.send("GET", "/second")
    assert eventually(lambda: context.server.in_progress)
    context.server.leaving = True


@then("the request is answered completely, and the response announces the close")
def announces_close(context):
    answer = context.caller.read()
    assert answer.status == 200 and answer.whole and answer.body == b"/second", answer.body
    assert answer.header("Connection") == "close", answer.headers
    assert context.caller.socket.recv(1) == b""


@when("a large response is read steadily for several idle timeouts")
def read_steadily(context):
    context.server.idle_timeout_ms = READ_IDLE_TIMEOUT_MS
    context.caller.send("GET", "/large")
    assert context.caller.read_head()[0] == 200
    context.received = 0
    for _ in range(READ_PIECES):
        time.sleep(READ_S / READ_PIECES)
        context.received += len(context.caller.reader.read(LARGE_BYTES // READ_PIECES))


@then("that response is complete")
def large_response_complete(context):
    context.received += len(context.caller.reader.read(LARGE_BYTES - context.received))
    assert context.received == LARGE_BYTES, context.received


@when("a request takes several idle timeouts, and its thread is held up right after the response")
def hold_thread_after_response(context):
    context.server.idle_timeout_ms = LONG_WORK_S * 1_000 / 2
    wake_reading_thread = context.server.pull_trigger

    def wake_and_hold():
        # A thread of the pool calls it right after the request has left the list of requests.
        wake_reading_thread()
        if threading.current_thread().name.startswith("request"):
            time.sleep(HOLD_S)

    context.server.pull_trigger = wake_and_hold
    assert context.caller.request("GET", "/long").body == b"/long"
    # The connection has not been idle for its timeout yet.
    time.sleep(HOLD_S)


@then("the connection remains usable")
def remains_usable(context):
    assert context.caller.request("GET", "/second").body == b"/second"


@when("an exception is raised on its reading thread, and then a request arrives")
def exception_on_reading_thread(context):
    raised = threading.Event()

    def fail(_report):
        raised.set()
        raise ValueError("raised by a test")

    context.server.on_close = fail
    context.server.close_idle()
    assert raised.wait(5)
    context.server.on_close = lambda _report: None
    context.caller = Caller(context.server.address, 5.0)
    context.caller.send("GET", "/second")


@when(
    "an exception is raised while a connection is accepted, and then a request arrives on a new one"
)
def exception_while_accepting(context):
    raised = threading.Event()
    # The server calls it with the address of each accepted connection.
    unchanged = context.server.fix_addr

    def fail(_address):
        context.server.fix_addr = unchanged
        raised.set()
        raise ValueError("raised by a test")

    context.server.fix_addr = fail
    Caller(context.server.address)
    assert raised.wait(5)
    # An exception that closes the listening socket does so soon afterwards.
    time.sleep(WORK_S)
    context.caller = Caller(context.server.address, 5.0)
    context.caller.send("GET", "/second")


def read_to_end(caller):
    """Read until the connection ends; return the bytes, and whether it was reset."""
    received = b""
    try:
        while data := caller.socket.recv(65_536):
            received += data
    except ConnectionResetError:
        return received, True
    return received, False


def raise_after_response(caller):
    caller.respond(200, "OK", [], b"complete")
    raise ValueError("raised by a test")


def raise_after_part(caller):
    caller.start(200, "OK", [])
    caller.write(b"part", Waiter(SystemClock(), None, float("inf")))
    raise ValueError("raised by a test")


@when("its handler raises an exception after a complete response")
def exception_after_response(context):
    context.server.handler = raise_after_response
    context.caller.raw(b"GET /second HTTP/1.1\r\nHost: any\r\n\r\n")


@when("its handler raises an exception after a part of an unframed response")
def exception_after_part(context):
    context.server.handler = raise_after_part
    context.caller.raw(b"GET /second HTTP/1.0\r\n\r\n")


@then("its caller receives that response, and then the end of the connection")
def only_that_response(context):
    received, was_reset = read_to_end(context.caller)
    assert received.endswith(b"complete") and not was_reset, received


@then("its caller receives no more than that part, and then a reset of the connection")
def only_that_part(context):
    received, was_reset = read_to_end(context.caller)
    # A reset may overtake bytes that were sent before it.
    assert received in (b"", PART_HEAD, PART_HEAD + b"part"), received
    assert was_reset


@when("the server is stopped during a request, other sockets are opened, and the request ends")
def end_after_stop(context):
    begun.clear()
    released.clear()
    context.caller.send("GET", HELD_TARGET)
    assert begun.wait(10)
    channel = next(iter(context.server.active_channels.values()))
    context.server.stop()
    # They get the descriptors that the server has closed.
    context.pairs = [socket.socketpair() for _ in range(4)]
    for each in itertools.chain.from_iterable(context.pairs):
        context.cleanup.callback(each.close)
        each.setblocking(False)
    released.set()
    assert eventually(lambda: not channel.requests)
    time.sleep(WORK_S)


@when("a connection is closed by the reading thread while the server is stopped")
def close_during_stop(context):
    report_close = context.server.report_close

    def close_and_report(channel, reason):
        channel.handle_close()
        report_close(channel, reason)

    context.server.report_close = close_and_report
    context.stopping = in_background(context.server.stop)


@then("the stop ends without an exception")
def stopped_without_exception(context):
    assert context.stopping() is None


@then("none of these sockets receives anything")
def nothing_received(context):
    for each in itertools.chain.from_iterable(context.pairs):
        try:
            received = each.recv(16)
        except BlockingIOError:
            continue
        raise AssertionError(received)


def ready_application(_environ, start_response):
    start_response("200 OK", [("Content-Length", "0")])
    return [b""]


@given("a server of readiness")
def readiness_server(context):
    context.server = WsgiServer(ready_application, "127.0.0.1:0", 2, 1_024)
    context.server.start()
    context.cleanup.callback(context.server.close)


# The method of the waitress server that raises, by the place of the exception.
FAILING_METHODS = {
    "while a connection is accepted": "fix_addr",
    "on the reading thread": "readable",
}


@when("an exception is raised {place} of that server")
def exception_of_readiness_server(context, place):
    raised = threading.Event()
    waitress_server = context.server._server
    name = FAILING_METHODS[place]
    unchanged = getattr(waitress_server, name)

    def fail(*_):
        setattr(waitress_server, name, unchanged)
        raised.set()
        raise ValueError("raised by a test")

    setattr(waitress_server, name, fail)
    Caller(context.server.address)
    assert raised.wait(5)
    time.sleep(WORK_S)


@then("the server still responds")
def still_responds(context):
    assert Caller(context.server.address, 5.0).request("GET", "/").status == 200


@then("the request is answered completely")
def answered(context):
    answer = context.caller.read()
    assert answer.status == 200 and answer.whole and answer.body == b"/second", answer.body


@when("three requests arrive together on that connection, the last one in two parts")
def pipelined_requests(context):
    request = "GET /%s HTTP/1.1\r\nHost: board.example\r\n\r\n"
    data = "".join(request % name for name in ("one", "two", "three")).encode()
    context.caller.raw(data[:-10])
    assert eventually(lambda: context.server.in_progress)
    context.caller.raw(data[-10:])


@then("the three requests are answered in their order")
def answered_in_order(context):
    assert [context.caller.read().body for _ in range(3)] == [b"/one", b"/two", b"/three"]
