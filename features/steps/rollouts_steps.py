"""Steps on the decisions of rollouts."""

import itertools
from collections import Counter
from dataclasses import replace

import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from aspengate.errors import AspengateError, ErrorKind
from aspengate.replicas import Replica
from aspengate.rollouts import (
    CohortCapacity,
    CohortEvidence,
    CohortSlots,
    DecisionTime,
    Evidence,
    FleetEvidence,
    Histogram,
    ReplicaEvidence,
    RolloutDecider,
    RolloutDocument,
    RolloutOrder,
    RolloutState,
    RouteEvidence,
    Verdict,
    VersionGate,
    decode_document,
    encode_document,
    is_newer,
)
from aspengate.rollouts._histogram import bucket_of
from aspengate.store import make_revision, number_of
from rollouts_fleet import CONFIGURATION_MS, POLICY, Case, Fault, Fleet, View

FLEET_SIZES = (1, 2, 4, 30, 100, 400, 760)
RATES = (5, 20, 100, 400, 1_000)
# The product limits the time of one example.
MAX_REQUESTS = 40_000
MAX_ROUTER_SECONDS = 30_000
GOOD = Verdict(False)
BAD = Verdict(True, "failed")
UNIX_MS = 1_700_000_000_000
DURATION_MS = 60_000.0
ORDER = RolloutOrder("portal", "v2", DURATION_MS, make_revision(1, 10))
RUNNING = RolloutDocument(
    "portal",
    1,
    ORDER.revision,
    "v2",
    DURATION_MS,
    base_versions=("v1",),
    share=0.04,
    canary_share=0.04,
    step=1,
    number=3,
    decider="me",
    began_unix_ms=UNIX_MS,
)


