"""Steps on the witness of a router's ceilings."""

import threading

from behave import given, then, when
from platform_standins import Fleet
from platform_standins.fleet import eventually

from allowance_world import World
from aspengate.allowances import CeilingRegistry
from aspengate.clock import SystemClock
from aspengate.gateway.prepaid import PeerLoans, RemoteWitness
from aspengate.peers import (
    CeilingNotice,
    CeilingReply,
    DatagramPort,
    LoanReply,
    LoanRequest,
    Member,
    RepaymentReply,
)
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
    context.witness.request_ceiling("board", 500)
    assert eventually(lambda: len(context.notices) >= 2)


@then("the ceiling counts as soon as a repeated notice is answered")
def counts_when_answered(context):
    assert context.accepted == {} and context.witness.accepted_ceiling("board", "b.1") == 0
    notice, address = context.notices[-1]
    assert (notice.witness, notice.ceilings, address) == ("b.1", {"board": 500}, "10.0.0.2:1")
    context.witness.handle_reply(CeilingReply(notice.number, "a.1", "b.1", True))
    assert context.accepted == {"board": 500}
    assert context.witness.accepted_ceiling("board", "b.1") == 500
    assert context.witness.ensure_ceiling("board", 400) == ("b.1", 500)


@when("the peer answers with another session")
def another_session(context):
    context.witness.request_ceiling("board", 500)
    assert eventually(lambda: context.notices)
    notice, _ = context.notices[0]
    context.witness.handle_reply(CeilingReply(notice.number, "a.1", "b.2", False))


@then("the router has no ceiling, and is notified of the lost witness")
def lost_witness(context):
    assert context.lost.is_set()
    assert context.accepted == {} and context.witness.accepted_ceiling("board", "b.1") == 0
    assert context.witness.ensure_ceiling("board", 10) == ("", 0)


@when("the chosen peer does not answer")
def chosen_does_not_answer(context):
    context.witness.request_ceiling("board", 500)
    assert context.lost.wait(60)
    context.first = {notice.witness for notice, _ in context.notices}
    context.notices.clear()


@then("the other peer becomes its witness")
def other_peer_chosen(context):
    context.witness.request_ceiling("board", 500)
    assert eventually(lambda: context.notices)
    notice, _ = context.notices[0]
    assert context.first | {notice.witness} == {"b.1", "c.1"}, context.first
    context.witness.handle_reply(CeilingReply(notice.number, "a.1", notice.witness, True))
    assert context.witness.ensure_ceiling("board", 500) == (notice.witness, 500)


@given("a registry that holds a session's ceilings")
def registry_with_ceilings(context):
    context.registry = CeilingRegistry(capacity=2)
    assert context.registry.accept("a.1", {"board": 500}, 0.0)
    assert context.registry.accept("a.1", {"board": 300, "other": 7}, 1.0)


@when("the session is closed")
def session_closed(context):
    context.ceilings = context.registry.close("a.1")


@then("no more ceilings are accepted from it, and its ceilings are unchanged")
def ceilings_final(context):
    assert context.ceilings == {"board": 500, "other": 7}
    assert not context.registry.accept("a.1", {"board": 900}, 2.0)
    assert context.registry.close("a.1") == context.ceilings
    assert context.registry.is_closed("a.1") and context.registry.close("x.1") is None


@then("a full registry accepts no new session")
def registry_full(context):
    assert context.registry.accept("d.1", {"board": 1}, 2.0)
    assert not context.registry.accept("e.1", {"board": 1}, 2.0)
    assert context.registry.unresponsive(3.0) == {"d.1": ("board",)}


@given("a datagram port whose handler fails on the first message")
def failing_handler(context):
    context.handled = []

    def handle(message, address):
        context.handled.append(message)
        if len(context.handled) == 1:
            raise RuntimeError("the first message fails")

    context.port = DatagramPort("127.0.0.1:0", NullCounters(), handle)
    context.port.start()
    context.cleanup.callback(context.port.close)


@when("two messages are sent to it")
def two_messages(context):
    sender = DatagramPort("127.0.0.1:0", NullCounters(), lambda *_: None)
    context.cleanup.callback(sender.close)
    sender.send(RepaymentReply(1, "a.1"), context.port.address)
    assert eventually(lambda: context.handled)
    sender.send(RepaymentReply(2, "a.1"), context.port.address)


@then("the second message is handled")
def second_handled(context):
    assert eventually(lambda: [message.number for message in context.handled] == [1, 2])


@given("a gateway whose store does not respond")
def gateway_without_store(context):
    fleet = Fleet(context.cleanup)
    endpoint = fleet.store.open_endpoint()
    endpoint.fault = "busy"
    context.fleet = fleet
    context.router = fleet.add_router(ready=False, endpoint=endpoint)


@when("a peer asks it for tokens and sends it ceilings")
def peer_asks(context):
    replies = context.replies = {}
    peer = DatagramPort(
        "127.0.0.9:0", NullCounters(), lambda reply, _: replies.update({type(reply): reply})
    )
    peer.start()
    context.cleanup.callback(peer.close)
    session = context.router.find("gateway.started")["session"]
    peer.send(LoanRequest(1, "a.1", "board", 500, 0), context.router.peer_address)
    peer.send(CeilingNotice(1, "a.1", session, {"board": 5}), context.router.peer_address)


@then("it refuses the loan, and accepts the ceilings")
def refuses_loan(context):
    assert eventually(lambda: len(context.replies) == 2), context.router.lines
    assert context.replies[LoanReply].given == 0 and context.replies[LoanReply].refused
    assert context.replies[CeilingReply].accepted


class OnePrimary:
    """A list of peers of which one is the primary of all accounts."""

    def primary(self, account, suspects, *, own_reaches):
        return PEERS[0]

    def lenders(self, most):
        return []

    def alive(self):
        return [PEERS[0]]


@given("a router that asks its primary for {amount:d} tokens")
def asks_primary(context, amount):
    context.sent = []
    context.taken = []
    own = Member("a", "10.0.0.1:1", "a.1")
    context.loans = PeerLoans(
        own,
        OnePrimary(),
        SystemClock(),
        NullCounters(),
        lambda message, address: context.sent.append(message),
    )
    context.loans.on_loan_reply = context.taken.append
    context.loans.start()
    context.cleanup.callback(context.loans.close)
    assert context.loans.borrow_from_primary("board", amount, 0)


@when("the primary has served it, and all replies are lost until the request times out")
def replies_lost(context):
    assert eventually(lambda: any(message.repeats for message in list(context.sent)))


@then("the router queries the outcome, and receives the tokens once")
def receives_tokens_once(context):
    asked = next(message for message in list(context.sent) if message.repeats)
    reply = LoanReply(asked.number, "a.1", "board", 500)
    context.loans.handle_reply(reply)
    context.loans.handle_reply(reply)
    assert [each.given for each in context.taken] == [500], context.taken


@given("a lender with tokens")
def lender_with_tokens(context):
    context.world = World(100_000)
    assert context.world.reserve(0, 1_000)
    context.replies = []


@when("a router queries the outcome of a request that only arrives afterwards")
def query_before_request(context):
    accounts = context.world.accounts[0]
    for repeats in (True, False):
        request = LoanRequest(7, "router-1.2", "board", 100, 0, False, repeats)
        accounts.handle_loan_request(request, context.replies.append)


@then("the lender lends nothing")
def lends_nothing(context):
    assert [reply.given for reply in context.replies] == [0, 0], context.replies
    assert all(reply.refused for reply in context.replies), context.replies
