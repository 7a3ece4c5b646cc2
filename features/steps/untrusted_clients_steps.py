"""Steps on clients that hold on to a router's memory, threads and connections."""

import contextlib
import gc
import json
import select
import signal
import socket
import time
import tracemalloc
from dataclasses import dataclass
from pathlib import Path

import eliot
from behave import given, then, when
from platform_standins import Caller
from platform_standins.crowd import (
    BODY,
    CLIENTS,
    DROP_PAUSE_S,
    LARGE_BODY_BYTES,
    READ_BYTES,
    Crowd,
    chunks,
)
from platform_standins.fleet import ask, eventually
from platform_standins.replica import behaviour, chunk, is_stream

from aspengate.clock import ManualClock, SystemClock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway import PromptSegment
from aspengate.gateway._progress import Progress
from aspengate.gateway._request_log import RequestLog
from aspengate.replicas import SegmentTracker
from aspengate.serving import FreeMemory
from aspengate.serving._memory_budget import MemoryBudget, Reservation
from aspengate.serving._slow_callers import MemorySearch
from aspengate.streams import StreamKey, StreamOrigin, StreamOrigins
from aspengate.telemetry import NullCounters
from gateway_world import in_background, metrics_page, start_gateways

MB = 1024 * 1024
HOLD_S = 4.0
# The state of a listening socket in /proc/net/tcp, whose queues are connections.
LISTENING = "0A"
ROUTE_TIMEOUT_MS = 60_000
# Long answers have 16 MB.
PIECE = b"x" * 16 * 1024
PIECES = 1_024
# Just below the size at which a router takes an event for endless.
PART_OF_EVENT_BYTES = 1_000_000
LONG_ID_CHARS = 15_000
WORK_S = 2.0
ORDINARY_TIMEOUT_S = 20.0


@behaviour("long for a crowd")
def answer_crowd(replica, connection, request):
    """Answer as the last part of the path asks for; most requests take a while."""
    replica.run(request)
    name = request.target.rpartition("/")[2]
    if name in LONG_ANSWERS:
        return LONG_ANSWERS[name](replica, connection, request)
    if name != "1":
        replica.wait(connection, request, WORK_S)
    body = replica.body(request)
    replica.send(connection, replica.head(request, length=len(body)) + body, request)
    return True


def send_part_of_event(replica, connection, request):
    replica.send(connection, replica.head(request, stream=True), request)
    replica.send(connection, chunk(b"id: 1\ndata: " + b"x" * PART_OF_EVENT_BYTES), request)
    replica.wait(connection, request, ROUTE_TIMEOUT_MS / 1_000)
    return False


def send_long(replica, connection, request):
    if is_stream(request):
        head, event = replica.head(request, stream=True), b"id: %d\ndata: %s\n\n"
        return send_pieces(replica, connection, request, head, lambda n: chunk(event % (n, PIECE)))
    head = replica.head(request, length=PIECES * len(PIECE))
    return send_pieces(replica, connection, request, head, lambda _: PIECE, end=b"")


def send_long_chunked(replica, connection, request):
    head = replica.head(request, extra=["Transfer-Encoding: chunked"])
    return send_pieces(replica, connection, request, head, lambda _: chunk(PIECE))


def send_pieces(replica, connection, request, head, piece, end=b"0\r\n\r\n"):
    replica.send(connection, head, request)
    for number in range(1, PIECES + 1):
        replica.send(connection, piece(number), request)
    replica.send(connection, end, request)
    return True


LONG_ANSWERS = {
    "part": send_part_of_event,
    "long": send_long,
    "long-chunked": send_long_chunked,
}


def start(context, *, max_body_bytes=LARGE_BODY_BYTES, **limits):
    def configure(configuration):
        configuration["limits"]["maxBodyBytes"] = max_body_bytes
        for each in configuration["routes"]:
            each["timeoutMs"] = ROUTE_TIMEOUT_MS

    start_gateways(context, limits=limits)
    context.fleet.operator.change(configure)
    version = context.fleet.operator.configuration["configVersion"]
    assert eventually(lambda: figure(context.router, "configuration_version") == version)
    for replica in context.fleet.replicas:
        replica.behaviour = "long for a crowd"
    context.limits = {"descriptors": 1_024, **limits}
    assert ask_ordinary(context.router)
    context.start_bytes = memory_bytes(context.router, "VmRSS")


