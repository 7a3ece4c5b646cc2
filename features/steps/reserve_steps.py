"""Steps on what a router holds: loans, the reserve while the store is away, requests that wait."""

from behave import given, then, when

from allowance_steps import LIMIT
from allowance_world import KEY, World
from aspengate.allowances import decode_document, encode_document, set_allowance
from aspengate.gateway.prepaid import Ticket
from aspengate.peers import LoanRequest
from aspengate.store import Put


@given("a router that drew tokens")
def drew_tokens(context):
    context.world = World(LIMIT)
    assert context.world.reserve(0, 1_000)
    purse = context.world.accounts[0].account("board").purse
    context.before = (purse.committed, purse.lent, purse.reserved)


@when("another router asks it for a negative amount")
def negative_amount(context):
    context.replies = []
    loan = LoanRequest(1, "router-1.2", "board", -500, 0)
    context.world.accounts[0].take_loan_request(loan, context.replies.append)


@then("it refuses, and holds what it held")
def holds_what_it_held(context):
    purse = context.world.accounts[0].account("board").purse
    assert (purse.committed, purse.lent, purse.reserved) == context.before
    (reply,) = context.replies
    assert reply.given == 0 and reply.refused == "bad_request", reply


@given("a router whose small request waits behind a large one")
def waits_behind(context):
    context.world = world = World(LIMIT)
    assert world.reserve(1, 100)
    context.account = account = world.accounts[1].account("board")
    with account.changed:
        account.purse.borrow(1_000)
        account.waiting += [Ticket(5_000), Ticket(500)]


@when("the large one is given up and the router looks for tokens again")
def looks_again(context):
    account = context.account
    context.large, context.small = account.waiting
    with account.changed:
        account.give_up(context.large)
        context.asked = len(context.world.requests)
        context.world.accounts[1].supply.ask_for_more(account, context.world.clock.monotonic_ms())


@then("the small one is granted, and no loan of less than nothing was asked for")
def small_one_granted(context):
    assert context.small.granted
    asked = [request.needed for _, request in context.world.requests]
    assert all(needed >= 0 for needed in asked), asked


@given("a router that drew a reserve, and a store that went away")
def drew_a_reserve(context):
    context.world = world = World(100_000)
    for _ in range(20):
        assert world.reserve(0, 100)
        world.clock.advance(100)
    context.account = world.accounts[0].account("board")
    purse = context.account.purse
    assert purse.held > purse.free + 500, (purse.held, purse.free)
    world.store.down = True


@when("a call to the store has failed and requests go on")
def requests_go_on(context):
    context.held = context.account.purse.held
    context.granted = sum(context.world.reserve(0, 100) for _ in range(context.held // 100 + 10))
    assert context.account.document is None


@then("all that the router holds is used, as far as its witness hears of it")
def all_is_used(context):
    assert context.granted == context.held // 100, (context.granted, context.held)
    book = context.world.accounts[1].book
    session = context.world.session_of(0)
    assert book.close(session)["board"] >= context.account.purse.committed


@when("the store is back and another router asks for a loan ahead of its needs")
def back_and_asked(context):
    world = context.world
    while context.account.document is not None:
        assert world.reserve(0, 100)
    world.store.down = False
    world.clock.advance(2_000)
    world.store.last_answer_ms = world.clock.monotonic_ms()
    loan = LoanRequest(1, "router-1.2", "board", 0, 200)
    world.accounts[0].take_loan_request(loan, lambda _: None)
    world.accounts[0].tick()


@then("the router knows its document again")
def knows_again(context):
    assert context.account.document is not None


@when("borrowers wait for its witness while a call to the store fails")
def borrowers_wait(context):
    account, writer = context.account, context.world.accounts[0].writer
    held = account.purse.held
    context.tickets = [Ticket(held - 100, on_decided=lambda _: None) for _ in range(2)]
    context.tickets.append(Ticket(50, on_decided=lambda _: None))
    with account.changed:
        account.waiting += context.tickets
        account.document = None
    writer.work(account)


@then("those that it holds tokens for go on waiting, and the others are refused")
def go_on_waiting(context):
    first, second, third = context.tickets
    assert not first.decided and not third.decided
    assert second.refused is not None
    assert context.account.waiting == [first, third]


@given("two routers that take each other for the primary")
def take_each_other(context):
    context.world = world = World(LIMIT)
    for number in (1, 2):
        assert world.reserve(number, 500)
        world.finish(number, 1.0)
    for number in (1, 2):
        loans = world.loans[number]
        loans.is_primary = lambda _: False

        def ask(account, needed, extra, number=number, loans=loans):
            if len(world.requests) < context.before + 50:
                loans._ask(3 - number, account, needed, extra)
            return True

        loans.ask = ask
    context.before = len(world.requests)


@when("one of them stocks up")
def stocks_up(context):
    world = context.world
    account = world.accounts[1].account("board")
    with account.changed:
        world.accounts[1].supply.look_ahead(account, world.clock.monotonic_ms())


@then("no more than one loan is asked for")
def one_loan(context):
    asked = len(context.world.requests) - context.before
    assert asked == 1, asked


@given("a primary router that holds a reserve, and hands its part over to another one")
@given("a router that holds most of an account, and is not its primary any more")
def handed_over(context):
    world = context.world = World(100_000, routers=2)
    for _ in range(12):
        assert world.reserve(0, 1_000)
        world.accounts[0].tick()
    account = world.accounts[0].account("board")
    assert account.purse.held > 10_000, account.purse.held
    world.primary = 1


@when("another session writes the account's document just before it does")
def another_before(context):
    store = context.world.store
    transact = store.transact
    session = "router-9.1"

    def late(conditions, puts):
        store.transact = transact
        item = store.get(KEY)
        document = decode_document(item.value)
        other = set_allowance(document, session, 10, document.limit)
        transact({KEY: item.revision}, (Put(KEY, encode_document(other)),))
        return transact(conditions, puts)

    store.transact = late
    context.world.clock.advance(1_000)
    context.world.accounts[0].tick()


@then("the document allows it no more than it uses any more")
def allows_no_more(context):
    world = context.world
    purse = world.accounts[0].account("board").purse
    document = decode_document(world.store.get(KEY).value)
    assert document.allowance("router-9.1") == 10
    assert document.allowance(world.session_of(0)) == purse.granted, (document, purse.granted)
    assert purse.held < 10_000, purse.held


@when("the new primary is asked for more than nobody holds")
def asked_for_more(context):
    world = context.world
    held = world.accounts[0].account("board").purse.held
    while left_to(world, 1) >= held:
        assert world.reserve(1, 5_000)
    context.served = world.reserve(1, held)


def left_to(world, number):
    """Return what a router could use without any other one's help."""
    document = decode_document(world.store.get(KEY).value)
    purse = world.accounts[number].account("board").purse
    return document.limit - document.committed + max(0, purse.held)


@then("it serves the request with what the first one holds, and overspends nothing")
def serves_it(context):
    assert context.served
    assert context.world.most_used <= context.world.highest
