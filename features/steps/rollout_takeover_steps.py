"""Steps on the takeover of a rollout from a decider whose process has ended."""

import socket
import struct
import threading

from behave import given, then, when
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock, SystemClock
from aspengate.gateway.rollouts._decider_watch import DeciderWatch
from aspengate.peers import Member, MemberList
from aspengate.rollouts import DOCUMENT_PREFIX
from aspengate.store import Snapshot
from aspengate.telemetry import NullCounters

NOTICED_S = 0.5
SETTLED_S = 0.3
RESET = struct.pack("ii", 1, 0)
SUBJECT = "rollout/portal"


class StandInDecider:
    """Accepts connections and sends nothing."""

    def __init__(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.member = Member("front-1", f"{host}:{port}", "front-1.a")
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                self.connections.append(self.listener.accept()[0])
            except OSError:
                return

    def close_connections(self):
        for connection in self.connections:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            connection.close()

    def end(self):
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.close_connections()


@given("a router that watches a decider")
def watching(context):
    context.decider = StandInDecider()
    context.cleanup.callback(context.decider.listener.close)
    context.deciders = [context.decider.member]
    context.ended = []
    watch = DeciderWatch(
        SystemClock(),
        NullCounters(),
        deciders=lambda: context.deciders,
        on_ended=context.ended.append,
    )
    watch.start()
    context.cleanup.callback(watch.close)
    assert eventually(lambda: context.decider.connections)


def no_longer_decides(context):
    context.deciders = []


def rollout_ends(context):
    context.deciders = None


EVENTS = {
    "the decider ends": lambda context: context.decider.end(),
    "the decider closes its connections": lambda context: context.decider.close_connections(),
    "the decider does not respond": lambda context: None,
    "the decider does not decide any more": no_longer_decides,
    "the rollout ends": rollout_ends,
}


@when("the decider {event}")
def decider_event(context, event):
    EVENTS[f"the decider {event}"](context)


@when("the rollout ends")
def rollout_ended(context):
    EVENTS["the rollout ends"](context)


def is_closed(connection):
    """Return whether the other end has closed a connection."""
    connection.setblocking(False)
    try:
        return connection.recv(1) == b""
    except BlockingIOError:
        return False


CONNECTIONS = {
    "it is not connected to again": lambda made: len(made) == 1,
    "it is connected to again": lambda made: len(made) == 2 and not is_closed(made[1]),
    "the connection stays": lambda made: len(made) == 1 and not is_closed(made[0]),
    "the connection is closed": lambda made: len(made) == 1 and is_closed(made[0]),
}


@then("it is found to have ended, and {connections}")
def found_ended(context, connections):
    assert eventually(lambda: context.ended, NOTICED_S), "the end was not noticed"
    assert set(context.ended) == {context.decider.member}
    assert CONNECTIONS[connections](context.decider.connections), context.decider.connections


@then("it is not reported, and {connections}")
def not_reported(context, connections):
    threading.Event().wait(SETTLED_S)
    assert not context.ended, context.ended
    assert CONNECTIONS[connections](context.decider.connections), context.decider.connections


@given("a fleet of three routers of which one decides")
def three_routers(context):
    context.clock = ManualClock()
    context.others = [Member(f"front-{n}", f"10.0.0.{n}:1", f"front-{n}.a") for n in (1, 2)]
    context.members = MemberList(Member("front-0", "10.0.0.9:1", "front-0.a"), context.clock)
    context.members.update(Snapshot((), 1))
    for each in context.others:
        hear(context, each)
    context.decider = decider_of(context)


def hear(context, member):
    context.members.record_status(
        member, reaches_store=True, leads=True, listed=3, prefixes=[DOCUMENT_PREFIX]
    )


def decider_of(context):
    return context.members.decider(SUBJECT, DOCUMENT_PREFIX, own_reaches=True)


@when("its process is found to have ended")
def process_ended(context):
    context.members.record_ended(context.decider)


@then("another router decides, and only the reports of the living ones are awaited")
def another_decides(context):
    assert decider_of(context) != context.decider
    awaited = context.members.following(DOCUMENT_PREFIX)
    assert awaited == [each for each in context.others if each != context.decider], awaited


@then("it still counts among the routers that share bounds")
def still_counts(context):
    assert context.members.count == 3, context.members.count


@when("it starts again")
def starts_again(context):
    context.decider = Member(context.decider.name, context.decider.address, "front.b")
    hear(context, context.decider)


@when("it still sends status messages {seconds:g} s after that")
def still_alive(context, seconds):
    context.clock.advance(seconds * 1_000)
    for each in context.others:
        hear(context, each)


@then("it takes part again")
def takes_part(context):
    assert decider_of(context) == context.decider
    assert context.decider in context.members.following(DOCUMENT_PREFIX)


@when("all others find that the process of one leader has ended")
def leader_ended(context):
    fleet = context.routers
    context.domain = fleet.domains[0]
    ended = fleet.leaders(context.domain)[0]
    ended.running = False
    for router in fleet.routers:
        if router is not ended:
            router.members.record_ended(ended.members.own)
