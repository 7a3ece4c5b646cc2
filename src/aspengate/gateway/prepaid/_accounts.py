"""The prepaid tokens of all accounts, as requests and other routers use them."""

import random
import threading
from collections.abc import Callable, Iterable, Mapping
from concurrent.futures import Executor, Future, ThreadPoolExecutor, wait

from aspengate.allowances import AllowanceSizing, CeilingRegistry, TokenBalance
from aspengate.clock import Clock
from aspengate.configuration import ClientAccount
from aspengate.connections import Waiter
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway.prepaid._account import Account, LimitSource, Ticket
from aspengate.gateway.prepaid._lending import Lender
from aspengate.gateway.prepaid._loans import Loans
from aspengate.gateway.prepaid._restorer import DocumentRestorer
from aspengate.gateway.prepaid._supply import Supply
from aspengate.gateway.prepaid._witness import SessionList, Witness
from aspengate.gateway.prepaid._writer import DocumentWriter
from aspengate.peers import Grant, LoanReply, LoanRequest, Repayment
from aspengate.store import KeyValueStore
from aspengate.telemetry import Counters, log_change

# As many documents are written at once as one call takes; the calls wait, not the processor.
_WRITERS = 15
_CALLER_CHECK_S = 0.05
_CLOSE_MS = 500.0
# How long the answer of the router that would draw next is waited for, in ms: it draws from the
# store in some tens of them.
_NEXT_PATIENCE_MS = 150.0
_OTHERS_PATIENCE_MS = 80.0
_LONGEST_WAIT_MS = 600.0
_SILENT_MS = 10_000.0
_EXHAUSTED_MS = 400.0
_UNAVAILABLE_MS = 300.0
_SCARCE_MS = 3_000.0
# How long all routers in touch have to write again what a store that came back from an older copy
# has lost, in ms, beside what their calls are spread over: each hears of it within half a second.
_SETTLE_MS = 1_000.0
# After how long, in ms, others write for routers that were heard lately and do not say that they
# have done so themselves.
_SILENT_RESTORE_MS = 500.0
# How far apart the reads of all routers are then on average, in ms.
_RESTORE_GAP_MS = 1.0


