"""Steps on entries that come from other writers."""

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
from aspengate.telemetry import NullCounters, lasting_thread
from crashes_steps import get_status
from structure_steps import SOURCE

GOOD = {
    "service": "portal",
    "address": "127.0.0.1:8080",
    "zone": "hall-1",
    "configVersion": "v1",
    "slots": 6,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 4,
}
LONGEST_COLD_MS = 3_600_000.0
SPOILT = {
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
NESTED = b"[" * 200_000


def spoilt_entries():
    """Return entries of which each has one field that can't be used, and bytes of any kind."""
    found = [json.dumps({**GOOD, name: value}) for name in SPOILT for value in SPOILT[name]]
    missing = [name for name in GOOD]
    found += [json.dumps({key: GOOD[key] for key in GOOD if key != name}) for name in missing]
    found += ["", "{", "[]", "null", "17", '"ready"', NESTED.decode()]
    found += [json.dumps({**GOOD, "models": "x" * 200_000})]
    return [each.encode() for each in found] + [b"\xff\xfe", b"\x00"]


def write_raw(store, key, data):
    with store.changed:
        store._write(key, base64.b64encode(data).decode())
        store.changed.notify_all()


@when("entries of other writers come into the list of replicas")
def entries_come(context):
    context.foreign = {f"foreign-{n}": data for n, data in enumerate(spoilt_entries())}
    for name, data in context.foreign.items():
        write_raw(context.fleet.store, f"servers/{name}", data)
    write_raw(context.fleet.store, "servers/", json.dumps(GOOD).encode())


@then("none of them is listed, and a replica that comes later is")
def none_listed(context):
    later = context.fleet.add_replica("portal")
    found = eventually(lambda: context.router.find("replica.listed", replica=later.identity), 10.0)
    assert found, "the router heard of no replica any more"
    listed = {line["replica"] for line in context.router.find_all("replica.listed")}
    assert listed == {replica.identity for replica in context.fleet.replicas}, listed
    for number in range(20):
        assert get_status(context.router, f"/receipt/{number}") == 200


@given("any bytes, any JSON and any good entry with changes")
def any_entries(context):
    scalars = st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=6)
    values = st.recursive(
        scalars,
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(st.sampled_from([*GOOD, "born"]), inner, max_size=4)
        ),
        max_leaves=10,
    )
    changed = st.dictionaries(st.sampled_from([*GOOD, "born"]), values, max_size=3).map(
        lambda changes: msgspec.json.encode({**GOOD, **changes})
    )
    whole = msgspec.json.encode(GOOD)
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
        | st.sampled_from([NESTED, b'{"a":' * 100_000])
    )


def read_entry(data, key="servers/i-1"):
    deployment = PlatformDeployment("127.0.0.1:1", 100.0, ManualClock())
    return deployment.read_replica(StoreItem(key, data, 1))


@then("each is read as a replica with an address, slots and bounded times, or refused with its key")
def read_or_refused(context):
    @given_any(context.entries)
    def check(data):
        try:
            replica = read_entry(data)
        except AspengateError as error:
            assert error.kind is ErrorKind.BAD_REQUEST
            assert "servers/i-1" in str(error) and len(str(error)) < 500, error
            return
        host, _, port = replica.address.rpartition(":")
        assert len(host.split(".")) == 4 and 0 < int(port) < 2**16, replica
        assert replica.service and replica.slots >= 1, replica
        assert math.isfinite(replica.cold_ms) and 0 <= replica.cold_ms <= LONGEST_COLD_MS

    check()
    assert read_entry(json.dumps(GOOD).encode()).slots == GOOD["slots"]


class FewChanges:
    """A store that tells the changes that it is given, one after the other."""

    era = StoreEra()

    def __init__(self):
        self.revision = 1
        self.told = threading.Semaphore(0)

    def list_items(self, prefix):
        return Snapshot((), 1)

    def changes(self, prefix, since, wait_ms):
        self.told.acquire()
        self.revision += 1
        item = StoreItem(f"{prefix}{self.revision}", b"", self.revision)
        return Changes((item,), (), self.revision)


@given("a mirror whose owner fails at the first change")
def failing_owner(context):
    context.changes = []

    def take(state):
        context.changes.append(len(state.items))
        if len(context.changes) == 1:
            raise RuntimeError("at the first change")

    context.store = FewChanges()
    context.counters = NullCounters()
    context.mirror = StoreMirror(
        context.store, "servers/", ManualClock(), context.counters, take, 100
    )
    context.mirror.start()


@when("two changes come")
def two_changes(context):
    context.store.told.release()
    assert eventually(lambda: context.changes)
    context.store.told.release()


@then("the owner gets the second one, and a line tells of the fault")
def second_change(context):
    assert eventually(lambda: len(context.changes) >= 2, 10.0), "the thread has ended"
    assert context.counters.values["mirror.faults"] >= 1, context.counters.values
    context.mirror.close()
    context.store.told.release()


@when("another writer overwrites the entry of one of them")
def overwrite_entry(context):
    context.spoilt = context.fleet.of("portal")[0]
    key = f"servers/{context.spoilt.identity}"
    for _ in range(3):
        write_raw(context.fleet.store, key, json.dumps({**GOOD, "slots": -1}).encode())
    assert eventually(
        lambda: context.router.find("replica.gone", replica=context.spoilt.identity), 10.0
    )


@then("that one gets nothing more, and one line tells of the entry")
def spoilt_gets_nothing(context):
    before = len(context.spoilt.requests)
    for number in range(20):
        assert get_status(context.router, f"/receipt/{number}") == 200
    assert len(context.spoilt.requests) == before
    # Something else that changes in the list has the entry be looked at again.
    context.fleet.add_replica("engine")
    assert eventually(lambda: len(context.router.find_all("replica.listed")) >= 5, 10.0)
    told = context.router.find_all("replica.unreadable")
    revisions = [line.get("revision") for line in told]
    assert revisions and len(revisions) == len(set(revisions)), told


@given("a thread whose loop fails twice")
def failing_thread(context):
    context.rounds = []
    context.counters = NullCounters()

    def loop():
        context.rounds.append(1)
        if len(context.rounds) <= 2:
            raise KeyError("unforeseen")

    context.thread = lasting_thread(loop, "a loop", context.counters)


@then("it goes on after each fault, which a line and a counter tell")
def goes_on(context):
    context.thread.start()
    context.thread.join(10)
    assert len(context.rounds) == 3, context.rounds
    assert context.counters.values["threads.faults"] == 2


@when("the sources of gateway, peers and store are searched for threads")
def search_threads(context):
    folders = [SOURCE / name for name in ("gateway", "peers", "store")]
    context.found = [
        path.name
        for folder in folders
        for path in folder.rglob("*.py")
        if "threading.Thread(" in path.read_text(encoding="utf-8")
    ]
    context.lasting = sum(
        path.read_text(encoding="utf-8").count(" lasting_thread(")
        for folder in folders
        for path in folder.rglob("*.py")
    )


@then("all of them go on after a fault")
def all_last(context):
    assert not context.found, context.found
    assert context.lasting >= 10, context.lasting
