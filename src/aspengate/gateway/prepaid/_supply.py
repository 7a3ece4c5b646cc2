"""Obtains tokens for accounts from the witness, the primary router or the store."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor

from aspengate.allowances import AllowanceSizing, Demand
from aspengate.clock import Clock
from aspengate.gateway.prepaid._account import Account, LimitSource
from aspengate.gateway.prepaid._loans import Loans
from aspengate.gateway.prepaid._witness import Witness
from aspengate.gateway.prepaid._writer import DocumentWriter

_DRAW_TIMEOUT_MS = 40.0
_LOAN_TIMEOUT_MS = 250.0
_SURPLUS_FACTOR = 2.0
_IDLE_AFTER_MS = 20_000.0
_SCARCE_RATIO = 0.1
_EXTRA_RATIO = 0.25
_SCARCE_AFTER_CUT_MS = 3_000.0
# The minimum interval between requests to the holders of an exhausted account's tokens. They reply
# within a few milliseconds; tokens returned later appear in the account's document.
_HOLDERS_INTERVAL_MS = 400.0
# Longer than the time after which an unanswered request to a holder times out.
_HOLDERS_TIMEOUT_MS = 300.0


class Supply:
    """Keeps accounts supplied with tokens.

    All methods except ``schedule_later`` and ``sweep`` require the account's lock. An account's
    primary router draws from the store for all routers and holds the reserve; the others borrow
    what they need, and little more.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        sizing: AllowanceSizing,
        witness: Witness,
        loans: Loans,
        writer: DocumentWriter,
        limit_of: Callable[[str], LimitSource | None],
        executor: Executor,
    ) -> None:
        self.clock = clock
        self.sizing = sizing
        self.witness = witness
        self.loans = loans
        self.writer = writer
        self.limit_of = limit_of
        self._executor = executor
        self._due: dict[str, Account] = {}
        self._due_lock = threading.Lock()

    def request_tokens(self, account: Account, now: float) -> float:
        """Request the tokens that the first waiting request lacks; return how long to wait, in ms.

        Waiting requests that are already covered are granted first, so that no tokens are requested
        for them.
        """
        account.grant_waiting(now)
        if not account.waiting:
            return 0.0
        own = account.first_own_ticket
        may_ask = now >= account.primary_empty_until_ms
        if own is not None and may_ask and not self._lacks_only_ceiling(account, own.amount):
            needed = own.amount - max(0, account.balance.free)
            extra = account.waiting_tokens - own.amount + self._headroom(account, now)
            if self.loans.borrow_from_primary(account.name, needed, extra):
                return _LOAN_TIMEOUT_MS
        return self.draw(account, now)

    def draw(self, account: Account, now: float) -> float:
        """Obtain what the first waiting request lacks without borrowing from the primary.

        Return how long to wait for it, in milliseconds.
        """
        if self._lacks_only_ceiling(account, account.waiting[0].amount):
            self.raise_ceiling(account, account.waiting_tokens)
            if self.witness.accepted_ceiling(account.name, account.named_witness):
                return _DRAW_TIMEOUT_MS
        if now < account.awaiting_holders_until_ms:
            return account.awaiting_holders_until_ms - now
        self.schedule(account)
        return 0.0 if self.writer.store_seems_down(now) else _DRAW_TIMEOUT_MS

    def prefetch(self, account: Account, now: float) -> None:
        """Request more tokens before they are needed."""
        balance = account.balance
        headroom = self._headroom(account, now)
        if balance.free < balance.held and balance.free < headroom / 2:
            self.raise_ceiling(account, 0)
        if self.loans.is_primary(account.name):
            if self._needs_refresh(account, now):
                self.schedule_later(account)
        elif balance.held < headroom / 2 and now >= account.primary_empty_until_ms:
            self.loans.borrow_from_primary(account.name, 0, headroom - max(0, balance.held))

    def raise_ceiling(self, account: Account, wanted: int) -> None:
        """Request a ceiling that exceeds the committed tokens by ``wanted`` plus the headroom."""
        now = self.clock.monotonic_ms()
        demand = account.balance.demand(0, now)
        ceiling = account.balance.committed + wanted + self.sizing.ceiling_headroom(demand)
        self.witness.request_ceiling(account.name, min(ceiling, account.balance.granted))

    def is_scarce(self, account: Account, now: float) -> bool:
        """Return whether so few tokens are left that no router should keep unneeded ones."""
        source = self.limit_of(account.name)
        if source is None or account.document is None:
            return False
        left = max(0, account.balance.held)
        if not self.writer.store_seems_down(now):
            left += max(0, source.limit - account.document.committed)
        return left < source.limit * _SCARCE_RATIO

    def extra_to_lend(self, account: Account, extra: int) -> int:
        """Return how many tokens a borrower receives beyond its need unless they are scarce."""
        return max(0, min(extra, int(account.balance.held * _EXTRA_RATIO)))

    def return_surplus(self, account: Account, now: float) -> None:
        """Return tokens that are no longer needed to the store or the primary."""
        surplus = self._surplus(account, now)
        if surplus <= 0 and not account.has_unwritten_reduction:
            return
        if (
            account.balance.granted > 0 or account.has_unwritten_reduction
        ) and not self.writer.store_seems_down(now):
            if account.document is not None:
                self.schedule_later(account)
            return
        amount = min(surplus, account.balance.free)
        if amount > 0 and self.loans.repay(account.name, amount):
            account.balance.lend(amount)

    def return_unused(self, account: Account, now: float) -> None:
        """Return all tokens that requests do not need, because the limit was reduced."""
        account.scarce_until_ms = now + _SCARCE_AFTER_CUT_MS
        if account.listed:
            self.schedule_later(account)
        if not self.loans.is_primary(account.name) and account.balance.free > 0:
            amount = account.balance.free
            if self.loans.repay(account.name, amount):
                account.balance.lend(amount)

    def borrow_from_holders(self, account: Account, now: float) -> bool:
        """Ask the other sessions that hold tokens of an exhausted account for some.

        Return whether there are any, which will reply or time out.
        """
        document = account.document
        if document is None or not account.waiting:
            return False
        if now < account.awaiting_holders_until_ms:
            return True
        if now < account.holders_empty_until_ms:
            return False
        account.holders_empty_until_ms = now + _HOLDERS_INTERVAL_MS
        account.awaiting_holders_until_ms = now + _HOLDERS_TIMEOUT_MS
        held = [session for session, allowance in document.sessions.items() if allowance > 0]
        needed = max(0, account.waiting[0].amount - max(0, account.balance.free))
        if self.loans.borrow_from_holders(account.name, needed, held):
            return True
        account.awaiting_holders_until_ms = 0.0
        return False

    def schedule(self, account: Account) -> None:
        """Start writing the account's document immediately."""
        if account.is_being_written:
            self.writer.writes.flush()
            return
        if account.balance.frozen:
            return
        account.is_being_written = True
        self._executor.submit(self._run_writer, account)

    def schedule_later(self, account: Account) -> None:
        """Write the account's document at the next sweep."""
        with self._due_lock:
            self._due[account.name] = account

    def sweep(self) -> None:
        """Write all documents whose writes were deferred, so that one call covers many.

        Must be called without any account's lock.
        """
        with self._due_lock:
            due, self._due = list(self._due.values()), {}
        started = []
        for account in due:
            with account.changed:
                if not account.is_being_written and not account.balance.frozen:
                    account.is_being_written = True
                    started.append(account)
        self.writer.writes.expect(len(started))
        for account in started:
            self._executor.submit(self._run_writer, account, swept=True)

    def _run_writer(self, account: Account, *, swept: bool = False) -> None:
        """Write the account's document until no change is left."""
        try:
            self.writer.process(account)
        finally:
            if swept:
                self.writer.writes.finish_expected()
            with account.changed:
                account.is_being_written = False
                account.changed.notify_all()
                if any(not ticket.source_failed for ticket in account.waiting):
                    self.request_tokens(account, self.clock.monotonic_ms())

    def _lacks_only_ceiling(self, account: Account, amount: int) -> bool:
        """Return whether ``amount`` tokens are granted and only the ceiling can be too low."""
        return account.balance.held >= amount and account.balance.ceiling is not None

    def _headroom(self, account: Account, now: float) -> int:
        """Return the tokens to keep available beyond the immediate needs of requests."""
        if now < account.scarce_until_ms:
            return 0
        demand = account.balance.demand(0, now)
        if self.loans.is_primary(account.name):
            return self.sizing.ceiling_headroom(demand)
        return self.sizing.borrower_reserve(demand)

    def _needs_refresh(self, account: Account, now: float) -> bool:
        """Return whether this router, as the primary, has to read or write the document."""
        if account.document is None:
            return account.listed and not self.writer.store_seems_down(now)
        return self._is_reserve_low(account, now)

    def _is_reserve_low(self, account: Account, now: float) -> bool:
        return account.balance.held < self._reserve(account, now, 0) * self.sizing.refill_fraction

    def _reserve(self, account: Account, now: float, returnable: int) -> int:
        source = self.limit_of(account.name)
        if source is None:
            return 0
        demand: Demand = account.balance.demand(0, now)
        return self.sizing.reserve(
            demand, self.writer.allocation_state(account, source.limit, returnable)
        )

    def _surplus(self, account: Account, now: float) -> int:
        held = account.balance.held
        if held <= 0:
            return 0
        if now - account.last_used_ms > _IDLE_AFTER_MS:
            return held
        if not self.loans.is_primary(account.name):
            return int(held - self._headroom(account, now) * _SURPLUS_FACTOR)
        if account.document is None:
            return 0
        return int(held - self._reserve(account, now, held) * _SURPLUS_FACTOR)
