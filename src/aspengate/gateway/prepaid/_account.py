"""One account as this router knows it."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.allowances import AllowanceDocument, TokenBalance
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import StoreItem, make_revision

ALLOWANCE_PREFIX = "aspengate/allowances/"


@dataclass(frozen=True)
class LimitSource:
    """An account's limit, as of the ``revision`` of the configuration that it was read from."""

    limit: int
    revision: int = 0


@dataclass
class Ticket:
    """A request that waits for tokens.

    ``on_decided`` is called once it is granted or refused, with the account's lock held.
    ``source_failed`` means that the source which was asked has none; it is not decided yet. Once
    it ``awaits_lenders``, only these tell that.
    """

    amount: int
    granted: bool = False
    refused: ErrorKind | None = None
    source_failed: bool = False
    awaits_lenders: bool = False
    on_decided: "Callable[[Ticket], None] | None" = None

    @property
    def decided(self) -> bool:
        """Whether the request need not wait any longer."""
        return self.granted or self.refused is not None

    def decide(self, *, refused: ErrorKind | None = None) -> None:
        """Grant the request, or refuse it."""
        self.granted = refused is None
        self.refused = refused
        if self.on_decided is not None:
            self.on_decided(self)


@dataclass
class Account:
    """One account's balance with what is known of its document; guarded by ``changed``.

    ``session`` is this router's own, under which the document lists what it may use.
    ``limit`` is what it may use in all, as the last configuration said.

    ``known`` is the newest document that the store is known to have held, as of ``known_revision``,
    also while ``document`` is not believed. ``restores`` means that the store came back from an
    older copy and holds less than is known here, ``is_unchecked`` that this is not known yet,
    ``is_copy`` that what it holds is of before, and
    ``recovers_others`` that it may lack what this router remembers of other sessions.

    ``uncertain`` means that a write without an answer may still take effect while the document
    is unchanged: only another write, which moves the revision on, rules that out. ``listed``
    means that the store confirmed this session's entry in the document. ``named_witness`` is the
    witness that the document names for it, whatever becomes of writes without answer; empty where
    that is not certain.

    Until the times given here, in monotonic milliseconds: requests of ``exhausted_amount`` or
    more are not covered; the primary has nothing to lend, nor have the others, nor have those
    that hold some by the document; these are being asked; and nothing is to be kept beyond what
    requests need.
    """

    name: str
    balance: TokenBalance
    session: str = ""
    limit: int = 0
    document: AllowanceDocument | None = None
    revision: int = 0
    known: AllowanceDocument | None = None
    known_revision: int = 0
    needs_restore: bool = False
    is_unchecked: bool = False
    is_copy: bool = False
    recovers_others: bool = False
    working: bool = False
    uncertain: bool = False
    listed: bool = False
    named_witness: str = ""
    waiting: list[Ticket] = field(default_factory=list)
    exhausted_until_ms: float = 0.0
    exhausted_amount: int = 0
    unavailable_until_ms: float = 0.0
    others_empty_until_ms: float = 0.0
    holders_empty_until_ms: float = 0.0
    asking_holders_until_ms: float = 0.0
    scarce_until_ms: float = 0.0
    used_ms: float = 0.0
    changed: threading.Condition = field(default_factory=threading.Condition)

    @property
    def key(self) -> str:
        """Where the account's document is in the store."""
        return ALLOWANCE_PREFIX + self.name

    @property
    def is_lowered(self) -> bool:
        """Whether less is used than the document allows; nobody else gets the rest meanwhile."""
        document, balance = self.document, self.balance
        if document is None or not self.listed:
            return False
        return balance.granted < document.allowance(self.session)

    @property
    def waited_for(self) -> int:
        """The tokens that waiting requests need."""
        return sum(ticket.amount for ticket in self.waiting)

    @property
    def first_own(self) -> Ticket | None:
        """The first waiting request of this router's own callers."""
        return next((ticket for ticket in self.waiting if ticket.on_decided is None), None)

    def set_document(self, document: AllowanceDocument, item: StoreItem | None) -> None:
        """Believe a document that was read."""
        self.document = document
        self.revision = item.revision if item else 0

    def record_stored(self, era: int) -> None:
        """Note that the store holds the present document in its history ``era``."""
        self.known = self.document
        self.known_revision = max(self.revision, make_revision(era, 0))
        self.needs_restore = False
        self.is_unchecked = False
        self.recovers_others = False

    def grant_waiting(self, now_ms: float) -> None:
        """Grant the waiting requests that are covered, in order; call it with the lock held.

        What is told of a decision may come back here before the next request is looked at.
        """
        for ticket in list(self.waiting):
            if ticket in self.waiting and self.balance.reserve(ticket.amount, now_ms):
                self.waiting.remove(ticket)
                ticket.decide()
        self.changed.notify_all()

    def refuse_waiting(self, kind: ErrorKind) -> None:
        """Refuse all waiting requests; call it with the lock held."""
        waiting, self.waiting = self.waiting, []
        for ticket in waiting:
            ticket.decide(refused=kind)
        self.changed.notify_all()

    def try_next_source(self, *, borrowers: bool, held: int = 0) -> None:
        """Have waiting requests look elsewhere; with ``borrowers``, refuse those of others too.

        The first ones that ``held`` tokens cover go on waiting: only their witness is to hear of
        them. Call it with the lock held.
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
        """Have those that asked other routers know that these have none; the lock is held."""
        for ticket in self.waiting:
            ticket.source_failed = ticket.source_failed or ticket.awaits_lenders
        self.changed.notify_all()

    def remove_waiting(self, ticket: Ticket) -> None:
        """Forget a request that waits no longer; call it with the lock held."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)

    def exhausted(self) -> AspengateError:
        """Return the error for a request that the account's limit does not cover."""
        message = "the prepaid tokens do not cover the request"
        return AspengateError(ErrorKind.BUDGET_EXHAUSTED, message, where=self.name)
