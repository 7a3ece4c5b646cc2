"""Steps on loans, on the reserve while the store is down, and on waiting requests."""

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
    balance = context.world.accounts[0].account("board").balance
    context.before = (balance.committed, balance.lent, balance.reserved)


@when("another router asks it for a negative amount")
def negative_amount(context):
    context.replies = []
    loan = LoanRequest(1, "router-1.2", "board", -500, 0)
    context.world.accounts[0].handle_loan_request(loan, context.replies.append)


@then("it refuses, and its balance is unchanged")
def balance_unchanged(context):
    balance = context.world.accounts[0].account("board").balance
    assert (balance.committed, balance.lent, balance.reserved) == context.before
    (reply,) = context.replies
    assert reply.given == 0 and reply.refused == "bad_request", reply


@given("a router whose small request waits behind a large one")
def waits_behind(context):
    context.world = world = World(LIMIT)
    assert world.reserve(1, 100)
    context.account = account = world.accounts[1].account("board")
    with account.changed:
        account.balance.borrow(1_000)
        account.waiting += [Ticket(5_000), Ticket(500)]


@when("the large request is abandoned and the router requests tokens again")
def requests_again(context):
    account = context.account
    context.large, context.small = account.waiting
    with account.changed:
        account.remove_waiting(context.large)
        context.asked = len(context.world.requests)
        context.world.accounts[1].supply.request_tokens(account, context.world.clock.monotonic_ms())


@then("the small request is granted, and no negative loan was requested")
def small_request_granted(context):
    assert context.small.granted
    asked = [request.needed for _, request in context.world.requests]
    assert all(needed >= 0 for needed in asked), asked


@given("a router that drew a reserve, and a store that is down")
def drew_a_reserve(context):
    context.world = world = World(100_000)
    for _ in range(20):
        assert world.reserve(0, 100)
        world.clock.advance(100)
    context.account = world.accounts[0].account("board")
    balance = context.account.balance
    assert balance.held > balance.free + 500, (balance.held, balance.free)
    world.store.down = True


@when("a call to the store has failed and requests continue")
def requests_continue(context):
    context.held = context.account.balance.held
    context.granted = sum(context.world.reserve(0, 100) for _ in range(context.held // 100 + 10))
    assert context.account.document is None


@then("all tokens that the router holds can be used, and its witness accepted them")
def all_held_tokens_used(context):
    assert context.granted == context.held // 100, (context.granted, context.held)
    registry = context.world.accounts[1].ceilings
    session = context.world.session_of(0)
    assert registry.close(session)["board"] >= context.account.balance.committed


@when("the store is back and another router requests a loan for its reserve")
def back_and_asked(context):
    world = context.world
    while context.account.document is not None:
        assert world.reserve(0, 100)
    world.store.down = False
    world.clock.advance(2_000)
    world.store.last_answer_ms = world.clock.monotonic_ms()
    loan = LoanRequest(1, "router-1.2", "board", 0, 200)
    world.accounts[0].handle_loan_request(loan, lambda _: None)
    world.accounts[0].tick()


@then("the router has read its document again")
def read_again(context):
    assert context.account.document is not None


@when("borrowers wait for its witness while a call to the store fails")
def borrowers_wait(context):
    account, writer = context.account, context.world.accounts[0].writer
    held = account.balance.held
    context.tickets = [Ticket(held - 100, on_decided=lambda _: None) for _ in range(2)]
    context.tickets.append(Ticket(50, on_decided=lambda _: None))
    with account.changed:
        account.waiting += context.tickets
        account.document = None
    writer.process(account)


@then("borrowers covered by held tokens keep waiting, and the others are refused")
def covered_keep_waiting(context):
    first, second, third = context.tickets
    assert not first.decided and not third.decided
    assert second.refused is not None
    assert context.account.waiting == [first, third]


@given("two routers that each consider the other the primary")
def two_primaries(context):
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

        loans.borrow_from_primary = ask
    context.before = len(world.requests)


@when("one of them requests tokens ahead of its needs")
def requests_ahead(context):
    world = context.world
    account = world.accounts[1].account("board")
    with account.changed:
        world.accounts[1].supply.prefetch(account, world.clock.monotonic_ms())


@then("exactly one loan is requested")
def one_loan(context):
    asked = len(context.world.requests) - context.before
    assert asked == 1, asked


@given("a primary router that holds a reserve, and is replaced as the primary")
@given("a router that holds most of an account, and is no longer its primary")
def handed_over(context):
    world = context.world = World(100_000, routers=2)
    for _ in range(12):
        assert world.reserve(0, 1_000)
        world.accounts[0].tick()
    account = world.accounts[0].account("board")
    assert account.balance.held > 10_000, account.balance.held
    world.primary = 1


@when("another session writes the account's document just before it")
def another_write_first(context):
    store = context.world.store
    transact = store.transact
    session = "router-9.1"

    def write_first(conditions, puts):
        store.transact = transact
        item = store.get(KEY)
        document = decode_document(item.value)
        other = set_allowance(document, session, 10, document.limit)
        transact({KEY: item.revision}, (Put(KEY, encode_document(other)),))
        return transact(conditions, puts)

    store.transact = write_first
    context.world.clock.advance(1_000)
    context.world.accounts[0].tick()


@then("the document contains the lowered allowance")
def contains_lowered_allowance(context):
    world = context.world
    balance = world.accounts[0].account("board").balance
    document = decode_document(world.store.get(KEY).value)
    assert document.allowance("router-9.1") == 10
    assert document.allowance(world.session_of(0)) == balance.granted, (document, balance.granted)
    assert balance.held < 10_000, balance.held


@when("the new primary is asked for more than the unallocated tokens")
def asked_for_more(context):
    world = context.world
    held = world.accounts[0].account("board").balance.held
    while available_to(world, 1) >= held:
        assert world.reserve(1, 5_000)
    context.served = world.reserve(1, held)


def available_to(world, number):
    """Return the tokens that a router could use without borrowing."""
    document = decode_document(world.store.get(KEY).value)
    balance = world.accounts[number].account("board").balance
    return document.limit - document.committed + max(0, balance.held)


@then("it serves the request with the first router's tokens, and overspends nothing")
def served_with_held_tokens(context):
    assert context.served
    assert context.world.max_used <= context.world.highest_limit
