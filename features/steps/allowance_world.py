"""A fleet of token accounts with an in-memory store that loses and delays responses."""

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
RESTORE_PERIOD_MS = 5_000.0


class InlineExecutor(Executor):
    """Runs submitted functions immediately on the calling thread."""

    def shutdown(self, *_, **__):
        """Do nothing, so that functions can still be submitted."""

    def submit(self, function, /, *arguments, **named):
        future = Future()
        future.set_result(function(*arguments, **named))
        return future


class Waiter:
    """Waits for no caller; its deadline has passed, so that no wait blocks."""

    def __init__(self, clock):
        self.clock = clock
        self.deadline_ms = clock.monotonic_ms()

    def check_caller(self):
        pass


class DelayingStore:
    """Keeps items; writes may be lost, or be applied later if their conditions still hold."""

    def __init__(self, limit):
        self.items = {LIMIT_KEY: StoreItem(LIMIT_KEY, b"%d" % limit, 1)}
        self.revision = 1
        self.era = StoreEra()
        self.era.record(1)
        self.last_answer_ms = 0.0
        self.down = False
        self.on_written = lambda: None
        self.next_write = "done"
        self.delayed = []

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

    def restore_from_copy(self, earlier):
        """Replace the contents by a copy's, in a new history; the limit is written again."""
        limit = self.limit
        self.items, self.revision = dict(earlier[0]), earlier[1]
        self.delayed.clear()
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
            self.delayed.append((dict(conditions), puts))
        if how in ("late", "never"):
            raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "lost")
        revision = self._apply(conditions, puts)
        written, self.on_written = self.on_written, lambda: None
        written()
        if how == "lost":
            raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "lost")
        return revision

    def apply_delayed_write(self):
        if self.delayed:
            try:
                self._apply(*self.delayed.pop(0))
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
    """Uses the next router as the witness; notices and replies may be lost."""

    def __init__(self, world, number, session):
        self.world = world
        self.number = number
        self.session = session
        self.witness_session = None
        self.known = {}
        self.next = "delivered"

    def request_ceiling(self, account, ceiling):
        """Send a ceiling immediately; the reply may be lost."""
        if self.witness_session is None:
            self.witness_session = self.world.session_of(self.number + 1)
            self.known = {}
        how, self.next = self.next, "delivered"
        is_current = self.world.session_of(self.number + 1) == self.witness_session
        if how == "lost":
            return
        if self.world.is_cut(self.number, self.number + 1):
            return
        registry = self.world.accounts[(self.number + 1) % len(self.world.accounts)].ceilings
        accepted = is_current and registry.accept(self.session, {account: ceiling}, self._now())
        if how == "answer lost":
            return
        if not accepted:
            self.witness_session = None
            return
        self.known[account] = max(ceiling, self.known.get(account, ceiling))
        self.world.accounts[self.number].handle_accepted_ceilings(
            self.witness_session, {account: ceiling}
        )

    def ensure_ceiling(self, account, ceiling):
        if self.witness_session is None or self.known.get(account, -1) < ceiling:
            self.request_ceiling(account, ceiling)
        if self.witness_session is None or self.known.get(account, -1) < ceiling:
            return "", 0
        return self.witness_session, self.known[account]

    def accepted_ceiling(self, account, witness):
        return self.known.get(account, 0) if witness == self.witness_session else 0

    def close_session(self, session, witness):
        for number, accounts in enumerate(self.world.accounts):
            if self.world.is_cut(self.number, number):
                continue
            if self.world.session_of(number) == witness:
                return accounts.close_witnessed(session)
        return None

    def _now(self):
        return self.world.clock.monotonic_ms()


class WorldLoans:
    """Borrows from the other routers at once; requests, replies and repayments may be lost."""

    def __init__(self, world, number, session):
        self.world = world
        self.number = number
        self.session = session
        self.count = 0
        self.next = "delivered"

    def is_primary(self, account):
        return self.number == self.world.primary_of(self.number)

    def borrow_from_primary(self, account, needed, extra):
        if self.is_primary(account):
            return False
        self._ask(self.world.primary_of(self.number), account, needed, extra)
        return True

    def borrow_from_successor(self, account, needed):
        return False

    def borrow_from_others(self, account, needed):
        for number in range(len(self.world.accounts)):
            if number != self.number:
                self._ask(number, account, needed, 0)
        return True

    def borrow_from_holders(self, account, needed, sessions):
        listed = set(sessions) - {self.session}
        found = [
            number
            for number, each in enumerate(self.world.accounts)
            if self.world.session_of(number) in listed
        ]
        for number in found:
            self._ask(number, account, needed, 0, held_only=True)
        if found:
            self.world.accounts[self.number].handle_lenders_done(account)
        return bool(found)

    def repay(self, account, amount):
        if self.is_primary(account):
            return False
        self.count += 1
        lender = self.world.primary_of(self.number)
        payment = Repayment(
            self.count, self.session, self.world.session_of(lender), account, amount
        )
        how, self.next = self.next, "delivered"
        if how != "lost" and not self.world.is_cut(self.number, lender):
            self.world.repayments.append((lender, payment))
            self.world.deliver_repayment(lender, payment)
        return True

    def _ask(self, lender, account, needed, extra, held_only=False):
        self.count += 1
        request = LoanRequest(self.count, self.session, account, needed, extra, held_only)
        how, self.next = self.next, "delivered"
        if how == "lost" or self.world.is_cut(self.number, lender):
            return

        def answer(reply):
            mine = self.world.accounts[self.number]
            if how != "answer lost" and mine.session == self.session:
                mine.handle_loan_reply(reply)

        self.world.requests.append((lender, request))
        self.world.accounts[lender].handle_loan_request(request, answer)
        self.world.sweep(lender)


