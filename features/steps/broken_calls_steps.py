"""Steps on broken responses to calls of the store, other routers, upstreams and a router."""

import subprocess
import sys

import msgspec
from behave import given, then, when
from platform_standins.heads import MALFORMED_HEADS, UNUSUAL_HEADS
from platform_standins.one_response import OneResponseServer

from aspengate.adapters import EtcdStore, HttpInstanceList, UpstreamRequest, open_upstream
from aspengate.clock import SystemClock
from aspengate.errors import AspengateError
from aspengate.peers import PeerClient
from aspengate.platform import PlatformStore
from aspengate.store import Put

TIMEOUT_MS = 2_000.0
# More than the buffers of both sockets hold.
UPLOAD = b"u" * 8_000_000
PUT = (Put("aspengate/a", b"v"),)
ETCD_WRITTEN = b'{"succeeded": true, "header": {"revision": "4"}}'
MIRROR = msgspec.msgpack.encode([[], 3, 3])


def platform_store(address):
    return PlatformStore(address, TIMEOUT_MS, SystemClock())


def read_upstream(protocol, address, body=b""):
    request = UpstreamRequest("POST", "/", (), body, 1, TIMEOUT_MS)
    return b"".join(open_upstream(protocol, address).send(request).chunks)


# For each call, the body of a valid response and a function that makes the call.
CALLS = {
    "read of the store": (
        b'{"key": "a", "value": "dg==", "revision": 3}',
        lambda address: platform_store(address).get("a"),
    ),
    "list of the store": (
        b'{"items": [], "at": 3}',
        lambda address: platform_store(address).list_items("a/"),
    ),
    "watch of the store": (
        b'{"events": [], "at": 3}',
        lambda address: platform_store(address).changes("a/", 3, 100),
    ),
    "write to the store": (
        b'{"revision": 4}',
        lambda address: platform_store(address).transact({}, PUT),
    ),
    "fetch of another router's mirror": (
        MIRROR,
        lambda address: PeerClient(TIMEOUT_MS).fetch_mirror(address, "a/"),
    ),
    "close of a witnessed session": (
        msgspec.msgpack.encode([{}]),
        lambda address: PeerClient(TIMEOUT_MS).close_witnessed(address, "s"),
    ),
    "read of an etcd store": (b"{}", lambda address: EtcdStore(address).get("a")),
    "watch of an etcd store": (
        b'{"result": {"events": [{"kv": {"value": "dg==", "mod_revision": "4"}}]}}\n',
        lambda address: EtcdStore(address).watch("a", 3, TIMEOUT_MS),
    ),
    "write to an etcd store": (
        ETCD_WRITTEN,
        lambda address: EtcdStore(address).compare_and_swap("a", 3, b"v"),
    ),
    "list of the instances": (b"[]", lambda address: HttpInstanceList(address).instances()),
    "run at a plain upstream": (b"body", lambda address: read_upstream("plain", address)),
    "run at an engine": (b'{"usage": {}}', lambda address: read_upstream("completion", address)),
    "long run at a plain upstream": (
        b"body",
        lambda address: read_upstream("plain", address, UPLOAD),
    ),
    "long write to the store": (
        b'{"revision": 4}',
        lambda address: platform_store(address).transact({}, (Put("aspengate/a", UPLOAD),)),
    ),
}


@given("a server that answers a {call}")
def answering_server(context, call):
    body, context.call = CALLS[call]
    context.server = OneResponseServer(body)
    context.cleanup.callback(context.server.close)


def failure_of(context):
    """Make the call; return the kind of its error, None if it succeeds."""
    try:
        context.call(context.server.address)
    except AspengateError as error:
        return error.kind.value
    return None


@when("the call is made for each malformed and each unusual head")
def call_with_each_head(context):
    context.failures = {}
    for name, rewrite in {**MALFORMED_HEADS, **UNUSUAL_HEADS}.items():
        context.server.rewrite = rewrite
        context.failures[name] = failure_of(context)


@then("each malformed head is an error of kind {kind}, and the others are accepted")
def malformed_are_errors(context, kind):
    expected = {name: kind for name in MALFORMED_HEADS}
    # A status that a call does not define is an error of its own.
    expected.update({name: None for name in UNUSUAL_HEADS if name != "status 418"})
    found = {name: context.failures[name] for name in expected}
    assert found == expected, {n: k for n, k in found.items() if k != expected[n]}


UNREADABLE_BODIES = (b"", b"<html></html>", b'{"revision": 4', b"[4]", b"\xff\xfe")
# The response to a write that was made names its revision.
BODIES_WITHOUT_REVISION = {
    "write to the store": (b"{}", b'{"revision": null}', b'{"revision": "4"}'),
    "write to an etcd store": (
        b'{"succeeded": true}',
        b'{"succeeded": true, "header": {}}',
        b'{"succeeded": true, "header": {"revision": "x"}}',
        b'{"succeeded": true, "header": [4]}',
    ),
}


@when("the response to the {call} has a body that can't be decoded")
def call_with_unreadable_body(context, call):
    context.failures = []
    for body in (*UNREADABLE_BODIES, *BODIES_WITHOUT_REVISION.get(call, ())):
        context.server.body = body
        context.failures.append(failure_of(context))


@when("the response to the call has malformed chunks")
def call_with_malformed_chunks(context):
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    context.server.rewrite = lambda _: head
    context.failures = []
    for body in (b"0x4\r\nbody\r\n0\r\n\r\n", b"4\r\nbodyXX0\r\n\r\n"):
        context.server.body = body
        context.failures.append(failure_of(context))


@when("the response to the call has status {status:d} and the body {body}")
def call_with_status(context, status, body):
    line = b"HTTP/1.1 %d Failed" % status
    context.server.body = body.encode()
    context.server.rewrite = lambda head: head.replace(b"HTTP/1.1 200 OK", line)
    context.failures = [failure_of(context)]


@when("the response to the call has no length and is reset {count:d} times")
def call_with_reset(context, count):
    context.server.resets = True
    context.failures = [failure_of(context) for _ in range(count)]


@then("each call is an error of kind {kind}")
def each_call_fails(context, kind):
    assert set(context.failures) == {kind}, context.failures


@given("a server that answers the command line")
def server_for_commands(context):
    context.server = OneResponseServer(b'{"routers": []}')
    context.cleanup.callback(context.server.close)


@when("the status is printed for each malformed head")
def print_status(context):
    context.results = {}
    command = [sys.executable, "-m", "aspengate", "table", "status"]
    for name, rewrite in MALFORMED_HEADS.items():
        context.server.rewrite = rewrite
        context.results[name] = subprocess.run(
            [*command, "--router", context.server.address, "--key", "k"],
            capture_output=True,
            text=True,
            timeout=30,
        )


@then("each command ends with an error of one line, and prints no body")
def commands_fail(context):
    for name, result in context.results.items():
        assert result.returncode != 0 and not result.stdout, (name, result)
        assert result.stderr.startswith("aspengate: no_upstream: "), (name, result.stderr)
        assert len(result.stderr.splitlines()) == 1, (name, result.stderr)