def figure(router, name):
    """Return a figure of the metrics page, of whatever family; None if it has none of that name."""
    lines = [line for line in metrics_page(router).splitlines() if f'"{name}"}}' in line]
    return float(lines[0].rpartition(" ")[2]) if lines else None


@given("a gateway with {memory_mb:d} MB of memory and {threads:d} threads")
def gateway_with_memory(context, memory_mb, threads):
    start(context, memory_mb=memory_mb, threads=threads)


@given(
    "a gateway with {descriptors:d} descriptors, {threads:d} threads and {memory_mb:d} MB of memory"
)
def gateway_with_descriptors(context, descriptors, threads, memory_mb):
    start(context, memory_mb=memory_mb, descriptors=descriptors, threads=threads)


@given("a gateway with {memory_mb:d} MB of memory that accepts bodies of {limit:d} bytes")
def gateway_with_body_limit(context, memory_mb, limit):
    start(context, max_body_bytes=limit, memory_mb=memory_mb)


def memory_bytes(router, name):
    """Return a figure of a process's memory: VmRSS for the resident one, VmHWM for its peak."""
    status = Path(f"/proc/{router.process.pid}/status").read_text(encoding="ascii")
    sizes = dict(line.split(":", 1) for line in status.splitlines())
    return int(sizes[name].split()[0]) * 1024


def queued_bytes(address):
    """Return the bytes that the kernel holds for the connections to an address, in both ways."""
    host, port = address.split(":")
    local = bytes(reversed(socket.inet_aton(host))).hex().upper() + f":{int(port):04X}"
    rows = [line.split() for line in Path("/proc/net/tcp").read_text("ascii").splitlines()[1:]]
    queues = [row[4] for row in rows if row[1] == local and row[3] != LISTENING]
    return sum(int(size, 16) for queue in queues for size in queue.split(":"))


def descriptor_count(router):
    return len(list(Path(f"/proc/{router.process.pid}/fd").iterdir()))


def ask_ordinary(router):
    """Send an ordinary request on a new connection; return whether it is answered."""
    with contextlib.suppress(OSError), contextlib.closing(Caller(router.address, 10.0)) as caller:
        found = caller.request("GET", "/receipt/1", deadline_ms=10_000)
        return found.status == 200 and found.whole
    return False


@when("{crowd:d} clients {did}")
def crowd_arrives(context, crowd, did):
    arrive(context, context.router.address, crowd, did)


def arrive(context, address, crowd, did):
    """Let a crowd do what it does at an address, and stay."""
    context.crowd = Crowd(address, [did], crowd)
    context.cleanup.callback(context.crowd.leave)
    time.sleep(HOLD_S)
    context.descriptors = descriptor_count(context.router)
    context.queued_bytes = queued_bytes(address)


@when("one client goes on to {do}")
def client_in_drops(context, do):
    context.caller = Caller(context.router.address)
    context.cleanup.callback(context.caller.close)
    context.steps = CLIENTS[do](context.caller)


@then("its connection is closed")
def connection_is_closed(context):
    def is_closed():
        try:
            next(context.steps)
            readable, _, _ = select.select([context.caller.socket], [], [], DROP_PAUSE_S)
            return bool(readable) and context.caller.socket.recv(READ_BYTES) == b""
        except OSError:
            return True

    assert eventually(is_closed, ORDINARY_TIMEOUT_S)


def address_of(router, place):
    return {
        "readiness": router.ready_address,
        "metrics": router.metrics_address,
        "peer": router.peer_address,
    }[place]


@when("its {place} address is called by {crowd:d} clients that {did}")
def crowd_arrives_at(context, place, crowd, did):
    arrive(context, address_of(context.router, place), crowd, did)


