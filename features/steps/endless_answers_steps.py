"""Steps on replicas that send bytes without end."""

import socket
import threading
import time

from behave import given, then, when
from platform_standins.endless import ENDLESS
from platform_standins.fleet import eventually

from aspengate.errors import AspengateError
from aspengate.peers import PeerClient
from gateway_world import TOKENS, start_gateways

LATE_S = 0.5
MAX_GROWTH_BYTES = 32 * 1024 * 1024
REQUESTS = {
    "receipt": ("GET", "/receipt/1", {}),
    "status": ("POST", "/status/1", {"body": b"x"}),
    "stream": ("POST", "/score/1", {"body": b"x", "tokens": TOKENS}),
}


def resident_bytes(router):
    """Return the largest resident memory of a process so far."""
    with open(f"/proc/{router.process.pid}/status", encoding="ascii") as status:
        sizes = dict(line.split(":") for line in status)
    return int(sizes["VmHWM"].split()[0]) * 1024


@given("a gateway with a replica that sends {name} without end")
def gateway_with_endless_replica(context, name):
    assert name in ENDLESS, name
    start_gateways(context)
    for replica in context.fleet.replicas:
        replica.behaviour = f"endless: {name}"
    context.before_bytes = resident_bytes(context.router)


def read_until_closed(caller, until_s):
    """Read until the router ends the response or the connection; return the head, as far as sent.

    Raises TimeoutError at ``until_s``.
    """
    received, tail = b"", b""
    while time.monotonic() < until_s:
        caller.socket.settimeout(max(0.001, until_s - time.monotonic()))
        data = caller.socket.recv(65_536)
        received = received or data
        tail = (tail + data)[-16:]
        if not data or tail.endswith(b"0\r\n\r\n") or b"Content-Length" in received:
            return received, tail
    raise TimeoutError


@when("a {kind} with a deadline of {deadline_s:d} s is sent to it")
def send_request(context, kind, deadline_s):
    method, path, fields = REQUESTS[kind]
    caller = context.router.call()
    caller.send(method, path, deadline_ms=deadline_s * 1_000, **fields)
    begun_s = time.monotonic()
    context.succeeded, context.timed_out = False, False
    try:
        received, tail = read_until_closed(caller, begun_s + deadline_s + LATE_S)
        is_success = received.startswith(b"HTTP/1.1 2")
        # A response with a length is sent at once, complete.
        is_complete = tail.endswith(b"0\r\n\r\n") or b"Content-Length" in received
        context.succeeded = is_success and is_complete
    except TimeoutError:
        context.timed_out = True
    except OSError:
        pass
    context.lasted_s = time.monotonic() - begun_s
    caller.close()


@then("the request ends at most half a second after its deadline, without a complete success")
def ended_in_time(context):
    assert not context.timed_out
    assert not context.succeeded


@then("the replica's connections are closed, and the gateway's memory has grown by less than 32 MB")
def closed_and_bounded(context):
    assert eventually(lambda: not any(r.open_connections for r in context.fleet.replicas), 2.0)
    check_memory(context)


@then(
    "the request ends within {seconds:d} s, and the gateway's memory has grown by less than 32 MB"
)
def ended_soon(context, seconds):
    assert not context.timed_out and context.lasted_s <= seconds, context.lasted_s
    check_memory(context)


def check_memory(context):
    growth = resident_bytes(context.router) - context.before_bytes
    assert growth < MAX_GROWTH_BYTES, growth


# For each kind, what a router sends first, what it then sends repeatedly, and the pause between.
ENDLESS_ROUTERS = {
    "a body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536, 0.0),
    "a body in drops": (b"HTTP/1.1 200 OK\r\n\r\n", b"x", 0.1),
    "a header in drops": (b"HTTP/1.1 200 OK\r\nX-More: ", b"x", 0.1),
}


class EndlessRouter:
    """Sends one response without end, until ``MAX_GROWTH_BYTES`` have been sent."""

    def __init__(self, first, more, pause_s):
        self.sent = 0
        self._parts = first, more, pause_s
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self._closing = threading.Event()
        threading.Thread(target=self._serve, daemon=True).start()

    def close(self):
        self._closing.set()
        self._listener.close()

    def _serve(self):
        first, more, pause_s = self._parts
        connection = self._listener.accept()[0]
        with connection:
            connection.recv(65_536)
            try:
                connection.sendall(first)
                while self.sent < MAX_GROWTH_BYTES and not self._closing.wait(pause_s):
                    connection.sendall(more)
                    self.sent += len(more)
            except OSError:
                pass


@given("another router that sends {name} without end")
def endless_router(context, name):
    context.other_router = EndlessRouter(*ENDLESS_ROUTERS[name])
    context.cleanup.callback(context.other_router.close)


@when("its list of replicas is fetched with a time limit of 500 ms")
def fetch_list(context):
    failures = context.failures = []

    def fetch():
        try:
            PeerClient(500).fetch_mirror(context.other_router.address, "replicas/")
        except AspengateError as error:
            failures.append(error)

    threading.Thread(target=fetch, daemon=True).start()


@then("the call has failed after 3 s, and has read less than 32 MB")
def call_has_failed(context):
    assert eventually(lambda: context.failures, 3.0), "the call goes on"
    assert context.other_router.sent < MAX_GROWTH_BYTES, context.other_router.sent
