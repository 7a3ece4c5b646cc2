"""Routers' token accounts against a store in memory that loses and delays answers."""

from concurrent.futures import Executor, Future

from aspengate.allowances import AllowanceSizing, decode_document
from aspengate.clock import ManualClock
from aspengate.configuration import ClientAccount
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway.prepaid import ALLOWANCE_PREFIX, LimitSource, TokenAccounts
from aspengate.peers import LoanRequest, Repayment
from aspengate.store import ConditionFailedError, StoreEra, StoreItem, make_revision, number_of
from aspengate.telemetry import NullCounters

ACCOUNT = ClientAccount("board", ("key",), 0, 0)
KEY = ALLOWANCE_PREFIX + "board"
LIMIT_KEY = "limits"
SETTLE_MS = 5_000.0


class InlineExecutor(Executor):
    """Runs what is submitted at once, on the same thread."""

    def shutdown(self, *_, **__):
        """Go on as before."""

    def submit(self, function, /, *arguments, **named):
        future = Future()
        future.set_result(function(*arguments, **named))
        return future


class Waiter:
    """Waits on behalf of nobody; a wait that would block ends the request's time."""

    def __init__(self, clock):
        self.clock = clock
        self.deadline_ms = clock.monotonic_ms()

    def check_caller(self):
        pass


class DelayingStore:
    """Keeps items; writes may be lost, or be done later while their conditions hold."""

    def __init__(self, limit):
        self.items = {LIMIT_KEY: StoreItem(LIMIT_KEY, b"%d" % limit, 1)}
        self.revision = 1
        self.era = StoreEra()
        self.era.record(1)
        self.last_answer_ms = 0.0
        self.down = False
        self.on_written = lambda: None
        self.next_write = "done"
        self.late = []

    @property
    def limit(self):
        return int(self.items[LIMIT_KEY].value)

    def set_limit(self, limit):
        self.revision += 1
        self.items[LIMIT_KEY] = StoreItem(LIMIT_KEY, b"%d" % limit, self.revision)

    def get(self, key):
        self._check()
        return self._stamped(key)

    def copy(self):
        return dict(self.items), self.revision

    def come_back(self, earlier):
        """Hold what a copy holds, in a new history; the operator writes the limit again."""
        limit = self.limit
        self.items, self.revision = dict(earlier[0]), earlier[1]
        self.late.clear()
        self.era.record(self.era.current + 1)
        self.set_limit(limit)

    def _stamped(self, key):
        item = self.items.get(key)
        if item is None:
            return None
        return StoreItem(key, item.value, make_revision(self.era.current, number_of(item.revision)))

    @property
    def limit_revision(self):
        return self._stamped(LIMIT_KEY).revision

    def transact(self, conditions, puts):
        self._check()
        how, self.next_write = self.next_write, "done"
        if how == "late, then down":
            how, self.down = "late", True
        if how == "late":
            self.late.append((dict(conditions), puts))
        if how in ("late", "never"):
            raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "lost")
        revision = self._apply(conditions, puts)
        written, self.on_written = self.on_written, lambda: None
        written()
        if how == "lost":
            raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "lost")
        return revision

    def do_late_write(self):
        if self.late:
            try:
                self._apply(*self.late.pop(0))
            except ConditionFailedError:
                return False
            return True
        return None

    def _apply(self, conditions, puts):
        self.era.check_conditions(conditions.values())
        for key, revision in conditions.items():
            item = self.items.get(key)
            if (item.revision if item else 0) != number_of(revision):
                present = {k: self._stamped(k) for k in conditions if k in self.items}
                raise ConditionFailedError(present)
        self.revision += 1
        for put in puts:
            self.items[put.key] = StoreItem(put.key, put.value, self.revision)
        return make_revision(self.era.current, self.revision)

    def _check(self):
        if self.down:
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, "down")


