"""Steps of claims.feature."""

import uuid6
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from aspengate.agent import AnswerStore, DispatchGate, KeptAnswer, RecordStore, Subscriber
from aspengate.claims import (
    ClaimOwner,
    ClaimTenure,
    KeyTimes,
    acquire_tenure,
    claim_key,
    creation_time_ms,
)
from aspengate.errors import AspengateError, ErrorKind
from aspengate.transport import ClaimTicket, SeenClaim, UsageRecord
from budget_world import make_dispatch

TIMES = KeyTimes()
NOW = 1_800_000_000_000
LEASE = 600_000


def key_created(time_ms):
    value = (time_ms << 80) | (7 << 76) | (2 << 62) | 12345
    return claim_key("account", str(uuid6.UUID(int=value)))


def make_owner(started_ms, inherited=()):
    return ClaimOwner(0, "owner", started_ms, NOW + LEASE, TIMES, inherited)


def decide(context, created_ms, digest="digest", request_id="one", agent="A"):
    key = key_created(created_ms)
    assert creation_time_ms(key.partition("/")[2]) == created_ms
    decision = context.owner.decide(key, digest, created_ms, request_id, agent, NOW)
    context.decisions = [*getattr(context, "decisions", []), decision]
    return decision


@given("the first owner of a claim shard")
def first_owner(context):
    context.owner = make_owner(None)


@given("a new owner of the shard")
def new_owner(context):
    context.owner = make_owner(NOW - 10_000)


@given("a new owner of the shard with a claim that agent A reported")
def inheriting_owner(context):
    context.owner = make_owner(NOW - 10_000, [SeenClaim(key_created(NOW - 20_000), 0, "one", "A")])


@when("a key is claimed for agent A and then again through another router")
def claim_twice(context):
    decide(context, NOW - 100)
    decide(context, NOW - 100, request_id="two", agent="B")


@then("the first claim is granted and the second one joins agent A")
def second_claim_joined(context):
    first, second = context.decisions
    assert first.ticket is not None and first.ticket.owner == "owner"
    assert second.ticket is None and second.joined_agent == "A"


@when("a key is claimed for agent A and then for a different body")
def claim_for_different_body(context):
    decide(context, NOW - 100)
    decide(context, NOW - 100, digest="other", request_id="two")


@then("the second claim is refused as {kind}")
@then("the claim is refused as {kind}")
def claim_refused(context, kind):
    assert context.decisions[-1].refusal is ErrorKind(kind)


@when("a key created before the takeover is claimed")
def claim_key_created_before_takeover(context):
    decide(context, NOW - 20_000)


@when("that claim is made again")
def repeat_claim(context):
    decide(context, NOW - 20_000, request_id="two", agent="B")


@then("it joins agent A")
def claim_joined(context):
    assert context.decisions[-1].joined_agent == "A"


@when("a key created after the guard period is claimed")
def claim_key_created_after_guard(context):
    decide(context, NOW - 10_000 + TIMES.guard_ms + 1)


@then("the claim is granted")
def claim_granted(context):
    assert context.decisions[-1].ticket is not None


@when("a key created {seconds:d} s in the future is claimed")
def claim_key_from_future(context, seconds):
    decide(context, NOW + seconds * 1_000)


@when("a key is claimed, released because the call did not run, and claimed again")
def claim_release_claim(context):
    decide(context, NOW - 100)
    context.owner.release(key_created(NOW - 100), "one")
    decide(context, NOW - 100, request_id="two")


@then("both claims are granted")
def both_granted(context):
    assert all(decision.ticket is not None for decision in context.decisions)


@when("any sessions try to acquire a shard at any time")
def acquire_at_any_time(context):
    attempts = st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 5_000), st.sets(st.sampled_from("abc")))
    )

    @for_all(attempts)
    def check(steps):
        tenure, now = ClaimTenure(), 0
        for number, (session, wait, fenced) in enumerate(steps):
            now += wait
            before = tenure
            try:
                tenure = acquire_tenure(
                    tenure,
                    str(number),
                    session=session,
                    address="",
                    now_ms=now,
                    lease_ms=2_000,
                    clock_error_ms=100,
                    fenced=frozenset(fenced),
                )
            except AspengateError as error:
                assert error.kind is ErrorKind.CONFLICT
                assert before.owner not in fenced and now <= before.valid_until_ms + 100
                continue
            if before.owner and tenure.owner != before.owner:
                assert now > before.valid_until_ms + 100 or before.owner in fenced
                assert tenure.epoch == before.epoch + 1
            assert tenure.valid_until_ms >= before.valid_until_ms or before.owner != session

    context.check = check


@then("a shard changes its owner only after the previous tenure has expired or is fenced")
def tenures_do_not_overlap(context):
    context.check()


@when("an agent receives an expired ticket and a ticket of a fenced owner")
def expired_and_fenced_tickets(context):
    gate = DispatchGate()
    expired = make_dispatch(claim=ClaimTicket("k", 0, "owner", 50))
    context.refusals = [gate.check(expired, 100, 0)]
    gate.fence("owner")
    fresh = make_dispatch(claim=ClaimTicket("k", 0, "owner", 10_000))
    context.refusals.append(gate.check(fresh, 100, 0))
    assert gate.check(make_dispatch(claim=ClaimTicket("k", 0, "next", 10_000)), 100, 0) is None


@then("both are refused as fenced")
def both_fenced(context):
    assert [refusal.kind for refusal in context.refusals] == [ErrorKind.FENCED] * 2


@when("an agent receives two dispatches with the same key")
def two_dispatches_of_one_key(context):
    store = AnswerStore()
    context.opened = [
        store.open(
            Subscriber("address", session, 1),
            KeptAnswer("key", session, lambda subscriber, item: None),
        )
        for session in ("router-1", "router-2")
    ]


@then("it opens one response")
def one_response_opened(context):
    assert context.opened == [True, False]


@given("an agent's record store with a capacity of {capacity:d}")
def record_store(context, capacity):
    context.records = RecordStore(capacity)


def usage_record(block, sequence):
    return UsageRecord("id", block, sequence, "s", "r", "b", "a", "s", 0, 0, 1, 0)


@when("{count:d} records of {blocks:d} blocks arrive, one of them twice, and 2 blocks are settled")
def records_arrive(context, count, blocks):
    for number in range(count):
        context.records.finish(usage_record(f"block-{number % blocks}", number))
    context.records.finish(usage_record("block-0", 0))
    assert len(context.records) == count
    context.records.forget(("block-1", "block-2", "block-unknown"))


@then("{remaining:d} records remain, and {more:d} more of one block evict the oldest block")
def records_remain(context, remaining, more):
    assert len(context.records) == remaining
    for number in range(more):
        context.records.finish(usage_record("new", number))
    assert context.records.dropped == 2 + 2
    found, _ = context.records.of_session("s")
    assert {record.block_id for record in found} == {"new"}
    assert len(context.records) == more == len(found)
