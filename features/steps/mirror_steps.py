"""Steps on a store mirror on its own, and on the TCP settings of connections."""

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
    """Answers lists, fails the first watch, and holds long watches until ``released`` is set."""

    era = StoreEra()

    def __init__(self):
        self.watch_waits_ms = []
        self.released = threading.Event()

    def list_items(self, prefix):
        return Snapshot((), 1)

    def changes(self, prefix, since, wait_ms):
        self.watch_waits_ms.append(wait_ms)
        if len(self.watch_waits_ms) == 1:
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, "down")
        if wait_ms >= WATCH_MS:
            self.released.wait()
        return Changes((), (), since)


@given("a mirror of a store that fails once")
def failing_mirror(context):
    context.store = FailingStore()
    context.mirror = StoreMirror(
        context.store, "a/", SystemClock(), NullCounters(), lambda state: None, WATCH_MS
    )
    context.cleanup.callback(context.store.released.set)
    context.cleanup.callback(context.mirror.close)


@when("the mirror watches the store")
def watch_store(context):
    context.mirror.start()
    assert eventually(lambda: len(context.store.watch_waits_ms) >= 3)


@then("watches are short until one is answered, and then the mirror is connected")
def watches_short_until_answered(context):
    first, second, third = context.store.watch_waits_ms[:3]
    assert first < 1_000 and second < 1_000 and third == WATCH_MS, context.store.watch_waits_ms
    assert context.mirror.connected


@given("a stand-in store and a stand-in replica")
def stand_ins(context):
    context.store = StoreStandIn()
    context.cleanup.callback(context.store.close)
    context.replica = ReplicaStandIn(context.store, "portal")
    context.cleanup.callback(context.replica.close)


@when("connections to both are opened")
def open_connections(context):
    clock = SystemClock()
    store = PlatformStore(context.store.open_endpoint().address, 2_000, clock)
    store.get("nothing")
    replica = ReplicaConnection(context.replica.address, clock, 1_000)
    context.cleanup.callback(replica.close)
    context.sockets = [store.idle_sockets()[0], replica.socket]


@then("the system drops both within seconds, with and without data in flight")
def unresponsive_connections_dropped(context):
    for each in context.sockets:
        user_timeout = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        assert 0 < user_timeout <= 3_000, user_timeout
        assert each.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        idle = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE)
        probes = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        interval = each.getsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL)
        assert idle + probes * interval <= 4, (idle, probes, interval)
