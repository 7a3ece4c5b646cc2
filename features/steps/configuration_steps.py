"""Steps of configuration.feature."""

import contextlib

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from aspengate.budgets import (
    Account,
    BilledItem,
    Budget,
    ClosedBlocks,
    Session,
    Shard,
    decode_shard,
    encode_shard,
)
from aspengate.clock import ManualClock
from aspengate.errors import AspengateError
from aspengate.router import TableEditor, TableFollower
from aspengate.standins import MemoryStore
from aspengate.table import RowChange, ServiceRow
from aspengate.telemetry import NullCounters

CLOCK = ManualClock()


def editor_of(store):
    return TableEditor(store, CLOCK, 1)


def follower_of(store):
    return TableFollower(store, CLOCK, NullCounters())


def row(name, priority):
    return ServiceRow(name=name, priority=priority)


def set_priority(editor, name, priority):
    before = next((each for each in editor.storage.read().rows if each.name == name), None)
    return editor.change((RowChange(before, row(name, priority)),), "operator")


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("edit"), st.sampled_from("ab"), st.integers(-10, 10)),
        st.tuples(st.just("lose"), st.integers(1, 4)),
        st.tuples(st.just("down"), st.booleans()),
        st.tuples(st.just("refresh"), st.integers(0, 1)),
        st.tuples(st.just("old log"), st.integers(0, 1), st.integers(0, 30)),
    ),
    max_size=60,
)


@when("edits, lost store responses, store outages and outdated logs occur in any order")
def any_edits(context):
    @for_all(EVENTS)
    def check(events):
        store = MemoryStore()
        editor = editor_of(store)
        followers = [follower_of(store), follower_of(store)]
        logs, versions = [editor.storage.log.read().value], [0, 0]
        for event in events:
            with contextlib.suppress(AspengateError):
                apply_event(event, store, editor, followers, logs)
            for number, follower in enumerate(followers):
                assert follower.view.version >= versions[number]
                versions[number] = follower.view.version
        store.faults.down, store.faults.lose_answers = False, 0
        accepted = editor.storage.read()
        for follower in followers:
            follower.refresh()
            assert follower.view.version == accepted.version
            assert follower.view.services == {each.name: each for each in accepted.rows}
        assert [entry.version for entry in editor.storage.history()] == list(
            range(1, accepted.version + 1)
        )

    context.check = check


def apply_event(event, store, editor, followers, logs):
    kind, *values = event
    if kind == "edit":
        set_priority(editor, *values)
        logs.append(editor.storage.log.read().value)
    elif kind == "lose":
        store.faults.lose_answers = values[0]
    elif kind == "down":
        store.faults.down = values[0]
    elif kind == "refresh":
        followers[values[0]].refresh()
    else:
        followers[values[0]].offer(logs[values[1] % len(logs)])


@then("no follower's version ever decreases, and in the end all followers have the accepted rows")
@then("the decoded shards equal the originals")
def run_check(context):
    context.check()


class FailingStore(MemoryStore):
    """A store that fails once ``calls_left`` further calls were made."""

    def __init__(self):
        super().__init__()
        self.calls_left = None

    def _enter(self, purpose):
        if self.calls_left is not None:
            self.calls_left -= 1
            self.faults.down = self.calls_left < 0
        super()._enter(purpose)


@given("a table whose log is about to be compacted")
def about_to_compact(context):
    context.edits_before = 8


@when("the store fails after 0 to 19 further calls, one run for each")
def fail_after_each_call(context):
    context.outcomes = []
    for calls in range(20):
        store = FailingStore()
        editor = editor_of(store)
        for number in range(context.edits_before):
            set_priority(editor, "a", number)
        store.calls_left = calls
        with contextlib.suppress(AspengateError):
            set_priority(editor, "a", 9)
        store.calls_left, store.faults.down = None, False
        version = editor.storage.read().version
        assert version in (8, 9), version
        set_priority(editor, "b", 1)
        context.outcomes.append((version, editor))


@then("after its recovery the rows and the complete history are intact")
def everything_intact(context):
    assert {version for version, _ in context.outcomes} == {8, 9}
    for version, editor in context.outcomes:
        rows = {each.name: each.priority for each in editor.storage.read().rows}
        assert rows == {"a": version if version == 9 else 7, "b": 1}
        entries = [entry.version for entry in editor.storage.history()]
        assert entries == list(range(1, version + 2)), entries


@given("a follower that has seen version 1")
def follower_at_version_one(context):
    context.store = MemoryStore()
    context.editor = editor_of(context.store)
    set_priority(context.editor, "a", 0)
    context.follower = follower_of(context.store)
    context.follower.refresh()
    assert context.follower.view.version == 1


@when("{count:d} more edits are accepted while it does not refresh")
def more_edits(context, count):
    for number in range(count):
        set_priority(context.editor, "ab"[number % 2], number % 10)


@then("one refresh brings it to version {version:d} with the right rows")
def one_refresh(context, version):
    context.follower.refresh()
    assert context.follower.view.version == version
    rows = {each.name: each for each in context.editor.storage.read().rows}
    assert context.follower.view.services == rows


@given("a store whose response to the next write is lost")
def store_loses_response(context):
    context.store = MemoryStore()
    context.store.faults.lose_answers = 1
    context.editor = editor_of(context.store)


@when("an operator adds a service")
def add_service(context):
    context.version = set_priority(context.editor, "a", 1)


@then("the table contains it at version 1 with one history entry")
def accepted_once(context):
    assert context.store.faults.lose_answers == 0
    assert context.version == 1
    assert len(context.editor.storage.history()) == 1


NAMES = st.text(max_size=4)
AMOUNTS = st.integers(0, 2**53)
BILLS = st.dictionaries(NAMES, AMOUNTS, max_size=2)
ACCOUNTS = st.dictionaries(NAMES, st.builds(Account, AMOUNTS, AMOUNTS, BILLS), max_size=3)
CLOSED = st.builds(ClosedBlocks, AMOUNTS, st.lists(AMOUNTS, max_size=2).map(tuple))
SHARDS = st.builds(
    Shard,
    budgets=st.dictionaries(
        NAMES, st.builds(Budget, AMOUNTS, BILLS, ACCOUNTS, AMOUNTS, st.booleans()), max_size=3
    ),
    sessions=st.dictionaries(
        NAMES,
        st.builds(Session, NAMES, NAMES, AMOUNTS, st.dictionaries(NAMES, CLOSED, max_size=2)),
        max_size=2,
    ),
    items=st.lists(
        st.builds(BilledItem, NAMES, NAMES, NAMES, NAMES, AMOUNTS, AMOUNTS), max_size=2
    ).map(tuple),
    operations=st.lists(NAMES, max_size=2).map(tuple),
)


@when("arbitrary budget shards are encoded for storage and decoded again")
def stored_form(context):
    @for_all(SHARDS)
    def check(shard):
        assert decode_shard(encode_shard(shard)) == shard

    context.check = check
