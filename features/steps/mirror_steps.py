"""Steps on following the store without a router around it."""

import socket
import threading

from behave import given, then, when
from platform_standins import ReplicaStandIn, StoreStandIn
from platform_standins.fleet import eventually

from aspengate.clock import SystemClock
from aspengate.connections import ReplicaConnection
from aspengate.errors import AspengateError, ErrorKind
from aspengate.platform import PlatformStore
from aspengate.store import Changes, Snapshot, StoreEra, StoreMirror
from aspengate.telemetry import NullCounters

WATCH_MS = 20_000


class FailingStore:
    """Lists, fails the first watch, and answers the later ones when they are let through."""

    era = StoreEra()

    def __init__(self):
        self.waits = []
        self.let_through = threading.Event()

    def list_items(self, prefix):
        return Snapshot((), 1)

    def changes(self, prefix, since, wait_ms):
        self.waits.append(wait_ms)
        if len(self.waits) == 1:
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, "down")
        if wait_ms >= WATCH_MS:
            self.let_through.wait()
        return Changes((), (), since)


@given("a mirror of a store that fails once")
def failing_mirror(context):
    context.store = FailingStore()
    context.mirror = StoreMirror(
        context.store, "a/", SystemClock(), NullCounters(), lambda state: None, WATCH_MS
    )
    context.cleanup.callback(context.store.let_through.set)
    context.cleanup.callback(context.mirror.close)


@when("it follows the store")
def follow(context):
    context.mirror.start()
    assert eventually(lambda: len(context.store.waits) >= 3)


@then("watches are short ones until one is answered, and the mirror is connected after it")
def short_watch(context):
    first, second, third = context.store.waits[:3]
    assert first < 1_000 and second < 1_000 and third == WATCH_MS, context.store.waits
    assert context.mirror.connected


@given("a stand-in store and a stand-in replica")
def standins(context):
    context.store = StoreStandIn()
    context.cleanup.callback(context.store.close)
    context.replica = ReplicaStandIn(context.store, "portal")
    context.cleanup.callback(context.replica.close)


@when("connections to both are opened")
def open_connections(context):
    clock = SystemClock()
    store = PlatformStore(context.store.open_door().address, 2_000, clock)
    store.get("nothing")
    replica = ReplicaConnection(context.replica.address, clock, 1_000)
    context.cleanup.callback(replica.close)
    context.sockets = [store.idle_sockets()[0], replica.socket]


@then("the system gives up on both after seconds, with and without bytes under way")
def gives_up(context):
    for each in context.sockets:
        user_timeout = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert 0 < user_timeout <= 3_000, user_timeout
        assert each.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        probes = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        interval = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        assert idle + probes * interval <= 4, (idle, probes, interval)
