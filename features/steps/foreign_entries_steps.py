"""Steps on store entries that other writers make or corrupt."""

import base64
import json
import math
import threading

import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import strategies as st
from platform_standins.fleet import eventually

from aspengate.clock import ManualClock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.platform import PlatformDeployment
from aspengate.store import Changes, Snapshot, StoreEra, StoreItem, StoreMirror
from aspengate.telemetry import NullCounters, supervised_thread
from crashes_steps import get_status
from structure_steps import SOURCE

VALID_ENTRY = {
    "service": "portal",
    "address": "127.0.0.1:8080",
    "zone": "hall-1",
    "configVersion": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 4,
}
MAX_COLD_MS = 3_600_000.0
UNUSABLE_VALUES = {
    "born": ["soon", -1, 1.5, None, True],
    "seq": ["one", -1, 1.5, None, []],
    "slots": [None, "6", -1, 0, 1.5, True, 10**30],
    "state": [None, "", "resting", 1],
    "coldRemainingMs": [None, -1, "0", 1e300],
    "address": [None, "", "somewhere", "10.0.0.1", "10.0.0.1:99999", "10.0.0.1:0", "10.0.0.1:8\n",
                "::1:80", "10.0.0.256:80", 17],
    "service": [None, "", 1],
    "zone": [None, 1],
    "configVersion": [None, 1],
}  # fmt: skip
DEEPLY_NESTED = b"[" * 200_000


def unusable_entries():
    """Return entries with one unusable or missing field each, and other malformed values."""
    found = [
        json.dumps({**VALID_ENTRY, name: value})
        for name in UNUSABLE_VALUES
        for value in UNUSABLE_VALUES[name]
    ]
    missing = [name for name in VALID_ENTRY]
    found += [
        json.dumps({key: VALID_ENTRY[key] for key in VALID_ENTRY if key != name})
        for name in missing
    ]
    found += ["", "{", "[]", "null", "17", '"ready"', DEEPLY_NESTED.decode()]
    found += [json.dumps({**VALID_ENTRY, "models": "x" * 200_000})]
    return [each.encode() for each in found] + [b"\xff\xfe", b"\x00"]


def write_raw(store, key, data):
    with store.changed:
        store._write(key, base64.b64encode(data).decode())
        store.changed.notify_all()


@when("other writers add unusable entries to the list of replicas")
def unusable_entries_added(context):
    context.foreign = {f"foreign-{number}": data for number, data in enumerate(unusable_entries())}
    for name, data in context.foreign.items():
        write_raw(context.fleet.store, f"servers/{name}", data)
    write_raw(context.fleet.store, "servers/", json.dumps(VALID_ENTRY).encode())


@then("none of them is listed, and a replica that registers later is")
def no_unusable_entry_listed(context):
    later = context.fleet.add_replica("portal")
    found = eventually(lambda: context.router.find("replica.listed", replica=later.identity), 10.0)
    assert found, "the router received no further replicas"
    listed = {line["replica"] for line in context.router.find_all("replica.listed")}
    assert listed == {replica.identity for replica in context.fleet.replicas}, listed
    for number in range(20):
        assert get_status(context.router, f"/receipt/{number}") == 200


@given("any bytes, any JSON and any valid entry with modifications")
def generated_entries(context):
    scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6)
    values = st.recursive(
        scalars,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from([*VALID_ENTRY, "born"]), inner, max_size=4)
        ),
        max_leaves=10,
    )
    changed = st.dictionaries(st.sampled_from([*VALID_ENTRY, "born"]), values, max_size=3).map(
        lambda changes: msgspec.json.encode({**VALID_ENTRY, **changes})
    )
    whole = msgspec.json.encode(VALID_ENTRY)
    cut = st.integers(0, len(whole)).map(lambda at: whole[:at])
    flipped = st.tuples(st.integers(0, len(whole) - 1), st.integers(0, 255)).map(
        lambda each: whole[: each[0]] + bytes([each[1]]) + whole[each[0] + 1 :]
    )
    context.entries = (
        st.binary(max_size=60)
        | values.map(msgspec.json.encode)
        | changed
        | cut
        | flipped
        | st.sampled_from([DEEPLY_NESTED, b'{"a":' * 100_000])
    )


def parse_entry(data, key="servers/i-1"):
    deployment = PlatformDeployment("127.0.0.1:1", 100.0, ManualClock())
    return deployment.read_replica(StoreItem(key, data, 1))