# The names of a gateway's addresses in settings, metrics and the log.
LISTENERS = {"readiness": "ready", "metrics": "metrics", "peer": "peer"}


@given("a gateway that accepts {count:d} connections at its {place} address")
def gateway_with_few_connections(context, count, place):
    start(context, **{f"{LISTENERS[place]}_connections": count})


@given("a gateway that accepts heads of {size:d} bytes at its other addresses")
def gateway_with_short_heads(context, size):
    start(context, listener_head_bytes=size)


def send_head(address, size):
    """Send a request whose head has a size; return the caller's address and the response."""
    start_line, end = f"GET /mirrors HTTP/1.1\r\nHost: {address}\r\nX-More: ", "\r\n\r\n"
    with contextlib.closing(Caller(address, 10.0)) as caller:
        host, port = caller.socket.getsockname()
        caller.raw((start_line.ljust(size - len(end), "x") + end).encode())
        return f"{host}:{port}", caller.read()


@when("heads of {first:d} and {second:d} bytes are sent to its {place} address")
def send_heads(context, first, second, place):
    context.listener = LISTENERS[place]
    address = address_of(context.router, place)
    context.heads = [send_head(address, size) for size in (first, second)]


@then("the second is refused with status {status:d}, counted, and in the log")
def head_is_refused(context, status):
    (_, first), (caller, second) = context.heads
    assert (first.status != status, second.status) == (True, status)
    assert eventually(
        lambda: figure(context.router, f"listeners.refused.{context.listener}") == 1, 5.0
    )
    lines = eventually(
        lambda: context.router.find_all("listener.request_refused", listener=context.listener), 5.0
    )
    assert [(line["caller"], line["status"]) for line in lines] == [(caller, status)], lines


@then("at least {count:d} connections closed at its {place} address are counted, and in the log")
def closed_connections_are_counted(context, count, place):
    name = LISTENERS[place]
    assert (figure(context.router, f"listeners.closed.{name}") or 0) >= count
    found = eventually(
        lambda: len(context.router.find_all("listener.connection_closed", listener=name)) >= count,
        5.0,
    )
    assert found, context.router.find_all("listener.connection_closed")


@then("its {place} address responds while the clients stay")
def address_responds(context, place):
    address = address_of(context.router, place)
    assert eventually(lambda: ask(address), ORDINARY_TIMEOUT_S)


@then("the gateway runs, within its memory and descriptors")
def runs_within_limits(context):
    assert not context.router.has_ended
    peak = memory_bytes(context.router, "VmHWM") + context.queued_bytes
    assert peak <= context.limits["memory_mb"] * MB, f"{peak / MB:.0f} MB"
    assert context.descriptors <= context.limits["descriptors"], context.descriptors


@then("an ordinary request is answered while the clients stay")
def ordinary_is_answered(context):
    assert eventually(lambda: ask_ordinary(context.router), ORDINARY_TIMEOUT_S)
    assert not context.crowd.leaving.is_set()


@when("{count:d} large bodies are sent one after the other to replicas that {name}")
def send_one_by_one(context, count, name):
    for replica in context.fleet.replicas:
        replica.behaviour = name
    for _ in range(count):
        assert send_framed(context.router, "/receipt/1", BODY, "with a length")[1].whole
    for replica in context.fleet.replicas:
        replica.behaviour = "long for a crowd"
    context.descriptors = descriptor_count(context.router)
    context.queued_bytes = queued_bytes(context.router.address)


@then("the memory is given back when the clients have left")
def memory_given_back_after_crowd(context):
    context.crowd.leave()
    assert eventually(lambda: ask_ordinary(context.router), ORDINARY_TIMEOUT_S)
    memory_given_back(context)


@then("its memory is given back")
def memory_given_back(context):
    limit = (context.start_bytes + context.limits["memory_mb"] * MB) / 2
    given_back = eventually(
        lambda: memory_bytes(context.router, "VmRSS") <= limit, ORDINARY_TIMEOUT_S
    )
    peak = memory_bytes(context.router, "VmHWM")
    assert peak <= context.limits["memory_mb"] * MB, f"{peak / MB:.0f} MB"
    assert given_back, f"{memory_bytes(context.router, 'VmRSS') / MB:.0f} MB"


