"""Steps on allowances: arbitrary sequences of events, and the rules that prevent overspending."""

import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from allowance_world import KEY, World
from aspengate.allowances import AllowanceDocument, decode_document, encode_document, set_allowance
from aspengate.errors import AspengateError
from aspengate.peers import LoanRequest, Repayment

LIMIT = 10_000
ROUTER = st.integers(0, 2)
AMOUNT = st.integers(1, 4_000)
EVENT = st.one_of(
    st.tuples(st.just("reserve"), ROUTER, AMOUNT),
    st.tuples(st.just("reserve"), ROUTER, AMOUNT),
    st.tuples(st.just("finish"), ROUTER, st.sampled_from([0.0, 0.3, 1.0])),
    st.tuples(st.just("restart"), ROUTER),
    st.tuples(st.just("lose"), st.sampled_from(["late", "never", "lost", "late, then down"])),
    st.tuples(st.just("late write")),
    st.tuples(st.just("down"), st.booleans()),
    st.tuples(st.just("loan"), ROUTER, st.sampled_from(["lost", "answer lost"])),
    st.tuples(st.just("repeat")),
    st.tuples(st.just("primary"), ROUTER),
    st.tuples(st.just("limit"), st.integers(0, 20_000)),
    st.tuples(st.just("hear"), ROUTER),
    st.tuples(st.just("time"), st.integers(1, 30_000)),
    st.tuples(st.just("tick"), ROUTER),
    st.tuples(st.just("close"), ROUTER),
    st.tuples(st.just("witness"), ROUTER, st.sampled_from(["lost", "answer lost"])),
    st.tuples(st.just("close silent"), ROUTER),
)


ANSWER = st.sampled_from(["done", "late", "never", "lost"])
EVENTS_BY_KIND = {
    "reserve": st.tuples(st.just("reserve"), ROUTER, st.integers(1, 1_500)),
    "finish": st.tuples(st.just("finish"), ROUTER, st.sampled_from([0.0, 0.3, 1.0])),
    "restart": st.tuples(st.just("restart"), ROUTER),
    "lose": st.tuples(st.just("lose"), st.sampled_from(["late", "never", "lost"])),
    "late write": st.tuples(st.just("late write")),
    "down": st.tuples(st.just("down"), st.booleans()),
    "loan": st.tuples(st.just("loan"), ROUTER, st.sampled_from(["lost", "answer lost"])),
    "repeat": st.tuples(st.just("repeat")),
    "primary": st.tuples(st.just("primary"), ROUTER),
    "top up": st.tuples(st.just("top up"), st.integers(1, 500)),
    "time": st.tuples(st.just("time"), st.sampled_from([100, 2_000, 30_000])),
    "tick": st.tuples(st.just("tick"), ROUTER),
    "stop": st.tuples(st.just("stop"), ROUTER, st.sampled_from([0.0, 0.3, 1.0]), ANSWER),
    "witness": st.tuples(st.just("witness"), ROUTER, st.sampled_from(["lost", "answer lost"])),
    "close silent": st.tuples(st.just("close silent"), ROUTER),
}
OPTIONAL_KINDS = sorted(set(EVENTS_BY_KIND) - {"reserve", "finish"})


def histories(kind):
    """Return histories with many events of one kind and few others, then reservations of the rest.

    A history drawn evenly from all kinds rarely contains the two or three events of one fault.
    """
    usual = [EVENTS_BY_KIND["reserve"], EVENTS_BY_KIND["finish"], EVENTS_BY_KIND[kind]]
    any_other = st.sampled_from(OPTIONAL_KINDS).flatmap(EVENTS_BY_KIND.__getitem__)
    events = st.lists(st.one_of(*usual, any_other), min_size=12, max_size=50)
    return events.map(lambda drawn: [*drawn, *RESERVING_ALL_THAT_IS_LEFT])


RESERVING_ALL_THAT_IS_LEFT = [
    ("down", False),
    ("late write",),
    *[("reserve", number, amount) for amount in (2_000, 500, 100, 20) for number in (0, 1, 2) * 6],
]


