"""Sends an admitted request to replicas until one of them responds."""

from http import HTTPStatus

from aspengate.connections import (
    BrokenResponseError,
    CallerGoneError,
    ListenerProbe,
    ReplicaResponse,
)
from aspengate.errors import AspengateError, ErrorKind
from aspengate.fleet_permits import Permit
from aspengate.gateway._attempt import Attempt, AttemptDependencies, RetryableAttemptError
from aspengate.gateway._attempt_timeouts import AttemptTimeouts
from aspengate.gateway._crash_guard import CrashGuard
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._progress import Progress
from aspengate.gateway._relay import AnswerRelay
from aspengate.gateway._selection import ReplicaSelection
from aspengate.gateway._unframed_ends import UnframedEnds
from aspengate.gateway.streams import StreamDirectory
from aspengate.replicas import (
    ReplicaNotice,
)
from aspengate.retries import SharedRetryBudget
from aspengate.serving import CallerConnection
from aspengate.telemetry import Counters

_SUCCESS = range(200, 300)
_SERVER_ERROR = range(500, 600)
_MAX_UNSENT_ATTEMPTS = 4
# An admission by the crash guard is checked again before the send if it is older than this, in ms:
# the wait for a permit or a connection may have taken seconds.
_ADMISSION_VALID_MS = 10.0
_REPLICA_FAILURES = frozenset({ErrorKind.UPSTREAM_FAILED, ErrorKind.DEADLINE_EXCEEDED})