def framed(body, framing):
    """Return the header lines and the bytes of a body, framed as a scenario says."""
    if framing == "with a length":
        return [f"Content-Length: {len(body)}"], body
    size = int(framing.removeprefix("in chunks of ").removesuffix(" bytes"))
    return ["Transfer-Encoding: chunked"], chunks(body, size) + b"0\r\n\r\n"


def send_framed(router, path, body, framing):
    """Send a request with a body; return its id and the response."""
    lines, data = framed(body, framing)
    with contextlib.closing(Caller(router.address, 30.0)) as caller:
        # The length of an empty body would be a second one.
        identity = caller.send("PUT", path, headers=lines, deadline_ms=30_000)
        caller.raw(data)
        return identity, caller.read()


@when("a body of {size:d} bytes is sent {framing}")
def send_body(context, size, framing):
    context.body = bytes(index % 251 for index in range(size))
    context.identity, context.answer = send_framed(
        context.router, "/receipt/1", context.body, framing
    )


@then("it is answered, and the replica has received it unchanged")
def received_unchanged(context):
    assert context.answer.status == 200, context.answer.body
    found = [
        request
        for replica in context.fleet.replicas
        for request in replica.requests
        if request.identity == context.identity
    ]
    assert [request.body == context.body for request in found] == [True]


@then("it is refused as too large")
def refused_as_too_large(context):
    assert context.answer.status == 413, context.answer.status
    assert context.answer.whole
    assert not context.fleet.runs(context.identity)


@when("{count:d} requests that may run once are sent at the same time, with large bodies {framing}")
def send_many(context, count, framing):
    def send():
        return send_framed(context.router, "/status/large", BODY, framing)

    waits = [in_background(send) for _ in range(count)]
    context.answers = [wait() for wait in waits]


@then("each is answered or refused, none that was refused has run, and some were refused")
def answered_or_refused(context):
    assert not context.router.has_ended
    errors = [each for each in context.answers if isinstance(each, Exception)]
    assert not errors, errors
    assert all(answer.whole for _, answer in context.answers)
    statuses = {answer.status for _, answer in context.answers}
    assert statuses == {200, 503}, statuses
    context.refused = [each for each in context.answers if each[1].status == 503]
    ran = [identity for identity, _ in context.refused if context.fleet.runs(identity)]
    assert not ran, ran


@then("each refusal names its request and a time to retry, and its line in the log the cause")
def refusal_is_explained(context):
    for identity, answer in context.refused:
        assert answer.header("X-Request-Id") == identity, answer.headers
        assert float(answer.header("Retry-After")) > 0, answer.headers
        line = eventually(
            lambda: context.router.find("request.ended", request_id=identity),  # noqa: B023
            5.0,
        )
        assert line, identity
        assert line["outcome"] == ErrorKind.OUT_OF_MEMORY.value, line
        assert "memory" in line["reason"], line


@then("the metrics page counts the refusals and the memory in use")
def refusals_are_counted(context):
    refused = figure(context.router, "request.out_of_memory")
    assert refused == len(context.refused), (refused, len(context.refused))
    assert figure(context.router, "buffered_bytes") is not None
    assert figure(context.router, "buffer_capacity_bytes") > LARGE_BODY_BYTES


@given("a budget of {capacity:d} MB, of which requests use {used:d} MB")
def used_budget(context, capacity, used):
    budget = MemoryBudget(capacity * MB)
    context.trims = []
    context.free_memory = FreeMemory(budget, lambda: context.trims.append(budget.used_bytes))
    context.reservation = Reservation(budget)
    assert context.reservation.grow(used * MB)
    context.free_memory.give_back()
    assert not context.trims


@when("the requests release it, and free memory is looked for twice")
def release_budget(context):
    context.reservation.release()
    context.free_memory.give_back()
    context.free_memory.give_back()


@then("free memory is given back to the operating system once")
def given_back_once(context):
    assert context.trims == [0], context.trims


