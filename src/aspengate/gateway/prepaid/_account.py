"""One account as this router knows it."""

import threading
from dataclasses import dataclass, field

from aspengate.allowances import AllowanceDocument, Purse
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import StoreItem

ALLOWANCE_PREFIX = "aspengate/allowances/"


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
class Ticket:
    """A request that waits for tokens."""

    amount: int
    granted: bool = False
    refused: ErrorKind | None = None

    @property
    def decided(self) -> bool:
        """Whether the request need not wait any longer."""
        return self.granted or self.refused is not None


@dataclass
class Account:
    """One account's purse with what is known of its document; guarded by ``changed``.

    ``uncertain`` means that a write without an answer may still take effect while the document
    is unchanged: only another write, which moves the revision on, rules that out. ``listed``
    means that the store confirmed this session's entry in the document.
    """

    name: str
    purse: Purse
    document: AllowanceDocument | None = None
    revision: int = 0
    working: bool = False
    uncertain: bool = False
    listed: bool = False
    waiting: list[Ticket] = field(default_factory=list)
    exhausted_until_ms: float = 0.0
    exhausted_amount: int = 0
    used_ms: float = 0.0
    changed: threading.Condition = field(default_factory=threading.Condition)

    @property
    def key(self) -> str:
        """Where the account's document is in the store."""
        return ALLOWANCE_PREFIX + self.name

    @property
    def waited_for(self) -> int:
        """The tokens that waiting requests need."""
        return sum(ticket.amount for ticket in self.waiting)

    def take(self, document: AllowanceDocument, item: StoreItem | None) -> None:
        """Believe a document that was read."""
        self.document = document
        self.revision = item.revision if item else 0

    def grant_waiting(self, now_ms: float) -> None:
        """Grant the waiting requests that are covered, in order; call it with the lock held."""
        for ticket in list(self.waiting):
            if self.purse.reserve(ticket.amount, now_ms):
                ticket.granted = True
                self.waiting.remove(ticket)
        self.changed.notify_all()

    def refuse_waiting(self, kind: ErrorKind) -> None:
        """Refuse all waiting requests; call it with the lock held."""
        for ticket in self.waiting:
            ticket.refused = kind
        self.waiting.clear()
        self.changed.notify_all()

    def give_up(self, ticket: Ticket) -> None:
        """Forget a request that waits no longer; call it with the lock held."""
        if ticket in self.waiting:
            self.waiting.remove(ticket)

    def exhausted(self) -> AspengateError:
        """Return the error for a request that the account's limit does not cover."""
        message = "the prepaid tokens do not cover the request"
        return AspengateError(ErrorKind.BUDGET_EXHAUSTED, message, where=self.name)