class TokenAccounts:
    """The balances of all accounts that this router spends from.

    ``limit_of`` finds an account's limit by name. ``loans`` asks other routers for tokens.
    ``witness`` is told this session's ceilings, ``ceilings`` holds those of the sessions that this
    router witnesses, and ``sessions`` tells which of them run. ``reaches_store`` tells whether
    the store answers other calls, and ``executor`` runs the calls to it.
    """

    def __init__(
        self,
        *,
        session: str,
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        limit_of: Callable[[str], LimitSource | None],
        loans: Loans,
        witness: Witness,
        sessions: SessionList,
        reaches_store: Callable[[], bool],
        sizing: AllowanceSizing | None = None,
        executor: Executor | None = None,
    ) -> None:
        self.session = session
        self.ceilings = CeilingRegistry()
        self.sizing = sizing or AllowanceSizing()
        self.sessions = sessions
        self.loans = loans
        self.restorer = DocumentRestorer(session, store, clock, counters, self.ceilings, sessions)
        self.writer = DocumentWriter(
            session=session,
            store=store,
            clock=clock,
            counters=counters,
            limit_of=limit_of,
            sizing=self.sizing,
            witness=witness,
            is_primary=loans.is_primary,
            reaches_store=reaches_store,
            is_dead=self._is_dead,
            restorer=self.restorer,
        )
        self._executor = executor or ThreadPoolExecutor(_WRITERS, thread_name_prefix="allowances")
        self.supply = Supply(
            clock=clock,
            sizing=self.sizing,
            witness=witness,
            loans=loans,
            writer=self.writer,
            limit_of=limit_of,
            executor=self._executor,
        )
        self.writer.borrow_from_holders = self.supply.borrow_from_holders
        self.on_restored: Callable[[], None] = lambda: None
        self._checked_era = 0
        self._checked_ms = float("-inf")
        self.writer.on_restored = self._note_checked
        self.lender = Lender(self.supply, counters)
        self._clock = clock
        self._counters = counters
        self._accounts: dict[str, Account] = {}
        self._lock = threading.Lock()

    @property
    def routers(self) -> int:
        """How many routers may hold tokens."""
        return self.writer.routers

    @routers.setter
    def routers(self, count: int) -> None:
        self.writer.routers = count

    def reserve(self, client: ClientAccount, amount: int, waiter: Waiter) -> None:
        """Set ``amount`` tokens aside; raises BUDGET_EXHAUSTED or BUDGET_UNAVAILABLE.

        Where none are at hand, the account's primary is asked for them, or the store where this
        router is the primary; then the one that would be primary next, the store, and at last other
        routers.
        """
        account = self.account(client.name)
        now = self._clock.monotonic_ms()
        with account.changed:
            account.used_ms = now
            if not account.waiting and account.balance.reserve(amount, now):
                self.supply.prefetch(account, now)
                return
            if now < account.exhausted_until_ms and amount >= account.exhausted_amount:
                raise account.exhausted()
            ticket = Ticket(amount)
            account.waiting.append(ticket)
            try:
                self._wait_for(account, ticket, waiter, now)
            finally:
                account.remove_waiting(ticket)
        if ticket.granted:
            return
        if ticket.refused is ErrorKind.BUDGET_EXHAUSTED:
            raise account.exhausted()
        raise AspengateError(
            ErrorKind.BUDGET_UNAVAILABLE, "no router has tokens to grant now", where=client.name
        )

    def settle(self, client: ClientAccount, reserved: int, used: int) -> None:
        """Replace a reservation by what was used."""
        account = self.account(client.name)
        now = self._clock.monotonic_ms()
        with account.changed:
            account.balance.settle(reserved, used)
            if now < account.scarce_until_ms:
                self.supply.return_surplus(account, now)

    def handle_loan_request(
        self, request: LoanRequest, answer: Callable[[LoanReply], None]
    ) -> None:
        """Serve another router's request for tokens."""
        self.lender.handle_request(self.account(request.account), request, answer)

    def handle_repayment(self, payment: Repayment) -> bool:
        """Take tokens that another router pays back."""
        return self.lender.handle_repayment(self.account(payment.account), payment)

    def handle_grants(self, grants: Iterable[Grant]) -> None:
        """Remember what the store granted another router's session."""
        self.restorer.peer_grants.record(grants)

    def handle_loan_reply(self, reply: LoanReply) -> None:
        """Take the answer of another router that was asked for tokens."""
        account = self.account(reply.account)
        now = self._clock.monotonic_ms()
        with account.changed:
            if reply.scarce:
                account.scarce_until_ms = now + _SCARCE_MS
            if reply.given:
                account.balance.borrow(reply.given)
                self._counters.count("allowances.borrowed")
                log_change("allowance.borrowed", account=account.name, amount=reply.given)
            if reply.refused == ErrorKind.BUDGET_EXHAUSTED.value:
                self._refuse_first(account, now)
            elif reply.refused:
                self._try_next_source(account, now)
            account.grant_waiting(now)
            if account.waiting and not reply.refused:
                self.supply.request_tokens(account, now)

    def handle_loan_failure(self, name: str) -> None:
        """Have requests that wait for a loan wait for something else."""
        account = self.account(name)
        with account.changed:
            self._try_next_source(account, self._clock.monotonic_ms())

    def handle_lenders_done(self, name: str) -> None:
        """Have requests that asked other routers know at once that these give no more tokens."""
        account = self.account(name)
        with account.changed:
            asked_holders = account.asking_holders_until_ms > 0
            account.asking_holders_until_ms = 0.0
            account.stop_borrowing()
            if asked_holders and account.waiting:
                self.supply.schedule(account)

    def close_witnessed(self, session: str) -> dict[str, int] | None:
        """Accept no more of a session; return its ceilings by account, None if not known."""
        return self.ceilings.close(session)

    def handle_accepted_ceilings(self, witness: str, ceilings: Mapping[str, int]) -> None:
        """Take ceilings that the session's witness has accepted."""
        now = self._clock.monotonic_ms()
        for name, ceiling in ceilings.items():
            account = self.account(name)
            with account.changed:
                if self.writer.raise_ceiling(account, witness, ceiling):
                    account.grant_waiting(now)
                    if account.waiting:
                        self.supply.draw(account, now)

    def handle_lost_witness(self) -> None:
        """Have requests that wait for a ceiling wait for the store instead."""
        for account in self._all():
            with account.changed:
                if account.waiting:
                    self.supply.schedule(account)

    def limits_changed(self) -> None:
        """Look again at accounts after a new configuration."""
        now = self._clock.monotonic_ms()
        for account in self._all():
            source = self.supply.limit_of(account.name)
            limit = source.limit if source else 0
            with account.changed:
                before, account.limit = account.limit, limit
                account.exhausted_until_ms = 0.0
                account.scarce_until_ms = 0.0
                if limit < before:
                    self.supply.return_unused(account, now)
                elif account.waiting:
                    self.supply.request_tokens(account, now)

    def gauges(self) -> dict[str, float]:
        """Return what all balances together hold, in tokens."""
        accounts = self._all()
        balances = [account.balance for account in accounts]
        documents = [account.document for account in accounts if account.document is not None]
        return {
            "accounts_undercounted": sum(document.is_undercounted for document in documents),
            "tokens_granted": sum(balance.granted for balance in balances),
            "tokens_used": sum(balance.used for balance in balances),
            "tokens_reserved": sum(balance.reserved for balance in balances),
            "tokens_borrowed": sum(balance.borrowed for balance in balances),
            "tokens_lent": sum(balance.lent for balance in balances),
        }

    def tick(self) -> None:
        """Give back what is no longer needed, and write what can wait; call it each second."""
        now = self._clock.monotonic_ms()
        for account in self._all():
            with account.changed:
                self.supply.return_surplus(account, now)
        self.supply.sweep()
        for session, names in self.ceilings.unresponsive(now - _SILENT_MS).items():
            if not self.sessions.is_alive(session):
                self._close_silent(session, names)

    def restore(self, *, has_returned: bool) -> None:
        """Have the store hold again what is known, since it names a history that was not heard of.

        Unless it ``has_returned`` from a copy that is the first one which this router hears of.
        """
        era = self.restorer.era
        accounts = self._all()
        spread_ms = self.routers * len(accounts) * _RESTORE_GAP_MS
        self.restorer.begin_grace_period(_SETTLE_MS + spread_ms, has_returned=has_returned)
        if not has_returned:
            # The run before this one may have died with what it drew: others are to see to that.
            self._checked_era = era
            self._checked_ms = self._clock.monotonic_ms() + _SETTLE_MS
            return
        done = self._executor.submit(self._restore_all, era, random.uniform(0.0, spread_ms))
        done.add_done_callback(self._note_restored)

    def _note_checked(self) -> None:
        """Have others hear at once that this router has written again all that it knows."""
        if self.restored_era:
            self.on_restored()

    def _note_restored(self, done: Future[None]) -> None:
        """Tell of a fault: nobody waits for the result."""
        error = None if done.cancelled() else done.exception()
        if error is not None:
            self._counters.count("allowances.restore_faults")
            log_change("allowance.restore_fault", error=repr(error))

    @property
    def restored_era(self) -> int:
        """The history of the store that holds all that this router knows; 0 for none."""
        if self._clock.monotonic_ms() < self._checked_ms:
            return 0
        if any(account.is_unchecked for account in self._all()):
            return 0
        return self._checked_era

    def _restore_all(self, era: int, delay_ms: float) -> None:
        """Write what is known, first for this router and those that live no more.

        Routers that were heard write for themselves. Those that do not say so may be dead.
        """
        self._clock.sleep_ms(delay_ms)
        self._check_documents({account.name for account in self._all() if account.known})
        self._checked_era = era
        self._note_checked()
        self._clock.sleep_ms(_SILENT_RESTORE_MS)
        self.restorer.recovers_unresponsive = True
        self._check_documents(set())

    def _check_documents(self, names: set[str]) -> None:
        """Look at the documents of some accounts, and of those that others' sessions drew from."""
        recalled = self.restorer.accounts_to_recover()
        for account in map(self.account, names | recalled):
            with account.changed:
                account.document = None
                account.recovers_others = account.name in recalled
                account.is_unchecked = True
                if account.working:
                    self.supply.schedule_later(account)
                else:
                    self.supply.schedule(account)

    def close(self, timeout_ms: float = _CLOSE_MS) -> None:
        """Settle every account exactly, as far as the store can be reached in time."""
        jobs = [self._executor.submit(self.writer.settle_for_good, each) for each in self._all()]
        wait(jobs, timeout=timeout_ms / 1_000)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def account(self, name: str) -> Account:
        """Return the account with a name, a new one where there is none."""
        with self._lock:
            account = self._accounts.get(name)
            if account is None:
                account = Account(name, TokenBalance(self.sizing), self.session)
                source = self.supply.limit_of(name)
                account.limit = source.limit if source else 0
                self._accounts[name] = account
            return account

    def _all(self) -> list[Account]:
        with self._lock:
            return list(self._accounts.values())

    def _wait_for(self, account: Account, ticket: Ticket, waiter: Waiter, now: float) -> None:
        """Wait for a ticket's tokens, from one source after the other; the lock is held."""
        patience_ms = self.supply.request_tokens(account, now)
        self._await(account, ticket, waiter, now + patience_ms)
        if ticket.decided:
            return
        now = self._clock.monotonic_ms()
        if self.loans.borrow_from_successor(
            account.name, ticket.amount - max(0, account.balance.free)
        ):
            self._await(account, ticket, waiter, now + _NEXT_PATIENCE_MS)
            if ticket.decided:
                return
            now = self._clock.monotonic_ms()
        if not self.writer.store_seems_down(now):
            self.supply.schedule(account)
            self._await(account, ticket, waiter, now + _LONGEST_WAIT_MS)
        if ticket.decided:
            return
        now = self._clock.monotonic_ms()
        account.grant_waiting(now)
        if ticket.decided:
            return
        needed = ticket.amount - max(0, account.balance.free)
        if now >= account.others_empty_until_ms and self.loans.borrow_from_others(
            account.name, needed
        ):
            ticket.awaits_lenders = True
            self._await(account, ticket, waiter, now + _OTHERS_PATIENCE_MS)
            if not ticket.decided:
                account.others_empty_until_ms = now + _UNAVAILABLE_MS

    def _await(self, account: Account, ticket: Ticket, waiter: Waiter, until_ms: float) -> None:
        """Wait for a decision on a ticket; call it with the account's lock held."""
        last = min(until_ms, waiter.deadline_ms)
        while not ticket.decided and not ticket.source_failed:
            remaining = last - self._clock.monotonic_ms()
            if remaining <= 0:
                break
            account.changed.wait(min(_CALLER_CHECK_S, remaining / 1_000))
            if not ticket.decided:
                waiter.check_caller()
        ticket.source_failed = False

    def _refuse_first(self, account: Account, now: float) -> None:
        ticket = account.first_own
        if ticket is None:
            return
        account.waiting.remove(ticket)
        account.exhausted_until_ms = now + _EXHAUSTED_MS
        account.exhausted_amount = ticket.amount
        ticket.decide(refused=ErrorKind.BUDGET_EXHAUSTED)
        account.changed.notify_all()
        self.supply.request_tokens(account, now)

    def _try_next_source(self, account: Account, now: float) -> None:
        account.unavailable_until_ms = now + _UNAVAILABLE_MS
        account.try_next_source(borrowers=False)

    def _is_dead(self, session: str, witness: str) -> bool:
        """Return whether a session, which ``witness`` stands for, runs no more or is closed."""
        if self.sessions.is_superseded(session):
            return True
        return witness == self.session and self.ceilings.is_closed(session)

    def _close_silent(self, session: str, names: tuple[str, ...]) -> None:
        """Close a session that this router witnesses and that seems gone for good."""
        self.ceilings.close(session)
        log_change("witness.closed_silent", session=session, accounts=len(names))
        for name in names:
            account = self.account(name)
            with account.changed:
                account.document = None
                self.supply.schedule(account)
