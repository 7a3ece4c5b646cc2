"""Sends a request to one replica and waits for the head of its response."""

from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.clock import Clock
from aspengate.connections import (
    TCP_USER_TIMEOUT_MS,
    ConnectionPool,
    ReplicaConnection,
    ReplicaResponse,
    RequestHead,
)
from aspengate.errors import AspengateError, ErrorKind
from aspengate.fleet_permits import Permit
from aspengate.gateway._attempt_timeouts import AttemptTimeouts
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._ports import HeaderCodec
from aspengate.gateway.rollouts import CohortAttempt, RolloutTraffic
from aspengate.replicas import (
    Availability,
    Candidate,
    RegionCosts,
    ReplicaChooser,
    ReplicaNotice,
    ReplicaRegistry,
    ReplicaView,
)
from aspengate.topology import Topology

_LOWEST_URGENCY = 9
_ROUTE_PRIORITY_LEVELS = 3
_CONNECT_FAILURE_BACKOFF_MS = 1_000.0
# A replica that has never responded is avoided for this multiple of the time that connecting took.
# One that drops packets thus costs each router about 1 s in 16 s, while one that still starts and
# refuses connections is tried again soon.
_CONNECT_FAILURE_BACKOFF_FACTOR = 16.0


class RetryableAttemptError(Exception):
    """An attempt failed in a way that allows a retry at another replica.

    ``sent`` states whether the replica may have received the request, ``retry_acquired`` whether a
    retry has already been acquired from the retry budget, ``misdirected`` whether a replica other
    than the addressed one responded, and ``abandoned`` whether the replica may still respond.
    """

    def __init__(
        self,
        cause: AspengateError,
        *,
        sent: bool,
        retry_acquired: bool = False,
        misdirected: bool = False,
        abandoned: bool = False,
    ) -> None:
        super().__init__(str(cause))
        self.cause = cause
        self.sent = sent
        self.retry_acquired = retry_acquired
        self.misdirected = misdirected
        self.abandoned = abandoned


@dataclass(frozen=True)
class AttemptDependencies:
    """The services that attempts use; ``rollouts`` is None if rollouts are disabled.

    ``allows`` returns whether a request may run at a replica; it is asked just before the send.
    ``regions`` learns from the time that connecting takes.
    """

    header_codec: HeaderCodec
    pool: ConnectionPool
    clock: Clock
    chooser: ReplicaChooser
    registry: ReplicaRegistry
    rollouts: RolloutTraffic | None = None
    allows: Callable[[Exchange, ReplicaView], bool] = lambda _exchange, _view: True
    regions: RegionCosts = field(default_factory=lambda: RegionCosts(Topology()))


