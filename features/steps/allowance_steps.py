"""Steps on allowances: any order of events, and the rules that each of them needs."""

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
    """Return histories with many events of one kind, a few of others, and a hungry end.

    A history drawn from all kinds alike seldom holds the two or three events of one fault.
    """
    usual = [EVENTS_BY_KIND["reserve"], EVENTS_BY_KIND["finish"], EVENTS_BY_KIND[kind]]
    any_other = st.sampled_from(OPTIONAL_KINDS).flatmap(EVENTS_BY_KIND.__getitem__)
    events = st.lists(st.one_of(*usual, any_other), min_size=12, max_size=50)
    return events.map(lambda drawn: [*drawn, *TAKING_ALL_THAT_IS_LEFT])


TAKING_ALL_THAT_IS_LEFT = [
    ("down", False),
    ("late write",),
    *[("reserve", number, amount) for amount in (2_000, 500, 100, 20) for number in (0, 1, 2) * 6],
]


def play(world, event):
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
        world.store.do_late_write()
    elif name == "down":
        world.store.down = values[0]
    elif name == "loan":
        world.loans[values[0]].next = values[1]
    elif name == "repeat":
        world.repeat()
    elif name == "primary":
        world.primary = values[0]
    elif name == "limit":
        world.set_limit(*values)
    elif name == "hear":
        world.hear(*values)
    elif name == "time":
        world.clock.advance(*values)
    elif name == "tick":
        world.accounts[values[0]].tick()
    elif name == "witness":
        world.witnesses[values[0]].next = values[1]
    elif name == "close silent":
        world.close_silent(*values)
    elif name == "top up":
        world.set_limit(world.store.limit + values[0])
        for number in range(len(world.accounts)):
            world.hear(number)
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
    """Return whether some of the events let more be used than the highest limit."""
    world = world or World(LIMIT, **rules)
    for event in [*events, *(TAKING_ALL_THAT_IS_LEFT if not events else ())]:
        play(world, event)
        if world.most_used > world.highest or world.is_undercounted:
            return True
    return False


DEATHS = ("restart", "stop", "close silent")
ANY_EVENTS = st.lists(
    st.sampled_from(sorted(EVENTS_BY_KIND)).flatmap(EVENTS_BY_KIND.__getitem__), max_size=20
)
LOST_EVENTS = st.lists(
    st.sampled_from(sorted(set(EVENTS_BY_KIND) - set(DEATHS))).flatmap(EVENTS_BY_KIND.__getitem__),
    max_size=20,
)
RESTORED_HISTORIES = st.lists(
    st.tuples(ANY_EVENTS, LOST_EVENTS, st.permutations(range(3))), min_size=1, max_size=3
)


def overspends_restored(history, dies=None, **rules):
    """Return whether some history in which the store comes back from copies overspends.

    The router ``dies`` does so each time after what is lost.
    """
    world = World(LIMIT, **rules)
    for before, lost, order in history:
        if before and overspends(before, world):
            return True
        earlier = world.store.copy()
        if lost and overspends(lost, world):
            return True
        if dies is not None:
            world.restart(dies)
        world.come_back(earlier, order)
    return overspends(TAKING_ALL_THAT_IS_LEFT, world)


@given("routers that spend from one account through a store that comes back from copies")
def restored_routers(context):
    context.rules = {}


@then("no history without deaths in the lost time overspends")
def no_restored_overspend(context):
    @settings(max_examples=300)
    @given_any(RESTORED_HISTORIES)
    def check(history):
        assert not overspends_restored(history)

    check()


@then("none overspends where one router dies in the lost time and its witness lives")
def no_overspend_with_death(context):
    @settings(max_examples=300)
    @given_any(RESTORED_HISTORIES, ROUTER)
    def check(history, dies):
        assert not overspends_restored(history, dies)

    check()


@given("a router that hears of the store's history for the first time")
def first_heard(context):
    context.world = World(LIMIT)
    context.world.accounts[0].restore(store_restored=False)
    context.world.accounts[1].restore(store_restored=True)


