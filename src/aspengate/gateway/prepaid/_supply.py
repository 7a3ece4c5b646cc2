"""Gets tokens for one account: from its witness, its primary router, or the store."""

import threading
from collections.abc import Callable
from concurrent.futures import Executor

from aspengate.allowances import AllowanceSizing, Demand
from aspengate.clock import Clock
from aspengate.gateway.prepaid._account import Account, LimitSource
from aspengate.gateway.prepaid._loans import Loans
from aspengate.gateway.prepaid._witness import Witness
from aspengate.gateway.prepaid._writer import DocumentWriter

_PATIENCE_MS = 40.0
_LOAN_PATIENCE_MS = 250.0
_SURPLUS_FACTOR = 2.0
_IDLE_MS = 20_000.0
_SCARCE_PART = 0.1
_EXTRA_PART = 0.25
_CUT_MS = 3_000.0
# Who holds tokens of a spent account is asked once in so long, in ms: they answer within a few,
# and what comes back to the account after that is found in its document.
_HOLDERS_MS = 400.0
# How long their answers are waited for, in ms: what is not answered is given up before that.
_HOLDERS_PATIENCE_MS = 300.0


class Supply:
    """Looks after what accounts hold; every call needs the account's lock held.

    An account's primary router draws from the store for all and holds the reserve; the others
    borrow what they need, and little more.
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

    def ask_for_more(self, account: Account, now: float) -> float:
        """Ask for what the first waiting request lacks; return how long to wait for it, in ms.

        Those that are covered by now are granted first: nothing is asked for on their behalf.
        """
        account.grant_waiting(now)
        if not account.waiting:
            return 0.0
        own = account.first_own
        may_ask = now >= account.unavailable_until_ms
        if own is not None and may_ask and not self._holds(account, own.amount):
            needed = own.amount - max(0, account.purse.free)
            extra = account.waited_for - own.amount + self._ahead(account, now)
            if self.loans.ask(account.name, needed, extra):
                return _LOAN_PATIENCE_MS
        return self.draw(account, now)

    def draw(self, account: Account, now: float) -> float:
        """Get what the first waiting request lacks, without asking other routers to lend it.

        Return how long to wait for it, in milliseconds.
        """
        if self._holds(account, account.waiting[0].amount):
            self.raise_ceiling(account, account.waited_for)
            if self.witness.accepted(account.name, account.named_witness):
                return _PATIENCE_MS
        if now < account.asking_holders_until_ms:
            return account.asking_holders_until_ms - now
        self.schedule(account)
        return 0.0 if self.writer.seems_down(now) else _PATIENCE_MS

    def look_ahead(self, account: Account, now: float) -> None:
        """Get more before it is needed."""
        purse = account.purse
        ahead = self._ahead(account, now)
        if purse.free < purse.held and purse.free < ahead / 2:
            self.raise_ceiling(account, 0)
        if self.loans.is_primary(account.name):
            if self._needs_store(account, now):
                self.schedule_later(account)
        elif purse.held < ahead / 2 and now >= account.unavailable_until_ms:
            self.loans.ask(account.name, 0, ahead - max(0, purse.held))

    def raise_ceiling(self, account: Account, wanted: int) -> None:
        """Have the witness accept a ceiling that reaches ``wanted`` beyond what is committed."""
        now = self.clock.monotonic_ms()
        demand = account.purse.demand(0, now)
        ceiling = account.purse.committed + wanted + self.sizing.ahead(demand)
        self.witness.want(account.name, min(ceiling, account.purse.granted))

    def is_scarce(self, account: Account, now: float) -> bool:
        """Return whether there is so little left that nobody should keep what it does not need."""
        source = self.limit_of(account.name)
        if source is None or account.document is None:
            return False
        left = max(0, account.purse.held)
        if not self.writer.seems_down(now):
            left += max(0, source.limit - account.document.committed)
        return left < source.limit * _SCARCE_PART

    def extra_to_lend(self, account: Account, extra: int) -> int:
        """Return how many tokens a borrower gets beyond its need, where nothing is scarce."""
        return max(0, min(extra, int(account.purse.held * _EXTRA_PART)))

    def give_back(self, account: Account, now: float) -> None:
        """Give back what is no longer needed."""
        surplus = self._surplus(account, now)
        if surplus <= 0 and not account.is_lowered:
            return
        if (account.purse.granted > 0 or account.is_lowered) and not self.writer.seems_down(now):
            if account.document is not None:
                self.schedule_later(account)
            return
        amount = min(surplus, account.purse.free)
        if amount > 0 and self.loans.repay(account.name, amount):
            account.purse.lend(amount)

    def hand_over(self, account: Account, now: float) -> None:
        """Keep nothing that requests do not need, since the limit was cut."""
        account.scarce_until_ms = now + _CUT_MS
        if account.listed:
            self.schedule_later(account)
        if not self.loans.is_primary(account.name) and account.purse.free > 0:
            amount = account.purse.free
            if self.loans.repay(account.name, amount):
                account.purse.lend(amount)

    def ask_holders(self, account: Account, now: float) -> bool:
        """Ask the other sessions that hold an account's tokens for some, where its limit is spent.

        Return whether there are any, which will answer or be given up.
        """
        document = account.document
        if document is None or not account.waiting:
            return False
        if now < account.asking_holders_until_ms:
            return True
        if now < account.holders_empty_until_ms:
            return False
        account.holders_empty_until_ms = now + _HOLDERS_MS
        account.asking_holders_until_ms = now + _HOLDERS_PATIENCE_MS
        held = [session for session, allowance in document.sessions.items() if allowance > 0]
        needed = max(0, account.waiting[0].amount - max(0, account.purse.free))
        if self.loans.ask_holders(account.name, needed, held):
            return True
        account.asking_holders_until_ms = 0.0
        return False

    def schedule(self, account: Account) -> None:
        """Have a writer look after the account's document at once."""
        if account.working:
            self.writer.writes.flush()
            return
        if account.purse.frozen:
            return
        account.working = True
        self._executor.submit(self._work, account)

    def schedule_later(self, account: Account) -> None:
        """Have a writer look after the account's document with the next sweep."""
        with self._due_lock:
            self._due[account.name] = account

    def sweep(self) -> None:
        """Have writers look after the documents that can wait, so that one call serves many.

        Call it without any account's lock held.
        """
        with self._due_lock:
            due, self._due = list(self._due.values()), {}
        begun = []
        for account in due:
            with account.changed:
                if not account.working and not account.purse.frozen:
                    account.working = True
                    begun.append(account)
        self.writer.writes.expect(len(begun))
        for account in begun:
            self._executor.submit(self._work, account, swept=True)

    def _work(self, account: Account, *, swept: bool = False) -> None:
        """Write the account's document until nothing is left to do."""
        try:
            self.writer.work(account)
        finally:
            if swept:
                self.writer.writes.finish_expected()
            with account.changed:
                account.working = False
                account.changed.notify_all()
                if any(not ticket.passed_over for ticket in account.waiting):
                    self.ask_for_more(account, self.clock.monotonic_ms())

    def _holds(self, account: Account, amount: int) -> bool:
        """Return whether only the ceiling keeps an amount from being used."""
        return account.purse.held >= amount and account.purse.ceiling is not None

    def _ahead(self, account: Account, now: float) -> int:
        """Return what this router keeps at hand beyond what its requests need at once."""
        if now < account.scarce_until_ms:
            return 0
        demand = account.purse.demand(0, now)
        if self.loans.is_primary(account.name):
            return self.sizing.ahead(demand)
        return self.sizing.at_hand(demand)

    def _needs_store(self, account: Account, now: float) -> bool:
        """Return whether this router, which draws for all, should look at the document by now."""
        if account.document is None:
            return account.listed and not self.writer.seems_down(now)
        return self._is_low(account, now)

    def _is_low(self, account: Account, now: float) -> bool:
        return account.purse.held < self._reserve(account, now, 0) * self.sizing.refill_part

    def _reserve(self, account: Account, now: float, own: int) -> int:
        source = self.limit_of(account.name)
        if source is None:
            return 0
        demand: Demand = account.purse.demand(0, now)
        return self.sizing.reserve(demand, self.writer.holding(account, source.limit, own))

    def _surplus(self, account: Account, now: float) -> int:
        held = account.purse.held
        if held <= 0:
            return 0
        if now - account.used_ms > _IDLE_MS:
            return held
        if not self.loans.is_primary(account.name):
            return int(held - self._ahead(account, now) * _SURPLUS_FACTOR)
        if account.document is None:
            return 0
        return int(held - self._reserve(account, now, held) * _SURPLUS_FACTOR)
