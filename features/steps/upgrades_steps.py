"""Steps on routers of different builds that run in one fleet."""

import json
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import eliot
import msgspec
from behave import given, then, when
from formats import write
from platform_standins import Caller, Fleet
from platform_standins.builds import LAST_LANDED, ROOT, skip_without
from platform_standins.fleet import eventually

from aspengate.crashes import RECORD_PREFIX, CrashRecord
from aspengate.peers import MEMBER_PREFIX, DatagramPort, RepaymentReply
from aspengate.telemetry import NullCounters
from crashes_steps import get_status

FORMATS = Path(write.__file__).parent


@given("the messages and records that build {build} wrote")
def load_landed_formats(context, build):
    context.written = json.loads((FORMATS / f"{build}.json").read_text(encoding="utf-8"))


def decode_untyped(place, data):
    """Decode a message or record without its type."""
    codec = msgspec.json if place == "records" else msgspec.msgpack
    return msgspec.to_builtins(codec.decode(bytes.fromhex(data)))


def contains(found, written):
    """Return whether ``found`` has all fields and values of ``written``, and possibly more."""
    if isinstance(written, dict):
        return all(
            name in found and contains(found[name], value) for name, value in written.items()
        )
    if isinstance(written, list):
        pairs = zip(found, written, strict=False)
        return len(found) >= len(written) and all(contains(*each) for each in pairs)
    return found == written


@then("the current build reads all of them without losing a field")
def check_current_reads(context):
    found = write.read(context.written)
    for place, samples in context.written.items():
        for name, data in samples.items():
            assert contains(found[place][name], decode_untyped(place, data)), (
                place,
                name,
                found[place][name],
            )


@given("the build that landed last, from the history")
def find_last_landed(context):
    context.build = skip_without(context.scenario, LAST_LANDED)


@when("the current build writes a sample of each message and record")
def write_samples(context):
    context.written = write.written()


@then("that build reads all kinds that it has, and reports the others as unreadable")
def check_last_landed_reads(context):
    command = [sys.executable, str(FORMATS / "write.py"), str(context.build / "src"), "read"]
    text = json.dumps(context.written)
    completed = subprocess.run(command, input=text, capture_output=True, text=True, check=True)
    found = json.loads(completed.stdout)
    landed = json.loads((FORMATS / f"{LAST_LANDED}.json").read_text(encoding="utf-8"))
    for place, samples in context.written.items():
        for name, data in samples.items():
            if name not in landed[place]:
                assert found[place][name] == write.Unreadable.UNREADABLE.value, name
                continue
            expected = decode_untyped(place, landed[place][name])
            assert contains(found[place][name], expected), (place, name, found[place][name])
            assert data


def find_build(context, name):
    return ROOT if name == "today" else skip_without(context.scenario, name)


def start_fleet(context, build, routers):
    """Start replicas and gateways of a build; return no gateways if git does not have the build."""
    found = find_build(context, build)
    if found is None:
        return []
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    for service in ("portal", "engine"):
        context.fleet.add_replica(service)
    for _ in range(routers):
        context.fleet.add_router(build=found)
    return context.fleet.routers


@given("a gateway of build {build} that serves, and replicas")
def start_one(context, build):
    start_fleet(context, build, 1)


@when("a gateway of build {build} starts next to it whose store does not answer")
def start_other(context, build):
    found = find_build(context, build)
    if found is None:
        return
    endpoint = context.fleet.store.open_endpoint()
    endpoint.fault = "silent"
    context.endpoint = endpoint
    context.other = context.fleet.add_router(
        ready=False, endpoint=endpoint, build=found, seeds=context.fleet.routers[0].address
    )


@then("it is ready, and serves")
def check_other_serves(context):
    assert eventually(context.other.is_ready, 15.0), context.other.lines[-5:]
    assert get_status(context.other, "/receipt/1") == 200


@then("it gets the list of replicas from the other one, and is not ready")
def check_has_replicas(context):
    assert eventually(lambda: context.other.find("replica.listed", service="portal"), 15.0)
    assert eventually(lambda: context.other.find("mirror.from_peer", prefix="servers/"), 15.0)
    assert not context.other.is_ready()
    assert context.other.find("configuration.applied") is None


@then("it serves as soon as its store answers")
def check_serves_with_store(context):
    context.endpoint.clear_faults()
    check_other_serves(context)


@given("two gateways of build {build} that lead, and replicas")
def start_two_leaders(context, build):
    for router in start_fleet(context, build, 2):
        assert eventually(lambda: router.find("domain.led")), router.lines  # noqa: B023


@when(
    "one of the current build starts next to them, and a request that crashes replicas is recorded"
)
def start_and_write_record(context):
    context.other = context.fleet.add_router()
    # It accepts a leader within a second.
    time.sleep(2.0)
    record = CrashRecord(ends=("i-1", "i-2"), tries=1)
    context.fleet.store.put(f"{RECORD_PREFIX}{'ab' * 16}", msgspec.to_builtins(record))


@then("it has that record")
def check_has_record(context):
    def is_counted():
        text = Caller(context.other.metrics_address).request("GET", "/metrics").body.decode()
        return 'what="crash_records"} 1.0' in text

    assert eventually(is_counted, 10.0), context.other.lines[-3:]


