"""One attempt: one replica gets the request, and its answer's head is awaited."""

from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.connections import (
    UNACKNOWLEDGED_MS,
    ConnectionPool,
    ReplicaAnswer,
    ReplicaConnection,
    RequestHead,
)
from aspengate.errors import AspengateError, ErrorKind
from aspengate.fleet_permits import Permit
from aspengate.gateway._attempt_timeouts import AttemptTimeouts
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._ports import HeaderCodec
from aspengate.replicas import (
    Availability,
    Candidate,
    ReplicaChooser,
    ReplicaNotice,
    ReplicaRegistry,
)

_LEAST_URGENT = 9
_ROUTE_PRIORITIES = 3
_UNREACHED_PAUSE_MS = 1_000.0


class RetryableAttemptError(Exception):
    """An attempt failed in a way that lets another replica be tried.

    ``sent`` tells whether the replica may have received the request; ``paid`` whether the
    repeat was taken from the retry budget already, ``misdirected`` whether another replica than
    the one that was meant has answered.
    """

    def __init__(
        self, cause: AspengateError, *, sent: bool, paid: bool = False, misdirected: bool = False
    ) -> None:
        super().__init__(str(cause))
        self.cause = cause
        self.sent = sent
        self.paid = paid
        self.misdirected = misdirected


@dataclass(frozen=True)
class AttemptDependencies:
    """What attempts use."""

    header_codec: HeaderCodec
    pool: ConnectionPool
    clock: Clock
    chooser: ReplicaChooser
    registry: ReplicaRegistry


