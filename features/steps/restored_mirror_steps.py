"""Steps on mirrors of a store that comes back from copies, without a router around them."""

from behave import given, then
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from aspengate.clock import ManualClock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import (
    UNCONFIRMED_RETENTION_MS,
    HistoryLostError,
    Snapshot,
    StoreEra,
    StoreItem,
    StoreMirror,
    check_write_era,
    era_of,
    make_revision,
    number_of,
)
from aspengate.telemetry import NullCounters

KEYS = st.sampled_from(["a/1", "a/2", "a/3"])
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), KEYS),
        st.tuples(st.just("remove"), KEYS),
        st.tuples(st.just("look"), st.booleans()),
        st.tuples(st.just("time"), st.sampled_from([100.0, UNCONFIRMED_RETENTION_MS])),
    ),
    max_size=12,
)
HISTORIES = st.lists(st.tuples(EVENTS, EVENTS, st.booleans()), min_size=1, max_size=4)


class ComingBackStore:
    """Items by key; each write has a higher value. It comes back from copies."""

    def __init__(self):
        self.items = {}
        self.era = 1
        self.revision = 0
        self.written = 0

    def write(self, key):
        self.written += 1
        self.put(key, b"%d" % self.written)

    def put(self, key, value):
        self.revision += 1
        self.items[key] = (value, self.revision)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)

    def values(self):
        return {key: value for key, (value, _) in self.items.items()}

    def snapshot(self):
        items = [
            StoreItem(key, value, make_revision(self.era, revision))
            for key, (value, revision) in self.items.items()
        ]
        return Snapshot(tuple(items), make_revision(self.era, self.revision))

    def come_back(self, earlier):
        before = self.values()
        self.items, self.revision = dict(earlier[0]), earlier[1]
        self.era += 1
        return before

    def write_again(self, before):
        for key in {*before, *self.items}:
            if key not in before:
                self.remove(key)
            elif self.values().get(key) != before[key]:
                self.put(key, before[key])


class Followers:
    """A mirror that reads the store, and one that is told by it; ``views`` is what they hold."""

    def __init__(self, *, ordered):
        self.clock = ManualClock()
        self.store = ComingBackStore()
        self.views = [{}, {}]
        order = {"order": _order} if ordered else {}
        self.mirrors = [
            StoreMirror(
                None,
                "a/",
                self.clock,
                NullCounters(),
                lambda state, number=number: self._take(number, state),
                1_000,
                **order,
            )
            for number in range(2)
        ]

    def _take(self, number, state):
        self.views[number] = {key: item.value for key, item in state.items.items()}

    def look(self, *, told=True):
        leader, follower = self.mirrors
        leader.apply_snapshot(self.store.snapshot())
        if told and leader.state.revision:
            items = tuple(leader.state.items.values())
            follower.apply_snapshot(
                Snapshot(items, leader.state.revision, leader.state.changed_revision)
            )

    def wait(self, time_ms):
        self.clock.advance(time_ms)
        for mirror in self.mirrors:
            mirror._expire_unconfirmed()

    def play(self, events):
        for name, value in events:
            if name == "write":
                self.store.write(value)
            elif name == "remove":
                self.store.remove(value)
            elif name == "look":
                self.look(told=value)
            else:
                self.wait(value)


def _order(item):
    return (int(item.value),)


def _check(history, *, ordered):
    followers = Followers(ordered=ordered)
    store = followers.store
    for before, lost, is_late in history:
        followers.play(before)
        followers.look()
        earlier = (dict(store.items), store.revision)
        followers.play(lost)
        followers.look()
        known = [dict(view) for view in followers.views]
        written = store.come_back(earlier)
        if not is_late:
            store.write_again(written)
        followers.look()
        assert followers.views == known, (followers.views, known)
        if is_late:
            store.write_again(written)
        followers.look()
    followers.wait(UNCONFIRMED_RETENTION_MS)
    assert followers.views == [store.values()] * 2, (followers.views, store.values())


@given("two mirrors, one of which tells the other, of a store that comes back from copies")
def two_mirrors(context):
    context.ordered = (False, True)


@then("both hold what was known until it is written again, and in the end what is stored")
def hold_known(context):
    for ordered in context.ordered:

        @settings(max_examples=300)
        @given_any(HISTORIES)
        def check(history):
            _check(history, ordered=ordered)  # noqa: B023

        check()


@then("a newer item that was written before they looked is taken at once")
def newer_taken(context):
    followers = Followers(ordered=True)
    store = followers.store
    store.write("a/1")
    followers.look()
    earlier = (dict(store.items), store.revision)
    store.write("a/1")
    followers.look()
    store.come_back(earlier)
    store.write("a/1")
    followers.look()
    assert followers.views == [store.values()] * 2, followers.views


@given("revisions of several histories")
def revisions(context):
    context.revisions = st.tuples(st.integers(0, 999_999), st.integers(0, 2**40 - 1))


@then("each holds its history and number, and a later history is later")
def holds_both(context):
    @given_any(context.revisions, context.revisions)
    def check(one, other):
        first, second = make_revision(*one), make_revision(*other)
        assert (era_of(first), number_of(first)) == one
        assert (first < second) == (one < other)

    check()


@then("watches and conditions of an earlier one fail, and writes that another one did are unsure")
def earlier_fail(context):
    era = StoreEra()
    era.record(2)
    earlier, present = make_revision(1, 9), make_revision(2, 3)
    era.check_watch("a/", present)
    era.check_conditions([present, 0])
    check_write_era([present, 0], 2)
    for call in (
        lambda: era.check_watch("a/", earlier),
        lambda: era.check_conditions([present, earlier]),
        lambda: check_write_era([present], 3),
    ):
        try:
            call()
        except HistoryLostError:
            continue
        except AspengateError as error:
            assert error.kind in (ErrorKind.STORE_UNAVAILABLE, ErrorKind.OUTCOME_UNKNOWN)
        else:
            raise AssertionError(call)


@then("an older one that is heard of late changes nothing")
def older_is_late(context):
    heard = []
    era = StoreEra()
    era.on_increase = heard.append
    for each in (1, 3, 2, 3, 0):
        era.record(each)
    assert era.current == 3 and heard == [None, 1], heard
