"""Steps on what routers know together of requests under which replicas ended."""

import random
from collections import Counter

import msgspec
from behave import given, then, when
from hypothesis import given as given_any
from hypothesis import settings
from hypothesis import strategies as st

from aspengate.clock import ManualClock
from aspengate.crashes import RECORD_PREFIX, CrashRecord, decode_record, encode_record
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._crash_guard import CrashGuard
from aspengate.store import ConditionFailedError, MirrorState, StoreItem
from aspengate.telemetry import NullCounters

CONTACT_MS = 3_000.0
ALLOWED = 3
CONTENT = "0f" * 16
ENDS = 3


class Records:
    """The store's items, as ``transact`` and ``remove`` change them."""

    def __init__(self):
        self.items = {}
        self.revision = 0

    def transact(self, conditions, puts):
        for key, revision in conditions.items():
            item = self.items.get(key)
            if (item.revision if item else 0) != revision:
                raise ConditionFailedError({key: item} if item else {})
        self.revision += 1
        for put in puts:
            self.items[put.key] = StoreItem(put.key, put.value, self.revision)
        return self.revision

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1

    def state(self):
        return MirrorState(dict(self.items), self.revision, self.revision)


class Way:
    """One router's way to the store, which may be cut."""

    def __init__(self, records):
        self.records = records
        self.cut = False

    def _check(self):
        if self.cut:
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, "cut off")

    def transact(self, conditions, puts):
        self._check()
        return self.records.transact(conditions, puts)

    def remove(self, key):
        self._check()
        self.records.remove(key)


class Router:
    """One router; ``calm_ms`` is since when nothing has befallen it."""

    def __init__(self, storm, name):
        self.storm = storm
        self.name = name
        self.begin()

    def begin(self):
        self.way = Way(self.storm.records)
        self.calm_ms = self.storm.clock.monotonic_ms()
        self.runs = getattr(self, "runs", 0) + 1
        self.guard = CrashGuard(
            self.way,
            self.storm.clock,
            NullCounters(),
            broadcast=lambda notice: self.storm.tell(self, notice),
            on_ended=lambda run: None,
            reaches_store=lambda: not self.way.cut,
            is_first=lambda content: self is self.storm.routers[0],
            has_ended=lambda address: address in self.storm.ended,
        )
        self.guard.records.session = f"{self.name}.{self.runs}"

    def in_touch(self):
        return not self.way.cut and self.storm.clock.monotonic_ms() >= self.calm_ms + CONTACT_MS

    def look(self):
        if not self.way.cut:
            self.guard.load_records(self.storm.records.state())