class Attempt:
    """A request at one replica, counted there until ``end``.

    ``release`` keeps its connection after a whole answer; otherwise ``end`` closes it, which
    ends the run. ``replica_run`` names the replica's present run. Times are in the clock's
    monotonic milliseconds.
    """

    def __init__(
        self,
        dependencies: AttemptDependencies,
        exchange: Exchange,
        candidate: Candidate,
        patience: AttemptTimeouts,
        permit: Permit,
        replica_run: str,
    ) -> None:
        self.dependencies = dependencies
        self.exchange = exchange
        self.candidate = candidate
        self.view = candidate.view
        self.life = candidate.view.incarnation
        self.patience = patience
        self.permit = permit
        self.replica_run = replica_run
        self.sent = False
        self.sent_ms = float("inf")
        self.reused = False
        self.outcome = ""
        self.begun_ms = dependencies.clock.monotonic_ms()
        self.first_ms: float | None = None
        self.notice = ReplicaNotice()
        self.ended_ms: float | None = None
        self.connection: ReplicaConnection | None = None
        self._in_flight = self.view.in_flight
        gap_aim_ms = exchange.known_route.longest_gap_ms
        self._work = self.view.begin(self.begun_ms, candidate.tokens, gap_aim_ms)

    def send(self, last_event_id: str) -> ReplicaAnswer:
        """Send the request and return the answer, of which the head has come.

        Raises RetryableAttemptError where the replica was not reached, accepts no requests, or is
        given up because it says nothing; otherwise UPSTREAM_FAILED, DEADLINE_EXCEEDED or
        CallerGoneError.
        """
        connection = self._connect()
        head = self._head(last_event_id)
        self._check_standing()
        self.sent = True
        self.sent_ms = self.dependencies.clock.monotonic_ms()
        try:
            connection.send(head, self.exchange.request.body, self.exchange.waiter)
        except AspengateError as error:
            if error.kind is not ErrorKind.NO_UPSTREAM:
                raise
            self.sent = False
            raise RetryableAttemptError(error, sent=False) from error
        self.permit.settle(sent=True)
        answer = self._await_head(connection)
        now = self.dependencies.clock.monotonic_ms()
        self.first_ms = now - self.begun_ms
        self.view.record_activity(now)
        return answer

    def note_first(self) -> None:
        """Learn from the beginning of an answer that was made by running the request.

        A refusal or a failure tells nothing of how fast a replica is: learnt from as well, it made
        one that turned requests away at once look 2.7 times as fast as usual after ten of them.
        """
        if self.first_ms is not None:
            first_ms = self.begun_ms + self.first_ms
            self.dependencies.chooser.record_first_response(self.candidate, self._work, first_ms)

    def note_sign(self) -> None:
        """Note that more of the answer has come."""
        self.view.record_activity(self.dependencies.clock.monotonic_ms())

    def note_event(self, now_ms: float) -> None:
        """Note that an event of a stream has come."""
        self.view.record_event(self._work, now_ms)

    def release(self, answer: ReplicaAnswer) -> None:
        """Keep the connection for further requests; the answer was whole.

        One to a replica that leaves serves no more requests, and ``end`` closes it.
        """
        if self.connection is not None and not self.view.reported.is_leaving:
            self.dependencies.pool.give_back(self.life, self.connection, answer.rest_ms)
            self.connection = None

    def end(self, outcome: str, *, failed: bool) -> None:
        """End the attempt, and the run if it still goes on; a replica's failure is remembered."""
        if self.ended_ms is not None:
            return
        self.ended_ms = self.dependencies.clock.monotonic_ms()
        self.outcome = outcome
        self.permit.settle(sent=self.sent)
        self.view.end(self._work, self.ended_ms)
        if failed:
            self.view.record_failure(self.ended_ms)
        elif self.connection is None and self.sent:
            whole_ms = self.ended_ms - self.begun_ms
            plain = self.exchange.known_service.engine is None
            self.view.record_success(self.ended_ms, whole_ms if plain else None)
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    @property
    def arrived_by_ms(self) -> float:
        """By when the replica got the request if it ever does, in monotonic milliseconds.

        Without an answer that is as long after the end of the connection as the system sends
        again what was not acknowledged.
        """
        if self.first_ms is not None:
            return self.begun_ms + self.first_ms
        return self._ended_or_now_ms + UNACKNOWLEDGED_MS

    @property
    def _ended_or_now_ms(self) -> float:
        return (
            self.ended_ms if self.ended_ms is not None else self.dependencies.clock.monotonic_ms()
        )

    def log_fields(self) -> dict[str, object]:
        """Return what the log tells of this attempt; durations are in milliseconds."""
        ended_ms = self._ended_or_now_ms
        return {
            "replica": self.view.identity,
            "cost_ms": round(self.candidate.cost_ms),
            "in_flight": self._in_flight,
            "failing": round(self.view.failure_rate(ended_ms), 2),
            "slowness": round(self.view.slowness, 2),
            "interval_ms": round(self.view.interval_ms, 1),
            "expected_ms": round(self.candidate.first_ms),
            "harm_ms": round(self.candidate.harm_ms),
            "reused": self.reused,
            "first_ms": None if self.first_ms is None else round(self.first_ms),
            "held_ms": round(ended_ms - self.begun_ms),
            "leaving": self.notice.leaving,
            "rest_ms": round(self.notice.backoff_ms),
            "limit": self.notice.limit,
            "outcome": self.outcome,
        }

    def _await_head(self, connection: ReplicaConnection) -> ReplicaAnswer:
        identity = self.exchange.request.request_id
        header_codec = self.dependencies.header_codec
        while True:
            answer = ReplicaAnswer.await_head(
                connection,
                self.exchange.waiter,
                lambda headers: header_codec.matches_request(headers, identity),
                self.patience.next_look_ms,
            )
            if answer is not None:
                return answer
            if self.patience.is_over():
                silent = AspengateError(
                    ErrorKind.UPSTREAM_FAILED, "says nothing", where=connection.address
                )
                raise RetryableAttemptError(silent, sent=True, paid=True)

    def _check_standing(self) -> None:
        """Decide again just before the first byte goes; raises RetryableAttemptError.

        Since the choice the connection came up, which may take a second, and answers to other
        requests may have said that the replica leaves, wants rest or names a limit.
        """
        standing = self.dependencies.registry.availability(self.view)
        if standing is not Availability.OPEN:
            cause = AspengateError(ErrorKind.NO_UPSTREAM, standing.value, where=self.view.identity)
            raise RetryableAttemptError(cause, sent=False)
        if not self.permit.holds(self.dependencies.clock.monotonic_ms()):
            cause = AspengateError(ErrorKind.AT_LIMIT, "no permit", where=self.view.identity)
            raise RetryableAttemptError(cause, sent=False)

    def _connect(self) -> ReplicaConnection:
        self.exchange.waiter.check_caller()
        connection = self.dependencies.pool.take(self.life)
        self.reused = connection is not None
        if connection is None:
            connection = self._open()
        self.connection = connection
        return connection

    def _open(self) -> ReplicaConnection:
        remaining = self.exchange.waiter.remaining_ms
        if remaining <= 0:
            raise AspengateError(ErrorKind.DEADLINE_EXCEEDED, "no time is left")
        try:
            return self.dependencies.pool.open(self.view.replica.address, remaining)
        except AspengateError as error:
            self.view.record_unreachable(
                self.dependencies.clock.monotonic_ms(), _UNREACHED_PAUSE_MS
            )
            raise RetryableAttemptError(error, sent=False) from error

    def _head(self, last_event_id: str) -> RequestHead:
        request = self.exchange.request
        account = self.exchange.account
        headers = self.dependencies.header_codec.replica_headers(
            request,
            identity=self.view.identity,
            account=account.name if account else "",
            remaining_ms=self.exchange.waiter.remaining_ms,
            priority=urgency(self.exchange),
            last_event_id=last_event_id,
        )
        return RequestHead(request.method, request.target, headers)


def urgency(exchange: Exchange) -> int:
    """Return how urgent a request is to a replica, from 0, the most urgent, to 9.

    The account's priority comes first, then the route's.
    """
    account = exchange.account.priority if exchange.account else 0
    return max(0, min(_LEAST_URGENT, account * _ROUTE_PRIORITIES + exchange.known_route.priority))