class World:
    """Runs some routers and tracks the tokens that their requests really used."""

    def __init__(self, limit, routers=3, **rules):
        self.clock = ManualClock()
        self.store = DelayingStore(limit)
        self.highest_limit = limit
        self.used = 0
        self.primary = 0
        self.requests = []
        self.repayments = []
        self.loans = [None] * routers
        self.rules = rules
        self.restarts = 0
        self.accounts = []
        self.sessions = [""] * routers
        self.witnesses = [None] * routers
        self.known_limits = []
        self.running = []
        for number in range(routers):
            self.accounts.append(None)
            self.known_limits.append((limit, 1))
            self.running.append([])
            self.restart(number)

    def restart(self, number):
        """Kill a router and start a new session; its running requests count with their maximum."""
        self.used += sum(self.running[number])
        self.running[number] = []
        self.restarts += 1
        session = f"router-{number}.{self.restarts}"
        self.sessions[number] = session
        self.witnesses[number] = WorldWitness(self, number, session)
        self.loans[number] = WorldLoans(self, number, session)
        self.known_limits[number] = (self.store.limit, self.store.limit_revision)
        self.accounts[number] = TokenAccounts(
            session=session,
            store=self.store_of(number),
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
        parts = (accounts.lender, accounts.writer, accounts.ceilings, accounts)
        for rule, broken in self.rules.items():
            part = next(each for each in parts if hasattr(each, rule))
            setattr(part, rule, broken.__get__(part))

    def primary_of(self, number):
        """Return the router that draws for a router."""
        return self.primary

    def store_of(self, number):
        """Return the store as a router reaches it."""
        return self.store

    def is_cut(self, one, other):
        """Return whether no message passes between two routers."""
        return False

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
        """Make sessions with an odd number write deferred changes now, not with their ticks."""
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

    def close_unresponsive(self, number):
        """Make the witness of a router that still runs consider it gone."""
        session = self.session_of(number)
        self.accounts[(number + 1) % len(self.accounts)]._close_unresponsive(session, ("board",))

    def restore_from_copy(self, earlier, order):
        """Restore the store from a copy, and notify the routers in the given order."""
        self.store.down = False
        self.store.next_write = "done"
        self.store.restore_from_copy(earlier)
        for number in order:
            self.accounts[number].restore(store_restored=True)
        self.clock.advance(RESTORE_PERIOD_MS)

    def deliver_repayment(self, lender, payment):
        """Deliver a repayment if its lender's session is still the current one."""
        if self.session_of(lender) == payment.lender:
            self.accounts[lender].handle_repayment(payment)

    def repeat_messages(self):
        """Deliver the most recent messages once more."""
        for lender, request in self.requests[-3:]:
            self.accounts[lender].handle_loan_request(request, lambda _: None)
        for lender, payment in self.repayments[-3:]:
            self.deliver_repayment(lender, payment)

    def set_limit(self, limit):
        self.highest_limit = max(self.highest_limit, limit)
        self.store.set_limit(limit)

    def receive_limit(self, number):
        """Make a router receive the current limit."""
        self.known_limits[number] = (self.store.limit, self.store.limit_revision)
        self.accounts[number].limits_changed()

    @property
    def max_used(self):
        return self.used + sum(sum(amounts) for amounts in self.running)

    @property
    def is_undercounted(self):
        item = self.store.items.get(KEY)
        return item is not None and decode_document(item.value).is_undercounted

    def _limit_of(self, number):
        known = self.known_limits[number]
        return LimitSource(*known) if known is not None else None


class ReachedStore:
    """The store of a region, which fails while ``is_cut`` returns true."""

    def __init__(self, store, is_cut):
        self._store = store
        self._is_cut = is_cut

    def __getattr__(self, name):
        return getattr(self._store, name)

    def _check(self):
        if self._is_cut():
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, "cut off")

    def get(self, key):
        self._check()
        return self._store.get(key)

    def transact(self, conditions, puts):
        self._check()
        return self._store.transact(conditions, puts)


class RegionWorld(World):
    """Two regions with two routers each, of which the first one draws for its region.

    While ``is_partitioned``, no message passes between the regions. The regions in
    ``without_store`` do not reach the store. Routers witness each other in a ring, so that two of
    the four witnesses are in the other region.
    """

    def __init__(self, limit, **rules):
        self.is_partitioned = False
        self.without_store = set()
        super().__init__(limit, routers=4, **rules)

    def region_of(self, number):
        return number % 4 // 2

    def primary_of(self, number):
        return 2 * self.region_of(number)

    def store_of(self, number):
        return ReachedStore(self.store, lambda: self.region_of(number) in self.without_store)

    def is_cut(self, one, other):
        return self.is_partitioned and self.region_of(one) != self.region_of(other)