class Storm:
    """A request that ends every replica, at routers that know little of each other."""

    def __init__(self, count, seed):
        self.source = random.Random(seed)
        self.deadly = self.source.choice([0.1, 0.5, 0.9])
        self.calm = self.source.choice([12, 60, 1_000])
        self.herd = self.source.choice([0.0, 0.2, 0.6])
        self.clock = ManualClock()
        self.records = Records()
        self.ended = set()
        self.end_times = []
        self.sends = []
        self.unseen = 0
        self.under_way = []
        self.herd_at = []
        self.messages = []
        self.numbers = 0
        self.routers = [Router(self, f"front-{number}") for number in range(count)]
        self.clock.advance(CONTACT_MS)

    def tell(self, sender, notice):
        """Have a notice reach the others within 20 ms, but where three datagrams get lost."""
        if sender.way.cut:
            return
        for each in self.routers:
            if each is not sender and self.source.random() > 0.01**3:
                due = self.clock.monotonic_ms() + self.source.uniform(1, 20)
                self.messages.append((due, each, each.runs, notice))

    def come(self):
        """Have the caller come to any router."""
        router = self.source.choice(self.routers)
        router.look()
        try:
            held = router.guard.admit(CONTENT, None)
        except AspengateError:
            return
        self.send(router, held)

    def send(self, router, held):
        self.numbers += 1
        now = self.clock.monotonic_ms()
        third = self.end_times[ENDS - 1] if len(self.end_times) >= ENDS else float("inf")
        if router.in_touch() and now > third + CONTACT_MS:
            self.sends.append(now)
        if held is not None:
            held.sent = True
        run = router.guard.current_run(f"i-{self.numbers}")
        due = now + self.source.choice([20, 20, 100, 400])
        self.under_way.append((due, router, router.runs, run, held))

    def end(self, router, runs, run, held):
        """End a replica; its router sees that unless it ends at the same moment.

        What nobody saw who could tell the others is ``unseen``: no router can know of it.
        """
        self.ended.add(run)
        self.end_times.append(self.clock.monotonic_ms())
        if router.runs != runs:
            self.unseen += 1
            return
        if self.source.random() < self.deadly:
            self.unseen += 1
            self.die(router)
            return
        self.unseen += router.way.cut
        if self.source.random() < self.herd:
            self.herd_at.append(self.clock.monotonic_ms() + self.source.uniform(1, 50))
        router.guard.record_lost(CONTENT, run, run, held)
        if held is not None:
            router.guard.end_trial(held, answered=False)
        # Its router may end before it writes what is to be written.
        if self.source.random() < 0.2:
            self.die(router)

    def die(self, router):
        router.begin()

    def all_die(self):
        for router in self.routers:
            router.begin()

    def cut(self):
        router = self.source.choice(self.routers)
        router.way.cut = not router.way.cut
        router.calm_ms = self.clock.monotonic_ms()
        if not router.way.cut:
            self.hear_again(router)

    def hear_again(self, router):
        """Have a router and the others hear each other, after a cut."""
        if notice := router.guard.recent_crashes():
            self.tell(router, notice)
        now = self.clock.monotonic_ms()
        for each in self.routers:
            if each is not router and not each.way.cut and (notice := each.guard.recent_crashes()):
                self.messages.append((now + 10, router, router.runs, notice))

    def suspend(self):
        """Have all time stand still for one router: what it was about to hear comes later."""
        router = self.source.choice(self.routers)
        later = self.source.uniform(1_000, 4_000)
        self.messages = [
            (due + later if each is router else due, each, runs, notice)
            for due, each, runs, notice in self.messages
        ]
        router.calm_ms = self.clock.monotonic_ms() + later

    def suffer(self):
        """Have something befall the routers, now and then."""
        troubles = [self.cut, self.suspend, self.all_die]
        if self.source.random() < len(troubles) / (len(troubles) + self.calm):
            self.source.choice(troubles)()

    def advance(self, duration_ms):
        last = self.clock.monotonic_ms() + duration_ms
        while True:
            due = [(each[0], 0, each) for each in self.messages]
            due += [(each[0], 1, each) for each in self.under_way]
            due += [(at, 2, None) for at in self.herd_at]
            due = [each for each in due if each[0] <= last]
            if not due:
                break
            at, kind, event = min(due, key=lambda each: each[:2])
            self.clock.advance(max(0.0, at - self.clock.monotonic_ms()))
            if kind == 2:
                self.herd_at.remove(at)
                self.all_die()
            elif kind == 1:
                self.under_way.remove(event)
                self.end(*event[1:])
            else:
                self.messages.remove(event)
                _, router, runs, notice = event
                if router.runs == runs and not router.way.cut:
                    router.guard.handle_notice(notice)
        self.clock.advance(last - self.clock.monotonic_ms())
        for router in self.routers:
            if not router.way.cut:
                router.guard.records.apply_pending_changes()


@given("{routers:d} routers that share the records of a store")
def share_records(context, routers):
    context.count = routers


@then("no order of sends, ends, deaths, cuts, lost messages and suspensions exceeds the bound")
def bound_holds(context):
    few = context.count < 100

    @given_any(st.integers(0, 2**32))
    @settings(max_examples=60 if few else 4)
    def check(seed):
        storm = Storm(context.count, seed)
        for _ in range(120):
            storm.come()
            storm.advance(storm.source.choice([100, 250, 600]))
            storm.suffer()
        assert len(storm.end_times) >= ENDS
        assert len(storm.sends) <= ALLOWED + storm.unseen, (storm.sends, storm.end_times)

    check()


def meet_ends(context, ends):
    """Have one router see replicas end under a request, and the others hear of it."""
    storm = context.storm = Storm(context.count, 1)
    for number in range(ends):
        run = f"i-{number}"
        storm.ended.add(run)
        storm.routers[0].guard.record_lost(CONTENT, run, run, None)
    storm.advance(100)
    for router in storm.routers:
        router.look()
    return storm


def verdicts(storm):
    """Return what all routers would do with the request now, and count them."""
    found = Counter()
    for router in storm.routers:
        router.look()
        try:
            held = router.guard.admit(CONTENT, None)
        except AspengateError as error:
            found[error.kind] += 1
        else:
            found["sent" if held is None else "tried"] += 1
            if held is not None:
                storm.held = held
                storm.trier = router
    return found


def answer(storm, held, trier):
    """Have a try be answered in whole."""
    held.sent = True
    trier.guard.record_answered(CONTENT)
    trier.guard.end_trial(held, answered=True)
    storm.advance(100)


@when("a request met {ends:d} ends by chance, and its try is answered in whole")
def answered_try(context, ends):
    storm = meet_ends(context, ends)
    found = verdicts(storm)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    answer(storm, storm.held, storm.trier)


@then("no router holds anything against it, and the store has no record")
def nothing_held(context):
    assert not context.storm.records.items
    assert verdicts(context.storm) == {"sent": context.count}


def others_end(storm, router, count):
    """Have a router see replicas end under another request."""
    for number in range(count):
        run = f"other-{number}"
        storm.ended.add(run)
        router.guard.record_lost("another request", run, run, None)