@then("it says that the store holds all it knows a second later, and one that was there at once")
def says_later(context):
    started, was_there, _ = context.world.accounts
    assert (started.restored_era, was_there.restored_era) == (0, 1)
    context.world.clock.advance(1_000.0)
    assert started.restored_era == 1


@given("a router that drew tokens of an account which is configured no more")
def configured_no_more(context):
    context.world = world = World(LIMIT)
    context.earlier = world.store.copy()
    assert world.reserve(0, 4_000)
    for number in range(len(world.accounts)):
        world.known[number] = None


@when("the store comes back from a copy of before")
def back_from_before(context):
    context.world.come_back(context.earlier, (0, 1, 2))


@then("the store holds what was drawn, and all routers say that it holds what they know")
def holds_drawn(context):
    world = context.world
    document = decode_document(world.store.items[KEY].value)
    assert document.allowance(world.session_of(0)) >= 4_000, document
    assert [each.restored_era for each in world.accounts] == [world.store.era.current] * 3


def nothing_restored(self, *, store_restored):
    """Write nothing again."""


@then("one overspends where nothing is written again")
def overspends_without(context):
    lost = [("reserve", 0, 4_000), ("primary", 1), ("reserve", 1, 4_000), ("primary", 2)]
    history = [([], lost, (0, 1, 2)), ([("reserve", 2, 9_000)], [], (0, 1, 2))]
    assert not overspends_restored(history)
    assert overspends_restored(history, restore=nothing_restored)


@given("routers that spend from one account through a store that loses answers")
def routers(context):
    context.world = World(LIMIT)


@when("any of these events come in any order")
def any_events(context):
    pass


@then("what all of them used or may still use never exceeds the limit")
def never_exceeds(context):
    @settings(max_examples=400)
    @given_any(st.lists(EVENT, max_size=40))
    def check(events):
        assert not overspends(events)

    check()


@then("nor does it in long histories of few kinds of faults")
def never_exceeds_in_long_histories(context):
    for kind in OPTIONAL_KINDS:

        @settings(max_examples=50)
        @given_any(histories(kind))
        def check(events):
            assert not overspends(events)

        check()


@then("what is known to be unused can be had again")
def can_be_had_again(context):
    @settings(max_examples=100)
    @given_any(st.lists(st.tuples(st.just("reserve"), ROUTER, AMOUNT), max_size=20))
    def check(events):
        world = World(LIMIT)
        for event in events:
            play(world, event)
        for number in range(3):
            while world.running[number]:
                world.finish(number, 0.1)
            world.accounts[number].close()
            world.restart(number)
        left = LIMIT - world.used
        assert world.reserve(0, left), (left, decode_document(world.store.items[KEY].value))

    check()


@given("a router whose write without an answer is done later")
def late_write(context):
    context.world = World(LIMIT)
    context.world.store.next_write = "late"
    context.granted = context.world.reserve(0, 3_000)


@when("it lowers its allowance after that and another router takes the rest")
def lowers(context):
    world = context.world
    world.finish(0, 0.0)
    world.accounts[0].close()
    world.restart(0)
    context.rest = world.reserve(1, LIMIT)


@then("the late write finds its condition broken")
def condition_broken(context):
    assert context.granted and context.rest
    assert context.world.store.do_late_write() is False
    assert context.world.most_used == LIMIT


