"""Reads and writes accounts' documents in the store."""

from collections.abc import Callable
from dataclasses import replace

from aspengate.allowances import (
    AllocationState,
    AllowanceDocument,
    AllowanceSizing,
    close_session,
    decode_document,
    encode_document,
    end_session,
    set_allowance,
)
from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway.prepaid._account import Account, LimitSource, Ticket
from aspengate.gateway.prepaid._restorer import DocumentRestorer
from aspengate.gateway.prepaid._statements import (
    log_exhausted,
    log_granted,
    log_undercounted,
)
from aspengate.gateway.prepaid._witness import Witness
from aspengate.peers import Grant
from aspengate.store import (
    ConditionFailedError,
    GroupedWrites,
    KeyValueStore,
    OutageForecast,
    Put,
    StoreItem,
    era_of,
)
from aspengate.telemetry import Counters, log_change

_DOWN_AFTER_FAILURE_MS = 1_500.0
_DOWN_WHILE_UNREACHABLE_MS = 10_000.0
_MAX_CLOSE_ATTEMPTS = 3
_CLOSE_WAIT_TIMEOUT_S = 0.3
_EXHAUSTED_BACKOFF_MS = 400.0
_IDLE_AFTER_MS = 20_000.0


class DocumentWriter:
    """Reads and changes accounts' documents, with at most one call at a time for each account.

    ``is_primary`` returns whether this router draws an account's tokens for all routers,
    ``reaches_store`` whether other calls to the store succeed, and ``is_dead`` whether a session,
    given with its witness, may be settled on its behalf.

    Callbacks: ``borrow_from_holders`` asks the sessions that hold tokens of an exhausted account
    for them, with the account's lock held, and returns whether to wait for their replies.
    ``outage_outlook`` returns the outage of the store that the reserve has to cover.
    ``announce_grant`` sends a grant to some other routers, which remember it. ``on_restored`` is
    called after each account that was checked.

    After the store was restored from an older copy, documents are written again as ``restorer``
    determines, and no tokens are granted until it allows that.
    """

    def __init__(
        self,
        *,
        session: str,
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        limit_of: Callable[[str], LimitSource | None],
        sizing: AllowanceSizing,
        witness: Witness,
        is_primary: Callable[[str], bool],
        reaches_store: Callable[[], bool],
        is_dead: Callable[[str, str], bool],
        restorer: DocumentRestorer,
    ) -> None:
        self.session = session
        self.restorer = restorer
        self.routers = 1
        self.outage_outlook: Callable[[], OutageForecast] = OutageForecast
        self.announce_grant: Callable[[Grant], None] = lambda _: None
        self.on_restored: Callable[[], None] = lambda: None
        self.borrow_from_holders: Callable[[Account, float], bool] = lambda *_: False
        self.writes = GroupedWrites(store)
        self._store = store
        self._clock = clock
        self._counters = counters
        self._limit_of = limit_of
        self._sizing = sizing
        self._witness = witness
        self._is_primary = is_primary
        self._reaches_store = reaches_store
        self._is_dead = is_dead
        self._failed_ms = float("-inf")

    def store_seems_down(self, now: float) -> bool:
        """Return whether the store appears to be down, so that it should not be called.

        It does for some time after a failed call. If no other calls reach the store either, it does
        until the store answers one of them.
        """
        if not self._reaches_store() and now - self._store.last_answer_ms > _DOWN_AFTER_FAILURE_MS:
            return True
        if self._store.last_answer_ms > self._failed_ms:
            return False
        down_ms = _DOWN_AFTER_FAILURE_MS if self._reaches_store() else _DOWN_WHILE_UNREACHABLE_MS
        return now - self._failed_ms < down_ms

    def allocation_state(self, account: Account, limit: int, returnable: int) -> AllocationState:
        """Return how the account is allocated if ``returnable`` unused tokens were returned."""
        document = account.document or AllowanceDocument()
        outage = self.outage_outlook()
        return AllocationState(
            limit=limit,
            unallocated=limit - document.committed + returnable,
            routers=self.routers,
            share=self._share(account.name, document),
            lost_sessions=document.lost_sessions,
            outage_ms=outage.length_ms,
            readiness=outage.readiness,
        )

    def _share(self, name: str, document: AllowanceDocument) -> float:
        return 1.0 if self._is_primary(name) else document.share_of(self.session)

    def process(self, account: Account) -> None:
        """Write the account's document until no change is left."""
        try:
            while self._step(account):
                pass
        except Exception as error:
            self._counters.count("allowances.failed")
            log_change("allowance.failed", account=account.name, error=repr(error))
            self._try_next_source(account)

    def raise_ceiling(self, account: Account, witness: str, ceiling: int) -> bool:
        """Apply a ceiling that a witness accepted; return whether the document names the witness.

        Requires the account's lock.
        """
        if not account.listed or account.balance.ceiling is None:
            return False
        if not witness or account.named_witness != witness:
            return False
        account.balance.ceiling = max(ceiling, account.balance.ceiling)
        return True

    def close_account(self, account: Account) -> None:
        """Settle the tokens that the session used of an account, which it will not use any more."""
        with account.changed:
            account.balance.frozen = True
            account.try_next_source(borrowers=True)
            account.changed.wait_for(lambda: not account.is_being_written, _CLOSE_WAIT_TIMEOUT_S)
            account.is_being_written = True
        try:
            self._close(account)
        except AspengateError as error:
            log_change("allowance.not_closed", account=account.name, error=str(error))

    def _step(self, account: Account) -> bool:
        """Make at most one change to the stored document; return whether to continue."""
        source = self._limit_of(account.name)
        is_active = source is not None or account.is_unchecked
        if account.balance.frozen or not is_active:
            self._try_next_source(account)
            return False
        try:
            self._refresh(account)
            if source is None or not self.restorer.may_grant(account):
                return self._write_restored(account)
            document = self._without_dead_sessions(
                account.name, account.document or AllowanceDocument()
            )
            document = document.with_limit(source.limit, source.revision)
            source = replace(source, limit=document.limit)
            plan = self._plan(account, document, source)
            if plan is None:
                if self._borrows_from_holders(account):
                    return False
                log_exhausted(account, source.limit, self.session)
                self._refuse(account)
                return False
            if plan == account.document and not account.uncertain and not account.needs_restore:
                self._grant(account, plan)
            elif not self._write(account, plan):
                return True
            return bool(account.waiting)
        except AspengateError as error:
            self._counters.count("allowances.store_failed")
            self._failed_ms = self._clock.monotonic_ms()
            account.document = None
            if error.kind is ErrorKind.OUTCOME_UNKNOWN:
                account.uncertain = True
                return True
            self._try_next_source(account)
            return False

    def _write_restored(self, account: Account) -> bool:
        """Write what the store lost without granting tokens; return whether to continue."""
        document = account.document or AllowanceDocument()
        if not account.needs_restore:
            self._grant(account, document)
        elif not self._write(account, document):
            return True
        self.on_restored()
        if self.restorer.may_grant(account):
            return bool(account.waiting)
        self._try_next_source(account)
        return False

    def _borrows_from_holders(self, account: Account) -> bool:
        """Return whether requests wait for tokens that other sessions hold."""
        with account.changed:
            return self.borrow_from_holders(account, self._clock.monotonic_ms())

    def _refresh(self, account: Account) -> None:
        """Read the document if it is unknown or from an earlier history of the store."""
        if account.revision and era_of(account.revision) < self._store.era.current:
            account.document = None
        if account.document is None:
            self._read(account)

    def _read(self, account: Account) -> None:
        self._load_item(account, self._store.get(account.key))

    def _load_item(self, account: Account, item: StoreItem | None) -> None:
        document = decode_document(item.value) if item else AllowanceDocument()
        if document.is_undercounted:
            self._counters.count("allowances.undercounted")
            log_undercounted(account, document)
        era = self.restorer.era
        with account.changed:
            restored, is_stored = self.restorer.reconcile(account, document, item)
            account.set_document(restored, item)
            account.is_copy = item is not None and document.era < era
            account.needs_restore = not is_stored
            account.named_witness = restored.witness(self.session) if is_stored else ""
            if is_stored:
                account.record_stored(era)
            document = restored
            if account.listed and self.session not in document.sessions:
                account.listed = False
                account.balance.rebase_after_close()
                log_change("allowance.closed_elsewhere", account=account.name)

    def _without_dead_sessions(self, name: str, document: AllowanceDocument) -> AllowanceDocument:
        """Return the document with dead sessions settled, if their ceilings are known."""
        for session, allowance in list(document.sessions.items()):
            witness = document.witness(session)
            if not witness or not self._is_dead(session, witness):
                continue
            ceilings = self._witness.close_session(session, witness)
            if ceilings is not None and name in ceilings:
                used = min(allowance, ceilings[name])
                document = close_session(document, session, used)
                log_change(
                    "allowance.reclaimed",
                    account=name,
                    session=session,
                    amount=allowance - used,
                )
        return document

    def _plan(
        self, account: Account, document: AllowanceDocument, source: LimitSource
    ) -> AllowanceDocument | None:
        """Return the document to write, or None if no waiting request fits into the limit.

        An allowance that is to be lowered is lowered locally before it is written.
        """
        now = self._clock.monotonic_ms()
        with account.changed:
            balance = account.balance
            fitting = self._fitting_tickets(account, document, source.limit)
            if account.waiting and not fitting:
                return None
            idle = not account.waiting and now - account.last_used_ms > _IDLE_AFTER_MS
            demand = balance.demand(sum(ticket.amount for ticket in fitting), now)
            is_primary = self._is_primary(account.name)
            target = balance.target(
                document,
                self.session,
                source.limit,
                self.routers,
                demand,
                idle=idle,
                is_primary=is_primary,
                outage=self.outage_outlook(),
            )
            balance.granted = min(balance.granted, target)
            ceiling = min(
                target, demand.committed + demand.waiting + self._sizing.ceiling_headroom(demand)
            )
        witness = self._ensure_witness(account, max(0, ceiling))
        if self.session not in document.sessions:
            is_unchanged = target == 0
        else:
            is_unchanged = target == document.allowance(self.session)
            is_unchanged = is_unchanged and witness == document.witness(self.session)
        if is_unchanged:
            return document
        return set_allowance(document, self.session, target, source.limit, witness)

    def _ensure_witness(self, account: Account, ceiling: int) -> str:
        """Make the witness accept a ceiling; return its session, or an empty string.

        From here on, until the store confirms one of the two witnesses, usage is limited to what
        both the witness named in the document and the current one have accepted.
        """
        witness, accepted = self._witness.ensure_ceiling(account.name, ceiling)
        with account.changed:
            if witness != account.named_witness:
                account.named_witness = ""
            if not witness:
                return ""
            balance = account.balance
            balance.ceiling = (
                accepted if balance.ceiling is None else min(balance.ceiling, accepted)
            )
            committed = balance.committed
        if committed <= accepted:
            return witness
        again, accepted = self._witness.ensure_ceiling(account.name, max(0, committed))
        return again if again == witness else ""

    def _fitting_tickets(
        self, account: Account, document: AllowanceDocument, limit: int
    ) -> list[Ticket]:
        """Return the waiting requests that fit into the limit, in the order of arrival."""
        most = document.max_allowance(self.session, limit)
        needed = account.balance.committed
        fitting = []
        for ticket in account.waiting:
            if needed + ticket.amount <= most:
                needed += ticket.amount
                fitting.append(ticket)
        return fitting

    def _write(self, account: Account, plan: AllowanceDocument) -> bool:
        """Write the document; return False if another write came first.

        The change then has to be planned again. An allowance that was lowered for it stays lowered.
        """
        key = account.key
        put = Put(key, encode_document(plan))
        try:
            revision = self.writes.write(put, account.revision, urgent=bool(account.waiting))
        except ConditionFailedError as failure:
            self._counters.count("allowances.conflicts")
            self._load_item(account, failure.items.get(key))
            return False
        self._counters.count("allowances.writes")
        with account.changed:
            account.uncertain = False
            account.document = plan
            account.revision = revision
            account.record_stored(era_of(revision))
        self._announce_raise(account, plan, revision)
        self._grant(account, plan)
        return True

    def _announce_raise(self, account: Account, document: AllowanceDocument, revision: int) -> None:
        """Announce a raised allowance to some other routers before any of it is used."""
        allowance = document.allowance(self.session)
        if allowance > account.balance.granted:
            witness = document.witness(self.session)
            self.announce_grant(Grant(account.name, self.session, allowance, revision, witness))

    def _grant(self, account: Account, document: AllowanceDocument) -> None:
        """Apply the allowance that the store confirmed."""
        target = document.allowance(self.session)
        witness = document.witness(self.session)
        accepted = self._witness.accepted_ceiling(account.name, witness) if witness else 0
        now = self._clock.monotonic_ms()
        with account.changed:
            balance = account.balance
            account.listed = self.session in document.sessions
            account.named_witness = witness
            if target != balance.granted:
                balance.granted = target
                log_granted(account, document, self.session)
            balance.ceiling = max(accepted, balance.ceiling or 0) if witness else None
            account.grant_waiting(now)

    def _refuse(self, account: Account) -> None:
        """Refuse the waiting requests, none of which the limit covers."""
        with account.changed:
            if account.waiting:
                account.exhausted_until_ms = self._clock.monotonic_ms() + _EXHAUSTED_BACKOFF_MS
                account.exhausted_amount = min(ticket.amount for ticket in account.waiting)
            account.refuse_waiting(ErrorKind.BUDGET_EXHAUSTED)

    def _try_next_source(self, account: Account) -> None:
        """Make requests try their next source, except those that wait only for the witness."""
        with account.changed:
            balance = account.balance
            waits = self._witness.accepted_ceiling(account.name, account.named_witness)
            held = balance.held if waits and balance.ceiling is not None else 0
            account.try_next_source(borrowers=True, held=max(0, held))

    def _close(self, account: Account) -> None:
        for _ in range(_MAX_CLOSE_ATTEMPTS):
            self._refresh(account)
            plan, revision = self._closing_plan(account)
            if plan == account.document:
                return
            try:
                put = Put(account.key, encode_document(plan))
                self._store.transact({account.key: revision}, (put,))
                return
            except ConditionFailedError as failure:
                self._load_item(account, failure.items.get(account.key))
            except AspengateError as error:
                if error.kind is not ErrorKind.OUTCOME_UNKNOWN:
                    raise
                account.document = None

    def _closing_plan(self, account: Account) -> tuple[AllowanceDocument, int]:
        """Return the document to write when the session ends, and the revision it replaces."""
        with account.changed:
            document = account.document or AllowanceDocument()
            balance = account.balance
            if balance.reserved:
                committed = balance.committed
                plan = set_allowance(document, self.session, committed, committed)
            else:
                plan = end_session(document, self.session, balance.settled, balance.spent)
            return plan, account.revision