class WorldWitness:
    """Has the next router witness; what is told or answered may get lost."""

    def __init__(self, world, number, session):
        self.world = world
        self.number = number
        self.session = session
        self.bond = None
        self.known = {}
        self.next = "told"

    def want(self, account, ceiling):
        """Tell a ceiling at once; the session hears whether it was accepted, or does not."""
        if self.bond is None:
            self.bond = self.world.session_of(self.number + 1)
            self.known = {}
        how, self.next = self.next, "told"
        lives = self.world.session_of(self.number + 1) == self.bond
        if how == "lost":
            return
        book = self.world.accounts[(self.number + 1) % len(self.world.accounts)].book
        accepted = lives and book.accept(self.session, {account: ceiling}, self._now())
        if how == "answer lost":
            return
        if not accepted:
            self.bond = None
            return
        self.known[account] = max(ceiling, self.known.get(account, ceiling))
        self.world.accounts[self.number].take_accepted(self.bond, {account: ceiling})

    def ensure(self, account, ceiling):
        if self.bond is None or self.known.get(account, -1) < ceiling:
            self.want(account, ceiling)
        if self.bond is None or self.known.get(account, -1) < ceiling:
            return "", 0
        return self.bond, self.known[account]

    def accepted(self, account, witness):
        return self.known.get(account, 0) if witness == self.bond else 0

    def close_session(self, session, witness):
        for number, accounts in enumerate(self.world.accounts):
            if self.world.session_of(number) == witness:
                return accounts.close_witnessed(session)
        return None

    def _now(self):
        return self.world.clock.monotonic_ms()


class WorldLoans:
    """Borrows from the others at once; requests, answers and repayments may get lost."""

    def __init__(self, world, number, session):
        self.world = world
        self.number = number
        self.session = session
        self.count = 0
        self.next = "told"

    def is_primary(self, account):
        return self.number == self.world.primary

    def ask(self, account, needed, extra):
        if self.is_primary(account):
            return False
        self._ask(self.world.primary, account, needed, extra)
        return True

    def ask_next(self, account, needed):
        return False

    def ask_others(self, account, needed):
        for number in range(len(self.world.accounts)):
            if number != self.number:
                self._ask(number, account, needed, 0)
        return True

    def ask_holders(self, account, needed, sessions):
        listed = set(sessions) - {self.session}
        found = [
            number
            for number, each in enumerate(self.world.accounts)
            if self.world.session_of(number) in listed
        ]
        for number in found:
            self._ask(number, account, needed, 0, held_only=True)
        if found:
            self.world.accounts[self.number].take_others_done(account)
        return bool(found)

    def repay(self, account, amount):
        if self.is_primary(account):
            return False
        self.count += 1
        lender = self.world.primary
        payment = Repayment(
            self.count, self.session, self.world.session_of(lender), account, amount
        )
        how, self.next = self.next, "told"
        if how != "lost":
            self.world.repayments.append((lender, payment))
            self.world.pay(lender, payment)
        return True

    def _ask(self, lender, account, needed, extra, held_only=False):
        self.count += 1
        request = LoanRequest(self.count, self.session, account, needed, extra, held_only)
        how, self.next = self.next, "told"
        if how == "lost":
            return

        def answer(reply):
            mine = self.world.accounts[self.number]
            if how != "answer lost" and mine.session == self.session:
                mine.take_loan(reply)

        self.world.requests.append((lender, request))
        self.world.accounts[lender].take_loan_request(request, answer)
        self.world.sweep(lender)


