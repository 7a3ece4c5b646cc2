"""Prepaid tokens for requests: reserved before a run, settled after it, drawn from the store."""

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import Executor, ThreadPoolExecutor, wait
from dataclasses import dataclass, field

from aspengate.allowances import (
    AllowanceDocument,
    AllowanceSizing,
    Holding,
    Purse,
    close_session,
    decode_document,
    encode_document,
    set_allowance,
)
from aspengate.clock import Clock
from aspengate.configuration import ClientAccount
from aspengate.connections import Waiter
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import ConditionFailedError, KeyValueStore, Put, StoreItem
from aspengate.telemetry import Counters, log_change

ALLOWANCE_PREFIX = "aspengate/allowances/"

_WRITERS = 8
_CALLER_CHECK_S = 0.05
_PATIENCE_MS = 40.0
_SEEMS_DOWN_MS = 1_000.0
_CLOSE_ATTEMPTS = 3
_CLOSE_MS = 500.0
_EXHAUSTED_MS = 400.0
_LONGEST_WAIT_MS = 600.0
_SURPLUS_FACTOR = 2.0
_IDLE_MS = 20_000.0


@dataclass(frozen=True)
class LimitSource:
    """An account's limit, with the store item that it was read from, where there is one.

    A write that raises an allowance is made on the condition that the item is unchanged, so
    that a limit that was cut is never exceeded by a router that has not heard of it.
    """

    limit: int
    key: str = ""
    revision: int = 0


@dataclass
class _Ticket:
    """A request that waits for tokens."""

    amount: int
    granted: bool = False
    refused: ErrorKind | None = None

    @property
    def decided(self) -> bool:
        return self.granted or self.refused is not None


@dataclass
class _Account:
    """One account's purse with what is known of its document; guarded by ``changed``.

    ``uncertain`` means that a write without an answer may still take effect while the document
    is unchanged: only another write, which moves the revision on, rules that out.
    """

    name: str
    purse: Purse
    document: AllowanceDocument | None = None
    revision: int = 0
    working: bool = False
    uncertain: bool = False
    waiting: list[_Ticket] = field(default_factory=list)
    exhausted_until_ms: float = 0.0
    exhausted_amount: int = 0
    used_ms: float = 0.0
    changed: threading.Condition = field(default_factory=threading.Condition)