class Dispatcher:
    """Makes the attempts of each request, within its route's maximum and the retry budget."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        selection: ReplicaSelection,
        retries: SharedRetryBudget,
        crashes: CrashGuard,
        streams: StreamDirectory,
        counters: Counters,
    ) -> None:
        self.dependencies = dependencies
        self.selection = selection
        self.registry = dependencies.registry
        self.retries = retries
        self.crashes = crashes
        self.streams = streams
        self.counters = counters
        unframed_ends = UnframedEnds(
            crashes, dependencies.registry, ListenerProbe(dependencies.clock), counters
        )
        self.relay = AnswerRelay(dependencies.header_codec, streams, unframed_ends, counters)

    def run(self, exchange: Exchange, caller: CallerConnection, progress: Progress) -> None:
        """Relay a replica's response to the caller; raises AspengateError if there is none."""
        self.retries.record_request(exchange.known_service.name)
        progress.last_event_id = exchange.request.last_event_id
        progress.pin = exchange.pin
        self._admit(exchange, progress)
        try:
            self._run_attempts(exchange, caller, progress)
        finally:
            self._settle_retries(exchange, progress)
            if progress.crash_trial is not None:
                self.crashes.end_trial(progress.crash_trial)

    def _admit(self, exchange: Exchange, progress: Progress) -> None:
        """Have the crash guard admit the next attempt; raises SUSPECTED or QUARANTINED.

        Each retry of a caller used to count as a new request, so one request that its caller sent
        again twice a second crashed 20 replicas in 40 s.
        """
        progress.crash_trial = self.crashes.admit(exchange.crash_subjects, progress.crash_trial)
        progress.crash_checked_ms = self.dependencies.clock.monotonic_ms()

    def _run_attempts(
        self, exchange: Exchange, caller: CallerConnection, progress: Progress
    ) -> None:
        try:
            self._try_replicas(exchange, caller, progress)
        except AspengateError:
            if not self._serve_abandoned(exchange, caller, progress):
                raise
        finally:
            progress.end_abandoned()

    def _try_replicas(
        self, exchange: Exchange, caller: CallerConnection, progress: Progress
    ) -> None:
        while True:
            attempt = self._make_attempt(exchange, progress)
            try:
                answer = self._send(attempt, exchange, progress)
                self._serve(attempt, answer, exchange, caller, progress)
                self._end_answered(attempt, exchange, progress)
                return
            except RetryableAttemptError as failure:
                self._record_lost(attempt, failure.cause, exchange, progress)
                self._end_failed(attempt, failure, progress)
                progress.excluded.add(attempt.view.identity)
                self._check_retry(exchange, progress, failure)
            except AspengateError as error:
                self._record_lost(attempt, error, exchange, progress)
                attempt.end(
                    str(error),
                    failed=error.kind in _REPLICA_FAILURES,
                    version_failed=_has_version_failed(error),
                )
                raise
            finally:
                if attempt is not progress.abandoned:
                    attempt.end("fault", failed=False)

    def _end_answered(self, attempt: Attempt, exchange: Exchange, progress: Progress) -> None:
        # When immediate failures counted as successes, a failing replica attracted 40 of 40
        # requests although a healthy one was available.
        failed = progress.status in _SERVER_ERROR
        attempt.end("answered", failed=failed, version_failed=failed)
        self.crashes.record_answered(
            exchange.crash_subjects, progress.crash_trial, has_output=attempt.has_output
        )

    def _end_failed(
        self, attempt: Attempt, failure: RetryableAttemptError, progress: Progress
    ) -> None:
        """End an attempt that may be retried, or keep it if its replica may still respond."""
        if failure.abandoned:
            progress.keep_abandoned(attempt)
            return
        attempt.end(
            str(failure),
            failed=failure.sent and not failure.misdirected,
            version_failed=_has_version_failed(failure.cause),
        )

    def _serve_abandoned(
        self, exchange: Exchange, caller: CallerConnection, progress: Progress
    ) -> bool:
        """Relay the response to an abandoned attempt, the retry having failed.

        Returns False if there is none. Raises CallerGoneError.
        """
        attempt = progress.abandoned
        if attempt is None:
            return False
        try:
            answer = attempt.await_late_response()
            if answer is None:
                return False
            self._serve(attempt, answer, exchange, caller, progress)
        except CallerGoneError:
            raise
        except (RetryableAttemptError, AspengateError) as error:
            cause = error.cause if isinstance(error, RetryableAttemptError) else error
            self._record_lost(attempt, cause, exchange, progress)
            return False
        self._end_answered(attempt, exchange, progress)
        self.counters.count("gateway.answered_late")
        return True

    def _record_lost(
        self, attempt: Attempt, error: AspengateError, exchange: Exchange, progress: Progress
    ) -> None:
        """Report to the crash guard if the failure suggests that the replica has terminated."""
        if attempt.sent and isinstance(error, BrokenResponseError):
            address = attempt.view.replica.address
            self.crashes.record_lost(
                exchange.crash_subjects, attempt.replica_run, address, progress.crash_trial
            )
        elif isinstance(error.__cause__, ConnectionRefusedError):
            self.crashes.record_connection_refused(attempt.replica_run)

    def _settle_retries(self, exchange: Exchange, progress: Progress) -> None:
        """Report to the retry budget how many retries were sent, and their latest arrival."""
        allowed = sum(decision.allowed for decision in progress.retry_decisions)
        if not allowed:
            return
        sent = [attempt for attempt in progress.all_attempts if attempt.sent]
        self.retries.settle(
            exchange.known_service.name,
            allowed=allowed,
            arrived=len(sent) - 1,
            arrived_ms=max((attempt.latest_arrival_ms for attempt in sent), default=0.0),
        )

    def _make_attempt(self, exchange: Exchange, progress: Progress) -> Attempt:
        progress.allowed_regions = self.selection.regions.regions_for(exchange)
        progress.pin = self.streams.recheck(exchange, progress.pin)
        candidate, permit = self.selection.choose(exchange, progress.pin, progress.excluded)
        self._await_permit(permit, exchange)

        def may_retry() -> bool:
            attempts = progress.sent_attempts + 1
            return self._acquire_retry(exchange, progress, attempts=attempts, to_spare=True)

        timeouts = AttemptTimeouts(
            exchange.known_route, candidate, self.dependencies.clock, may_retry
        )
        replica_run = self.crashes.current_run(candidate.view.incarnation)

        def recheck_admission() -> None:
            now = self.dependencies.clock.monotonic_ms()
            if now - progress.crash_checked_ms > _ADMISSION_VALID_MS:
                self._admit(exchange, progress)

        attempt = Attempt(
            self.dependencies,
            exchange,
            candidate,
            timeouts,
            permit,
            replica_run,
            recheck_admission,
        )
        progress.all_attempts.append(attempt)
        return attempt

    def _await_permit(self, permit: Permit, exchange: Exchange) -> None:
        """Wait until a permit is ready; raises CallerGoneError if the caller disconnects."""
        if permit.ready_ms <= self.dependencies.clock.monotonic_ms():
            return
        self.counters.count("gateway.waited_for_permit")
        try:
            exchange.waiter.pause(permit.ready_ms)
        except AspengateError:
            permit.settle(sent=False)
            raise

    def _serve(
        self,
        attempt: Attempt,
        answer: ReplicaResponse,
        exchange: Exchange,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        self._record_notice(attempt, answer)
        if self.dependencies.header_codec.is_not_executed(answer.status, answer.headers):
            attempt.is_refused = True
            if progress.crash_trial is not None and not progress.crash_trial.has_segments:
                progress.crash_trial.sent = False
            is_misdirected = self.dependencies.header_codec.is_misdirected(answer.status)
            if is_misdirected:
                self._record_replaced(attempt, progress)
            refused = AspengateError(ErrorKind.OVERLOADED, f"refused with {answer.status}")
            raise RetryableAttemptError(refused, sent=True, misdirected=is_misdirected)
        if answer.status not in _SERVER_ERROR:
            attempt.record_first_response()
        if answer.status in _SUCCESS and not self.dependencies.header_codec.is_signed(
            answer.headers
        ):
            raise AspengateError(ErrorKind.UPSTREAM_FAILED, "an unsigned answer")
        if _is_event_stream(answer) and answer.status in _SUCCESS:
            progress.accept_response(attempt)
            self.relay.relay_stream(attempt, answer, caller, progress)
            return
        if caller.started:
            raise AspengateError(
                ErrorKind.UPSTREAM_FAILED, f"replica responded {answer.status} to a resumed stream"
            )
        failed = answer.status in _SERVER_ERROR and exchange.known_route.is_retryable
        if failed and self._acquire_retry(exchange, progress, attempts=progress.sent_attempts):
            cause = AspengateError(ErrorKind.UPSTREAM_FAILED, f"answered {answer.status}")
            raise RetryableAttemptError(cause, sent=True, retry_acquired=True)
        progress.accept_response(attempt)
        self.relay.relay_buffered(attempt, answer, caller)
        progress.status = answer.status
        attempt.has_output = answer.status in _SUCCESS

    def _record_notice(self, attempt: Attempt, answer: ReplicaResponse) -> None:
        """Record what the response states about its replica: shutdown, backoff, rate limit.

        A 421 response and an unsigned success are ignored: the former comes from another process
        at the same address, and the origin of the latter is unknown.
        """
        header_codec = self.dependencies.header_codec
        if header_codec.is_misdirected(answer.status):
            return
        if answer.status in _SUCCESS and not header_codec.is_signed(answer.headers):
            return
        requests_backoff = answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        limit, unreadable = self._read_rate_limit(answer)
        attempt.notice = ReplicaNotice(
            leaving=header_codec.is_leaving(answer.headers),
            backoff_ms=answer.retry_after_ms if requests_backoff else 0.0,
            limit=limit,
            unreadable=unreadable,
        )
        if attempt.notice.has_statement or attempt.view.reported.limit.is_in_force:
            self.registry.record_notice(attempt.view, attempt.notice, attempt.sent_ms)
        if attempt.notice.leaving:
            # The replica closes its connections: a request sent on one of them then would be lost.
            self.dependencies.pool.discard(attempt.incarnation)

    def _read_rate_limit(self, answer: ReplicaResponse) -> tuple[float | None, str]:
        """Return the rate limit in a response, or None and the text that can't be parsed."""
        try:
            return self.dependencies.header_codec.rate_limit(answer.headers), ""
        except AspengateError as error:
            self.counters.count("replica_limits.unreadable")
            return None, error.message

    def _record_replaced(self, attempt: Attempt, progress: Progress) -> None:
        """Exclude a replica whose address now belongs to another one; discount the attempt.

        The attempt does not count towards the route's maximum. When it did, 2% of the requests that
        reached replicas restarted under new ids were refused after one attempt, although time and
        other replicas were left.
        """
        self.registry.record_replaced(attempt.incarnation)
        progress.sent_attempts -= 1
        self.counters.count("gateway.misdirected")

    def _send(self, attempt: Attempt, exchange: Exchange, progress: Progress) -> ReplicaResponse:
        try:
            return attempt.send(progress.last_event_id)
        except AspengateError as error:
            if error.kind is ErrorKind.UPSTREAM_FAILED and exchange.known_route.is_retryable:
                raise RetryableAttemptError(error, sent=True) from error
            raise
        finally:
            if attempt.sent:
                progress.sent_attempts += 1
                if progress.crash_trial is not None:
                    progress.crash_trial.sent = True

    def _check_retry(
        self, exchange: Exchange, progress: Progress, failure: RetryableAttemptError
    ) -> None:
        """Raise the cause of a failure if no further attempt may be made."""
        if failure.sent:
            # The trial of a suspected request is recorded only once its retry has been acquired.
            may_retry = failure.retry_acquired or self._check_and_acquire_retry(exchange, progress)
        else:
            progress.unsent_attempts += 1
            may_retry = progress.unsent_attempts < _MAX_UNSENT_ATTEMPTS
        if not may_retry:
            raise self._final_error(failure.cause, exchange, progress)
        try:
            self._admit(exchange, progress)
        except AspengateError as refusal:
            raise failure.cause from refusal

    def _final_error(
        self, cause: AspengateError, exchange: Exchange, progress: Progress
    ) -> AspengateError:
        """Return the error that ends a request; if no replica is ready, it gives the reasons.

        If all replicas are backing off, that error carries the time after which to retry.
        """
        pin = progress.pin
        if cause.kind is ErrorKind.OVERLOADED and not self.selection.ready(exchange, pin):
            return self.selection.no_replica_error(exchange, pin)
        return cause

    def _check_and_acquire_retry(self, exchange: Exchange, progress: Progress) -> bool:
        """Acquire a retry unless the crash guard refuses the request; return whether it was."""
        try:
            self.crashes.check(exchange.crash_subjects, progress.crash_trial)
        except AspengateError:
            return False
        return self._acquire_retry(exchange, progress, attempts=progress.sent_attempts)

    def _acquire_retry(
        self, exchange: Exchange, progress: Progress, *, attempts: int, to_spare: bool = False
    ) -> bool:
        """Acquire a retry within the route's maximum and the retry budget; return whether it was.

        ``attempts`` is the number of attempts sent, including the current one. ``to_spare`` states
        that the current one has not failed.
        """
        if attempts >= exchange.known_route.max_attempts:
            return False
        progress.pin = self.streams.recheck(exchange, progress.pin)
        # The current attempt's replica does not count as an alternative: a slow response or a
        # failure of the only replica is relayed, not replaced by an error of the gateway.
        tried = progress.excluded | {attempt.view.identity for attempt in progress.all_attempts}
        if not self.selection.available(exchange, progress.pin, tried, to_spare=to_spare):
            return False
        decision = self.retries.acquire(exchange.known_service.name)
        progress.retry_decisions.append(decision)
        if not decision.allowed:
            self.counters.count("gateway.retry_budget_spent")
            return False
        self.counters.count("gateway.repeated")
        return True


def _has_version_failed(error: AspengateError) -> bool | None:
    """Return whether an error counts as a failure of the replica's version; None if not at all.

    Refusals without execution, failed connections and disconnected callers do not count.
    """
    return True if error.kind in _REPLICA_FAILURES else None


def _is_event_stream(answer: ReplicaResponse) -> bool:
    return answer.header("content-type").startswith("text/event-stream")
