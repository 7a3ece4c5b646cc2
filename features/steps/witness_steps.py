"""Steps on the witness of a router's ceilings."""

import threading

from behave import given, then, when
from platform_standins.fleet import eventually

from aspengate.allowances import WitnessBook
from aspengate.clock import SystemClock
from aspengate.gateway.prepaid import RemoteWitness
from aspengate.peers import CeilingReply, Member
from aspengate.telemetry import NullCounters

PEERS = (Member("b", "10.0.0.2:1", "b.1"), Member("c", "10.0.0.3:1", "c.1"))


def make_witness(context, peers):
    context.notices = []
    context.accepted = {}
    context.lost = threading.Event()
    context.witness = RemoteWitness(
        "a.1",
        SystemClock(),
        NullCounters(),
        alive=lambda: list(peers),
        send=lambda notice, address: context.notices.append((notice, address)),
        ask_to_close=lambda witness, session: None,
    )
    context.witness.on_accepted = lambda _, ceilings: context.accepted.update(ceilings)
    context.witness.on_lost = context.lost.set
    context.witness.start()
    context.cleanup.callback(context.witness.close)


@given("a router with one peer")
def one_peer(context):
    make_witness(context, PEERS[:1])


@given("a router with two peers")
def two_peers(context):
    make_witness(context, PEERS)


@when("the first notices to the peer are lost")
def notices_lost(context):
    context.witness.want("board", 500)
    assert eventually(lambda: len(context.notices) >= 2)


@then("the ceiling counts once a repeated notice is answered")
def counts_once_answered(context):
    assert context.accepted == {} and context.witness.accepted("board", "b.1") == 0
    notice, address = context.notices[-1]
    assert (notice.witness, notice.ceilings, address) == ("b.1", {"board": 500}, "10.0.0.2:1")
    context.witness.take_reply(CeilingReply(notice.number, "a.1", "b.1", True))
    assert context.accepted == {"board": 500}
    assert context.witness.accepted("board", "b.1") == 500
    assert context.witness.ensure("board", 400) == ("b.1", 500)


@when("the peer answers in another life")
def another_life(context):
    context.witness.want("board", 500)
    assert eventually(lambda: context.notices)
    notice, _ = context.notices[0]
    context.witness.take_reply(CeilingReply(notice.number, "a.1", "b.2", False))


@then("the router has no ceiling, and knows that it lost its witness")
def lost_witness(context):
    assert context.lost.is_set()
    assert context.accepted == {} and context.witness.accepted("board", "b.1") == 0
    assert context.witness.ensure("board", 10) == ("", 0)


@when("the one that it chose does not answer")
def no_answer(context):
    context.witness.want("board", 500)
    assert context.lost.wait(60)
    context.first = {notice.witness for notice, _ in context.notices}
    context.notices.clear()


@then("the other one becomes its witness")
def other_one(context):
    context.witness.want("board", 500)
    assert eventually(lambda: context.notices)
    notice, _ = context.notices[0]
    assert context.first | {notice.witness} == {"b.1", "c.1"}, context.first
    context.witness.take_reply(CeilingReply(notice.number, "a.1", notice.witness, True))
    assert context.witness.ensure("board", 500) == (notice.witness, 500)


@given("a book that holds a session's ceilings")
def a_book(context):
    context.book = WitnessBook(capacity=2)
    assert context.book.accept("a.1", {"board": 500}, 0.0)
    assert context.book.accept("a.1", {"board": 300, "other": 7}, 1.0)


@when("the session is closed")
def closed(context):
    context.ceilings = context.book.close("a.1")


@then("no more is accepted from it, and its ceilings stay as they were")
def final(context):
    assert context.ceilings == {"board": 500, "other": 7}
    assert not context.book.accept("a.1", {"board": 900}, 2.0)
    assert context.book.close("a.1") == context.ceilings
    assert context.book.is_closed("a.1") and context.book.close("x.1") is None


@then("a book that is full takes no new session")
def full(context):
    assert context.book.accept("d.1", {"board": 1}, 2.0)
    assert not context.book.accept("e.1", {"board": 1}, 2.0)
    assert context.book.silent(3.0) == {"d.1": ("board",)}