class World:
    """Some routers, what they truly used, and what runs."""

    def __init__(self, limit, routers=3, **rules):
        self.clock = ManualClock()
        self.store = DelayingStore(limit)
        self.highest = limit
        self.used = 0
        self.primary = 0
        self.requests = []
        self.repayments = []
        self.loans = [None] * routers
        self.rules = rules
        self.lives = 0
        self.accounts = []
        self.sessions = [""] * routers
        self.witnesses = [None] * routers
        self.known = []
        self.running = []
        for number in range(routers):
            self.accounts.append(None)
            self.known.append((limit, 1))
            self.running.append([])
            self.restart(number)

    def restart(self, number):
        """A router dies: what ran may have used its most; a new life begins."""
        self.used += sum(self.running[number])
        self.running[number] = []
        self.lives += 1
        session = f"router-{number}.{self.lives}"
        self.sessions[number] = session
        self.witnesses[number] = WorldWitness(self, number, session)
        self.loans[number] = WorldLoans(self, number, session)
        self.known[number] = (self.store.limit, self.store.limit_revision)
        self.accounts[number] = TokenAccounts(
            session=session,
            store=self.store,
            clock=self.clock,
            counters=NullCounters(),
            limit_of=lambda _: self._limit_of(number),
            loans=self.loans[number],
            witness=self.witnesses[number],
            sessions=self,
            reaches_store=lambda: True,
            sizing=AllowanceSizing(),
            executor=InlineExecutor(),
        )
        self.accounts[number].routers = len(self.accounts)
        accounts = self.accounts[number]
        parts = (accounts.lender, accounts.writer, accounts.book, accounts)
        for rule, broken in self.rules.items():
            part = next(each for each in parts if hasattr(each, rule))
            setattr(part, rule, broken.__get__(part))

    def session_of(self, number):
        return self.sessions[number % len(self.sessions)]

    def is_superseded(self, session):
        router, _, _ = session.rpartition(".")
        return self.sessions[int(router.rpartition("-")[2])] != session

    def is_alive(self, session):
        return False

    def has_restored(self, session, era):
        return False

    def sweep(self, number):
        """Sessions of odd number write at once what can wait, the others with their ticks."""
        accounts = self.accounts[number]
        if int(accounts.session.rpartition(".")[2]) % 2:
            accounts.supply.sweep()

    def reserve(self, number, amount):
        try:
            self.accounts[number].reserve(ACCOUNT, amount, Waiter(self.clock))
        except AspengateError:
            return False
        finally:
            self.sweep(number)
        self.running[number].append(amount)
        return True

    def finish(self, number, share):
        if self.running[number]:
            amount = self.running[number].pop()
            used = int(amount * share)
            self.used += used
            self.accounts[number].settle(ACCOUNT, amount, used)

    def close_silent(self, number):
        """The witness of a router that still runs takes it for gone."""
        session = self.session_of(number)
        self.accounts[(number + 1) % len(self.accounts)]._close_silent(session, ("board",))

    def come_back(self, earlier, order):
        """The store comes back from a copy; routers hear of it in some order, soon."""
        self.store.down = False
        self.store.next_write = "done"
        self.store.come_back(earlier)
        for number in order:
            self.accounts[number].restore(has_returned=True)
        self.clock.advance(SETTLE_MS)

    def pay(self, lender, payment):
        """A repayment arrives, at the life of a router that it is meant for."""
        if self.session_of(lender) == payment.lender:
            self.accounts[lender].take_repayment(payment)

    def repeat(self):
        """Messages that arrived once arrive again."""
        for lender, request in self.requests[-3:]:
            self.accounts[lender].take_loan_request(request, lambda _: None)
        for lender, payment in self.repayments[-3:]:
            self.pay(lender, payment)

    def set_limit(self, limit):
        self.highest = max(self.highest, limit)
        self.store.set_limit(limit)

    def hear(self, number):
        """A router hears of the present limit."""
        self.known[number] = (self.store.limit, self.store.limit_revision)
        self.accounts[number].limits_changed()

    @property
    def most_used(self):
        return self.used + sum(sum(amounts) for amounts in self.running)

    @property
    def is_undercounted(self):
        item = self.store.items.get(KEY)
        return item is not None and decode_document(item.value).is_undercounted

    def _limit_of(self, number):
        known = self.known[number]
        return LimitSource(*known) if known is not None else None
