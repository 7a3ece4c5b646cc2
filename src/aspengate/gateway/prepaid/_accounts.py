"""The prepaid tokens of all accounts, as requests and other routers use them."""

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import Executor, ThreadPoolExecutor, wait

from aspengate.allowances import AllowanceSizing, Demand, Purse, WitnessBook
from aspengate.clock import Clock
from aspengate.configuration import ClientAccount
from aspengate.connections import Waiter
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway.prepaid._account import Account, LimitSource, Ticket
from aspengate.gateway.prepaid._witness import SessionList, Witness
from aspengate.gateway.prepaid._writer import DocumentWriter
from aspengate.store import KeyValueStore, StoreItem
from aspengate.telemetry import Counters, log_change

_WRITERS = 8
_CALLER_CHECK_S = 0.05
_PATIENCE_MS = 40.0
_CLOSE_MS = 500.0
_LONGEST_WAIT_MS = 600.0
_CEILING_WAIT_MS = 30.0
_DRAW_WAIT_MS = 100.0
_SURPLUS_FACTOR = 2.0
_IDLE_MS = 20_000.0
_SILENT_MS = 10_000.0


class TokenAccounts:
    """The purses of all accounts that this router spends from.

    ``limit_of`` finds an account's limit by name; ``on_conflict`` is handed the items that a
    write found changed; ``borrow`` asks other routers for tokens of an account that they hold
    unused, and returns how many it got. ``witness`` is told this session's ceilings, and
    ``book`` holds those of the sessions that this router witnesses, and ``sessions`` tells which
    of them run. ``executor`` runs the calls to the store.
    """

    def __init__(
        self,
        *,
        session: str,
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        limit_of: Callable[[str], LimitSource | None],
        on_conflict: Callable[[Mapping[str, StoreItem]], None],
        borrow: Callable[[str, int], int],
        witness: Witness,
        sessions: SessionList,
        sizing: AllowanceSizing | None = None,
        executor: Executor | None = None,
    ) -> None:
        self.session = session
        self.book = WitnessBook()
        self.sizing = sizing or AllowanceSizing()
        self.witness = witness
        self.sessions = sessions
        self.writer = DocumentWriter(
            session=session,
            store=store,
            clock=clock,
            counters=counters,
            limit_of=limit_of,
            on_conflict=on_conflict,
            sizing=self.sizing,
            witness=witness,
            is_dead=self._is_dead,
        )
        self._clock = clock
        self._counters = counters
        self._limit_of = limit_of
        self._borrow = borrow
        self._accounts: dict[str, Account] = {}
        self._lock = threading.Lock()
        self._writers = executor or ThreadPoolExecutor(_WRITERS, thread_name_prefix="allowances")

    @property
    def routers(self) -> int:
        """How many routers may hold tokens."""
        return self.writer.routers

    @routers.setter
    def routers(self, count: int) -> None:
        self.writer.routers = count

    def reserve(self, client: ClientAccount, amount: int, waiter: Waiter) -> None:
        """Set ``amount`` tokens aside; raises BUDGET_EXHAUSTED or BUDGET_UNAVAILABLE.

        Where none are at hand, the witness or the store is asked for more, and other routers
        where those refuse or do not answer at once.
        """
        account = self._account(client.name)
        now = self._clock.monotonic_ms()
        with account.changed:
            account.used_ms = now
            if not account.waiting and account.purse.reserve(amount, now):
                self._look_ahead(account, now)
                return
            if now < account.exhausted_until_ms and amount >= account.exhausted_amount:
                raise account.exhausted()
            ticket = Ticket(amount)
            account.waiting.append(ticket)
            patience_ms = self._ask_for_more(account, now)
            self._await(account, ticket, waiter, now + patience_ms)
        if not ticket.granted and self._borrowed(account, ticket):
            return
        with account.changed:
            if not ticket.decided and not self.writer.seems_down(now):
                self._schedule(account)
                self._await(account, ticket, waiter, now + _LONGEST_WAIT_MS)
            account.give_up(ticket)
        if ticket.granted:
            return
        if ticket.refused is ErrorKind.BUDGET_EXHAUSTED:
            raise account.exhausted()
        raise AspengateError(
            ErrorKind.BUDGET_UNAVAILABLE, "the store does not grant now", where=client.name
        )

    def settle(self, client: ClientAccount, reserved: int, used: int) -> None:
        """Replace a reservation by what was used."""
        account = self._account(client.name)
        with account.changed:
            account.purse.settle(reserved, used)

    def lend(self, name: str, amount: int) -> int:
        """Give another router up to ``amount`` of an account's unused tokens; return how many.

        Where this router holds too few, it asks the store for them, which the other one may
        not reach.
        """
        account = self._account(name)
        with account.changed:
            wanted = min(amount, max(0, account.purse.held))
            if wanted > account.purse.free:
                self._raise_ceiling(account, wanted)
                account.changed.wait_for(
                    lambda: account.purse.free >= wanted, _CEILING_WAIT_MS / 1_000
                )
            given = account.purse.lend(amount)
            if given < amount:
                given += self._drawn(account, amount - given)
        if given:
            self._counters.count("allowances.lent")
            log_change("allowance.lent", account=name, amount=given)
        return given

    def close_witnessed(self, session: str) -> dict[str, int] | None:
        """Accept no more of a session; return its ceilings by account, None if not known."""
        return self.book.close(session)

    def take_accepted(self, witness: str, ceilings: Mapping[str, int]) -> None:
        """Take ceilings that the session's witness has accepted."""
        now = self._clock.monotonic_ms()
        for name, ceiling in ceilings.items():
            account = self._account(name)
            with account.changed:
                if self.writer.raise_ceiling(account, witness, ceiling):
                    account.grant_waiting(now)

    def take_lost_witness(self) -> None:
        """Have requests that wait for a ceiling wait for the store instead."""
        for account in self._all():
            with account.changed:
                if account.waiting:
                    self._schedule(account)

    def limits_changed(self) -> None:
        """Look again at accounts after a new configuration."""
        for account in self._all():
            with account.changed:
                account.exhausted_until_ms = 0.0
                self._schedule(account)

    def gauges(self) -> dict[str, float]:
        """Return what all purses together hold, in tokens."""
        purses = [account.purse for account in self._all()]
        return {
            "tokens_granted": sum(purse.granted for purse in purses),
            "tokens_used": sum(purse.used for purse in purses),
            "tokens_reserved": sum(purse.reserved for purse in purses),
            "tokens_borrowed": sum(purse.borrowed for purse in purses),
            "tokens_lent": sum(purse.lent for purse in purses),
        }

    def tick(self) -> None:
        """Give back what is no longer needed; call it some times in ten seconds."""
        now = self._clock.monotonic_ms()
        for account in self._all():
            with account.changed:
                if self._surplus(account, now) > 0:
                    self._schedule(account)
        for session, names in self.book.silent(now - _SILENT_MS).items():
            if not self.sessions.is_alive(session):
                self._close_silent(session, names)

    def close(self, timeout_ms: float = _CLOSE_MS) -> None:
        """Settle every account exactly, as far as the store can be reached in time."""
        jobs = [self._writers.submit(self.writer.settle_for_good, each) for each in self._all()]
        wait(jobs, timeout=timeout_ms / 1_000)
        self._writers.shutdown(wait=False, cancel_futures=True)

    def _account(self, name: str) -> Account:
        with self._lock:
            account = self._accounts.get(name)
            if account is None:
                account = Account(name, Purse(self.sizing))
                self._accounts[name] = account
            return account

    def _all(self) -> list[Account]:
        with self._lock:
            return list(self._accounts.values())

    def _await(self, account: Account, ticket: Ticket, waiter: Waiter, until_ms: float) -> None:
        """Wait for a decision on a ticket; call it with the account's lock held."""
        last = min(until_ms, waiter.deadline_ms)
        while not ticket.decided:
            remaining = last - self._clock.monotonic_ms()
            if remaining <= 0:
                return
            account.changed.wait(min(_CALLER_CHECK_S, remaining / 1_000))
            if not ticket.decided:
                try:
                    waiter.check_caller()
                except AspengateError:
                    account.give_up(ticket)
                    raise

    def _borrowed(self, account: Account, ticket: Ticket) -> bool:
        """Return whether other routers had the tokens for a request; keep what they gave."""
        with account.changed:
            missing = ticket.amount - max(0, account.purse.free)
        got = self._borrow(account.name, max(0, missing))
        now = self._clock.monotonic_ms()
        with account.changed:
            if got:
                account.purse.borrow(got)
                self._counters.count("allowances.borrowed")
                log_change("allowance.borrowed", account=account.name, amount=got)
            if ticket.granted:
                return True
            if account.purse.reserve(ticket.amount, now):
                ticket.granted = True
                account.give_up(ticket)
            return ticket.granted

    def _drawn(self, account: Account, amount: int) -> int:
        """Return the tokens drawn from the store to be lent; call it with the lock held."""
        now = self._clock.monotonic_ms()
        if self.writer.seems_down(now) or now < account.exhausted_until_ms:
            return 0
        ticket = Ticket(amount)
        account.waiting.append(ticket)
        self._schedule(account)
        account.changed.wait_for(lambda: ticket.decided, _DRAW_WAIT_MS / 1_000)
        account.give_up(ticket)
        if not ticket.granted:
            return 0
        account.purse.lend_reserved(amount)
        return amount

    def _ask_for_more(self, account: Account, now: float) -> float:
        """Have a higher ceiling accepted, or more granted; call it with the lock held.

        Return how long to wait, in milliseconds, before other routers are asked.
        """
        if account.purse.held >= account.waited_for and account.purse.ceiling is not None:
            self._raise_ceiling(account, account.waited_for)
            return _PATIENCE_MS
        self._schedule(account)
        return 0.0 if self.writer.seems_down(now) else _PATIENCE_MS

    def _raise_ceiling(self, account: Account, wanted: int) -> None:
        demand = account.purse.demand(0, self._clock.monotonic_ms())
        ceiling = account.purse.committed + wanted + self.sizing.ahead(demand)
        self.witness.want(account.name, min(ceiling, account.purse.granted))

    def _look_ahead(self, account: Account, now: float) -> None:
        """Get more before it is needed; call it with the account's lock held."""
        purse = account.purse
        if account.document is None:
            return
        demand = purse.demand(0, now)
        if purse.free < purse.held and purse.free < self.sizing.ahead(demand) / 2:
            self._raise_ceiling(account, 0)
        if not account.working and self._is_low(account, demand):
            self._schedule(account)

    def _is_low(self, account: Account, demand: Demand) -> bool:
        source = self._limit_of(account.name)
        if source is None or account.document is None:
            return False
        wanted = self.sizing.reserve(demand, self.writer.holding(account, source.limit, 0))
        return account.purse.held < wanted * self.sizing.refill_part

    def _surplus(self, account: Account, now: float) -> float:
        if account.document is None or account.purse.held <= 0:
            return 0.0
        if now - account.used_ms > _IDLE_MS:
            return float(account.purse.held)
        demand = account.purse.demand(0, now)
        source = self._limit_of(account.name)
        limit = source.limit if source else 0
        holding = self.writer.holding(account, limit, account.purse.held)
        return account.purse.held - self.sizing.reserve(demand, holding) * _SURPLUS_FACTOR

    def _is_dead(self, session: str, witness: str) -> bool:
        """Return whether a session, which ``witness`` stands for, runs no more or is closed."""
        if self.sessions.is_superseded(session):
            return True
        return witness == self.session and self.book.is_closed(session)

    def _close_silent(self, session: str, names: tuple[str, ...]) -> None:
        """Close a session that this router witnesses and that seems gone for good."""
        self.book.close(session)
        log_change("witness.closed_silent", session=session, accounts=len(names))
        for name in names:
            account = self._account(name)
            with account.changed:
                account.document = None
                self._schedule(account)

    def _schedule(self, account: Account) -> None:
        """Have a writer look after the account; call it with the account's lock held."""
        if account.working:
            return
        account.working = True
        self._writers.submit(self._work, account)

    def _work(self, account: Account) -> None:
        """Write the account's document until nothing is left to do."""
        try:
            self.writer.work(account)
        finally:
            with account.changed:
                account.working = False
                if account.waiting:
                    self._schedule(account)