def apply_event(world, event):
    name, *values = event
    if name == "reserve":
        world.reserve(*values)
    elif name == "finish":
        world.finish(*values)
    elif name == "restart":
        world.restart(*values)
    elif name == "lose":
        world.store.next_write = values[0]
    elif name == "late write":
        world.store.apply_delayed_write()
    elif name == "down":
        world.store.down = values[0]
    elif name == "loan":
        world.loans[values[0]].next = values[1]
    elif name == "repeat":
        world.repeat_messages()
    elif name == "primary":
        world.primary = values[0]
    elif name == "limit":
        world.set_limit(*values)
    elif name == "hear":
        world.receive_limit(*values)
    elif name == "time":
        world.clock.advance(*values)
    elif name == "tick":
        world.accounts[values[0]].tick()
    elif name == "witness":
        world.witnesses[values[0]].next = values[1]
    elif name == "close silent":
        world.close_unresponsive(*values)
    elif name == "top up":
        world.set_limit(world.store.limit + values[0])
        for number in range(len(world.accounts)):
            world.receive_limit(number)
    elif name == "stop":
        number, share, how = values
        while world.running[number]:
            world.finish(number, share)
        world.store.next_write = how
        world.accounts[number].close()
        world.restart(number)
    elif name == "close":
        number = values[0]
        for _ in list(world.running[number]):
            world.finish(number, 1.0)
        world.accounts[number].close()
        world.restart(number)


def overspends(events, world=None, **rules):
    """Return whether some prefix of the events uses more than the highest limit, or undercounts."""
    world = world or World(LIMIT, **rules)
    for event in [*events, *(RESERVING_ALL_THAT_IS_LEFT if not events else ())]:
        apply_event(world, event)
        if world.max_used > world.highest_limit or world.is_undercounted:
            return True
    return False


ROUTER_ENDS = ("restart", "stop", "close silent")
ANY_EVENTS = st.lists(
    st.sampled_from(sorted(EVENTS_BY_KIND)).flatmap(EVENTS_BY_KIND.__getitem__), max_size=20
)
LOST_EVENTS = st.lists(
    st.sampled_from(sorted(set(EVENTS_BY_KIND) - set(ROUTER_ENDS))).flatmap(
        EVENTS_BY_KIND.__getitem__
    ),
    max_size=20,
)
RESTORED_HISTORIES = st.lists(
    st.tuples(ANY_EVENTS, LOST_EVENTS, st.permutations(range(3))), min_size=1, max_size=3
)


def overspends_restored(history, dying=None, **rules):
    """Return whether a history in which the store is restored from copies overspends.

    The router ``dying`` restarts after each lost period.
    """
    world = World(LIMIT, **rules)
    for before, lost, order in history:
        if before and overspends(before, world):
            return True
        earlier = world.store.copy()
        if lost and overspends(lost, world):
            return True
        if dying is not None:
            world.restart(dying)
        world.restore_from_copy(earlier, order)
    return overspends(RESERVING_ALL_THAT_IS_LEFT, world)


@given("routers that spend from one account through a store that is restored from copies")
def restored_routers(context):
    context.rules = {}


@then("no history overspends if no router terminates in the lost period")
def no_overspend_without_deaths(context):
    @settings(max_examples=300)
    @given_any(RESTORED_HISTORIES)
    def check(history):
        assert not overspends_restored(history)

    check()


@then("no history overspends if one router terminates in the lost period and its witness survives")
def no_overspend_with_death(context):
    @settings(max_examples=300)
    @given_any(RESTORED_HISTORIES, ROUTER)
    def check(history, dying):
        assert not overspends_restored(history, dying)

    check()


@given("a router that sees the store's history for the first time")
def first_history_seen(context):
    context.world = World(LIMIT)
    context.world.accounts[0].restore(store_restored=False)
    context.world.accounts[1].restore(store_restored=True)


@then("it reports the store as complete a second later, and one that ran before does so at once")
def reports_later(context):
    started, was_there, _ = context.world.accounts
    assert (started.restored_era, was_there.restored_era) == (0, 1)
    context.world.clock.advance(1_000.0)
    assert started.restored_era == 1


@given("a router that drew tokens of an account that was removed from the configuration")
def removed_from_configuration(context):
    context.world = world = World(LIMIT)
    context.earlier = world.store.copy()
    assert world.reserve(0, 4_000)
    for number in range(len(world.accounts)):
        world.known_limits[number] = None


@when("the store is restored from an earlier copy")
def restored_from_earlier_copy(context):
    context.world.restore_from_copy(context.earlier, (0, 1, 2))


@then("the store contains the drawn tokens, and all routers report it as complete")
def contains_drawn_tokens(context):
    world = context.world
    document = decode_document(world.store.items[KEY].value)
    assert document.allowance(world.session_of(0)) >= 4_000, document
    assert [each.restored_era for each in world.accounts] == [world.store.era.current] * 3


def nothing_restored(self, *, store_restored):
    """Replace ``TokenAccounts.restore`` by a method that writes nothing again."""


@then("some history overspends if nothing is written again")
def overspends_without_restoration(context):
    lost = [("reserve", 0, 4_000), ("primary", 1), ("reserve", 1, 4_000), ("primary", 2)]
    history = [([], lost, (0, 1, 2)), ([("reserve", 2, 9_000)], [], (0, 1, 2))]
    assert not overspends_restored(history)
    assert overspends_restored(history, restore=nothing_restored)