@st.composite
def cases(draw):
    routers = draw(st.sampled_from(FLEET_SIZES))
    rate = draw(st.sampled_from(RATES))
    longest_s = min(300, MAX_REQUESTS // rate, MAX_ROUTER_SECONDS // routers)
    duration_ms = draw(st.integers(120, max(120, longest_s * 10))) * 100.0
    moments = st.integers(0, int(duration_ms) // 100).map(lambda each: each * 100.0)
    faults = []
    for _ in range(draw(st.integers(0, 6))):
        begin, length = draw(moments), draw(moments)
        kind = draw(st.sampled_from(("dead", "cut off", "uninformed")))
        if kind == "uninformed":
            begin, length = 0.0, duration_ms
        router = draw(st.integers(0, routers - 1))
        faults.append(Fault(kind, router, begin, begin + length))
    down_ms = draw(moments)
    down = (down_ms, down_ms + draw(moments)) if draw(st.booleans()) else (0.0, 0.0)
    bad_share = draw(st.sampled_from((1.0, 0.5, 0.2)))
    seed = draw(st.integers(0, 1_000))
    case = Case(routers, rate, duration_ms, draw(moments), bad_share, faults, down, seed)
    factor = draw(st.sampled_from((1.0, 0.1, 1.3)))
    return replace(case, rate_factor=factor, factor_from_ms=draw(moments))


@given("fleets of 1 to 760 routers with 5 to 1,000 requests a second and rollouts of 12 s to 300 s")
def any_fleet(context):
    context.cases = cases()


@when("the version turns bad at any moment, and routers restart, are cut off or receive no orders")
def any_bad_moment(context):
    context.fleets = []

    @settings(max_examples=60)
    @given_any(context.cases)
    def run(case):
        fleet = Fleet(case).run()
        # Checked here, so that a failing case is reduced to a small one.
        check_exposure(fleet)
        context.fleets.append(fleet)

    run()


def check_exposure(fleet):
    assert fleet.target_attempts <= fleet.limit, (
        fleet.case, fleet.target_attempts, fleet.limit, fleet.history
    )  # fmt: skip
    late = fleet.late_attempts()
    assert not late, (fleet.case, fleet.bad_ms[49], late[-5:], fleet.history)


@then(
    "the target receives at most its share and slack, and nothing later than allowed after its "
    "50th bad response"
)
def within_limit(context):
    assert len(context.fleets) >= 60
    for fleet in context.fleets:
        check_exposure(fleet)


@then("each attempt has at most one end and its state only moves forward")
def one_end_each(context):
    for fleet in context.fleets:
        documents = [document for _, document in fleet.history]
        ends = [each for each in documents if each.has_ended]
        assert len(ends) <= 1 and documents[-1:] == (ends or documents[-1:]), fleet.history
        pairs = itertools.pairwise(documents)
        assert all(is_newer(later, earlier) for earlier, later in pairs)


@given("{routers:d} routers with {rate:d} requests a second and a rollout of {duration:d} s")
def fleet_of(context, routers, rate, duration):
    context.case = Case(routers, rate, duration * 1_000.0)


@when("the version is good")
def good_version(context):
    context.rollout = Fleet(context.case).run()


@when("the version fails {failing:d} % of its requests from the beginning")
def failing_version(context, failing):
    context.rollout = Fleet(replace(context.case, bad_from_ms=0.0, bad_share=failing / 100)).run()


@when(
    "the version is good, the first decider dies after 20 s, and the store is away from 30 s to "
    "40 s"
)
def decider_dies(context):
    faults = [Fault("dead", 0, 20_000.0, 1e9)]
    context.rollout = Fleet(replace(context.case, faults=faults, store_down=(30e3, 40e3))).run()


@when("it fails 50 % of its requests from 30 s on, and 60 routers are cut off from 29 s on")
def cut_off_when_bad(context):
    faults = [Fault("cut off", number, 29_000.0, 1e9) for number in range(10, 70)]
    context.rollout = Fleet(replace(context.case, bad_from_ms=30_000.0, faults=faults)).run()
    assert len(context.rollout.bad_ms) >= 50, len(context.rollout.bad_ms)


@when("the version is good, and its replicas are ready after 25 s")
def late_target(context):
    context.rollout = Fleet(replace(context.case, target_ready_ms=25_000.0)).run()


@when("the version is good, and the store is away from 20 s to 40 s")
def store_away_at_deadline(context):
    context.rollout = Fleet(replace(context.case, store_down=(20e3, 40e3))).run(extra_ms=12_000)


@when("the version is good, and from 42 s on there are {percent:d} % of the requests")
def rate_changes(context, percent):
    case = replace(context.case, rate_factor=percent / 100, factor_from_ms=42_000.0)
    context.rollout = Fleet(case).run()


@when("the version has no replicas")
def no_replicas(context):
    context.rollout = Fleet(replace(context.case, target_ready_ms=1e9)).run()


@then("it is completed by the deadline, within the exposure limit")
def completed(context):
    ended_ms, document = context.rollout.history[-1]
    assert document.state is RolloutState.COMPLETED, context.rollout.history
    assert ended_ms <= context.case.duration_ms, context.rollout.history
    check_exposure(context.rollout)


@then("it is rolled back by the deadline, within the exposure limit")
def rolled_back(context):
    ended_ms, document = context.rollout.history[-1]
    assert document.state is RolloutState.ROLLED_BACK, context.rollout.history
    assert ended_ms < context.case.duration_ms, context.rollout.history
    check_exposure(context.rollout)


@then("it is rolled back at {second:d} s, within the exposure limit")
def rolled_back_at(context, second):
    ended_ms, document = context.rollout.history[-1]
    assert document.state is RolloutState.ROLLED_BACK, context.rollout.history
    assert second * 1_000 <= ended_ms <= second * 1_000 + 500, context.rollout.history
    check_exposure(context.rollout)


def capacity(versions=("v1", "v2"), slots=0, warm=4):
    target = CohortSlots(4, 4, warm, slots) if "v2" in versions else CohortSlots()
    return CohortCapacity(target, CohortSlots(4, 4, 4), frozenset(versions))


def evidence(generation=1, target=0, baseline=0, in_flight=0, **fields):
    cohorts = CohortEvidence(target, target), CohortEvidence(baseline, baseline, in_flight)
    total = Evidence(generation, {"/": RouteEvidence(*cohorts)})
    return FleetEvidence(total, None, **{"verdict": GOOD, **fields})


def decide(document, order, **given_fields):
    """Decide with the given arguments, 1 s after the order and as the document's decider."""
    fields = {
        "orders_revision": make_revision(1, 100),
        "evidence": evidence(),
        "capacity": capacity(),
        "time": DecisionTime(2_000.0, UNIX_MS + 1_000, 1_000.0, 1_500.0),
        "session": "me",
        **given_fields,
    }
    return RolloutDecider(POLICY).decide(
        "portal",
        order,
        fields["orders_revision"],
        document,
        fields["evidence"],
        fields["capacity"],
        fields["time"],
        fields["session"],
    )


def at(elapsed_ms, **fields):
    time = DecisionTime(1_000.0 + elapsed_ms, UNIX_MS + int(elapsed_ms), 1_000.0, 1_500.0)
    return replace(time, **fields)


AGAIN = replace(ORDER, revision=make_revision(1, 11))
V3 = replace(ORDER, target_version="v3", revision=make_revision(1, 11))
STATES = {
    "absent": None,
    "running": RUNNING,
    "completed": msgspec.structs.replace(RUNNING, state=RolloutState.COMPLETED, share=1.0),
    "rolled_back": msgspec.structs.replace(RUNNING, state=RolloutState.ROLLED_BACK, share=0.0),
}
EVENTS = {
    "no order": (None, {}),
    "the order": (ORDER, {}),
    "an order for the version in force": (
        replace(ORDER, target_version="v1"), {"capacity": capacity(("v1",))}
    ),
    "an order while no replica is listed": (ORDER, {"capacity": capacity(())}),
    "the same order again": (AGAIN, {}),
    "the same order under a new store era": (replace(ORDER, revision=make_revision(2, 5)), {}),
    "an order for v3": (V3, {}),
    "an order for v3 that is older than the document": (
        replace(V3, revision=make_revision(1, 9)), {}
    ),
    "no order in an older list of orders": (None, {"orders_revision": make_revision(1, 9)}),
    "no order after the store lost its history": (
        None, {"orders_revision": make_revision(2, 5)}
    ),
    "the order after the deadline": (ORDER, {"time": at(DURATION_MS)}),
    "a bad verdict": (ORDER, {"evidence": evidence(verdict=BAD)}),
    "one halted router": (ORDER, {"evidence": evidence(halted=frozenset("a"))}),
    "two halted routers": (ORDER, {"evidence": evidence(halted=frozenset("ab"))}),
    "a bad verdict on an earlier attempt": (ORDER, {"evidence": evidence(0, verdict=BAD)}),
    "the same order with half the duration": (
        replace(AGAIN, duration_ms=DURATION_MS / 2), {}
    ),
    "the order as another decider": (ORDER, {"session": "other"}),
    "the store restored a second ago": (None, {"time": at(1_000.0, restored_ms=1_000.0)}),
}  # fmt: skip


@given('a rollout to "v2" that is {state}')
def rollout_in_state(context, state):
    context.document = STATES[state]


@when("the decider sees {event}")
def decider_sees(context, event):
    order, fields = EVENTS[event]
    context.next = decide(context.document, order, **fields)


@then("the next document is {expected}")
def next_document(context, expected):
    document, before = context.next, context.document
    if expected == "unchanged":
        assert document is None, document
        return
    stated, *details = expected.split(", ")
    found = f"attempt {document.generation} to {document.target_version}"
    assert (found, document.state.value) == (stated, details.pop(0)), document
    assert document.number == (before.number if before else 0) + 1
    assert before is None or is_newer(document, before)
    for detail in details:
        if detail == "share 0":
            assert document.share == 0, document
        elif detail == "taken over":
            assert document.decider == "other" and document.share == before.share
        else:
            earlier_ms = {"same deadline": 0.0, "earlier deadline": DURATION_MS / 2}[detail]
            deadlines = [RolloutDecider(POLICY).deadline_ms(x, at(0)) for x in (before, document)]
            assert deadlines[0] - deadlines[1] == earlier_ms, deadlines
            assert document.order_revision > ORDER.revision


class Writer:
    """One decider with its copy of the document, and a write that it has not made yet."""

    def __init__(self, session):
        self.session = session
        self.document = None
        self.revision = 0
        self.pending = None


class StoreModel:
    """The stored document with its revision, all earlier values, and what deciders have seen."""

    def __init__(self):
        self.era = 1
        self.log = [(None, 0)]
        self.number = 0
        self.ends = {}

    @property
    def stored(self):
        return self.log[-1]

    def write(self, writer, document, revision):
        if revision != self.stored[1]:
            return False
        self.number += 1
        self.log.append((document, make_revision(self.era, self.number)))
        return True

    def lose(self, count):
        del self.log[max(1, len(self.log) - count) :]
        self.era += 1
        document, revision = self.log[-1]
        if document is not None:
            self.log[-1] = (document, make_revision(self.era, number_of(revision)))


def adopt(store, writer):
    """Take the stored document if it is newer, and write again what a restored store lost."""
    stored, revision = store.stored
    known = writer.document
    if known is not None and (stored is None or is_newer(known, stored)):
        if not store.write(writer, known, revision):
            return
        stored, revision = store.stored
    assert (
        known is None
        or not known.has_ended
        or stored.generation > known.generation
        or (stored.state is known.state)
    ), (known, stored)
    writer.document, writer.revision = stored, revision
    if stored is not None and stored.has_ended:
        ends = store.ends.setdefault(stored.generation, set())
        ends.add(stored.state)
        assert len(ends) == 1, store.ends


def interleave(writers, steps):
    store = StoreModel()
    order_number = 10
    target = "v2"
    for who, action, situation in steps:
        writer = writers[who % len(writers)]
        if action == "read":
            adopt(store, writer)
        elif action == "decide":
            revision = make_revision(store.era, order_number)
            order = RolloutOrder("portal", target, DURATION_MS, revision)
            fields = SITUATIONS[situation]
            following = decide(
                writer.document,
                None if situation == "withdrawn" else order,
                session=writer.session,
                orders_revision=make_revision(store.era, 1_000),
                **fields,
            )
            if following is not None:
                assert writer.document is None or is_newer(following, writer.document)
                writer.pending = (following, writer.revision)
        elif action in ("write", "write, answer lost") and writer.pending:
            following, revision = writer.pending
            writer.pending = None
            if store.write(writer, following, revision) and action == "write":
                adopt(store, writer)
        elif action == "order":
            order_number += 1
            target = {"v2": "v3", "v3": "v2"}[target]
        elif action == "restore":
            # During the pause after a restore, the routers that know more write it again.
            store.lose(2)
            for each in sorted(writers, key=newest_last):
                adopt(store, each)


def newest_last(writer):
    document = writer.document
    if document is None:
        return (0, True, 0)
    return (-document.generation, not document.has_ended, -document.number)


SITUATIONS = {
    "good": {},
    "bad": {"evidence": evidence(1, verdict=BAD)},
    "bad later": {"evidence": evidence(2, verdict=BAD)},
    "withdrawn": {},
    "late": {"time": at(DURATION_MS)},
    "last moment": {"time": at(DURATION_MS - 400), "evidence": evidence(1, 50, 500)},
    "idle": {"time": at(DURATION_MS - 400), "evidence": evidence(1)},
}
STEPS = st.tuples(
    st.integers(0, 2),
    st.sampled_from(
        ("read", "decide", "decide", "write", "write", "write, answer lost", "order", "restore")
    ),
    st.sampled_from(sorted(SITUATIONS)),
)


@given("any interleaving of two or three deciders that read, decide and write with a condition")
def any_interleaving(context):
    context.steps = st.lists(STEPS, min_size=15, max_size=80)


@when("answers of writes are lost, and the store is restored from a copy")
def run_interleavings(context):
    context.ends = Counter()

    @settings(max_examples=1_500)
    @given_any(st.integers(2, 3), context.steps)
    def run(count, steps):
        writers = [Writer(f"session-{number}") for number in range(count)]
        interleave(writers, steps)
        for writer in writers:
            if writer.document is not None:
                context.ends[writer.document.state] += 1

    run()


@then("each attempt has at most one end, and no router returns from an end to an earlier state")
def interleavings_reach_ends(context):
    # ``adopt`` checks each copy; here, that the interleavings reached all states.
    assert all(context.ends[state] >= 50 for state in RolloutState), context.ends


@given("a running rollout whose decider has heard from few routers")
def decider_alone(context):
    context.document = RUNNING
    context.evidence = evidence(1, 0, 0, is_complete=False)


@given("a running rollout with 6 failed and 4 silent attempts of 36 at two target replicas")
def suspect_version(context):
    context.document = RUNNING
    late = Histogram({bucket_of(5_000.0): 2})
    replicas = {"i-1": ReplicaEvidence(12, 4, late), "i-2": ReplicaEvidence(14, 2, late)}
    target = CohortEvidence(36, 32, 4, replicas=replicas)
    first_ms = Histogram({bucket_of(60.0): 84})
    answers = {"": ReplicaEvidence(84)}
    baseline = CohortEvidence(84, 84, first_ms=first_ms, replicas=answers)
    context.evidence = FleetEvidence(Evidence(1, {"/": RouteEvidence(target, baseline)}))


@when("it decides until the deadline")
def decide_until_deadline(context):
    context.shares = set()
    document = context.document
    for elapsed_ms in range(1_000, int(DURATION_MS) + 500, 500):
        following = decide(document, ORDER, evidence=context.evidence, time=at(elapsed_ms))
        document = following or document
        if not document.has_ended:
            context.shares.add(document.share)
    context.document = document


@then("the share stays, and the rollout is rolled back")
def share_stays(context):
    assert context.shares == {RUNNING.share}, context.shares
    assert context.document.state is RolloutState.ROLLED_BACK, context.document


@given("a running rollout at share 0.25 shortly before the deadline, with 100 requests in flight")
def last_stage(context):
    context.document = msgspec.structs.replace(RUNNING, share=0.25, canary_share=0.04)
    context.evidence = evidence(1, 100, 1_000, in_flight=100)


@when("the target has {slots:d} slots on replicas that are {warmth}")
def target_slots(context, slots, warmth):
    context.next = decide(
        context.document,
        ORDER,
        evidence=context.evidence,
        capacity=capacity(slots=slots, warm=4 if warmth == "warm" else 0),
        time=at(DURATION_MS - 1_500),
    )


@then("the share is {outcome}")
def share_outcome(context, outcome):
    raised = context.next is not None and context.next.share > 0.25
    assert raised == (outcome == "raised"), context.next


TEXTS = st.text(max_size=12)
DOCUMENTS = st.builds(
    RolloutDocument,
    service=TEXTS,
    generation=st.integers(0, 3),
    order_revision=st.integers(0, 2**60),
    target_version=TEXTS,
    duration_ms=st.floats(0, 1e7),
    base_versions=st.lists(TEXTS, max_size=4).map(tuple),
    retired_versions=st.lists(TEXTS, max_size=4).map(tuple),
    state=st.sampled_from(RolloutState),
    share=st.floats(0, 1),
    number=st.integers(0, 3),
    decider=TEXTS,
    reason=TEXTS,
)


@given("arbitrary documents, arbitrary bytes and corrupted documents")
def any_documents(context):
    context.documents = DOCUMENTS


@then("each document is decoded as it was encoded, and other bytes raise BAD_REQUEST")
def decoded_or_rejected(context):
    @given_any(context.documents, st.binary(max_size=60), st.integers(0, 200))
    def check(document, junk, cut):
        value = encode_document(document)
        assert decode_document(value, "key") == document
        for damaged in (junk, value[:cut] + junk, value[:cut]):
            try:
                decode_document(damaged, "key")
            except AspengateError as error:
                assert error.kind is ErrorKind.BAD_REQUEST

    check()
    try:
        decode_document(b"{" + b" " * 20_000 + b"}", "key")
    except AspengateError as error:
        assert error.kind is ErrorKind.BAD_REQUEST
    else:
        raise AssertionError("a document of 20 KB was decoded")


@given("arbitrary pairs of documents of one service")
def any_pairs(context):
    context.pairs = st.tuples(DOCUMENTS, DOCUMENTS)


@then("the later attempt is newer, then the ended one, then the one with more writes")
def newer_of_pair(context):
    @given_any(context.pairs)
    def check(pair):
        one, other = pair
        assert not (is_newer(one, other) and is_newer(other, one))
        if one.generation != other.generation:
            assert is_newer(one, other) == (one.generation > other.generation)
        elif one.has_ended != other.has_ended:
            assert is_newer(one, other) == one.has_ended
        else:
            assert is_newer(one, other) == (one.number > other.number)

    check()


V1, V2, V3_VIEW = (
    View(Replica(f"r-{name}", "portal", "", version=name)) for name in ("v1", "v2", "v3")
)


def make_gate(start=0.0, policy=POLICY):
    gate = VersionGate(policy, CONFIGURATION_MS, lambda: start)
    gate.set_versions("portal", {"v1"}, 0.0, is_first=True)
    return gate


@given("a gate with any start credit and any share")
def any_gate(context):
    context.draws = st.tuples(
        st.floats(0, 1, exclude_max=True), st.floats(0, 1), st.integers(0, 300)
    )


@when("it draws any number of attempts")
def draw_any(context):
    context.found = []

    @given_any(context.draws)
    def run(draw):
        start, share, count = draw
        gate = make_gate(start)
        gate.set_versions("portal", {"v1", "v2"}, 0.0)
        gate.set("portal", msgspec.structs.replace(RUNNING, share=share), 0.0, 0.0)
        chosen = [gate.select("portal", "/", [V1, V2], 0.0) for _ in range(count)]
        context.found.append((draw, sum(views == [V2] for views in chosen)))

    run()


@then("the target gets the share of them, up to one attempt")
def share_of_draws(context):
    for (start, share, count), found in context.found:
        assert abs(found - (start + share * count)) <= 1 + 1e-6, (start, share, count, found)


@when("it draws any number of attempts, of which some continue streams of the target")
def draw_with_continuations(context):
    context.found = []

    @given_any(context.draws, st.lists(st.booleans(), max_size=300))
    def run(draw, continues):
        start, share, _ = draw
        gate = make_gate(start)
        gate.set_versions("portal", {"v1", "v2"}, 0.0)
        gate.set("portal", msgspec.structs.replace(RUNNING, share=share), 0.0, 0.0)
        chosen = [
            gate.select("portal", "/", [V2] if each else [V1, V2], 0.0, is_continuation=each)
            for each in continues
        ]
        elsewhere = sum(V1 in views for views, each in zip(chosen, continues, strict=True) if each)
        drawn = continues.count(False)
        sent = sum(views == [V2] for views in chosen)
        context.found.append((start + share * drawn, sent, elsewhere))

    run()


@then("the target gets at most one attempt more than its share, and no stream goes elsewhere")
def share_with_continuations(context):
    assert max(sent for _, sent, _ in context.found) > 1
    for expected, sent, elsewhere in context.found:
        assert sent <= expected + 1 + 1e-6, (expected, sent)
        assert not elsewhere, elsewhere


def run_v2(gate, **fields):
    gate.set_versions("portal", {"v1", "v2"}, 0.0)
    gate.set_order("portal", ORDER)
    gate.set("portal", msgspec.structs.replace(RUNNING, **{"share": 0.5, **fields}), 0.0, 0.0)


COMPLETED = {"state": RolloutState.COMPLETED, "share": 1.0}
ROLLED_BACK = {"state": RolloutState.ROLLED_BACK, "share": 0.0}
V3_DOCUMENT = msgspec.structs.replace(
    RUNNING, generation=2, target_version="v3", order_revision=V3.revision, share=0.5,
    retired_versions=("v2",),
)  # fmt: skip
# Each event: the calls on the gate, the versions listed afterwards, and the time.
GATE_EVENTS = {
    "nothing else is listed": (lambda gate: None, "v1", 0),
    "v2 is listed in its first list": (
        lambda gate: gate.set_versions("portal", {"v1", "v2"}, 0, is_first=True), "v1 v2", 0
    ),
    "v2 is listed without an order": (lambda gate: None, "v1 v2", 0),
    "v2 has been listed for the configuration time": (
        lambda gate: (
            gate.set_versions("portal", {"v1", "v2"}, 0), gate.record_contact(CONFIGURATION_MS)
        ), "v1 v2", 11_000
    ),
    "v2 has been listed for long without any contact": (
        lambda gate: (gate.set_versions("portal", {"v1", "v2"}, 0), gate.record_contact(5_000)),
        "v1 v2", 100_000
    ),
    "rollouts are disabled and v2 is listed": (lambda gate: None, "v1 v2", 0),
    "v2 is ordered and there is no document": (
        lambda gate: gate.set_order("portal", ORDER), "v1 v2", 0
    ),
    "v2 runs at share 0.5": (run_v2, "v1 v2", 3_000),
    "v2 runs at share 0.5 and the document is unconfirmed": (run_v2, "v1 v2", 3_600),
    "v2 runs at share 0.5 and the router has halted": (
        lambda gate: (run_v2(gate), gate.halt("portal", 1)), "v1 v2", 0
    ),
    "v2 runs at share 0.5 and the order is withdrawn": (
        lambda gate: (run_v2(gate), gate.set_order("portal", None)), "v1 v2", 0
    ),
    "v2 runs at share 0.5 and v3 is ordered": (
        lambda gate: (run_v2(gate), gate.set_order("portal", V3)), "v1 v2 v3", 0
    ),
    "v2 runs at share 0.5 and v3 is listed": (run_v2, "v1 v2 v3", 0),
    "v2 runs at share 0.5 and has no available replica": (run_v2, "v1 v2", 0),
    "v2 runs at share 0 and v1 is no longer listed": (
        lambda gate: run_v2(gate, share=0.0), "v2", 0
    ),
    "v2 is completed": (lambda gate: run_v2(gate, **COMPLETED), "v1 v2", 0),
    "v2 is completed, and an older document arrives": (
        lambda gate: (run_v2(gate, **COMPLETED), run_v2(gate, number=9)), "v1 v2", 0
    ),
    "v2 is completed, and v3 has been listed for long": (
        lambda gate: (
            run_v2(gate, **COMPLETED),
            gate.set_versions("portal", {"v2", "v3"}, 0), gate.record_contact(CONFIGURATION_MS),
        ), "v2 v3", 11_000
    ),
    "v2 is rolled back": (lambda gate: run_v2(gate, **ROLLED_BACK), "v1 v2", 0),
    "v2 is rolled back and v1 is no longer listed": (
        lambda gate: run_v2(gate, **ROLLED_BACK), "v2", 0
    ),
    "v2 is rolled back, and v3 runs at share 0.5": (
        lambda gate: (
            run_v2(gate, **ROLLED_BACK), gate.set_order("portal", V3),
            gate.set("portal", V3_DOCUMENT, 0, 0),
        ), "v1 v2 v3", 0
    ),
}  # fmt: skip


@given('a router that has seen "v1"')
def router_with_v1(context):
    context.views = {view.replica.version: view for view in (V1, V2, V3_VIEW)}


@when("a router where {event}")
def gate_event(context, event):
    calls, listed, now_ms = GATE_EVENTS[event]
    gate = make_gate(policy=replace(POLICY, exposure_share=0.0 if "disabled" in event else 0.1))
    calls(gate)
    gate.set_versions("portal", set(listed.split()), now_ms)
    views = [context.views[version] for version in listed.split()]
    is_available = {} if "no available" not in event else {"is_available": lambda x: x is not V2}
    context.found = Counter()
    for _ in range(1_000):
        chosen = gate.select("portal", "/", views, now_ms, **is_available)
        assert all(gate.allows(view, now_ms) for view in chosen)
        context.found[" ".join(view.replica.version for view in chosen)] += 1


@then("attempts go to {expected}")
def gate_outcome(context, expected):
    found = dict(context.found)
    if expected.endswith(" equally"):
        wanted = {expected.removesuffix(" equally").replace(" and ", " "): 1_000}
    elif " % to " in expected:
        baseline, percent, _, _, target = expected.replace("and ", "").split()
        share = int(percent) * 10
        wanted = {baseline: 1_000 - share, target: share}
    else:
        wanted = {expected: 1_000}
    assert found.keys() == wanted.keys(), found
    assert all(abs(found[each] - count) <= 1 for each, count in wanted.items()), found


@given('a router at which "v2" runs at share 1')
def router_at_full_share(context):
    context.gate = make_gate()
    run_v2(context.gate, share=1.0)


@when('an attempt is drawn, and "v2" is rolled back before it is sent')
def rolled_back_before_sending(context):
    assert context.gate.select("portal", "/", [V1, V2], 0.0) == [V2]
    assert context.gate.allows(V2, 0.0)
    run_v2(context.gate, number=4, **ROLLED_BACK)


@then('the router must not send it to "v2"')
def must_not_send(context):
    assert not context.gate.allows(V2, 0.0)
    assert context.gate.allows(V1, 0.0)