def try_again(storm, *, ends, beside=lambda: None):
    """Have the try that was just admitted be sent, and show nothing or end its replica.

    ``beside`` happens right after its end.
    """
    storm.held.sent = True
    if ends:
        storm.numbers += 1
        run = f"tried-{storm.numbers}"
        storm.ended.add(run)
        storm.trier.guard.record_lost(CONTENT, run, run, storm.held)
    storm.trier.guard.end_trial(storm.held, answered=False)
    beside()
    storm.advance(100)


def tries_within(storm, duration_ms, *, ends):
    """Have the caller come each second; return at which second it was tried."""
    found = []
    for second in range(int(duration_ms / 1_000)):
        if verdicts(storm)["tried"]:
            found.append(second)
            try_again(storm, ends=ends)
        storm.advance(1_000)
    return found


@when("a request met two ends, and its caller leaves during each try")
def caller_leaves(context):
    context.tried = tries_within(meet_ends(context, 2), 610_000, ends=False)


@then("it is tried three times and then refused for ten minutes")
def tried_thrice(context):
    assert len(context.tried) == 4, context.tried
    assert context.tried[2] < 10 and context.tried[3] >= 600, context.tried


@when("a request met two ends, and each of its tries ends a replica")
def tries_end(context):
    context.tried = tries_within(meet_ends(context, 2), 2_000_000, ends=True)


@then("it is tried at once, after a minute and after ten more, and never again")
def tried_less(context):
    assert len(context.tried) == 3, context.tried
    assert context.tried[0] == 0 and context.tried[1] >= 55 and context.tried[2] >= 600
    assert verdicts(context.storm) == {ErrorKind.QUARANTINED: context.count}


@when("a request met two ends, and its replica ends during its try, as three others do")
def ends_with_others(context):
    storm = meet_ends(context, 2)
    assert verdicts(storm)["tried"] == 1
    other = next(each for each in storm.routers if each is not storm.trier)
    try_again(storm, ends=True, beside=lambda: others_end(storm, other, 3))


@then("it is tried again a second later")
def tried_soon(context):
    storm = context.storm
    assert verdicts(storm) == {ErrorKind.SUSPECTED: context.count}
    storm.advance(1_000)
    assert verdicts(storm) == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}


@when("a request is refused, and its record is removed")
def removed_record(context):
    storm = meet_ends(context, 2)
    assert verdicts(storm)["tried"] == 1
    try_again(storm, ends=True)
    assert verdicts(storm) == {ErrorKind.QUARANTINED: context.count}
    assert list(storm.records.items) == [RECORD_PREFIX + CONTENT]
    storm.records.remove(RECORD_PREFIX + CONTENT)


@then("every router sends it again")
def sent_again(context):
    assert verdicts(context.storm) == {"sent": context.count}


@when("a request met two ends, and no router reaches the store")
def no_store(context):
    storm = meet_ends(context, 2)
    for router in storm.routers:
        router.way.cut = True
    found = verdicts(storm)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    storm.held.sent = True


@then("one of them tries it once, and it is sent again after a whole answer")
def one_try(context):
    storm = context.storm
    assert verdicts(storm) == {ErrorKind.SUSPECTED: context.count}
    # The way to the store is cut, and not the one to the other routers.
    for router in storm.routers:
        router.way.cut = False
    answer(storm, storm.held, storm.trier)
    assert verdicts(storm) == {"sent": context.count}


@when("a request met two ends, and its record holds what nobody can read")
def spoilt_record(context):
    storm = meet_ends(context, 2)
    key = RECORD_PREFIX + CONTENT
    storm.records.revision += 1
    storm.records.items[key] = StoreItem(key, b"[[[", storm.records.revision)


@then("one router tries it, and the record can be read again")
def replaced_record(context):
    found = verdicts(context.storm)
    assert found == {"tried": 1, ErrorKind.SUSPECTED: context.count - 1}, found
    item = context.storm.records.items[RECORD_PREFIX + CONTENT]
    assert decode_record(item.value, item.key).tries == 1


@given("any bytes and any changed record in the store")
def any_records(context):
    good = encode_record(CrashRecord(("i-1", "i-2"), 1, "front-1.aa", 17))
    changed = st.builds(
        lambda at, byte: good[:at] + bytes([byte]) + good[at + 1 :],
        st.integers(0, len(good) - 1),
        st.integers(0, 255),
    )
    deep = st.builds(lambda depth: b"[" * depth, st.integers(0, 300_000))
    json = st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=3),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(["ends", "tries", "trying", "next_try_ms"]), inner, max_size=4
            )
        ),
    ).map(msgspec.json.encode)
    context.values = st.binary(max_size=50) | changed | deep | json


@then("reading them gives a record or says why not")
def read_any(context):
    @given_any(context.values)
    def check(value):
        try:
            record = decode_record(value, "a key")
        except AspengateError as error:
            assert error.kind is ErrorKind.BAD_REQUEST
        else:
            assert isinstance(record, CrashRecord)

    check()
