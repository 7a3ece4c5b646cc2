"""Steps on changes of the store that routers send to each other."""

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
MAX_DATAGRAM_BYTES = 60_000


def key(number):
    return f"{PREFIX}i-{number:08x}"


def empty_mirror():
    return StoreMirror(None, PREFIX, ManualClock(), NullCounters(), lambda _: None, 1_000)


def full_snapshot():
    items = tuple(StoreItem(key(number), RECORD, number + 1) for number in range(REPLICAS))
    return Snapshot(items, REPLICAS, REPLICAS)


def mirror_with(snapshot):
    mirror = empty_mirror()
    mirror.apply_snapshot(snapshot)
    return mirror


def change(mirror, first, count, *, removed=()):
    previous = mirror.state.revision
    written = tuple(
        StoreItem(key(first + number), b"y" * 240, previous + 1 + number) for number in range(count)
    )
    removals = tuple(
        Removal(key(number), previous + count + 1 + place) for place, number in enumerate(removed)
    )
    changes = Changes(written, removals, previous + count + len(removed))
    assert mirror.apply_changes(previous, changes)
    return previous, changes


class DirectClient(PeerClient):
    """Calls a peer's application without a socket; ``response_bytes`` is the last body's size."""

    def __init__(self, application):
        super().__init__(100)
        self.application = application

    def _request(self, address, target, method="GET"):
        path, _, query = target.partition("?")
        environ = {"PATH_INFO": path, "QUERY_STRING": query}
        body = b"".join(self.application(environ, lambda *_: None))
        self.response_bytes = len(body)
        return body


@given("a router with a list of 3,000 replicas, and a second one that missed the last changes")
def second_missed_changes(context):
    context.first, context.second = mirror_with(full_snapshot()), mirror_with(full_snapshot())
    change(context.first, 10, 3, removed=(7, 8))
    change(context.first, 7, 1)


@given("a router with a list of 3,000 replicas, and a second one without any items")
def second_is_empty(context):
    context.first, context.second = mirror_with(full_snapshot()), empty_mirror()


@given("a router with a list from era {era:d} of the store")
def list_from_era(context, era):
    revision = make_revision(era, 1)
    context.first = mirror_with(
        Snapshot((StoreItem(key(1), RECORD, revision),), revision, revision)
    )


@when("two routers without any items request the list")
def two_request_list(context):
    application = PeerApplication({PREFIX: context.first}, None)
    environ = {"PATH_INFO": "/mirror", "QUERY_STRING": f"prefix={PREFIX}&since=0&era=0"}
    context.answers = [application(environ, lambda *_: None)[0] for _ in range(2)]


@then("both receive the same bytes, which were encoded once")
def same_bytes(context):
    first, second = context.answers
    assert first is second


@given("a router with a list of 3,000 replicas, and a second one that is up to date")
def second_is_current(context):
    context.first, context.second = mirror_with(full_snapshot()), mirror_with(full_snapshot())


@when("the second one requests the missed changes from the first")
def second_requests_changes(context):
    client = DirectClient(PeerApplication({PREFIX: context.first}, None))
    context.since = context.second.state.revision
    context.response = client.fetch_mirror("10.0.0.1:1", PREFIX, context.since)
    context.response_bytes = client.response_bytes


@then("it receives only the changes, and has the same list")
def receives_only_changes(context):
    assert isinstance(context.response, Changes) and context.response_bytes < 2_000
    assert context.second.apply_changes(context.since, context.response)
    assert_same_list(context)


@then("it receives the whole list, and has the same list")
def receives_whole_list(context):
    assert isinstance(context.response, Snapshot)
    assert context.second.apply_snapshot(context.response)
    assert_same_list(context)


def assert_same_list(context):
    assert context.second.state.items == context.first.state.items
    assert context.second.state.revision == context.first.state.revision


@when("1,000 replicas change at once and the first one sends the changes")
def many_replicas_change(context):
    previous, changes = change(context.first, 100, 1_000, removed=range(2_000, 2_200))
    context.messages = list(_messages(PREFIX, previous, changes))


def apply_message(mirror, message):
    return mirror.apply_changes(message.base_revision, message.changes())


@then("every message fits into a datagram, and the second one has the same list")
def messages_fit(context):
    assert len(context.messages) > 1
    for message in context.messages:
        assert len(msgspec.msgpack.encode(message)) < MAX_DATAGRAM_BYTES
        assert apply_message(context.second, message)
    assert_same_list(context)


@then("a router that missed one of the messages detects the gap")
def gap_detected(context):
    third = mirror_with(full_snapshot())
    assert apply_message(third, context.messages[0])
    assert not apply_message(third, context.messages[2])