@given("routers that spend from one account through a store that loses responses")
def routers(context):
    context.world = World(LIMIT)


@when("these events occur in any order")
def any_events(context):
    pass


@then("the tokens that all routers used or may still use never exceed the limit")
def never_exceeds(context):
    @settings(max_examples=400)
    @given_any(st.lists(EVENT, max_size=40))
    def check(events):
        assert not overspends(events)

    check()


@then("they do not exceed it in long histories with few kinds of faults either")
def never_exceeds_in_long_histories(context):
    for kind in OPTIONAL_KINDS:

        @settings(max_examples=50)
        @given_any(histories(kind))
        def check(events):
            assert not overspends(events)

        check()


@then("tokens that are known to be unused become available again")
def becomes_available_again(context):
    @settings(max_examples=100)
    @given_any(st.lists(st.tuples(st.just("reserve"), ROUTER, AMOUNT), max_size=20))
    def check(events):
        world = World(LIMIT)
        for event in events:
            apply_event(world, event)
        for number in range(3):
            while world.running[number]:
                world.finish(number, 0.1)
            world.accounts[number].close()
            world.restart(number)
        left = LIMIT - world.used
        assert world.reserve(0, left), (left, decode_document(world.store.items[KEY].value))

    check()


@given("a router whose unanswered write takes effect later")
def late_write(context):
    context.world = World(LIMIT)
    context.world.store.next_write = "late"
    context.granted = context.world.reserve(0, 3_000)


@when("it then lowers its allowance and another router takes the rest")
def lowers_allowance(context):
    world = context.world
    world.finish(0, 0.0)
    world.accounts[0].close()
    world.restart(0)
    context.rest = world.reserve(1, LIMIT)


@then("the condition of the delayed write fails")
def condition_broken(context):
    assert context.granted and context.rest
    assert context.world.store.apply_delayed_write() is False
    assert context.world.max_used == LIMIT


@when("events that a rule protects against occur with and without the rule")
def with_and_without_rule(context):
    context.results = {}

    def trust_document_after_loss(self, account):
        account.uncertain = False
        return type(self)._step(self, account)

    def grant_before_response(self, account, plan):
        account.balance.granted = max(account.balance.granted, plan.allowance(self.session))
        return type(self)._write(self, account, plan)

    def grant_beyond_ceiling(self, account, document):
        type(self)._grant(self, account, document)
        account.balance.ceiling = None

    def accept_closed(self, session, ceilings, now_ms):
        entry = self._entries.get(session)
        if entry is not None:
            entry.closed = False
        return type(self).accept(self, session, ceilings, now_ms)

    def count_repeated_repayments(self, account, payment):
        self._repaid.clear()
        return type(self).handle_repayment(self, account, payment)

    late_lowering = [
        ("reserve", 0, LIMIT),
        ("finish", 0, 0.0),
        ("time", 30_000),
        ("lose", "late, then down"),
        ("tick", 0),
        ("down", False),
        ("reserve", 0, LIMIT),
        ("late write",),
        ("reserve", 1, LIMIT),
    ]
    lost_raise = [
        ("lose", "late, then down"),
        ("reserve", 0, 4_000),
        ("reserve", 0, 4_000),
        ("down", False),
        ("primary", 1),
        ("reserve", 1, 8_000),
    ]
    spending = [("reserve", 0, 1_000), ("reserve", 0, 500)]
    continuing = [("reserve", 0, 500), ("reserve", 0, 100)] * 10
    steady = [("reserve", 0, 50), ("time", 200)] * 40
    beyond_ceiling = [*steady, ("restart", 0), *RESERVING_ALL_THAT_IS_LEFT]
    closed_session_continues = [
        *spending,
        ("close silent", 0),
        *continuing,
        *RESERVING_ALL_THAT_IS_LEFT,
    ]
    repaid_twice = [
        ("reserve", 1, 1_000),
        ("reserve", 1, 4_000),
        ("finish", 1, 0.0),
        ("time", 21_000),
        ("tick", 1),
        ("repeat",),
        ("repeat",),
        ("reserve", 0, 8_000),
        ("reserve", 0, 1_500),
    ]
    cases = {
        "a repayment counts once": (repaid_twice, "handle_repayment", count_repeated_repayments),
        "no use beyond the ceiling": (beyond_ceiling, "_grant", grant_beyond_ceiling),
        "a closed session's ceilings are final": (
            closed_session_continues,
            "accept",
            accept_closed,
        ),
        "another write before a document is trusted": (
            late_lowering,
            "_step",
            trust_document_after_loss,
        ),
        "granted only after the response": (lost_raise, "_write", grant_before_response),
    }
    for rule, (events, method, broken) in cases.items():
        context.results[rule] = (overspends(events), overspends(events, **{method: broken}))


