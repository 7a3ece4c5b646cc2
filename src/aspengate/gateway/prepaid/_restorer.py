"""Restores accounts' documents after the store was restored from an older copy."""

from collections.abc import Callable

from aspengate.allowances import (
    AllowanceDocument,
    CeilingRegistry,
    adopt_document,
    restore_document,
    restore_sessions,
)
from aspengate.clock import Clock
from aspengate.gateway.prepaid._account import Account
from aspengate.gateway.prepaid._peer_grants import PeerGrants
from aspengate.gateway.prepaid._witness import SessionList
from aspengate.store import KeyValueStore, StoreItem, era_of, make_revision
from aspengate.telemetry import Counters, log_change

# Copies of the store are assumed to be younger than this, so that they contain everything that
# other sessions announced earlier.
_MAX_COPY_AGE_MS = 60_000.0


class DocumentRestorer:
    """Determines what a restored document has to contain, and whether tokens may be granted yet.

    ``session`` is this router's own. ``ceilings`` holds the ceilings of the sessions that it
    witnesses, and ``sessions`` reports which sessions are alive. ``others_restored`` returns
    whether a history of the store contains everything that the other routers remember.

    While ``recovers_unresponsive`` is set, routers that sent messages recently, but have not
    reported that their own state is restored, are treated like dead ones.
    """

    def __init__(
        self,
        session: str,
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        ceilings: CeilingRegistry,
        sessions: SessionList,
    ) -> None:
        self.session = session
        self.peer_grants = PeerGrants(clock)
        self.others_restored: Callable[[int], bool] = lambda _: False
        self.recovers_unresponsive = False
        self._store = store
        self._clock = clock
        self._counters = counters
        self._ceilings = ceilings
        self._sessions = sessions
        self._grace_ends_ms = float("-inf")
        self._store_restored = False

    @property
    def era(self) -> int:
        """The current history of the store."""
        return self._store.era.current

    def begin_grace_period(self, grace_ms: float, *, store_restored: bool) -> None:
        """Give all routers up to ``grace_ms`` to write again what the store lost.

        If ``store_restored`` is False, only documents of an earlier history are affected.
        """
        self.recovers_unresponsive = False
        self._store_restored = store_restored
        self._grace_ends_ms = self._clock.monotonic_ms() + grace_ms

    def may_grant(self, account: Account) -> bool:
        """Return whether tokens may be granted.

        That holds once the grace period is over, or earlier if everything known was written again.
        """
        if self._clock.monotonic_ms() >= self._grace_ends_ms:
            return True
        if not self._store_restored:
            return not account.is_copy
        return not account.needs_restore and self.others_restored(self.era)

    def accounts_to_recover(self) -> set[str]:
        """Return the accounts that possibly dead sessions drew tokens from."""
        since_ms = self._copy_horizon_ms()
        witnessed = self._ceilings.open_since(since_ms).items()
        drawn = {
            name for session, names in witnessed if self._may_be_dead(session) for name in names
        }
        granted = self.peer_grants.since(since_ms)
        return drawn | {each.account for each in granted if self._may_be_dead(each.session)}

    def reconcile(
        self, account: Account, stored: AllowanceDocument, item: StoreItem | None
    ) -> tuple[AllowanceDocument, bool]:
        """Return the document that the store has to contain, and whether it already does.

        ``stored`` is the document decoded from ``item``. Requires the account's lock.
        """
        revision = item.revision if item else 0
        adopted = adopt_document(stored, revision, self.era)
        restored = adopted
        if era_of(account.last_stored_revision) < self.era:
            restored = self._with_last_stored(account, stored, revision, adopted)
        if account.recovers_others:
            restored = self._with_recovered(account.name, restored)
        if restored == adopted:
            return adopted, True
        self._counters.count("allowances.restored")
        log_change(
            "allowance.restored",
            account=account.name,
            era=self.era,
            stored=adopted.committed,
            restored=restored.committed,
        )
        return restored, False

    def _with_last_stored(
        self, account: Account, stored: AllowanceDocument, revision: int, adopted: AllowanceDocument
    ) -> AllowanceDocument:
        """Return the document merged with what this router read and was granted before."""
        restored = adopted
        if account.last_stored is not None:
            known, known_revision = account.last_stored, account.last_stored_revision
            restored = restore_document(stored, revision, known, known_revision, self.era)
        if account.listed:
            restored = restore_sessions(restored, {self.session: account.balance.granted})
        return restored

    def _with_recovered(self, name: str, document: AllowanceDocument) -> AllowanceDocument:
        """Return the document with the allowances that possibly dead sessions obtained."""
        since_ms = self._copy_horizon_ms()
        used = {
            session: ceilings[name]
            for session, ceilings in self._ceilings.open_since(since_ms).items()
            if name in ceilings and self._may_be_dead(session)
        }
        document = restore_sessions(document, used, self.session)
        for grant in self.peer_grants.since(since_ms):
            if grant.account != name:
                continue
            is_lost = document.restored_from < grant.revision < make_revision(self.era, 0)
            if is_lost and self._may_be_dead(grant.session):
                allowed = {grant.session: grant.allowance}
                document = restore_sessions(document, allowed, grant.witness)
        return document

    def _may_be_dead(self, session: str) -> bool:
        """Return whether a session may be unable to write what the store lost of it."""
        if not self._sessions.is_alive(session):
            return True
        return self.recovers_unresponsive and not self._sessions.has_restored(session, self.era)

    def _copy_horizon_ms(self) -> float:
        return self._clock.monotonic_ms() - _MAX_COPY_AGE_MS
