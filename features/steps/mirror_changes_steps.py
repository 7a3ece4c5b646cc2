"""Steps on what routers tell each other of changes in the store."""

import msgspec
from behave import given, then, when

from aspengate.clock import ManualClock
from aspengate.gateway._mirror_sharing import _messages
from aspengate.peers import PeerApplication, PeerClient
from aspengate.store import (
    Changes,
    Removal,
    Snapshot,
    StoreItem,
    StoreMirror,
    make_revision,
)
from aspengate.telemetry import NullCounters

PREFIX = "replicas/"
REPLICAS = 3_000
RECORD = b"x" * 240
MOST_DATAGRAM_BYTES = 60_000


def key(number):
    return f"{PREFIX}i-{number:08x}"


def mirror():
    return StoreMirror(None, PREFIX, ManualClock(), NullCounters(), lambda _: None, 1_000)


def whole():
    items = tuple(StoreItem(key(number), RECORD, number + 1) for number in range(REPLICAS))
    return Snapshot(items, REPLICAS, REPLICAS)


def told(first):
    made = mirror()
    made.apply_snapshot(first)
    return made


def change(made, first, count, *, removed=()):
    after = made.state.revision
    written = tuple(
        StoreItem(key(first + number), b"y" * 240, after + 1 + number) for number in range(count)
    )
    gone = tuple(
        Removal(key(number), after + count + 1 + place) for place, number in enumerate(removed)
    )
    changes = Changes(written, gone, after + count + len(removed))
    assert made.apply_changes(after, changes)
    return after, changes


class DirectClient(PeerClient):
    """Asks a peer without a socket; ``answer_bytes`` is what the last answer had."""

    def __init__(self, application):
        super().__init__(100)
        self.application = application

    def _request(self, address, target, method="GET"):
        path, _, query = target.partition("?")
        environ = {"PATH_INFO": path, "QUERY_STRING": query}
        body = b"".join(self.application(environ, lambda *_: None))
        self.answer_bytes = len(body)
        return body


@given("a router with a list of 3,000 replicas, and one that missed the last changes")
def missed_some(context):
    context.first, context.second = told(whole()), told(whole())
    change(context.first, 10, 3, removed=(7, 8))
    change(context.first, 7, 1)


@given("a router with a list of 3,000 replicas, and one without a list")
def knows_nothing(context):
    context.first, context.second = told(whole()), mirror()


@given("a router with a list as of era {era:d} of the store")
def knows_in_history(context, era):
    revision = make_revision(era, 1)
    context.first = told(Snapshot((StoreItem(key(1), RECORD, revision),), revision, revision))


@when("two routers without a list ask it for the list")
def two_ask(context):
    application = PeerApplication({PREFIX: context.first}, None)
    environ = {"PATH_INFO": "/mirror", "QUERY_STRING": f"prefix={PREFIX}&since=0&era=0"}
    context.answers = [application(environ, lambda *_: None)[0] for _ in range(2)]


@then("both get the same bytes, which were encoded once")
def encoded_once(context):
    first, second = context.answers
    assert first is second


@given("a router with a list of 3,000 replicas, and one that is up to date")
def missed_nothing(context):
    context.first, context.second = told(whole()), told(whole())


@when("the second router fetches what it missed from the first")
def asks(context):
    client = DirectClient(PeerApplication({PREFIX: context.first}, None))
    context.since = context.second.state.revision
    context.found = client.fetch_mirror("10.0.0.1:1", PREFIX, context.since)
    context.answer_bytes = client.answer_bytes


@then("it gets only the changes, and has the same list")
def changes_alone(context):
    assert isinstance(context.found, Changes) and context.answer_bytes < 2_000
    assert context.second.apply_changes(context.since, context.found)
    same_list(context)


@then("it gets the whole list, and has the same list")
def whole_list(context):
    assert isinstance(context.found, Snapshot)
    assert context.second.apply_snapshot(context.found)
    same_list(context)


def same_list(context):
    assert context.second.state.items == context.first.state.items
    assert context.second.state.revision == context.first.state.revision


@when("1,000 replicas change at once and the first router reports it")
def many_change(context):
    after, changes = change(context.first, 100, 1_000, removed=range(2_000, 2_200))
    context.messages = list(_messages(PREFIX, after, changes))


def take(made, message):
    return made.apply_changes(message.base_revision, message.changes())


@then("every message fits into a datagram, and the second router has the same list")
def fits(context):
    assert len(context.messages) > 1
    for message in context.messages:
        assert len(msgspec.msgpack.encode(message)) < MOST_DATAGRAM_BYTES
        assert take(context.second, message)
    same_list(context)


@then("a router that missed one of the messages detects it")
def notices(context):
    third = told(whole())
    assert take(third, context.messages[0])
    assert not take(third, context.messages[2])