@when("events come that a rule protects from, with the rule and without it")
def with_and_without(context):
    context.results = {}

    def believe_after_loss(self, account):
        account.uncertain = False
        return type(self)._step(self, account)

    def grant_before_answer(self, account, plan):
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

    def count_each_repayment(self, account, payment):
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
    going_on = [("reserve", 0, 500), ("reserve", 0, 100)] * 10
    steady = [("reserve", 0, 50), ("time", 200)] * 40
    beyond_ceiling = [*steady, ("restart", 0), *TAKING_ALL_THAT_IS_LEFT]
    closed_goes_on = [*spending, ("close silent", 0), *going_on, *TAKING_ALL_THAT_IS_LEFT]
    paid_back = [
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
        "a repayment counts once": (paid_back, "handle_repayment", count_each_repayment),
        "no use beyond the ceiling": (beyond_ceiling, "_grant", grant_beyond_ceiling),
        "a closed session's ceilings are final": (closed_goes_on, "accept", accept_closed),
        "another write before a document is believed": (
            late_lowering,
            "_step",
            believe_after_loss,
        ),
        "granted only after the answer": (lost_raise, "_write", grant_before_answer),
    }
    for rule, (events, method, broken) in cases.items():
        context.results[rule] = (overspends(events), overspends(events, **{method: broken}))


@then("nothing breaks with the rules, and something does without each")
def each_is_needed(context):
    for rule, (with_rule, without) in context.results.items():
        assert not with_rule, rule
        assert without, f"nothing broke without: {rule}"


@when("any documents are written to their stored form and read again")
def stored_form(context):
    pass


@then("they are as they were, and folding loses no committed token")
def as_they_were(context):
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
    many = AllowanceDocument(
        sessions=sessions, witnesses=dict.fromkeys(sessions, "w.1"), limit=9, limit_revision=4
    )
    folded = set_allowance(many, "r.new", 5, 10**9)
    assert folded.committed == many.committed + 5 and len(folded.sessions) <= 200
    assert set(folded.witnesses) <= set(folded.sessions)
    try:
        decode_document(b"\xff not a document")
    except AspengateError as error:
        assert error.kind.value == "internal"
    else:
        raise AssertionError("garbage was read")
    assert msgspec.json.decode(encode_document(many)) == {
        "limit": 9,
        "limit_revision": 4,
        "closed": 0,
        "sessions": many.sessions,
        "witnesses": many.witnesses,
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


@when("it settles for good and the answer to that is lost")
def settlement_lost(context):
    context.world.store.next_write = "lost"
    context.world.accounts[context.number].close()
    context.world.restart(context.number)


@then("the document counts what was used, and no less")
def counts_what_was_used(context):
    world = context.world
    document = decode_document(world.store.items[KEY].value)
    assert document.committed >= world.used, (document, world.used)
    assert not overspends([], world=world)


@given("a router whose draw from the store is answered late")
def answered_late(context):
    context.world = World(LIMIT)
    context.router = context.world.accounts[0]
    assert context.world.reserve(0, 1_000)
    context.world.finish(0, 1.0)


@when("it settles for good before the answer comes, and is asked for tokens after it")
def settles_before(context):
    world = context.world
    world.store.on_written = lambda: context.router.close(timeout_ms=1)
    loan = LoanRequest(1, "router-1.2", "board", 3_000, 0)
    context.replies = []
    context.router.handle_loan_request(loan, context.replies.append)
    later = LoanRequest(2, "router-1.2", "board", 500, 0)
    context.router.handle_loan_request(later, context.replies.append)


@then("it gives none, and takes none back")
def gives_none(context):
    world = context.world
    document = decode_document(world.store.items[KEY].value)
    given = sum(reply.given for reply in context.replies)
    assert document.committed >= 1_000 + given, (document, context.replies)
    assert context.replies[-1].given == 0, context.replies
    payment = Repayment(3, "router-1.2", context.router.session, "board", 100)
    assert not context.router.handle_repayment(payment)


@given("two routers that draw for themselves, and a limit that one of them heard was cut")
def heard_of_cut(context):
    context.world = world = World(LIMIT)
    assert world.reserve(0, 1_000)
    world.primary = 1
    world.set_limit(4_000)
    world.hear(1)
    assert world.reserve(1, 500)


@when("the one that has not heard draws as much as it may")
def not_heard(context):
    world = context.world
    world.primary = 0
    context.drawn = sum(world.reserve(0, 250) for _ in range(40))


@then("both together hold no more than the lower limit")
def lower_limit(context):
    assert context.drawn
    assert context.world.most_used <= 4_000, context.world.most_used