def long_id(number):
    return f"{number:x}".rjust(LONG_ID_CHARS, "0")


@when("{count:d} streams and prompts with ids of 15000 characters are recorded")
def record_long_ids(context, count):
    context.origins, context.segments = StreamOrigins(ManualClock()), SegmentTracker()
    origin = StreamOrigin("engine", "v1", "i-1")
    gc.collect()
    tracemalloc.start()
    context.cleanup.callback(tracemalloc.stop)
    for number in range(count):
        context.origins.record(StreamKey("board", long_id(number)), origin, 60_000.0)
        segment = PromptSegment(long_id(number), 10)
        context.segments.record_sent(segment.identity, "i-1", 0.0)
    context.count = count
    context.kept_bytes = tracemalloc.get_traced_memory()[0]


@then("less than 200 KB are kept of them, and they are found by their ids")
def little_is_kept(context):
    assert context.kept_bytes < 200_000, context.kept_bytes
    for number in range(context.count):
        assert context.origins.find(StreamKey("board", long_id(number)))
        assert context.segments.holders(PromptSegment(long_id(number), 10).identity)


@when("the end of a request is logged whose headers have 15000 characters each")
def log_long_request(context):
    context.lines = []
    eliot.add_destinations(context.lines.append)
    context.cleanup.callback(eliot.remove_destination, context.lines.append)
    error = AspengateError(ErrorKind.BAD_REQUEST, long_id(1), where="X-Deadline-Ms")
    log = RequestLog(SystemClock(), NullCounters())
    log.record_end(long_id(2), 0.0, None, Progress(), error)


@then("the line has less than 8 KB")
def line_is_short(context):
    sizes = [len(json.dumps(line, default=str)) for line in context.lines]
    assert sizes and max(sizes) < 8_000, sizes


@given("a gateway with lines of at most {limit:d} bytes around chunks")
def gateway_with_chunk_lines(context, limit):
    start(context, chunk_line_bytes=limit)


@given("a gateway with socket buffers of {size:d} KB")
def gateway_with_socket_buffers(context, size):
    start(context, socket_buffer_kb=size)


@then("the kernel holds {relation} than {bound:d} KB of the response")
def kernel_holds(context, relation, bound):
    is_less = context.queued_bytes < bound * 1024
    assert is_less == (relation == "less"), context.queued_bytes


