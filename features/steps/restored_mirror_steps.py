"""Steps on mirrors, without routers, of a store that is restored from older copies."""

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
        st.tuples(st.just("read"), st.booleans()),
        st.tuples(st.just("wait"), st.sampled_from([100.0, UNCONFIRMED_RETENTION_MS])),
    ),
    max_size=12,
)
HISTORIES = st.lists(st.tuples(EVENTS, EVENTS, st.booleans()), min_size=1, max_size=4)


class RestorableStore:
    """Holds items by key; each write has a higher value, and it can be restored from a copy."""

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

    def restore(self, earlier):
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


class MirrorPair:
    """A mirror that reads the store, and one updated by it; ``views`` holds their values by key."""

    def __init__(self, *, ordered):
        self.clock = ManualClock()
        self.store = RestorableStore()
        self.views = [{}, {}]
        order = {"order": _order} if ordered else {}
        self.mirrors = [
            StoreMirror(
                None,
                "a/",
                self.clock,
                NullCounters(),
                lambda state, number=number: self._set_view(number, state),
                1_000,
                **order,
            )
            for number in range(2)
        ]

    def _set_view(self, number, state):
        self.views[number] = {key: item.value for key, item in state.items.items()}

    def read(self, *, updates_second=True):
        first, second = self.mirrors
        first.apply_snapshot(self.store.snapshot())
        if updates_second and first.state.revision:
            items = tuple(first.state.items.values())
            second.apply_snapshot(
                Snapshot(items, first.state.revision, first.state.changed_revision)
            )

    def wait(self, time_ms):
        self.clock.advance(time_ms)
        for mirror in self.mirrors:
            mirror._expire_unconfirmed()

    def apply_events(self, events):
        for name, value in events:
            if name == "write":
                self.store.write(value)
            elif name == "remove":
                self.store.remove(value)
            elif name == "read":
                self.read(updates_second=value)
            else:
                self.wait(value)


def _order(item):
    return (int(item.value),)


def _check(history, *, ordered):
    mirrors = MirrorPair(ordered=ordered)
    store = mirrors.store
    for before, lost, is_written_late in history:
        mirrors.apply_events(before)
        mirrors.read()
        earlier = (dict(store.items), store.revision)
        mirrors.apply_events(lost)
        mirrors.read()
        known = [dict(view) for view in mirrors.views]
        written = store.restore(earlier)
        if not is_written_late:
            store.write_again(written)
        mirrors.read()
        assert mirrors.views == known, (mirrors.views, known)
        if is_written_late:
            store.write_again(written)
        mirrors.read()
    mirrors.wait(UNCONFIRMED_RETENTION_MS)
    assert mirrors.views == [store.values()] * 2, (mirrors.views, store.values())


@given("two mirrors, one updated by the other, of a store that is restored from copies")
def mirror_pair(context):
    context.ordered = (False, True)


@then("both hold the known items until they are written again, and finally the stored items")
def known_items_retained(context):
    for ordered in context.ordered:

        @settings(max_examples=300)
        @given_any(HISTORIES)
        def check(history):
            _check(history, ordered=ordered)  # noqa: B023

        check()


@then("a newer item written before their first read after the restore is accepted at once")
def newer_item_accepted(context):
    mirrors = MirrorPair(ordered=True)
    store = mirrors.store
    store.write("a/1")
    mirrors.read()
    earlier = (dict(store.items), store.revision)
    store.write("a/1")
    mirrors.read()
    store.restore(earlier)
    store.write("a/1")
    mirrors.read()
    assert mirrors.views == [store.values()] * 2, mirrors.views


@given("revisions of several eras")
def generated_revisions(context):
    context.revisions = st.tuples(st.integers(0, 999_999), st.integers(0, 2**40 - 1))


@then("each contains its era and number, and a later era compares greater")
def revisions_ordered(context):
    @given_any(context.revisions, context.revisions)
    def check(one, other):
        first, second = make_revision(*one), make_revision(*other)
        assert (era_of(first), number_of(first)) == one
        assert (first < second) == (one < other)

    check()


@then("watches and conditions of an earlier era fail, and writes in another era are uncertain")
def earlier_era_fails(context):
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


@then("an earlier era that is recorded late changes nothing")
def earlier_era_ignored(context):
    increases = []
    era = StoreEra()
    era.on_increase = increases.append
    for each in (1, 3, 2, 3, 0):
        era.record(each)
    assert era.current == 3 and increases == [None, 1], increases
