"""The prepaid tokens of all accounts, as used by requests and by other routers."""

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

# The number of documents that one call to the store can write. The threads spend their time waiting
# for calls, not computing.
_MAX_WRITERS = 15
_CALLER_CHECK_INTERVAL_S = 0.05
_CLOSE_TIMEOUT_MS = 500.0
# The router that would be primary next draws from the store within some tens of milliseconds.
_SUCCESSOR_TIMEOUT_MS = 150.0
_OTHERS_TIMEOUT_MS = 80.0
_DRAW_TIMEOUT_MS = 600.0
_UNRESPONSIVE_MS = 10_000.0
_EXHAUSTED_BACKOFF_MS = 400.0
_EMPTY_BACKOFF_MS = 300.0
_SCARCE_PERIOD_MS = 3_000.0
# The period in which all connected routers write what a restored store has lost, in addition to the
# time over which their calls are spread. Each router is notified of the restoration within 500 ms.
_RESTORE_GRACE_MS = 1_000.0
# After this time, other routers write on behalf of those that sent messages recently but did not
# report that they have written everything themselves.
_UNRESPONSIVE_GRACE_MS = 500.0
# The average time between the reads of all routers during a restoration.
_RESTORE_SPACING_MS = 1.0


class TokenAccounts:
    """Manages the balances of all accounts that this router spends from.

    ``limit_of`` returns an account's limit by name, ``loans`` borrows tokens from other routers,
    and ``witness`` receives this session's ceilings. ``ceilings`` holds those of the sessions that
    this router witnesses, and ``sessions`` reports which of them are alive. ``reaches_store``
    returns whether other calls to the store succeed. Calls to the store run on ``executor``.
    ``on_restored`` is called when this router has written everything that a restored store lacked.
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
        self._executor = executor or ThreadPoolExecutor(
            _MAX_WRITERS, thread_name_prefix="allowances"
        )
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
        self._restored_era = 0
        self._restored_after_ms = float("-inf")
        self.writer.on_restored = self._report_restored
        self.lender = Lender(self.supply, counters)
        self._clock = clock
        self._counters = counters
        self._accounts: dict[str, Account] = {}
        self._lock = threading.Lock()

    @property
    def routers(self) -> int:
        """The number of routers that may hold tokens."""
        return self.writer.routers

    @routers.setter
    def routers(self, count: int) -> None:
        self.writer.routers = count

    def reserve(self, client: ClientAccount, amount: int, waiter: Waiter) -> None:
        """Reserve ``amount`` tokens; raises BUDGET_EXHAUSTED or BUDGET_UNAVAILABLE.

        If too few tokens are free, the sources are tried in this order: the account's primary, or
        the store if this router is the primary; the router that would be primary next; the store;
        other routers. Blocks until a source grants the tokens, but not beyond the waiter's
        deadline.
        """
        account = self.account(client.name)
        now = self._clock.monotonic_ms()
        with account.changed:
            account.last_used_ms = now
            if not account.waiting and account.balance.reserve(amount, now):
                self.supply.prefetch(account, now)
                return
            if now < account.exhausted_until_ms and amount >= account.exhausted_amount:
                raise account.exhausted()
            ticket = Ticket(amount)
            account.waiting.append(ticket)
            try:
                self._wait_for_tokens(account, ticket, waiter, now)
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
        """Replace a reservation by the tokens that the request used."""
        account = self.account(client.name)
        now = self._clock.monotonic_ms()
        with account.changed:
            account.balance.settle(reserved, used)
            if now < account.scarce_until_ms:
                self.supply.return_surplus(account, now)

    def handle_loan_request(
        self, request: LoanRequest, answer: Callable[[LoanReply], None]
    ) -> None:
        """Serve another router's request for tokens; ``answer`` is called with each reply."""
        self.lender.handle_request(self.account(request.account), request, answer)

    def handle_repayment(self, payment: Repayment) -> bool:
        """Accept tokens that another router repays; return False if that is not possible."""
        return self.lender.handle_repayment(self.account(payment.account), payment)

    def handle_grants(self, grants: Iterable[Grant]) -> None:
        """Record allowances that the store granted to other routers' sessions."""
        self.restorer.peer_grants.record(grants)

    def handle_loan_reply(self, reply: LoanReply) -> None:
        """Process the reply of another router that was asked for tokens."""
        account = self.account(reply.account)
        now = self._clock.monotonic_ms()
        with account.changed:
            if reply.scarce:
                account.scarce_until_ms = now + _SCARCE_PERIOD_MS
            if reply.given:
                account.balance.borrow(reply.given)
                self._counters.count("allowances.borrowed")
                log_change("allowance.borrowed", account=account.name, amount=reply.given)
            if reply.refused == ErrorKind.BUDGET_EXHAUSTED.value:
                self._refuse_first_own(account, now)
            elif reply.refused:
                self._skip_primary(account, now)
            account.grant_waiting(now)
            if account.waiting and not reply.refused:
                self.supply.request_tokens(account, now)

    def handle_loan_failure(self, name: str) -> None:
        """Make requests that wait for the primary's loan try their next source."""
        account = self.account(name)
        with account.changed:
            self._skip_primary(account, self._clock.monotonic_ms())

    def handle_lenders_done(self, name: str) -> None:
        """Make requests that wait for lenders go on, since no more replies will follow."""
        account = self.account(name)
        with account.changed:
            asked_holders = account.awaiting_holders_until_ms > 0
            account.awaiting_holders_until_ms = 0.0
            account.stop_borrowing()
            if asked_holders and account.waiting:
                self.supply.schedule(account)

    def close_witnessed(self, session: str) -> dict[str, int] | None:
        """Make a session's ceilings final; return them by account, None if unknown."""
        return self.ceilings.close(session)

    def handle_accepted_ceilings(self, witness: str, ceilings: Mapping[str, int]) -> None:
        """Apply ceilings that this session's witness has accepted."""
        now = self._clock.monotonic_ms()
        for name, ceiling in ceilings.items():
            account = self.account(name)
            with account.changed:
                if self.writer.raise_ceiling(account, witness, ceiling):
                    account.grant_waiting(now)
                    if account.waiting:
                        self.supply.draw(account, now)

    def handle_lost_witness(self) -> None:
        """Make requests that wait for a ceiling wait for the store instead."""
        for account in self._all_accounts():
            with account.changed:
                if account.waiting:
                    self.supply.schedule(account)

    def limits_changed(self) -> None:
        """Apply the limits of a new configuration."""
        now = self._clock.monotonic_ms()
        for account in self._all_accounts():
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
        """Return the totals of all balances, in tokens, by metric name."""
        accounts = self._all_accounts()
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
        """Return surplus tokens and write deferred changes; to be called once per second."""
        now = self._clock.monotonic_ms()
        for account in self._all_accounts():
            with account.changed:
                self.supply.return_surplus(account, now)
        self.supply.sweep()
        for session, names in self.ceilings.unresponsive(now - _UNRESPONSIVE_MS).items():
            if not self.sessions.is_alive(session):
                self._close_unresponsive(session, names)

    def restore(self, *, store_restored: bool) -> None:
        """Write again what the store lacks, after it reported a history that was not known here.

        ``store_restored`` is False if this is the first history that this router has seen;
        otherwise the store was restored from an older copy.
        """
        era = self.restorer.era
        accounts = self._all_accounts()
        spread_ms = self.routers * len(accounts) * _RESTORE_SPACING_MS
        self.restorer.begin_grace_period(
            _RESTORE_GRACE_MS + spread_ms, store_restored=store_restored
        )
        if not store_restored:
            # The previous run of this router may have died with tokens that it drew. Other routers
            # need this time to write its allowances before this one reports the store complete.
            self._restored_era = era
            self._restored_after_ms = self._clock.monotonic_ms() + _RESTORE_GRACE_MS
            return
        done = self._executor.submit(self._restore_all, era, random.uniform(0.0, spread_ms))
        done.add_done_callback(self._log_restore_fault)

    def _report_restored(self) -> None:
        """Report at once that this router has written everything that it remembers."""
        if self.restored_era:
            self.on_restored()

    def _log_restore_fault(self, done: Future[None]) -> None:
        """Log an exception of the restoration, whose result no caller retrieves."""
        error = None if done.cancelled() else done.exception()
        if error is not None:
            self._counters.count("allowances.restore_faults")
            log_change("allowance.restore_fault", error=repr(error))

    @property
    def restored_era(self) -> int:
        """The store history that contains everything that this router remembers, else 0."""
        if self._clock.monotonic_ms() < self._restored_after_ms:
            return 0
        if any(account.is_unchecked for account in self._all_accounts()):
            return 0
        return self._restored_era

    def _restore_all(self, era: int, delay_ms: float) -> None:
        """Write what is known, first for this router and for dead sessions.

        Routers with recent messages write for themselves. Those that have not reported this after
        ``_UNRESPONSIVE_GRACE_MS`` may be dead, so that their allowances are then written on their
        behalf.
        """
        self._clock.sleep_ms(delay_ms)
        self._check_documents(
            {account.name for account in self._all_accounts() if account.last_stored}
        )
        self._restored_era = era
        self._report_restored()
        self._clock.sleep_ms(_UNRESPONSIVE_GRACE_MS)
        self.restorer.recovers_unresponsive = True
        self._check_documents(set())

    def _check_documents(self, names: set[str]) -> None:
        """Schedule checks of the named accounts and of those that dead sessions used."""
        recoverable = self.restorer.accounts_to_recover()
        for account in map(self.account, names | recoverable):
            with account.changed:
                account.document = None
                account.recovers_others = account.name in recoverable
                account.is_unchecked = True
                if account.is_being_written:
                    self.supply.schedule_later(account)
                else:
                    self.supply.schedule(account)

    def close(self, timeout_ms: float = _CLOSE_TIMEOUT_MS) -> None:
        """Settle every account exactly, as far as the store responds within ``timeout_ms``."""
        jobs = [
            self._executor.submit(self.writer.close_account, each) for each in self._all_accounts()
        ]
        wait(jobs, timeout=timeout_ms / 1_000)
        self._executor.shutdown(wait=False, cancel_futures=True)

    def account(self, name: str) -> Account:
        """Return the account with the given name, which is created if necessary."""
        with self._lock:
            account = self._accounts.get(name)
            if account is None:
                account = Account(name, TokenBalance(self.sizing), self.session)
                source = self.supply.limit_of(name)
                account.limit = source.limit if source else 0
                self._accounts[name] = account
            return account

    def _all_accounts(self) -> list[Account]:
        with self._lock:
            return list(self._accounts.values())

    def _wait_for_tokens(
        self, account: Account, ticket: Ticket, waiter: Waiter, now: float
    ) -> None:
        """Wait for a ticket's tokens, trying one source after another; requires the lock."""
        timeout_ms = self.supply.request_tokens(account, now)
        self._wait_until_decided(account, ticket, waiter, now + timeout_ms)
        if ticket.decided:
            return
        now = self._clock.monotonic_ms()
        if self.loans.borrow_from_successor(
            account.name, ticket.amount - max(0, account.balance.free)
        ):
            self._wait_until_decided(account, ticket, waiter, now + _SUCCESSOR_TIMEOUT_MS)
            if ticket.decided:
                return
            now = self._clock.monotonic_ms()
        if not self.writer.store_seems_down(now):
            self.supply.schedule(account)
            self._wait_until_decided(account, ticket, waiter, now + _DRAW_TIMEOUT_MS)
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
            self._wait_until_decided(account, ticket, waiter, now + _OTHERS_TIMEOUT_MS)
            if not ticket.decided:
                account.others_empty_until_ms = now + _EMPTY_BACKOFF_MS

    def _wait_until_decided(
        self, account: Account, ticket: Ticket, waiter: Waiter, until_ms: float
    ) -> None:
        """Wait until a ticket is decided or its source failed; requires the account's lock."""
        last = min(until_ms, waiter.deadline_ms)
        while not ticket.decided and not ticket.source_failed:
            remaining = last - self._clock.monotonic_ms()
            if remaining <= 0:
                break
            account.changed.wait(min(_CALLER_CHECK_INTERVAL_S, remaining / 1_000))
            if not ticket.decided:
                waiter.check_caller()
        ticket.source_failed = False

    def _refuse_first_own(self, account: Account, now: float) -> None:
        ticket = account.first_own_ticket
        if ticket is None:
            return
        account.waiting.remove(ticket)
        account.exhausted_until_ms = now + _EXHAUSTED_BACKOFF_MS
        account.exhausted_amount = ticket.amount
        ticket.decide(refused=ErrorKind.BUDGET_EXHAUSTED)
        account.changed.notify_all()
        self.supply.request_tokens(account, now)

    def _skip_primary(self, account: Account, now: float) -> None:
        account.primary_empty_until_ms = now + _EMPTY_BACKOFF_MS
        account.try_next_source(borrowers=False)

    def _is_dead(self, session: str, witness: str) -> bool:
        """Return whether a session was superseded, or closed by this router as its witness."""
        if self.sessions.is_superseded(session):
            return True
        return witness == self.session and self.ceilings.is_closed(session)

    def _close_unresponsive(self, session: str, names: tuple[str, ...]) -> None:
        """Close a session that this router witnesses and that appears to be gone for good."""
        self.ceilings.close(session)
        log_change("witness.closed_silent", session=session, accounts=len(names))
        for name in names:
            account = self.account(name)
            with account.changed:
                account.document = None
                self.supply.schedule(account)
