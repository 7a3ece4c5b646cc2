"""Reads and writes accounts' documents in the store."""

from collections.abc import Callable
from dataclasses import replace

from aspengate.allowances import (
    AllowanceDocument,
    AllowanceSizing,
    Holding,
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
    note_exhausted,
    note_granted,
    note_undercounted,
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

_SEEMS_DOWN_MS = 1_500.0
_IS_DOWN_MS = 10_000.0
_CLOSE_ATTEMPTS = 3
_CLOSE_WAIT_S = 0.3
_EXHAUSTED_MS = 400.0
_IDLE_MS = 20_000.0


class DocumentWriter:
    """Changes accounts' documents; one call for an account at a time.

    ``is_primary`` tells of an account whether this router draws for all, ``reaches_store``
    whether other calls to the store succeed, and ``is_dead`` of a session and its witness
    whether that session may be settled. ``ask_holders`` asks the sessions that hold tokens of a
    spent account, with its lock held, and returns whether their answer is to be waited for.
    ``outlook`` tells what outage of the store the reserve is to last for, and ``tell_grant`` has
    some others remember a grant of the store.

    After the store came back from an older copy, documents are written again as ``restorer`` says,
    and nothing is granted anew before it agrees. ``on_restored`` is called after each account that
    was checked.
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
        self.outlook: Callable[[], OutageForecast] = OutageForecast
        self.tell_grant: Callable[[Grant], None] = lambda _: None
        self.on_restored: Callable[[], None] = lambda: None
        self.ask_holders: Callable[[Account, float], bool] = lambda *_: False
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

    def seems_down(self, now: float) -> bool:
        """Return whether the store did not answer, and has not since.

        Where nothing else reaches the store either, it is not asked before it answers that.
        """
        if not self._reaches_store() and now - self._store.last_answer_ms > _SEEMS_DOWN_MS:
            return True
        if self._store.last_answer_ms > self._failed_ms:
            return False
        patience_ms = _SEEMS_DOWN_MS if self._reaches_store() else _IS_DOWN_MS
        return now - self._failed_ms < patience_ms

    def holding(self, account: Account, limit: int, own: int) -> Holding:
        """Return how an account stands, where ``own`` unused tokens could be given back."""
        document = account.document or AllowanceDocument()
        outage = self.outlook()
        return Holding(
            limit=limit,
            unheld=limit - document.committed + own,
            routers=self.routers,
            part=self._part(account.name, document),
            lost_sessions=document.lost_sessions,
            outage_ms=outage.length_ms,
            readiness=outage.readiness,
        )

    def _part(self, name: str, document: AllowanceDocument) -> float:
        return 1.0 if self._is_primary(name) else document.part_of(self.session)

    def work(self, account: Account) -> None:
        """Write the account's document until nothing is left to do."""
        try:
            while self._step(account):
                pass
        except Exception as error:
            self._counters.count("allowances.failed")
            log_change("allowance.failed", account=account.name, error=repr(error))
            self._pass_over(account)

    def raise_ceiling(self, account: Account, witness: str, ceiling: int) -> bool:
        """Use a ceiling that a witness accepted; return whether the document names it.

        Call it with the account's lock held.
        """
        if not account.listed or account.purse.ceiling is None:
            return False
        if not witness or account.named_witness != witness:
            return False
        account.purse.ceiling = max(ceiling, account.purse.ceiling)
        return True

    def settle_for_good(self, account: Account) -> None:
        """Count what the session used of an account, and that it will use no more."""
        with account.changed:
            account.purse.frozen = True
            account.pass_over(borrowers=True)
            account.changed.wait_for(lambda: not account.working, _CLOSE_WAIT_S)
            account.working = True
        try:
            self._close(account)
        except AspengateError as error:
            log_change("allowance.not_closed", account=account.name, error=str(error))

    def _step(self, account: Account) -> bool:
        """Make one call to the store, if one is needed; return whether to go on."""
        source = self._limit_of(account.name)
        is_used = source is not None or account.is_unchecked
        if account.purse.frozen or not is_used:
            self._pass_over(account)
            return False
        try:
            self._refresh(account)
            if source is None or not self.restorer.may_grant(account):
                return self._write_again(account)
            document = self._without_dead(account.name, account.document or AllowanceDocument())
            document = document.with_limit(source.limit, source.revision)
            source = replace(source, limit=document.limit)
            plan = self._plan(account, document, source)
            if plan is None:
                if self._asks_holders(account):
                    return False
                note_exhausted(account, source.limit, self.session)
                self._refuse(account)
                return False
            if plan == account.document and not account.uncertain and not account.restores:
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
            self._pass_over(account)
            return False

    def _write_again(self, account: Account) -> bool:
        """Write what the store lost, without granting anything; return whether to try again."""
        document = account.document or AllowanceDocument()
        if not account.restores:
            self._grant(account, document)
        elif not self._write(account, document):
            return True
        self.on_restored()
        if self.restorer.may_grant(account):
            return bool(account.waiting)
        self._pass_over(account)
        return False

    def _asks_holders(self, account: Account) -> bool:
        """Return whether requests wait for what other sessions hold of a spent account."""
        with account.changed:
            return self.ask_holders(account, self._clock.monotonic_ms())

    def _refresh(self, account: Account) -> None:
        """Read the document where it is not known, or is of before the store came back."""
        if account.revision and era_of(account.revision) < self._store.era.current:
            account.document = None
        if account.document is None:
            self._read(account)

    def _read(self, account: Account) -> None:
        self._take(account, self._store.get(account.key))

    def _take(self, account: Account, item: StoreItem | None) -> None:
        document = decode_document(item.value) if item else AllowanceDocument()
        if document.is_undercounted:
            self._counters.count("allowances.undercounted")
            note_undercounted(account, document)
        era = self.restorer.era
        with account.changed:
            restored, is_stored = self.restorer.compare(account, document, item)
            account.take(restored, item)
            account.is_copy = item is not None and document.era < era
            account.restores = not is_stored
            account.named_witness = restored.witness(self.session) if is_stored else ""
            if is_stored:
                account.note_known(era)
            document = restored
            if account.listed and self.session not in document.sessions:
                account.listed = False
                account.purse.count_as_closed()
                log_change("allowance.closed_elsewhere", account=account.name)

    def _without_dead(self, name: str, document: AllowanceDocument) -> AllowanceDocument:
        """Return the document with dead sessions settled, as far as their witnesses tell."""
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
        """Return the document to write; None where requests wait and none of them fits.

        An allowance that is to be lowered is lowered here before it is in the store.
        """
        now = self._clock.monotonic_ms()
        with account.changed:
            purse = account.purse
            fitting = self._fitting(account, document, source.limit)
            if account.waiting and not fitting:
                return None
            idle = not account.waiting and now - account.used_ms > _IDLE_MS
            demand = purse.demand(sum(ticket.amount for ticket in fitting), now)
            is_primary = self._is_primary(account.name)
            target = purse.target(
                document,
                self.session,
                source.limit,
                self.routers,
                demand,
                idle=idle,
                is_primary=is_primary,
                outage=self.outlook(),
            )
            purse.granted = min(purse.granted, target)
            ceiling = min(target, demand.committed + demand.waiting + self._sizing.ahead(demand))
        witness = self._bind(account, max(0, ceiling))
        if self.session not in document.sessions:
            is_same = target == 0
        else:
            is_same = target == document.allowance(self.session)
            is_same = is_same and witness == document.witness(self.session)
        if is_same:
            return document
        return set_allowance(document, self.session, target, source.limit, witness)

    def _bind(self, account: Account, ceiling: int) -> str:
        """Have the present witness accept a ceiling; return its session, empty without one.

        From here on no more is used than both the witness that the document names and the
        present one have accepted, until the store confirms which of them holds.
        """
        witness, accepted = self._witness.ensure(account.name, ceiling)
        with account.changed:
            if witness != account.named_witness:
                account.named_witness = ""
            if not witness:
                return ""
            purse = account.purse
            purse.ceiling = accepted if purse.ceiling is None else min(purse.ceiling, accepted)
            committed = purse.committed
        if committed <= accepted:
            return witness
        again, accepted = self._witness.ensure(account.name, max(0, committed))
        return again if again == witness else ""

    def _fitting(self, account: Account, document: AllowanceDocument, limit: int) -> list[Ticket]:
        """Return the waiting requests that fit, in the order in which they came."""
        most = document.most_for(self.session, limit)
        needed = account.purse.committed
        fitting = []
        for ticket in account.waiting:
            if needed + ticket.amount <= most:
                needed += ticket.amount
                fitting.append(ticket)
        return fitting

    def _write(self, account: Account, plan: AllowanceDocument) -> bool:
        """Write the document; return whether it is done, False where another write came first.

        It is to be planned anew then: an allowance that was lowered for it is used no more.
        """
        key = account.key
        put = Put(key, encode_document(plan))
        try:
            revision = self.writes.write(put, account.revision, urgent=bool(account.waiting))
        except ConditionFailedError as failure:
            self._counters.count("allowances.conflicts")
            self._take(account, failure.items.get(key))
            return False
        self._counters.count("allowances.writes")
        with account.changed:
            account.uncertain = False
            account.document = plan
            account.revision = revision
            account.note_known(era_of(revision))
        self._tell_raised(account, plan, revision)
        self._grant(account, plan)
        return True

    def _tell_raised(self, account: Account, document: AllowanceDocument, revision: int) -> None:
        """Have some others remember a higher allowance, before any of it is used."""
        allowance = document.allowance(self.session)
        if allowance > account.purse.granted:
            witness = document.witness(self.session)
            self.tell_grant(Grant(account.name, self.session, allowance, revision, witness))

    def _grant(self, account: Account, document: AllowanceDocument) -> None:
        """Use what the store confirmed."""
        target = document.allowance(self.session)
        witness = document.witness(self.session)
        accepted = self._witness.accepted(account.name, witness) if witness else 0
        now = self._clock.monotonic_ms()
        with account.changed:
            purse = account.purse
            account.listed = self.session in document.sessions
            account.named_witness = witness
            if target != purse.granted:
                purse.granted = target
                note_granted(account, document, self.session)
            purse.ceiling = max(accepted, purse.ceiling or 0) if witness else None
            account.grant_waiting(now)

    def _refuse(self, account: Account) -> None:
        """Refuse the waiting requests, none of which the limit covers."""
        with account.changed:
            if account.waiting:
                account.exhausted_until_ms = self._clock.monotonic_ms() + _EXHAUSTED_MS
                account.exhausted_amount = min(ticket.amount for ticket in account.waiting)
            account.refuse_waiting(ErrorKind.BUDGET_EXHAUSTED)

    def _pass_over(self, account: Account) -> None:
        """Have requests look elsewhere, but for those that wait for the witness alone."""
        with account.changed:
            purse = account.purse
            waits = self._witness.accepted(account.name, account.named_witness)
            held = purse.held if waits and purse.ceiling is not None else 0
            account.pass_over(borrowers=True, held=max(0, held))

    def _close(self, account: Account) -> None:
        for _ in range(_CLOSE_ATTEMPTS):
            self._refresh(account)
            plan, revision = self._closing_plan(account)
            if plan == account.document:
                return
            try:
                put = Put(account.key, encode_document(plan))
                self._store.transact({account.key: revision}, (put,))
                return
            except ConditionFailedError as failure:
                self._take(account, failure.items.get(account.key))
            except AspengateError as error:
                if error.kind is not ErrorKind.OUTCOME_UNKNOWN:
                    raise
                account.document = None

    def _closing_plan(self, account: Account) -> tuple[AllowanceDocument, int]:
        """Return the document to write at the end, and the revision that it follows."""
        with account.changed:
            document = account.document or AllowanceDocument()
            purse = account.purse
            if purse.reserved:
                committed = purse.committed
                plan = set_allowance(document, self.session, committed, committed)
            else:
                plan = end_session(document, self.session, purse.settled, purse.spent)
            return plan, account.revision
