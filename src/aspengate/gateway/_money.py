"""Prepaid tokens for requests: reserved before a run, settled after it, drawn from the store."""

import threading
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass, field

from aspengate.allowances import (
    AllowanceDocument,
    AllowanceSizing,
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
_PAUSE_MS = 40.0
_MOST_RECALLS = 3
_SHORT_MS = 2_000.0
_EXHAUSTED_MS = 400.0
_LONGEST_WAIT_MS = 600.0
_SURPLUS_FACTOR = 2.0
_IDLE_MS = 4_000.0


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
    short_until_ms: float = 0.0
    exhausted_until_ms: float = 0.0
    exhausted_amount: int = 0
    used_ms: float = 0.0
    recalls: int = 0
    changed: threading.Condition = field(default_factory=threading.Condition)


class TokenAccounts:
    """The purses of all accounts that this router spends from.

    ``limit_of`` finds an account's limit by name; ``on_conflict`` is handed the items that a
    write found changed; ``ask_peers`` asks other routers to give unused tokens of an account
    back.
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
        ask_peers: Callable[[str], None],
        sizing: AllowanceSizing | None = None,
    ) -> None:
        self.session = session
        self.routers = 1
        self._store = store
        self._clock = clock
        self._counters = counters
        self._limit_of = limit_of
        self._on_conflict = on_conflict
        self._ask_peers = ask_peers
        self._sizing = sizing or AllowanceSizing()
        self._accounts: dict[str, _Account] = {}
        self._lock = threading.Lock()
        self._writers = ThreadPoolExecutor(_WRITERS, thread_name_prefix="allowances")

    def reserve(self, client: ClientAccount, amount: int, waiter: Waiter) -> None:
        """Set ``amount`` tokens aside; raises BUDGET_EXHAUSTED or BUDGET_UNAVAILABLE."""
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
            self._await(account, ticket, waiter)
        if ticket.refused is ErrorKind.BUDGET_EXHAUSTED:
            raise _exhausted(client.name)
        if ticket.refused is not None:
            raise AspengateError(
                ErrorKind.BUDGET_UNAVAILABLE, "the store does not grant now", where=client.name
            )

    def settle(self, client: ClientAccount, reserved: int, used: int) -> None:
        """Replace a reservation by what was used."""
        account = self._account(client.name)
        with account.changed:
            account.purse.settle(reserved, used)
            if self._clock.monotonic_ms() < account.short_until_ms:
                self._schedule(account)

    def give_back(self, name: str) -> None:
        """Keep no more of an account than is needed, for a while; another router is short."""
        account = self._accounts.get(name)
        if account is None:
            return
        with account.changed:
            account.short_until_ms = self._clock.monotonic_ms() + _SHORT_MS
            if account.purse.free > 0:
                self._schedule(account)

    def limits_changed(self) -> None:
        """Look again at accounts after a new configuration."""
        for account in self._all():
            with account.changed:
                account.exhausted_until_ms = 0.0
                self._schedule(account)

    def tick(self) -> None:
        """Give back what is no longer needed; call it some times in ten seconds."""
        now = self._clock.monotonic_ms()
        for account in self._all():
            with account.changed:
                if self._surplus(account, now) > 0:
                    self._schedule(account)

    def close(self) -> None:
        """Settle every account exactly, as far as the store can be reached."""
        for account in self._all():
            with account.changed:
                account.working = True
                account.purse.granted = account.purse.used + account.purse.reserved
            try:
                self._close(account)
            except AspengateError as error:
                log_change("allowance.not_closed", account=account.name, error=str(error))
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

    def _await(self, account: _Account, ticket: _Ticket, waiter: Waiter) -> None:
        last = min(self._clock.monotonic_ms() + _LONGEST_WAIT_MS, waiter.deadline_ms)
        try:
            while not ticket.decided:
                if self._clock.monotonic_ms() >= last:
                    ticket.refused = ErrorKind.BUDGET_UNAVAILABLE
                    return
                account.changed.wait(_CALLER_CHECK_S)
                if not ticket.decided:
                    waiter.check_caller()
        finally:
            if ticket in account.waiting:
                account.waiting.remove(ticket)

    def _top_up(self, account: _Account, now: float) -> None:
        if account.document is None or account.working or now < account.short_until_ms:
            return
        demand = account.purse.demand(0, now)
        source = self._limit_of(account.name)
        if source is None:
            return
        unheld = source.limit - account.document.committed
        wanted = self._sizing.reserve(demand, unheld, self.routers)
        if account.purse.free < wanted * self._sizing.refill_part:
            self._schedule(account)

    def _surplus(self, account: _Account, now: float) -> float:
        if account.document is None or account.purse.free <= 0:
            return 0.0
        if now < account.short_until_ms or now - account.used_ms > _IDLE_MS:
            return float(account.purse.free)
        demand = account.purse.demand(0, now)
        source = self._limit_of(account.name)
        unheld = (source.limit if source else 0) - account.document.committed
        wanted = self._sizing.reserve(demand, unheld + account.purse.free, self.routers)
        return account.purse.free - wanted * _SURPLUS_FACTOR

    def _schedule(self, account: _Account) -> None:
        """Have a writer look after the account; call it with the account's lock held."""
        if account.working:
            return
        account.working = True
        account.recalls = 0
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
                return self._after_shortage(account)
            if plan == account.document and not account.uncertain:
                self._grant(account, plan.allowance(self.session))
            else:
                self._write(account, plan, source)
            return bool(account.waiting)
        except AspengateError as error:
            self._counters.count("allowances.store_failed")
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
            short = now < account.short_until_ms
            short = short or (not account.waiting and now - account.used_ms > _IDLE_MS)
            demand = purse.demand(sum(ticket.amount for ticket in fitting), now)
            target = purse.target(
                document, self.session, source.limit, self.routers, demand, short=short
            )
            purse.granted = min(purse.granted, target)
            if target == document.allowance(self.session):
                return document
            return set_allowance(document, self.session, target, source.limit)

    def _fitting(self, account: _Account, document: AllowanceDocument, limit: int) -> list[_Ticket]:
        """Return the waiting requests that fit, in the order in which they came."""
        most = document.most_for(self.session, limit)
        needed = account.purse.used + account.purse.reserved
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
        self._grant(account, target)

    def _grant(self, account: _Account, target: int) -> None:
        now = self._clock.monotonic_ms()
        with account.changed:
            if target != account.purse.granted:
                account.purse.granted = target
                log_change(
                    "allowance.granted",
                    account=account.name,
                    granted=target,
                    used=account.purse.used,
                    reserved=account.purse.reserved,
                    revision=account.revision,
                )
            for ticket in list(account.waiting):
                if account.purse.reserve(ticket.amount, now):
                    ticket.granted = True
                    account.waiting.remove(ticket)
            account.changed.notify_all()

    def _after_shortage(self, account: _Account) -> bool:
        """Ask others for what they do not need, then look again; refuse where that did not help."""
        with account.changed:
            account.short_until_ms = self._clock.monotonic_ms() + _SHORT_MS
            if account.recalls >= _MOST_RECALLS or self._nothing_to_recall(account):
                account.exhausted_until_ms = self._clock.monotonic_ms() + _EXHAUSTED_MS
                account.exhausted_amount = min(ticket.amount for ticket in account.waiting)
                self._refuse(account, ErrorKind.BUDGET_EXHAUSTED)
                return False
            account.recalls += 1
        self._counters.count("allowances.recalls")
        self._ask_peers(account.name)
        self._clock.sleep_ms(_PAUSE_MS)
        account.document = None
        return True

    def _nothing_to_recall(self, account: _Account) -> bool:
        """Return whether no other session may hold unused tokens, as of a fresh document."""
        document = account.document or AllowanceDocument()
        return account.recalls > 0 and set(document.sessions) <= {self.session}

    def _refuse(self, account: _Account, kind: ErrorKind) -> None:
        with account.changed:
            for ticket in account.waiting:
                ticket.refused = kind
            account.waiting.clear()
            account.changed.notify_all()

    def _close(self, account: _Account) -> None:
        for _ in range(_MOST_RECALLS):
            if account.document is None:
                self._read(account)
            document = account.document or AllowanceDocument()
            if account.purse.reserved:
                committed = account.purse.used + account.purse.reserved
                plan = set_allowance(document, self.session, committed, committed)
            else:
                plan = close_session(document, self.session, account.purse.used)
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