class TokenAccounts:
    """The purses of all accounts that this router spends from.

    ``limit_of`` finds an account's limit by name; ``on_conflict`` is handed the items that a
    write found changed; ``borrow`` asks other routers for tokens of an account that they hold
    unused, and returns how many it got. ``executor`` runs the calls to the store.
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
        sizing: AllowanceSizing | None = None,
        executor: Executor | None = None,
    ) -> None:
        self.session = session
        self.routers = 1
        self._store = store
        self._clock = clock
        self._counters = counters
        self._limit_of = limit_of
        self._on_conflict = on_conflict
        self._borrow = borrow
        self._sizing = sizing or AllowanceSizing()
        self._failed_ms = float("-inf")
        self._accounts: dict[str, _Account] = {}
        self._lock = threading.Lock()
        self._writers = executor or ThreadPoolExecutor(_WRITERS, thread_name_prefix="allowances")

    def reserve(self, client: ClientAccount, amount: int, waiter: Waiter) -> None:
        """Set ``amount`` tokens aside; raises BUDGET_EXHAUSTED or BUDGET_UNAVAILABLE.

        Where none are at hand, the store is asked for more, and other routers where it refuses
        or does not answer at once.
        """
        account = self._account(client.name)
        now = self._clock.monotonic_ms()
        with account.changed:
            account.used_ms = now
            if not account.waiting and account.purse.reserve(amount, now):
                self._top_up(account, now)
                return
            if now < account.exhausted_until_ms and amount >= account.exhausted_amount:
                raise _exhausted(client.name)
            ticket = _Ticket(amount)
            account.waiting.append(ticket)
            self._schedule(account)
            self._await(account, ticket, waiter, now + self._patience(account, now))
        if not ticket.granted and self._borrowed(account, ticket):
            return
        with account.changed:
            if not ticket.decided and not self._seems_down(now):
                self._await(account, ticket, waiter, now + _LONGEST_WAIT_MS)
            self._give_up(account, ticket)
        if ticket.granted:
            return
        if ticket.refused is ErrorKind.BUDGET_EXHAUSTED:
            raise _exhausted(client.name)
        raise AspengateError(
            ErrorKind.BUDGET_UNAVAILABLE, "the store does not grant now", where=client.name
        )

    def settle(self, client: ClientAccount, reserved: int, used: int) -> None:
        """Replace a reservation by what was used."""
        account = self._account(client.name)
        with account.changed:
            account.purse.settle(reserved, used)

    def lend(self, name: str, amount: int) -> int:
        """Give another router up to ``amount`` unused tokens of an account; return how many."""
        account = self._accounts.get(name)
        if account is None:
            return 0
        with account.changed:
            given = account.purse.lend(amount)
        if given:
            self._counters.count("allowances.lent")
            log_change("allowance.lent", account=name, amount=given)
        return given

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

    def close(self, timeout_ms: float = _CLOSE_MS) -> None:
        """Settle every account exactly, as far as the store can be reached in time."""
        jobs = [self._writers.submit(self._settle_for_good, each) for each in self._all()]
        wait(jobs, timeout=timeout_ms / 1_000)
        self._writers.shutdown(wait=False, cancel_futures=True)

    def _account(self, name: str) -> _Account:
        with self._lock:
            account = self._accounts.get(name)
            if account is None:
                account = _Account(name, Purse(self._sizing))
                self._accounts[name] = account
            return account

    def _all(self) -> list[_Account]:
        with self._lock:
            return list(self._accounts.values())

    def _patience(self, account: _Account, now: float) -> float:
        """Return how long to wait for the store before other routers are asked."""
        return 0.0 if self._seems_down(now) else _PATIENCE_MS

    def _seems_down(self, now: float) -> bool:
        return now - self._failed_ms < _SEEMS_DOWN_MS

    def _await(self, account: _Account, ticket: _Ticket, waiter: Waiter, until_ms: float) -> None:
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
                    self._give_up(account, ticket)
                    raise

    def _give_up(self, account: _Account, ticket: _Ticket) -> None:
        if ticket in account.waiting:
            account.waiting.remove(ticket)

    def _borrowed(self, account: _Account, ticket: _Ticket) -> bool:
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
                self._give_up(account, ticket)
            return ticket.granted

    def _top_up(self, account: _Account, now: float) -> None:
        if account.document is None or account.working:
            return
        demand = account.purse.demand(0, now)
        source = self._limit_of(account.name)
        if source is None:
            return
        wanted = self._sizing.reserve(demand, self._holding(account.document, source.limit, 0))
        if account.purse.free < wanted * self._sizing.refill_part:
            self._schedule(account)

    def _surplus(self, account: _Account, now: float) -> float:
        if account.document is None or account.purse.free <= 0:
            return 0.0
        if now - account.used_ms > _IDLE_MS:
            return float(account.purse.free)
        demand = account.purse.demand(0, now)
        source = self._limit_of(account.name)
        limit = source.limit if source else 0
        holding = self._holding(account.document, limit, account.purse.free)
        wanted = self._sizing.reserve(demand, holding)
        return account.purse.free - wanted * _SURPLUS_FACTOR

    def _holding(self, document: AllowanceDocument, limit: int, own: int) -> Holding:
        """Return how an account stands, where ``own`` unused tokens could be given back."""
        return Holding(
            limit=limit,
            unheld=limit - document.committed + own,
            routers=self.routers,
            part=document.part_of(self.session),
            lost_sessions=document.lost_sessions,
        )

    def _schedule(self, account: _Account) -> None:
        """Have a writer look after the account; call it with the account's lock held."""
        if account.working:
            return
        account.working = True
        self._writers.submit(self._work, account)

    def _work(self, account: _Account) -> None:
        """Write the account's document until nothing is left to do."""
        try:
            while self._step(account):
                pass
        except Exception as error:
            self._counters.count("allowances.failed")
            log_change("allowance.failed", account=account.name, error=repr(error))
            self._refuse(account, ErrorKind.BUDGET_UNAVAILABLE)
        finally:
            with account.changed:
                account.working = False
                if account.waiting:
                    self._schedule(account)

    def _step(self, account: _Account) -> bool:
        """Make one call to the store, if one is needed; return whether to go on."""
        source = self._limit_of(account.name)
        if source is None:
            self._refuse(account, ErrorKind.BUDGET_UNAVAILABLE)
            return False
        try:
            if account.document is None:
                self._read(account)
            plan = self._plan(account, source)
            if plan is None:
                self._note_exhausted(account, source)
                self._refuse(account, ErrorKind.BUDGET_EXHAUSTED)
                return False
            if plan == account.document and not account.uncertain:
                self._grant(account, plan, source)
            else:
                self._write(account, plan, source)
            return bool(account.waiting)
        except AspengateError as error:
            self._counters.count("allowances.store_failed")
            self._failed_ms = self._clock.monotonic_ms()
            account.document = None
            if error.kind is ErrorKind.OUTCOME_UNKNOWN:
                account.uncertain = True
                return True
            self._refuse(account, ErrorKind.BUDGET_UNAVAILABLE)
            return False

    def _read(self, account: _Account) -> None:
        item = self._store.get(ALLOWANCE_PREFIX + account.name)
        self._take(account, item)

    def _take(self, account: _Account, item: StoreItem | None) -> None:
        account.document = decode_document(item.value) if item else AllowanceDocument()
        account.revision = item.revision if item else 0

    def _plan(self, account: _Account, source: LimitSource) -> AllowanceDocument | None:
        """Return the document to write; None where requests wait and none of them fits.

        An allowance that is to be lowered is lowered here before it is in the store.
        """
        now = self._clock.monotonic_ms()
        with account.changed:
            document = account.document or AllowanceDocument()
            purse = account.purse
            fitting = self._fitting(account, document, source.limit)
            if account.waiting and not fitting:
                return None
            idle = not account.waiting and now - account.used_ms > _IDLE_MS
            demand = purse.demand(sum(ticket.amount for ticket in fitting), now)
            target = purse.target(
                document, self.session, source.limit, self.routers, demand, idle=idle
            )
            purse.granted = min(purse.granted, target)
            if target == document.allowance(self.session):
                return document
            return set_allowance(document, self.session, target, source.limit)

    def _fitting(self, account: _Account, document: AllowanceDocument, limit: int) -> list[_Ticket]:
        """Return the waiting requests that fit, in the order in which they came."""
        most = document.most_for(self.session, limit)
        needed = account.purse.committed
        fitting = []
        for ticket in account.waiting:
            if needed + ticket.amount <= most:
                needed += ticket.amount
                fitting.append(ticket)
        return fitting

    def _write(self, account: _Account, plan: AllowanceDocument, source: LimitSource) -> None:
        key = ALLOWANCE_PREFIX + account.name
        conditions = {key: account.revision}
        before = account.document.allowance(self.session) if account.document else 0
        target = plan.allowance(self.session)
        if source.key and target > before:
            conditions[source.key] = source.revision
        try:
            revision = self._store.transact(conditions, (Put(key, encode_document(plan)),))
        except ConditionFailedError as failure:
            self._counters.count("allowances.conflicts")
            self._on_conflict(failure.items)
            self._take(account, failure.items.get(key))
            return
        self._counters.count("allowances.writes")
        account.uncertain = False
        account.document = plan
        account.revision = revision
        self._grant(account, plan, source)

    def _grant(self, account: _Account, document: AllowanceDocument, source: LimitSource) -> None:
        now = self._clock.monotonic_ms()
        target = document.allowance(self.session)
        with account.changed:
            if target != account.purse.granted:
                account.purse.granted = target
                log_change(
                    "allowance.granted",
                    account=account.name,
                    granted=target,
                    committed=account.purse.committed,
                    limit=source.limit,
                    unheld=source.limit - document.committed,
                    revision=account.revision,
                )
            for ticket in list(account.waiting):
                if account.purse.reserve(ticket.amount, now):
                    ticket.granted = True
                    account.waiting.remove(ticket)
            account.changed.notify_all()

    def _note_exhausted(self, account: _Account, source: LimitSource) -> None:
        document = account.document or AllowanceDocument()
        log_change(
            "allowance.exhausted",
            account=account.name,
            limit=source.limit,
            unheld=source.limit - document.committed,
            closed=document.closed,
            sessions=document.sessions,
            needed=min((ticket.amount for ticket in account.waiting), default=0),
            revision=account.revision,
        )

    def _refuse(self, account: _Account, kind: ErrorKind) -> None:
        with account.changed:
            if kind is ErrorKind.BUDGET_EXHAUSTED and account.waiting:
                account.exhausted_until_ms = self._clock.monotonic_ms() + _EXHAUSTED_MS
                account.exhausted_amount = min(ticket.amount for ticket in account.waiting)
            for ticket in account.waiting:
                ticket.refused = kind
            account.waiting.clear()
            account.changed.notify_all()

    def _settle_for_good(self, account: _Account) -> None:
        with account.changed:
            account.working = True
            account.purse.granted = account.purse.committed
        try:
            self._close(account)
        except AspengateError as error:
            log_change("allowance.not_closed", account=account.name, error=str(error))

    def _close(self, account: _Account) -> None:
        for _ in range(_CLOSE_ATTEMPTS):
            if account.document is None:
                self._read(account)
            document = account.document or AllowanceDocument()
            if account.purse.reserved:
                committed = account.purse.committed
                plan = set_allowance(document, self.session, committed, committed)
            else:
                plan = close_session(document, self.session, account.purse.settled)
            key = ALLOWANCE_PREFIX + account.name
            try:
                self._store.transact({key: account.revision}, (Put(key, encode_document(plan)),))
                return
            except ConditionFailedError as failure:
                self._take(account, failure.items.get(key))
            except AspengateError as error:
                if error.kind is not ErrorKind.OUTCOME_UNKNOWN:
                    raise
                account.document = None


def _exhausted(name: str) -> AspengateError:
    return AspengateError(
        ErrorKind.BUDGET_EXHAUSTED, "the prepaid tokens do not cover the request", where=name
    )