@then(
    "each is parsed as a replica with an address, slots and bounded times, or rejected with its key"
)
def parsed_or_rejected(context):
    @given_any(context.entries)
    def check(data):
        try:
            replica = parse_entry(data)
        except AspengateError as error:
            assert error.kind is ErrorKind.BAD_REQUEST
            assert "servers/i-1" in str(error) and len(str(error)) < 500, error
            return
        host, _, port = replica.address.rpartition(":")
        assert len(host.split(".")) == 4 and 0 < int(port) < 2**16, replica
        assert replica.service and replica.slots >= 1, replica
        assert math.isfinite(replica.cold_ms) and 0 <= replica.cold_ms <= MAX_COLD_MS

    check()
    assert parse_entry(json.dumps(VALID_ENTRY).encode()).slots == VALID_ENTRY["slots"]


class ReleasedChangesStore:
    """A store whose watch returns one change each time ``released`` is released."""

    era = StoreEra()

    def __init__(self):
        self.revision = 1
        self.released = threading.Semaphore(0)

    def list_items(self, prefix):
        return Snapshot((), 1)

    def changes(self, prefix, since, wait_ms):
        self.released.acquire()
        self.revision += 1
        item = StoreItem(f"{prefix}{self.revision}", b"", self.revision)
        return Changes((item,), (), self.revision)


@given("a mirror whose callback raises an exception at the first change")
def failing_callback(context):
    context.received_counts = []

    def on_change(state):
        context.received_counts.append(len(state.items))
        if len(context.received_counts) == 1:
            raise RuntimeError("at the first change")

    context.store = ReleasedChangesStore()
    context.counters = NullCounters()
    context.mirror = StoreMirror(
        context.store, "servers/", ManualClock(), context.counters, on_change, 100
    )
    context.mirror.start()


@when("two changes arrive")
def two_changes_arrive(context):
    context.store.released.release()
    assert eventually(lambda: context.received_counts)
    context.store.released.release()


@then("the callback receives the second one, and the exception is counted")
def second_change_received(context):
    assert eventually(lambda: len(context.received_counts) >= 2, 10.0), "the thread has ended"
    assert context.counters.values["mirror.faults"] >= 1, context.counters.values
    context.mirror.close()
    context.store.released.release()


@when("another writer overwrites the entry of one of them")
def overwrite_entry(context):
    context.corrupted = context.fleet.of("portal")[0]
    key = f"servers/{context.corrupted.identity}"
    for _ in range(3):
        write_raw(context.fleet.store, key, json.dumps({**VALID_ENTRY, "slots": -1}).encode())
    assert eventually(
        lambda: context.router.find("replica.gone", replica=context.corrupted.identity), 10.0
    )


@then("that replica gets no more requests, and one log line reports the entry")
def corrupted_gets_no_requests(context):
    before = len(context.corrupted.requests)
    for number in range(20):
        assert get_status(context.router, f"/receipt/{number}") == 200
    assert len(context.corrupted.requests) == before
    # Any other change of the list makes the router read the entry again.
    context.fleet.add_replica("engine")
    assert eventually(lambda: len(context.router.find_all("replica.listed")) >= 5, 10.0)
    logged = context.router.find_all("replica.unreadable")
    revisions = [line.get("revision") for line in logged]
    assert revisions and len(revisions) == len(set(revisions)), logged


@given("a thread whose loop raises an exception twice")
def failing_thread(context):
    context.rounds = []
    context.counters = NullCounters()

    def loop():
        context.rounds.append(1)
        if len(context.rounds) <= 2:
            raise KeyError("unforeseen")

    context.thread = supervised_thread(loop, "a loop", context.counters)


@then("it continues after each exception, and both are counted")
def continues_after_exceptions(context):
    context.thread.start()
    context.thread.join(10)
    assert len(context.rounds) == 3, context.rounds
    assert context.counters.values["threads.faults"] == 2


@when("the sources of gateway, peers and store are searched for threads")
def search_for_threads(context):
    folders = [SOURCE / name for name in ("gateway", "peers", "store")]
    context.plain_threads = [
        path.name
        for folder in folders
        for path in folder.rglob("*.py")
        if "threading.Thread(" in path.read_text(encoding="utf-8")
    ]
    context.supervised_threads = sum(
        path.read_text(encoding="utf-8").count(" supervised_thread(")
        for folder in folders
        for path in folder.rglob("*.py")
    )


@then("all of them continue after an exception")
def all_threads_continue(context):
    assert not context.plain_threads, context.plain_threads
    assert context.supervised_threads >= 10, context.supervised_threads
