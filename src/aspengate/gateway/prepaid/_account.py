"""The state of one account's prepaid tokens on this router."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.allowances import AllowanceDocument, TokenBalance
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import StoreItem, make_revision

ALLOWANCE_PREFIX = "aspengate/allowances/"


@dataclass(frozen=True)
class LimitSource:
    """Holds an account's limit and the ``revision`` of the configuration that it was read from."""

    limit: int
    revision: int = 0


@dataclass
class Ticket:
    """Represents a request that waits for tokens.

    ``on_decided`` is called with the account's lock held once the request is granted or refused; it
    is None for requests of this router's own callers. ``source_failed`` means that the source that
    was asked has no tokens, while the request itself is not yet decided. Once the request
    ``awaits_lenders``, only the end of that loan sets ``source_failed``.
    """

    amount: int
    granted: bool = False
    refused: ErrorKind | None = None
    source_failed: bool = False
    awaits_lenders: bool = False
    on_decided: "Callable[[Ticket], None] | None" = None

    @property
    def decided(self) -> bool:
        """Whether the request was granted or refused."""
        return self.granted or self.refused is not None

    def decide(self, *, refused: ErrorKind | None = None) -> None:
        """Grant the request, or refuse it if ``refused`` is given."""
        self.granted = refused is None
        self.refused = refused
        if self.on_decided is not None:
            self.on_decided(self)


@dataclass
class Account:
    """Holds an account's balance and the state of its document; guarded by ``changed``.

    ``session`` is this router's own, under which the document lists its allowance. ``limit`` is the
    account's limit in the latest configuration. ``document`` is the document as last read or
    written, at ``revision``; None if it has to be read again.

    ``last_stored`` is the newest document that the store is known to have contained, at
    ``last_stored_revision``; it is kept while ``document`` is None. The following flags concern a
    store that was restored from an older copy: ``needs_restore`` means that the store contains less
    than is known here, ``is_unchecked`` that this has not been determined yet, ``is_copy`` that the
    stored document predates the restoration, and ``recovers_others`` that the document may lack
    allowances that this router remembers of other sessions.

    ``uncertain`` means that a write without a response may still take effect as long as the
    document is unchanged; only another write, which advances the revision, rules that out.
    ``listed`` means that the store confirmed this session's entry in the document.
    ``named_witness`` is the witness that the document names for this session, regardless of the
    outcome of unanswered writes; empty if that is uncertain.

    The ``..._until_ms`` fields are monotonic times in ms. Until then: requests of at least
    ``exhausted_amount`` tokens are not covered (``exhausted``); the primary has no tokens to lend
    (``primary_empty``); the other routers have none (``others_empty``); the sessions that hold some
    according to the document have none (``holders_empty``); these sessions are being asked
    (``awaiting_holders``); no tokens are to be kept beyond what requests need (``scarce``).
    """

    name: str
    balance: TokenBalance
    session: str = ""
    limit: int = 0
    document: AllowanceDocument | None = None
    revision: int = 0
    last_stored: AllowanceDocument | None = None
    last_stored_revision: int = 0
    needs_restore: bool = False
    is_unchecked: bool = False
    is_copy: bool = False
    recovers_others: bool = False
    is_being_written: bool = False
    uncertain: bool = False
    listed: bool = False
    named_witness: str = ""
    waiting: list[Ticket] = field(default_factory=list)
    exhausted_until_ms: float = 0.0
    exhausted_amount: int = 0
    primary_empty_until_ms: float = 0.0
    others_empty_until_ms: float = 0.0
    holders_empty_until_ms: float = 0.0
    awaiting_holders_until_ms: float = 0.0
    scarce_until_ms: float = 0.0
    last_used_ms: float = 0.0
    changed: threading.Condition = field(default_factory=threading.Condition)

    @property
    def key(self) -> str:
        """The key of the account's document in the store."""
        return ALLOWANCE_PREFIX + self.name

    @property
    def has_unwritten_reduction(self) -> bool:
        """Whether this session's allowance was lowered here but not yet in the store.

        Until the store is updated, no other session can use the difference.
        """
        document, balance = self.document, self.balance
        if document is None or not self.listed:
            return False
        return balance.granted < document.allowance(self.session)

    @property
    def waiting_tokens(self) -> int:
        """The sum of the tokens that waiting requests need."""
        return sum(ticket.amount for ticket in self.waiting)

    @property
    def first_own_ticket(self) -> Ticket | None:
        """The first waiting request of this router's own callers, or None."""
        return next((ticket for ticket in self.waiting if ticket.on_decided is None), None)

    def set_document(self, document: AllowanceDocument, item: StoreItem | None) -> None:
        """Use a document that was read from the store."""
        self.document = document
        self.revision = item.revision if item else 0

    def record_stored(self, era: int) -> None:
        """Record that the store contains the current document in its history ``era``."""
        self.last_stored = self.document
        self.last_stored_revision = max(self.revision, make_revision(era, 0))
        self.needs_restore = False
        self.is_unchecked = False
        self.recovers_others = False

    def grant_waiting(self, now_ms: float) -> None:
        """Grant the waiting requests that are covered, in order; requires the lock.

        A callback of a granted request may call this method again before the next request is
        examined.
        """
        for ticket in list(self.waiting):
            if ticket in self.waiting and self.balance.reserve(ticket.amount, now_ms):
                self.waiting.remove(ticket)
                ticket.decide()
        self.changed.notify_all()

    def refuse_waiting(self, kind: ErrorKind) -> None:
        """Refuse all waiting requests; requires the lock."""
        waiting, self.waiting = self.waiting, []
        for ticket in waiting:
            ticket.decide(refused=kind)
        self.changed.notify_all()

    def try_next_source(self, *, borrowers: bool, held: int = 0) -> None:
        """Make waiting requests try their next source; requires the lock.

        With ``borrowers``, requests of other routers are refused. The first requests that ``held``
        tokens cover keep waiting, since they only need their witness to accept a ceiling.
        """
        for ticket in list(self.waiting):
            if ticket.amount <= held:
                held -= ticket.amount
            elif ticket.on_decided is None:
                ticket.source_failed = ticket.source_failed or not ticket.awaits_lenders
            elif borrowers:
                self.waiting.remove(ticket)
                ticket.decide(refused=ErrorKind.BUDGET_UNAVAILABLE)
        self.changed.notify_all()

    def stop_borrowing(self) -> None:
        """Make requests that wait for lenders go on without them; requires the lock."""
        for ticket in self.waiting:
            ticket.source_failed = ticket.source_failed or ticket.awaits_lenders
        self.changed.notify_all()

    def remove_waiting(self, ticket: Ticket) -> None:
        """Remove a request that does not wait any more; requires the lock."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)

    def exhausted(self) -> AspengateError:
        """Return the error for a request that the account's limit does not cover."""
        message = "the prepaid tokens do not cover the request"
        return AspengateError(ErrorKind.BUDGET_EXHAUSTED, message, where=self.name)