@when("a gateway of build {build} starts next to them, and a key is revoked after it is ready")
def start_and_revoke_key(context, build):
    found = find_build(context, build)
    if found is None or not hasattr(context, "fleet"):
        return
    context.fleet.add_router(build=found)
    # It accepts a leader within a second.
    time.sleep(2.0)
    context.version = context.fleet.operator.revoke("key-two")
    context.changed_s = time.monotonic()


@then("all gateways have applied that version within {seconds:d} s")
def applied_in_time(context, seconds):
    def behind():
        return [
            router.name
            for router in context.fleet.routers
            if not router.find("configuration.applied", version=context.version)
        ]

    # The deadline counts from the revocation; the duration of this check does not count.
    eventually(lambda: not behind(), context.changed_s + seconds - time.monotonic())
    assert not behind(), (behind(), context.fleet.routers[-1].lines[-5:])


@when("a gateway of build {build} that has followed them is left alone, and a key is revoked")
def kill_leaders(context, build):
    found = find_build(context, build)
    if found is None:
        return
    first, second = context.fleet.routers
    last = context.fleet.add_router(build=found)
    assert eventually(lambda: last.find("domain.leader_heard"), 10.0), last.lines
    context.fleet.operator.revoke("key-two")
    for router in (first, second):
        router.kill()
        context.fleet.routers.remove(router)
    context.version = context.fleet.operator.revoke("key-one")


@then("it applies that version")
def check_applies_version(context):
    (last,) = context.fleet.routers
    applied = eventually(lambda: last.find("configuration.applied", version=context.version), 10.0)
    assert applied, last.lines[-5:]


def score(router):
    """Request a scored essay; return the response's status."""
    fields = {"body": b"x", "tokens": (1_000, 500), "deadline_ms": 10_000}
    return router.call().request("POST", f"/score/{time.monotonic_ns()}", **fields).status


@given("a gateway of the current build that has used up an account")
def use_up_account(context):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.set_prepaid("board", 5_000)
    for service in ("portal", "engine"):
        context.fleet.add_replica(service)
    router = context.fleet.add_router()
    assert eventually(lambda: score(router) == 402, 20.0)


@when("a gateway of build {build} replaces it, and the account's limit is raised")
def replace_and_raise_limit(context, build):
    found = find_build(context, build)
    if found is None:
        return
    before = context.fleet.routers[0]
    before.terminate()
    assert eventually(lambda: before.has_ended, 20.0)
    router = context.fleet.start_again(before, build=found)
    assert score(router) == 402
    context.fleet.operator.set_prepaid("board", 50_000)


@then("requests of the account are served again")
def check_served_again(context):
    router = context.fleet.routers[0]
    assert eventually(lambda: score(router) == 200, 10.0), router.lines[-5:]


@when("a gateway of the current build named {name} starts next to it")
def start_named(context, name):
    if not hasattr(context, "fleet"):
        return
    # The layout that the build step makes: the sources, and a file with the name.
    root = Path(context.cleanup.enter_context(tempfile.TemporaryDirectory()))
    (root / "src").symlink_to(ROOT / "src")
    for folder in ("deploy", "target"):
        (root / folder).mkdir()
    start = (ROOT / "deploy" / "start.py").read_text(encoding="utf-8")
    (root / "deploy" / "start.py").write_text(start, encoding="utf-8")
    (root / "target" / "build").write_text(f"{name}\n", encoding="utf-8")
    context.other = context.fleet.add_router(build=root)


@then(
    "its start line, member record and metrics name {name}, "
    "and count one router without a reported build"
)
def check_build_reported(context, name):
    assert context.other.find("gateway.started")["build"] == name
    record = context.fleet.store.value(f"{MEMBER_PREFIX}router-2")
    assert record["build"] == name, record

    def is_counted():
        text = Caller(context.other.metrics_address).request("GET", "/metrics").body.decode()
        expected = (f'what="routers_build_{name}"}} 1.0', 'what="routers_build_untold"} 1.0')
        return all(each in text for each in expected)

    assert eventually(is_counted, 10.0)


@given("a port for messages between routers")
def open_port(context):
    context.counters, context.received = NullCounters(), []
    context.port = DatagramPort(
        "127.0.0.1:0", context.counters, lambda message, _: context.received.append(message)
    )
    context.cleanup.callback(context.port.close)
    context.lines = []
    eliot.add_destinations(context.lines.append)
    context.cleanup.callback(eliot.remove_destination, context.lines.append)
    context.port.start()


def send(context, data):
    host, _, port = context.port.address.rpartition(":")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(data, (host, int(port)))


@when("another build sends it 5 messages of each of two unknown kinds and 3 that are no messages")
def send_unreadable(context):
    for kind in ("omens", "rumours"):
        for number in range(5):
            send(context, msgspec.msgpack.encode({"type": kind, "number": number}))
    for _ in range(3):
        send(context, b"\xc1 no message")


@then("each of these three kinds is logged once, and 13 are counted")
def check_logged_once(context):
    assert eventually(lambda: context.counters.values["datagrams.unreadable"] == 13, 5.0)
    logged = [
        each for each in context.lines if "datagram.unreadable" in each.get("message_type", "")
    ]
    assert sorted(each["kind"] for each in logged) == ["", "omens", "rumours"], logged


@then("a message of a known kind still arrives, even with unknown fields")
def check_known_arrives(context):
    known = {"type": "repayment-reply", "number": 4, "session": "a.1", "hue": {"deep": [1]}}
    send(context, msgspec.msgpack.encode(known))
    assert eventually(lambda: context.received == [RepaymentReply(4, "a.1")], 5.0), context.received
