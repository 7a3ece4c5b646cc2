"""One request on its way through the filters."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Protocol

from aspengate.budgets import Reservation
from aspengate.router._streams import AnswerStream
from aspengate.routing import UpstreamState
from aspengate.table import ClientAccountRow, ServiceRow, TableView
from aspengate.transport import ClaimTicket, Header, UsageRecord


@dataclass(frozen=True)
class CallerRequest:
    """A request as the caller sent it; ``service`` is the name that it asked for."""

    request_id: str
    service: str
    api_key: str
    method: str
    path: str
    headers: tuple[Header, ...]
    body: bytes
    idempotency_key: str
    received_ms: int
    deadline_ms: int
    max_tokens: int | None = None


@dataclass(frozen=True)
class Exchange:
    """What the filters have found out about a request so far; each returns a fuller one."""

    request: CallerRequest
    table: TableView
    account: ClientAccountRow | None = None
    service: ServiceRow | None = None
    upstream: UpstreamState | None = None
    excluded: frozenset[str] = frozenset()
    prefix: tuple[int, ...] = ()
    upper_bound: int = 0
    reservation: Reservation | None = None
    claim: ClaimTicket | None = None
    joined_agent: str = ""
    stream: AnswerStream | None = None
    passed: tuple["Filter", ...] = ()

    @property
    def known_account(self) -> ClientAccountRow:
        """The account, once the request is authenticated."""
        if self.account is None:
            raise AssertionError("the authenticate filter comes first")
        return self.account

    @property
    def known_service(self) -> ServiceRow:
        """The service, once the request is authenticated."""
        if self.service is None:
            raise AssertionError("the authenticate filter comes first")
        return self.service

    @property
    def known_upstream(self) -> UpstreamState:
        """The upstream, once one is chosen."""
        if self.upstream is None:
            raise AssertionError("the choose filter comes first")
        return self.upstream

    @property
    def line(self) -> str:
        """The line of the bill that the request belongs to."""
        return f"{self.known_account.name}|{self.known_service.name}"


@dataclass(frozen=True)
class Outcome:
    """How a request ended: its usage where it ran, or how it failed.

    ``not_run`` is true where the request certainly did not run and never will.
    ``first_answer_ms`` is how long the first token of a stream took.
    """

    usage: UsageRecord | None = None
    error: str = ""
    not_run: bool = False
    first_answer_ms: float | None = None


Write = Callable[[bytes], object]


@dataclass
class Answer:
    """What goes back to the caller: a status, headers, and the body as it comes.

    ``pump`` is set for a stream of tokens: called with the server's write function it writes
    each token as it arrives, without waking a thread for it, and returns at the end.
    """

    status: int
    headers: tuple[Header, ...]
    chunks: Iterator[bytes] = field(repr=False)
    pump: Callable[[Write], None] | None = field(default=None, repr=False)


class Filter(Protocol):
    """One step of the pipeline."""

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with this step done; raises AspengateError to refuse it."""

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Undo or complete this step once the request has ended; called in reverse order."""
