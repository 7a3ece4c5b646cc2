"""Steps on idle connections to replicas, with listening sockets but without a gateway."""

import socket

from behave import given, then, when

from aspengate.clock import ManualClock
from aspengate.connections import ConnectionPool, ConnectTimes
from aspengate.replicas import PromptShape, Replica, ReplicaChooser, ReplicaView, SegmentTracker
from plain_fleet import FakeReplica, PlainFleet

MAX_IDLE_MS = 6_000.0
CONNECT_MS = 2.0


class Connections:
    """A pool on a manual clock, and a socket that accepts its connections."""

    def __init__(self, context, max_idle=1_000):
        self.clock = ManualClock()
        self.listener = context.cleanup.enter_context(socket.create_server(("127.0.0.1", 0)))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.pool = ConnectionPool(self.clock, MAX_IDLE_MS, max_idle)
        context.cleanup.callback(self.pool.close)
        self.accepted = []
        self.cleanup = context.cleanup

    def open(self):
        connection = self.pool.open(self.address, 1_000)
        # No request is sent here, so the connection is always ready for the next one.
        connection.prepare_next_request = lambda: True
        accepted, _ = self.listener.accept()
        self.accepted.append(self.cleanup.enter_context(accepted))
        return connection

    def add_idle(self, replica, keep_alive_ms, max_connections=0):
        connection = self.open()
        connection.last_used_ms = self.clock.monotonic_ms()
        self.pool.release(replica, connection, keep_alive_ms, max_connections)
        return connection


def seconds(text):
    return None if text == "no" else float(text) * 1_000


@given("a pool with a connection to a replica that announces an idle timeout of {announced} s")
def pool_with_connection(context, announced):
    context.connections = Connections(context)
    context.connection = context.connections.add_idle("replica", seconds(announced))


@when("the connection has been idle for {idle:g} s")
def idle_for(context, idle):
    context.connections.clock.advance(idle * 1_000)


@then("the pool reuses it")
def reused(context):
    pool = context.connections.pool
    pool.close_expired()
    assert pool.has_idle("replica")
    assert pool.acquire("replica") is context.connection


@then("the pool closes it")
def closed(context):
    pool = context.connections.pool
    assert not pool.has_idle("replica")
    pool.close_expired()
    assert context.connection.socket.fileno() == -1
    assert pool.acquire("replica") is None and pool.idle == 0


@given("a replica that accepts {maximum} connections in total, and {routers} routers")
def replica_with_maximum(context, maximum, routers):
    context.connections = Connections(context)
    context.connections.pool.routers = 0 if routers == "no" else int(routers)
    context.maximum = 0 if maximum == "no" else int(maximum)


@when("a pool has had 20 connections to it idle for 10 s of an announced 60 s")
def burst(context):
    connections = context.connections
    for _ in range(20):
        connections.add_idle("replica", 60_000.0, context.maximum)
    connections.clock.advance(10_000)
    connections.pool.close_expired()


@then("{kept:d} of them are still open")
def kept_open(context, kept):
    assert context.connections.pool.idle == kept, context.connections.pool.idle


@given("a pool that keeps at most 10 idle connections")
def limited_pool(context):
    context.connections = Connections(context, max_idle=10)


@when("3 connections to each of 5 replicas become idle, one replica after the other")
def many_idle(context):
    context.idle = []
    for replica in range(5):
        for _ in range(3):
            context.connections.clock.advance(10)
            context.idle.append(context.connections.add_idle(f"replica-{replica}", 60_000.0))


@then("the 10 most recently used ones are kept")
def recent_kept(context):
    open_ones = [each for each in context.idle if each.socket.fileno() != -1]
    assert open_ones == context.idle[-10:]
    assert context.connections.pool.idle == 10


@when("the replica closes the connection at its timeout")
def replica_closes(context):
    context.connections.clock.advance(60_000)
    context.connections.accepted[0].close()


@then("the pool reports no idle connection there")
def no_idle(context):
    assert not context.connections.pool.has_idle("replica")


@when("connections to an address take 2 ms, and one takes 1 s")
def connect_times(context):
    context.times = ConnectTimes()
    for connect_ms in (CONNECT_MS, CONNECT_MS, 1_000.0):
        context.times.record("10.0.0.1:80", connect_ms)


@then("the learned time is between 2 and 25 ms")
def learned(context):
    assert 2 <= context.times.mean_ms("10.0.0.1:80") <= 25
    assert context.times.mean_ms("10.0.0.2:80") == 0.0


def observed(name, response_ms, now_ms):
    view = ReplicaView(Replica(name, "lookup", "10.0.0.1:80", "here", 64))
    work = view.begin(now_ms - response_ms, 0.0)
    view.record_first_response(work, response_ms, now_ms)
    view.end(work, now_ms)
    view.record_success(now_ms, response_ms)
    return view


def choices(chooser, views, now_ms):
    ties = (0.0, 0.3, 0.6, 0.9)
    return {chooser.choose(views, PromptShape(), tie, now_ms).view.identity for tie in ties}


@given("two replicas that are equally fast, of which one has an idle connection")
def one_with_connection(context):
    def opening_ms(view):
        return 0.0 if view.identity == "connected" else CONNECT_MS

    context.chooser = ReplicaChooser(SegmentTracker(), "here", opening_ms=opening_ms)
    context.now_ms = 100_000.0
    context.connected = observed("connected", 20.0, context.now_ms)


@then("all requests go to the one with the idle connection")
def prefers_connected(context):
    views = [observed("other", 20.0, context.now_ms), context.connected]
    assert choices(context.chooser, views, context.now_ms) == {"connected"}


@then("they go to the other one if it is faster by more than connecting takes")
def prefers_faster(context):
    views = [observed("other", 14.0, context.now_ms), context.connected]
    assert choices(context.chooser, views, context.now_ms) == {"other"}


@then("they go to both if the other one has not been used for 40 s")
def both_used(context):
    views = [observed("other", 20.0, context.now_ms - 40_000), context.connected]
    assert choices(context.chooser, views, context.now_ms) == {"connected", "other"}


@given("five equal replicas that close connections after 3 s, at which connecting takes 2 ms")
def closing_replicas(context):
    context.replicas = [FakeReplica(f"replica-{n}", 20.0) for n in range(5)]


def run_fleet(context, routers, rate, duration_s, *, opening_ms):
    fleet = PlainFleet(
        context.replicas,
        routers=routers,
        per_second=rate,
        connect_ms=CONNECT_MS,
        keep_alive_ms=3_000.0,
        opening_ms=opening_ms,
    )
    return fleet, fleet.run(duration_s * 1_000)


@when("{routers:d} routers send {rate:d} requests a second to them for {duration:d} s")
def send_to_them(context, routers, rate, duration):
    context.size = (routers, rate, duration)
    context.model, context.counts = run_fleet(context, *context.size, opening_ms=CONNECT_MS)


@then("each of the replicas gets at least a tenth of the requests")
def no_starved_replica(context):
    counts, total = context.counts, context.counts.total()
    assert all(counts[each.name] >= total / 10 for each in context.replicas), counts


@then("fewer than two thirds of the connections are opened that are opened at random")
def fewer_opened(context):
    at_random, _ = run_fleet(context, *context.size, opening_ms=0.0)
    assert context.model.opened < at_random.opened * 2 / 3, (
        context.model.opened,
        at_random.opened,
    )
