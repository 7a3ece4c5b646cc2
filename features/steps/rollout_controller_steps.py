"""Steps on the rollouts of one router, whose threads are not started."""

from dataclasses import replace
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from aspengate.clock import ManualClock
from aspengate.gateway._peering import Peering
from aspengate.gateway.rollouts import Rollouts
from aspengate.gateway.rollouts._documents import RolloutDocuments
from aspengate.gateway.rollouts._reports import FleetReports
from aspengate.peers import Member, MemberList, RolloutReport
from aspengate.replicas import ReplicaRegistry
from aspengate.rollouts import (
    DOCUMENT_PREFIX,
    CohortEvidence,
    Evidence,
    EvidenceWindows,
    RolloutOrder,
    RolloutState,
    RouteEvidence,
    encode_document,
)
from aspengate.store import MirrorMode, MirrorState, Put, StoreItem, make_revision
from aspengate.telemetry import NullCounters
from rollouts_fleet import CONFIGURATION_MS, POLICY
from rollouts_steps import ORDER, RUNNING, at, decide

DURATION_MS = 10_000.0
ORDER_KEY = "op/rollout/portal"


class _Fleet:
    """A fleet of which this router is the only one that is alive."""

    session = "me"

    def rollout_decider(self, _service):
        return Member("me", "127.0.0.1:1", "me")

    def rollout_sessions(self):
        return set()

    def confirmed_ms(self, _within_ms):
        return float("inf")

    def send_rollout_report(self, report, address):
        raise AssertionError((report, address))

    def announce_halted_rollouts(self, notice):
        """Send nothing, as there is no other router."""


class _Store:
    """Takes every write and keeps the documents that were written."""

    def __init__(self):
        self.written = []

    def transact(self, conditions, puts):
        self.written.append(puts[-1])
        return max(conditions.values()) + 1


def rollouts_of(clock, store, orders):
    """Return the rollouts of a router; ``orders`` maps the revisions of items to their orders."""
    registry = ReplicaRegistry(clock, lambda *_: None, lambda *_: None)
    deployment = SimpleNamespace(
        store=store,
        read_rollout=lambda item: orders[item.revision],
        rollout_status=lambda _: Put("status/rollout/portal", b""),
    )
    fleet = _Fleet()
    return Rollouts(
        POLICY,
        CONFIGURATION_MS,
        deployment,
        registry,
        clock,
        NullCounters(),
        fleet=lambda: fleet,
        is_loaded=lambda: True,
        rewrites_lost=lambda _: True,
        cold_start_ms=lambda _: 0.0,
    )


def state_of(key, value, revision):
    return MirrorState({key: StoreItem(key, value, revision)}, revision, revision)


def document_state(document, revision):
    return state_of(DOCUMENT_PREFIX + "portal", encode_document(document), revision)


def order(target, number):
    return RolloutOrder("portal", target, DURATION_MS, make_revision(1, number))


def attempt(clock, given_order, generation):
    return msgspec.structs.replace(
        RUNNING,
        generation=generation,
        order_revision=given_order.revision,
        target_version=given_order.target_version,
        duration_ms=DURATION_MS,
        decider="other",
        began_unix_ms=clock.now_ms(),
    )


@given("a router that decides, and an attempt that began 20 s ago with a duration of 10 s")
def earlier_attempt(context):
    context.clock, context.store = ManualClock(), _Store()
    first, second = order("v2", 10), order("v3", 20)
    context.second = second
    orders = {each.revision: each for each in (first, second)}
    context.rollouts = rollouts_of(context.clock, context.store, orders)
    context.rollouts.load_orders(MirrorState({}, make_revision(1, 5)))
    context.rollouts.load_orders(state_of(ORDER_KEY, b"", first.revision))
    document = attempt(context.clock, first, 1)
    context.rollouts.load_documents(document_state(document, make_revision(1, 11)))
    context.clock.advance(20_000)