class Attempt:
    """One send of a request to one replica, which counts as in flight there until ``end``.

    ``release`` returns the connection to the pool after a complete response; otherwise ``end``
    closes it, which makes the replica cancel the request. An attempt that is abandoned for a retry
    stays open until the retry has a response; ``await_late_response`` waits for its own one.

    ``recheck_admission`` is called before the send and raises if the request may no longer be sent.
    ``replica_run`` identifies the replica's current process, ``replica`` is the replica as of its
    record before the send, and ``rollout`` is set once the request is sent to a replica of a
    rollout's cohort. ``has_output`` is set once the replica's output has been relayed: an event, or
    the whole body of a success. ``is_refused`` is set if the replica responded that it has not run
    the request. ``unframed_end`` is how the end of a response without a length or chunks was
    judged, empty for other responses. Times are in the clock's monotonic milliseconds.
    """

    def __init__(
        self,
        dependencies: AttemptDependencies,
        exchange: Exchange,
        candidate: Candidate,
        timeouts: AttemptTimeouts,
        permit: Permit,
        replica_run: str,
        recheck_admission: Callable[[], None] = lambda: None,
    ) -> None:
        self.dependencies = dependencies
        self.exchange = exchange
        self.candidate = candidate
        self.view = candidate.view
        self.incarnation = candidate.view.incarnation
        self.timeouts = timeouts
        self.permit = permit
        self.replica_run = replica_run
        self.recheck_admission = recheck_admission
        self.replica = candidate.view.replica
        self.sent = False
        self.sent_ms = float("inf")
        self.reused = False
        self.connect_ms = 0.0
        self.outcome = ""
        self.started_ms = dependencies.clock.monotonic_ms()
        self.first_response_ms: float | None = None
        self.notice = ReplicaNotice()
        self.is_refused = False
        self.has_output = False
        self.unframed_end = ""
        self.is_abandoned = False
        self.ended_ms: float | None = None
        self.connection: ReplicaConnection | None = None
        self.rollout: CohortAttempt | None = None
        self._in_flight = self.view.in_flight
        gap_aim_ms = exchange.known_route.max_gap_ms
        self._work = self.view.begin(self.started_ms, candidate.tokens, gap_aim_ms)

    def send(self, last_event_id: str) -> ReplicaResponse:
        """Send the request and return the response once its head has arrived.

        Raises RetryableAttemptError if the replica is not reached, no longer accepts requests, or
        is abandoned by a timeout; otherwise UPSTREAM_FAILED, DEADLINE_EXCEEDED or CallerGoneError,
        or the error of ``recheck_admission``.
        """
        connection = self._connect()
        self.recheck_admission()
        head = self._head(last_event_id)
        self._check_availability()
        self.sent = True
        self.sent_ms = self.dependencies.clock.monotonic_ms()
        if self.dependencies.rollouts is not None:
            self.rollout = self.dependencies.rollouts.begin(
                self.exchange.known_route.name,
                self.view,
                self.sent_ms,
                cold=self.view.is_cold(self.sent_ms, self.exchange.known_service.cold_start_ms),
            )
        try:
            connection.send(head, self.exchange.request.body, self.exchange.waiter)
        except AspengateError as error:
            if error.kind is not ErrorKind.NO_UPSTREAM:
                raise
            self.sent = False
            raise RetryableAttemptError(error, sent=False) from error
        self.permit.settle(sent=True)
        return self._await_head(connection)

    def record_abandoned(self) -> None:
        """Count the attempt as a failure of the replica; its connection stays open."""
        self.is_abandoned = True
        self.view.record_failure(self.dependencies.clock.monotonic_ms())

    def await_late_response(self) -> ReplicaResponse | None:
        """Wait for the response to an abandoned attempt as long as for its first timeout.

        Returns None if none arrives; raises like ``send``.
        """
        if self.connection is None:
            return None
        return self._receive_head(self.connection, self.timeouts.late_deadline_ms())

    def record_first_response(self) -> None:
        """Feed the time to first response into the estimates; only for requests that were run.

        Refusals and failures say nothing about a replica's speed: when they were included, a
        replica that rejected requests at once seemed 2.7 times as fast as usual after ten of them.
        """
        if self.first_response_ms is not None:
            first_ms = max(0.0, self.first_response_ms - self._network_ms)
            arrived_ms = self.started_ms + first_ms
            self.dependencies.chooser.record_first_response(self.candidate, self._work, arrived_ms)
            if self.rollout is not None:
                ratio = first_ms / max(1.0, self.candidate.first_ms)
                is_engine = self.exchange.known_service.engine is not None
                self.rollout.first_response(ratio if is_engine else None, arrived_ms)

    def record_activity(self) -> None:
        """Record that more of the response has arrived."""
        self.view.record_activity(self.dependencies.clock.monotonic_ms())

    def record_event(self, now_ms: float) -> None:
        """Record that a stream event was relayed."""
        self.has_output = True
        self.view.record_event(self._work, now_ms)

    def release(self, answer: ReplicaResponse) -> None:
        """Return the connection to the pool after a complete response.

        If the replica is shutting down, it is not returned, and ``end`` closes it.
        """
        if self.connection is not None and not self.view.reported.is_leaving:
            max_connections = self.exchange.known_service.max_connections
            self.dependencies.pool.release(
                self.incarnation, self.connection, answer.keep_alive_ms, max_connections
            )
            self.connection = None

    def end(self, outcome: str, *, failed: bool, version_failed: bool | None = None) -> None:
        """End the attempt, and close its connection unless released; does nothing if it has ended.

        ``outcome`` is logged. ``failed`` counts the attempt as a failure of the replica, and
        ``version_failed`` as one of its version in a rollout; None if it shows nothing about that.
        """
        if self.ended_ms is not None:
            return
        self.ended_ms = self.dependencies.clock.monotonic_ms()
        self.outcome = outcome
        self.permit.settle(sent=self.sent)
        self.view.end(self._work, self.ended_ms)
        self._record_evidence(version_failed, self.ended_ms)
        if failed:
            if not self.is_abandoned:
                self.view.record_failure(self.ended_ms)
        elif self.connection is None and self.sent:
            total_ms = max(0.0, self.ended_ms - self.started_ms - self._network_ms)
            is_plain = self.exchange.known_service.engine is None
            self.view.record_success(self.ended_ms, total_ms if is_plain else None)
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _record_evidence(self, version_failed: bool | None, now_ms: float) -> None:
        """Record the end as evidence on the replica's version."""
        if self.rollout is None:
            return
        is_plain = self.exchange.known_service.engine is None
        self.rollout.end(
            version_failed,
            total_ms=now_ms - self.sent_ms if is_plain else None,
            longest_pause_ms=self._work.longest_gap_ms if self._work.last_event_ms else None,
            cold=self.view.is_cold(now_ms, self.exchange.known_service.cold_start_ms),
        )

    @property
    def latest_arrival_ms(self) -> float:
        """The latest time at which the replica may receive the request, in monotonic milliseconds.

        Without a response, the operating system may retransmit unacknowledged data for
        ``TCP_USER_TIMEOUT_MS`` after the connection is closed.
        """
        if self.first_response_ms is not None:
            return self.started_ms + self.first_response_ms
        return self._ended_or_now_ms + TCP_USER_TIMEOUT_MS

    @property
    def _network_ms(self) -> float:
        """The time that this attempt spent on the way to another region, 0 within the region.

        The estimates of a replica do not include it, as the choice adds the distance.
        """
        network_ms = self.candidate.network_ms
        return network_ms + self.connect_ms if network_ms else 0.0

    @property
    def _ended_or_now_ms(self) -> float:
        return (
            self.ended_ms if self.ended_ms is not None else self.dependencies.clock.monotonic_ms()
        )

    def log_fields(self) -> dict[str, object]:
        """Return the log fields of this attempt; durations are in milliseconds."""
        ended_ms = self._ended_or_now_ms
        return {
            "replica": self.view.identity,
            "domain": self.view.replica.failure_domain,
            "version": self.replica.version,
            "cost_ms": round(self.candidate.cost_ms),
            "in_flight": self._in_flight,
            "failing": round(self.view.failure_rate(ended_ms), 2),
            "slowness": round(self.view.slowness_at(ended_ms), 2),
            "interval_ms": round(self.view.interval_ms, 1),
            "expected_ms": round(self.candidate.first_ms),
            "harm_ms": round(self.candidate.harm_ms),
            "reused": self.reused,
            "first_ms": None if self.first_response_ms is None else round(self.first_response_ms),
            "held_ms": round(ended_ms - self.started_ms),
            "leaving": self.notice.leaving,
            "rest_ms": round(self.notice.backoff_ms),
            "limit": self.notice.limit,
            "outcome": self.outcome,
            **({"unframed_end": self.unframed_end} if self.unframed_end else {}),
            **({"cohort": self.rollout.cohort.value} if self.rollout is not None else {}),
        }

    def _await_head(self, connection: ReplicaConnection) -> ReplicaResponse:
        while True:
            answer = self._receive_head(connection, self.timeouts.next_check_ms)
            if answer is not None:
                return answer
            if self.timeouts.should_abandon():
                unresponsive = AspengateError(
                    ErrorKind.UPSTREAM_FAILED, "says nothing", where=connection.address
                )
                raise RetryableAttemptError(
                    unresponsive, sent=True, retry_acquired=True, abandoned=True
                )

    def _receive_head(
        self, connection: ReplicaConnection, until_ms: float | None
    ) -> ReplicaResponse | None:
        """Return the response whose head arrives until a time, None if there is none."""
        request_id = self.exchange.request.request_id
        header_codec = self.dependencies.header_codec
        answer = ReplicaResponse.await_head(
            connection,
            self.exchange.waiter,
            lambda headers: header_codec.matches_request(headers, request_id),
            until_ms,
        )
        if answer is not None:
            now = self.dependencies.clock.monotonic_ms()
            self.first_response_ms = now - self.started_ms
            self.view.record_activity(now)
        return answer

    def _check_availability(self) -> None:
        """Check again, just before the first byte is sent; raises RetryableAttemptError.

        Opening the connection may take a second after the replica was selected. In that time,
        responses to other requests may have announced that it is shutting down, asks for a backoff
        or has a rate limit, or its version may have changed or been found to be bad.
        """
        availability = self.dependencies.registry.availability(self.view)
        if availability is not Availability.OPEN:
            cause = AspengateError(
                ErrorKind.NO_UPSTREAM, availability.value, where=self.view.identity
            )
            raise RetryableAttemptError(cause, sent=False)
        if self.view.replica.version != self.replica.version:
            cause = AspengateError(
                ErrorKind.NO_UPSTREAM, "changed its version", where=self.view.identity
            )
            raise RetryableAttemptError(cause, sent=False)
        rollouts = self.dependencies.rollouts
        if rollouts is not None and not rollouts.allows(self.view):
            cause = AspengateError(
                ErrorKind.NO_UPSTREAM, "version gets no requests", where=self.view.identity
            )
            raise RetryableAttemptError(cause, sent=False)
        if not self.dependencies.allows(self.exchange, self.view):
            cause = AspengateError(
                ErrorKind.NO_UPSTREAM, "not in an allowed region", where=self.view.identity
            )
            raise RetryableAttemptError(cause, sent=False)
        if not self.permit.confirm(self.dependencies.clock.monotonic_ms()):
            cause = AspengateError(ErrorKind.AT_LIMIT, "no permit", where=self.view.identity)
            raise RetryableAttemptError(cause, sent=False)

    def _connect(self) -> ReplicaConnection:
        self.exchange.waiter.check_caller()
        connection = self.dependencies.pool.acquire(self.incarnation)
        self.reused = connection is not None
        if connection is None:
            connection = self._open()
        self.connection = connection
        return connection

    def _open(self) -> ReplicaConnection:
        remaining_ms = self.exchange.waiter.remaining_ms
        if remaining_ms <= 0:
            raise AspengateError(ErrorKind.DEADLINE_EXCEEDED, "no time is left")
        begun_ms = self.dependencies.clock.monotonic_ms()
        try:
            connection = self.dependencies.pool.open(self.view.replica.address, remaining_ms)
        except AspengateError as error:
            now = self.dependencies.clock.monotonic_ms()
            backoff_ms = _CONNECT_FAILURE_BACKOFF_MS
            if not self.view.has_responded:
                backoff_ms = max(backoff_ms, _CONNECT_FAILURE_BACKOFF_FACTOR * (now - begun_ms))
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            self.view.record_unreachable(now, backoff_ms, refused=refused)
            raise RetryableAttemptError(error, sent=False) from error
        now = self.dependencies.clock.monotonic_ms()
        self.connect_ms = now - begun_ms
        domain = self.view.replica.failure_domain
        self.dependencies.regions.record_connect(domain, self.connect_ms, now)
        return connection

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
    """Return a request's urgency for the replica, from 0, the most urgent, to 9.

    The account's priority takes precedence over the route's.
    """
    account = exchange.account.priority if exchange.account else 0
    return max(
        0, min(_LOWEST_URGENCY, account * _ROUTE_PRIORITY_LEVELS + exchange.known_route.priority)
    )