@then("nothing is overspent with the rules, and something is without each of them")
def each_rule_is_needed(context):
    for rule, (with_rule, without) in context.results.items():
        assert not with_rule, rule
        assert without, f"nothing was overspent without the rule: {rule}"


@when("any documents are encoded and decoded")
def encoded_and_decoded(context):
    pass


@then("they are unchanged, and closing old sessions loses no committed token")
def unchanged_documents(context):
    names = st.text(st.characters(codec="utf-8", exclude_characters="\x00"), min_size=1, max_size=9)
    documents = st.builds(
        AllowanceDocument,
        limit=st.integers(0, 2**40),
        limit_revision=st.integers(0, 2**40),
        closed=st.integers(-(2**40), 2**40),
        sessions=st.dictionaries(names, st.integers(-(2**40), 2**40), max_size=5),
        witnesses=st.dictionaries(names, names, max_size=5),
        ended=st.dictionaries(names, names, max_size=5),
        spent=st.integers(0, 2**40),
        era=st.integers(0, 2**20),
        restored_from=st.integers(0, 2**60),
        restored_closed=st.integers(-(2**40), 2**40),
        limit_era=st.integers(0, 2**20),
    )

    @given_any(documents)
    def check(document):
        assert decode_document(encode_document(document)) == document

    check()
    sessions = {f"r.{n}": n for n in range(300)}
    document = AllowanceDocument(
        sessions=sessions, witnesses=dict.fromkeys(sessions, "w.1"), limit=9, limit_revision=4
    )
    closed = set_allowance(document, "r.new", 5, 10**9)
    assert closed.committed == document.committed + 5 and len(closed.sessions) <= 200
    assert set(closed.witnesses) <= set(closed.sessions)
    try:
        decode_document(b"\xff not a document")
    except AspengateError as error:
        assert error.kind.value == "internal"
    else:
        raise AssertionError("an invalid document was decoded")
    assert msgspec.json.decode(encode_document(document)) == {
        "limit": 9,
        "limit_revision": 4,
        "closed": 0,
        "sessions": document.sessions,
        "witnesses": document.witnesses,
        "ended": {},
        "spent": 0,
        "era": 0,
        "restored_from": 0,
        "restored_closed": 0,
        "limit_era": 0,
    }


@given("a router that {how} tokens and did not use all of them")
def did_not_use_all(context, how):
    context.world = world = World(LIMIT)
    context.number = 0 if how == "drew" else 1
    assert world.reserve(context.number, 1_000)
    world.finish(context.number, 0.3)


@when("it settles its accounts and the response is lost")
def settlement_lost(context):
    context.world.store.next_write = "lost"
    context.world.accounts[context.number].close()
    context.world.restart(context.number)


@then("the document counts at least the used tokens")
def counts_what_was_used(context):
    world = context.world
    document = decode_document(world.store.items[KEY].value)
    assert document.committed >= world.used, (document, world.used)
    assert not overspends([], world=world)


@given("a router that receives a late response to its draw from the store")
def late_response(context):
    context.world = World(LIMIT)
    context.router = context.world.accounts[0]
    assert context.world.reserve(0, 1_000)
    context.world.finish(0, 1.0)


@when("it settles its accounts before the response arrives, and is then asked for tokens")
def settles_before(context):
    world = context.world
    world.store.on_written = lambda: context.router.close(timeout_ms=1)
    loan = LoanRequest(1, "router-1.2", "board", 3_000, 0)
    context.replies = []
    context.router.handle_loan_request(loan, context.replies.append)
    later = LoanRequest(2, "router-1.2", "board", 500, 0)
    context.router.handle_loan_request(later, context.replies.append)


@then("it lends none, and accepts no repayment")
def lends_none(context):
    world = context.world
    document = decode_document(world.store.items[KEY].value)
    given = sum(reply.given for reply in context.replies)
    assert document.committed >= 1_000 + given, (document, context.replies)
    assert context.replies[-1].given == 0, context.replies
    payment = Repayment(3, "router-1.2", context.router.session, "board", 100)
    assert not context.router.handle_repayment(payment)


@given("two routers that draw for themselves, one of which received a reduced limit")
def received_reduced_limit(context):
    context.world = world = World(LIMIT)
    assert world.reserve(0, 1_000)
    world.primary = 1
    world.set_limit(4_000)
    world.receive_limit(1)
    assert world.reserve(1, 500)


@when("the other router draws as much as it can")
def other_router_draws(context):
    world = context.world
    world.primary = 0
    context.drawn = sum(world.reserve(0, 250) for _ in range(40))


@then("both together hold at most the reduced limit")
def within_reduced_limit(context):
    assert context.drawn
    assert context.world.max_used <= 4_000, context.world.max_used