@when("a new order, a report on its attempt and the document of that attempt arrive")
def new_attempt(context):
    rollouts = context.rollouts
    rollouts.load_orders(state_of(ORDER_KEY, b"", context.second.revision))
    rollouts.handle_report(RolloutReport("portal", 2, "other", 1, Evidence(2)))
    document = attempt(context.clock, context.second, 2)
    rollouts.load_documents(document_state(document, make_revision(1, 21)))


@then("the router does not end the new attempt before 10 s have passed")
def not_ended(context):
    context.rollouts.controller.step()
    states = [msgspec.json.decode(put.value)["state"] for put in context.store.written]
    assert RolloutState.ROLLED_BACK.value not in states, context.store.written
    context.clock.advance(DURATION_MS + 1)
    context.rollouts.controller.step()
    last = msgspec.json.decode(context.store.written[-1].value)
    assert last["state"] == RolloutState.ROLLED_BACK.value, last


@given("a router that has received the document with number 6")
def later_document(context):
    context.documents = RolloutDocuments(ManualClock(), NullCounters(), lambda *_: None)
    document = msgspec.structs.replace(RUNNING, number=6)
    context.documents.load(document_state(document, make_revision(1, 12)))
    context.known = context.documents.get("portal")


@when("its own write of the document with number 5 is confirmed")
def late_confirmation(context):
    document = msgspec.structs.replace(RUNNING, number=5)
    context.documents.record_written(document, make_revision(1, 11))


@then("it knows that the store holds the document with number 6")
def still_known(context):
    assert context.documents.get("portal") == context.known, context.documents.get("portal")
    assert context.known == replace(context.known, is_stored=True)


@given("evidence of a rollout whose share changes 1000 times")
def changing_share(context):
    context.windows = EvidenceWindows()
    for number in range(1_000):
        context.windows.add(Evidence(1), number % 2 * 0.1, number * 500.0)


@then("a judgement compares at most {count:d} earlier steps")
def bounded_steps(context, count):
    assert len(context.windows.earlier) <= count, len(context.windows.earlier)


@given("a router that hears of a leader that {follows} the documents and reaches the store")
def leader_heard(context, follows):
    clock = ManualClock()
    members = MemberList(Member("me", "127.0.0.1:1", "me", "hall-1"), clock)
    leader = Member("leader", "127.0.0.1:2", "leader", "hall-1")
    prefixes = [DOCUMENT_PREFIX] if follows == "receives" else ["op/"]
    members.record_status(leader, reaches_store=True, leads=True, prefixes=prefixes)
    peering = SimpleNamespace(
        members=members,
        leadership=SimpleNamespace(mode=MirrorMode.TOLD),
        reaches_store=False,
        _clock=clock,
    )
    context.confirmed_ms = Peering.confirmed_ms(peering, POLICY.rollback_ms)


@then("the documents count as {state}")
def documents_count(context, state):
    is_confirmed = context.confirmed_ms > float("-inf")
    assert is_confirmed == (state == "confirmed"), context.confirmed_ms


def report(session, number, responses):
    cohorts = CohortEvidence(responses, responses), CohortEvidence(100, 100)
    return RolloutReport(
        "portal", 1, session, number, Evidence(1, {"/": RouteEvidence(*cohorts)}), False
    )


@given("reports with 30 target responses of two routers, and a document that states 60")
def partial_reports(context):
    context.clock = ManualClock()
    context.reports = FleetReports(context.clock)
    context.reports.begin(1)
    for session in ("me", "other"):
        context.reports.add(report(session, 1, 15))
    context.document = msgspec.structs.replace(
        RUNNING, share=0.25, target_responses=60, target_attempts=60
    )


def next_document(context):
    now = context.clock.monotonic_ms()
    evidence = context.reports.evidence(context.document.share, "me", {"other"}, now)
    return decide(context.document, ORDER, evidence=evidence, time=context.time)


@when("this router decides, and one more target response is reported")
def one_more(context):
    context.time = at(int(RUNNING.duration_ms) - 700)
    context.before = next_document(context)
    context.reports.add(report("other", 2, 16))
    context.after = next_document(context)


@then("the share may be raised after that response, and not before")
def raised_after(context):
    assert context.before is None, context.before
    assert context.after is not None and context.after.share == 1.0, context.after
