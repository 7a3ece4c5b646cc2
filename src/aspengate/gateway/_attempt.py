"""One attempt: one replica gets the request, and its answer's head is awaited."""

from dataclasses import dataclass

from aspengate.connections import (
    ConnectionPool,
    ReplicaAnswer,
    ReplicaConnection,
    RequestHead,
)
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._ports import RequestSpelling
from aspengate.replicas import ReplicaView

_LEAST_URGENT = 9
_ROUTE_PRIORITIES = 3


@dataclass(frozen=True)
class AttemptParts:
    """What attempts use."""

    spelling: RequestSpelling
    pool: ConnectionPool


def urgency(exchange: Exchange) -> int:
    """Return how urgent a request is to a replica, from 0, the most urgent, to 9.

    The account's priority comes first, then the route's.
    """
    account = exchange.account.priority if exchange.account else 0
    return max(0, min(_LEAST_URGENT, account * _ROUTE_PRIORITIES + exchange.known_route.priority))


class Attempt:
    """A request at one replica; ``close`` it, or ``release`` it after a whole answer."""

    def __init__(self, parts: AttemptParts, exchange: Exchange, view: ReplicaView) -> None:
        self.parts = parts
        self.exchange = exchange
        self.view = view
        self.sent = False
        self.connection: ReplicaConnection | None = None
        self.answer: ReplicaAnswer | None = None

    def begin(self, last_event_id: str) -> ReplicaAnswer:
        """Send the request and return the answer, of which the head has come.

        Raises NO_UPSTREAM where nothing has left, else UPSTREAM_FAILED, DEADLINE_EXCEEDED or
        CallerGoneError.
        """
        waiter = self.exchange.waiter
        request = self.exchange.request
        connection = self._connect()
        head = self._head(last_event_id)
        self.sent = True
        try:
            connection.send(head, request.body, waiter)
        except AspengateError as error:
            self.sent = error.kind is not ErrorKind.NO_UPSTREAM
            raise
        answer = ReplicaAnswer.await_head(
            connection,
            waiter,
            lambda headers: self.parts.spelling.answers_request(headers, request.request_id),
        )
        if answer is None:
            raise AspengateError(ErrorKind.DEADLINE_EXCEEDED, "no answer in time")
        self.answer = answer
        return answer

    def release(self) -> None:
        """Keep the connection for further requests; the answer was whole."""
        if self.connection is not None:
            self.parts.pool.give_back(self.view.identity, self.connection)
            self.connection = None

    def close(self) -> None:
        """End the run, if it still goes on."""
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _connect(self) -> ReplicaConnection:
        self.exchange.waiter.check_caller()
        connection = self.parts.pool.take(self.view.identity)
        if connection is None:
            remaining = self.exchange.waiter.remaining_ms
            if remaining <= 0:
                raise AspengateError(ErrorKind.DEADLINE_EXCEEDED, "no time is left")
            connection = self.parts.pool.open(self.view.replica.address, remaining)
        self.connection = connection
        return connection

    def _head(self, last_event_id: str) -> RequestHead:
        request = self.exchange.request
        account = self.exchange.account
        headers = self.parts.spelling.replica_headers(
            request,
            identity=self.view.identity,
            account=account.name if account else "",
            remaining_ms=self.exchange.waiter.remaining_ms,
            priority=urgency(self.exchange),
            last_event_id=last_event_id,
        )
        return RequestHead(request.method, request.target, headers)