def framed_part(part):
    """Return the bytes after the head of a request that has a part."""
    if part == "a chunk without an end":
        return b"1\r\nxxxx\r\n"
    size = int(part.split()[-2])
    if part.startswith("a chunk size"):
        return b"1;" + b"x" * (size - 2) + b"\r\nx\r\n0\r\n\r\n"
    line = b"X-More: and more\r\n"
    return b"0\r\n" + line * (size // len(line)) + b"\r\n"


@when("a request is sent that has {part}")
def send_part(context, part):
    with contextlib.closing(Caller(context.router.address, 30.0)) as caller:
        chunked = ["Transfer-Encoding: chunked"]
        context.identity = caller.send("PUT", "/receipt/1", headers=chunked, deadline_ms=30_000)
        caller.raw(framed_part(part))
        context.answer = caller.read()


@then("it is answered with status {status:d}")
def answered_with(context, status):
    assert context.answer.status == status, (context.answer.status, context.answer.body)
    assert context.answer.whole


@then("it is refused with status {status:d}, and has not run")
def refused_with(context, status):
    answered_with(context, status)
    assert not context.fleet.runs(context.identity)


@then('the refusal names its request, and its line in the log the outcome "{outcome}"')
def framing_refusal_is_explained(context, outcome):
    assert context.answer.header("X-Request-Id") == context.identity, context.answer.headers
    line = eventually(
        lambda: context.router.find("request.ended", request_id=context.identity), 5.0
    )
    assert line, context.identity
    assert line["outcome"] == outcome, line
    assert line["reason"], line


@then('the metrics page counts the outcome "{outcome}"')
def outcome_is_counted(context, outcome):
    assert figure(context.router, f"request.{outcome}") == 1


@dataclass
class HeldConnection:
    """A connection whose caller has been sending since ``slow_since_ms``; counts its reads."""

    since_ms: float
    slow_bytes: int
    reads: int = 0

    @property
    def slow_since_ms(self):
        self.reads += 1
        return self.since_ms


@given("{count:d} connections, none of a slow caller")
def quick_connections(context, count):
    context.held = [HeldConnection(0.0, 0) for _ in range(count)]
    context.search = MemorySearch()


@when("{count:d} requests within {duration:d} ms look for memory on them")
def look_for_memory(context, count, duration):
    for number in range(count):
        assert not context.search.find(context.held, 10 * 1024, number * duration / count)


@then("the connections are searched at most {count:d} times")
def searched_rarely(context, count):
    reads = [each.reads for each in context.held]
    assert max(reads) <= count, reads


@when("{passed:d} ms have passed, and one of them holds on to {size:d} KB")
def one_holds_on(context, passed, size):
    context.now_ms = passed
    context.held[0].slow_bytes = size * 1024


@then("a request that lacks {size:d} KB finds it, though one that lacks {more:d} KB does not")
def memory_is_found(context, size, more):
    assert context.search.find(context.held, more * 1024, context.now_ms) == []
    assert context.search.find(context.held, size * 1024, context.now_ms) == context.held[:1]


@given("a fleet of {count:d} gateways with {memory_mb:d} MB of memory and {threads:d} threads")
def fleet_with_memory(context, count, memory_mb, threads):
    start(context, memory_mb=memory_mb, threads=threads)
    for _ in range(1, count):
        context.fleet.add_router(seeds=context.router.peer_address, limits=context.limits)


@when("crowds of all kinds, with {size:d} clients each, arrive at each gateway")
def crowds_of_all_kinds_arrive(context, size):
    context.crowds = [Crowd(router.address, CLIENTS, size) for router in context.fleet.routers]
    for crowd in context.crowds:
        context.cleanup.callback(crowd.leave)
    time.sleep(HOLD_S)


@when("the settings are reloaded and the configuration is changed {count:d} times")
def settings_and_configuration_change(context, count):
    for number in range(count):
        for router in context.fleet.routers:
            router.process.send_signal(signal.SIGHUP)
        context.fleet.operator.change(
            lambda configuration: configuration["limits"].update(idleTimeoutMs=15_000 + number)  # noqa: B023
        )
    version = context.fleet.operator.configuration["configVersion"]
    for router in context.fleet.routers:
        assert eventually(lambda: figure(router, "configuration_version") == version)  # noqa: B023


@then("each gateway runs, within its memory and descriptors, and has heard the others")
def each_runs_within_limits(context):
    for router in context.fleet.routers:
        context.router = router
        context.queued_bytes = queued_bytes(router.address)
        context.descriptors = descriptor_count(router)
        runs_within_limits(context)
        heard = figure(router, "routers_build_unnamed")
        assert heard == len(context.fleet.routers), heard


@then("each gateway answers an ordinary request while the clients stay")
def each_answers(context):
    for router in context.fleet.routers:
        assert eventually(lambda: ask_ordinary(router), ORDINARY_TIMEOUT_S)  # noqa: B023
    assert not any(crowd.leaving.is_set() for crowd in context.crowds)


@then("each gateway gives its memory back when the clients have left")
def each_gives_memory_back(context):
    for crowd in context.crowds:
        crowd.leave()
    for router in context.fleet.routers:
        context.router = router
        assert eventually(lambda: ask_ordinary(router), ORDINARY_TIMEOUT_S)  # noqa: B023
        memory_given_back(context)


@when("the gateway is told to stop")
def tell_to_stop(context):
    context.router.terminate()


@then("it ends by itself, within the time of a stop")
def ends_by_itself(context):
    assert eventually(lambda: context.router.has_ended, ORDINARY_TIMEOUT_S)
    assert context.router.process.returncode == 0, context.router.process.returncode
    assert context.router.find("gateway.stopped")
    assert not context.router.find("gateway.stop_incomplete")
