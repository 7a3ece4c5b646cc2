"""Steps on the cached documents of rollouts, and on reading orders."""

import itertools

import msgspec
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import strategies as st

from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway.rollouts._documents import RolloutDocuments, document_order
from aspengate.platform._records import read_rollout
from aspengate.rollouts import (
    DOCUMENT_PREFIX,
    RolloutDocument,
    RolloutState,
    encode_document,
    is_newer,
)
from aspengate.store import MirrorState, Snapshot, StoreItem, StoreMirror, make_revision
from aspengate.telemetry import NullCounters

KEY = f"{DOCUMENT_PREFIX}portal"
ORDER_KEY = "op/rollout/portal"
RUNNING = RolloutDocument("portal", 1, 5, "v2", 60_000.0, ("v1",), share=0.1, number=2)
COMPLETED = msgspec.structs.replace(RUNNING, state=RolloutState.COMPLETED, share=1.0, number=3)


class FixedClock:
    def __init__(self):
        self.now = 1_000.0

    def monotonic_ms(self):
        return self.now

    def now_ms(self):
        return int(self.now)


class CountingCounters(NullCounters):
    def __init__(self):
        self.counts = {}

    def count(self, name, amount=1):
        self.counts[name] = self.counts.get(name, 0) + amount


def item(document, revision):
    return StoreItem(KEY, encode_document(document), revision)


def state(*items, revision):
    return MirrorState({each.key: each for each in items}, revision)


def new_cache(context):
    context.changes = []
    context.counters = CountingCounters()
    context.cache = RolloutDocuments(
        FixedClock(), context.counters, lambda *change: context.changes.append(change)
    )


@given("an empty cache of documents")
def empty_cache(context):
    new_cache(context)


@given("a cache of documents that has read a completed rollout")
def cache_with_completed(context):
    new_cache(context)
    revision = make_revision(1, 20)
    context.cache.load(state(item(COMPLETED, revision), revision=revision))
    assert context.cache.get("portal").is_stored


@when("a mirror of a restored store delivers the running document of before")
def older_copy(context):
    context.stored = make_revision(2, 10)
    revision = make_revision(2, 12)
    context.cache.load(state(item(RUNNING, context.stored), revision=revision))


@when("a mirror of a restored store delivers no document")
def lost_copy(context):
    context.cache.load(state(revision=make_revision(2, 12)))


def assert_to_write(context, document, revision):
    known = context.cache.get("portal")
    assert known.document == document, known
    assert (known.revision, known.is_stored) == (revision, False), known
    assert len(context.changes) == 1, context.changes


@then("the completed document stays, and is to be written at the stored revision")
def written_at_stored(context):
    assert_to_write(context, COMPLETED, context.stored)


@then("the completed document stays, and is to be written at revision 0")
def written_at_zero(context):
    assert_to_write(context, COMPLETED, 0)


@given("a mirror that has read a running document")
def mirror_with_running(context):
    new_cache(context)
    context.mirror = StoreMirror(
        None,
        DOCUMENT_PREFIX,
        FixedClock(),
        NullCounters(),
        context.cache.load,
        1,
        retention_ms=float("inf"),
        order=document_order,
    )
    revision = make_revision(1, 20)
    context.mirror.apply_snapshot(Snapshot((item(RUNNING, revision),), revision))


@when("the store is restored with the completed document, which the mirror had not read")
def restored_with_newer(context):
    revision = make_revision(2, 21)
    context.mirror.apply_snapshot(Snapshot((item(COMPLETED, revision),), revision))


@then("the completed document is in force, and nothing is to be written")
def newer_in_force(context):
    known = context.cache.get("portal")
    assert known.document == COMPLETED and known.is_stored, known
    assert known.revision == make_revision(2, 21)


@when("an unreadable document is delivered twice")
def unreadable(context):
    context.stored = make_revision(1, 7)
    for revision in (7, 8):
        broken = StoreItem(KEY, b"[[[", context.stored)
        context.cache.load(state(broken, revision=make_revision(1, revision)))


@then("it is counted once, and a new document is to be written at its revision")
def replaces_unreadable(context):
    assert context.counters.counts == {"store.items_unreadable": 1}, context.counters.counts
    assert context.cache.get("portal") is None
    assert context.cache.stored_revision("portal") == context.stored


_DOCUMENTS = st.builds(
    lambda generation, number, state: msgspec.structs.replace(
        RUNNING, generation=generation, number=number, state=state
    ),
    st.integers(1, 3),
    st.integers(1, 4),
    st.sampled_from(RolloutState),
)


@then("for any documents and any order of their arrival the newest one is in force")
def any_order(context):
    @for_any(st.lists(_DOCUMENTS, min_size=1, max_size=8))
    def check(documents):
        new_cache(context)
        for number, document in enumerate(documents, 1):
            revision = make_revision(number, 1)
            context.cache.load(state(item(document, revision), revision=revision))
        known = context.cache.get("portal").document
        assert not any(is_newer(each, known) for each in documents)
        for (before, _), (after, _) in itertools.pairwise(context.changes):
            assert not is_newer(before, after)

    check()


_VALUES = st.one_of(
    st.binary(max_size=40),
    st.fixed_dictionaries(
        {},
        optional={
            "service": st.sampled_from(["portal", "engine", "", 3]),
            "targetVersion": st.one_of(st.text(max_size=3), st.integers()),
            "durationS": st.one_of(st.floats(), st.integers(-2, 100), st.text(max_size=2)),
        },
    ).map(lambda value: msgspec.json.encode(value)),
)


@then("any bytes at the key of an order are either an order for its service or rejected")
def any_order_bytes(context):
    @for_any(_VALUES)
    def check(value):
        try:
            order = read_rollout(StoreItem(ORDER_KEY, value, 9))
        except AspengateError as error:
            assert error.kind is ErrorKind.BAD_REQUEST
            return
        assert order.service == "portal" and order.target_version
        assert 0 < order.duration_ms < float("inf")

    check()
    assert read_rollout(StoreItem("op/config", b"{}", 9)) is None
