"""Sends an admitted request to replicas until one of them has answered."""

from http import HTTPStatus

from aspengate.connections import BrokenAnswerError, ReplicaAnswer
from aspengate.errors import AspengateError, ErrorKind
from aspengate.fleet_permits import Permit
from aspengate.gateway._attempt import Attempt, AttemptDependencies, RetryableAttemptError
from aspengate.gateway._attempt_timeouts import AttemptTimeouts
from aspengate.gateway._crash_guard import CrashGuard
from aspengate.gateway._exchange import Exchange
from aspengate.gateway._progress import Progress
from aspengate.gateway._relay import AnswerRelay
from aspengate.gateway._selection import ReplicaSelection
from aspengate.replicas import (
    ReplicaNotice,
)
from aspengate.retries import SharedRetryBudget
from aspengate.serving import CallerConnection
from aspengate.telemetry import Counters

_SUCCESS = range(200, 300)
_SERVER_ERROR = range(500, 600)
_MOST_UNREACHED = 4
_REPLICA_FAILURES = frozenset({ErrorKind.UPSTREAM_FAILED, ErrorKind.DEADLINE_EXCEEDED})


class Dispatcher:
    """Makes the attempts of each request, within its route's bound and the retry budget."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        selection: ReplicaSelection,
        retries: SharedRetryBudget,
        crashes: CrashGuard,
        counters: Counters,
    ) -> None:
        self.dependencies = dependencies
        self.selection = selection
        self.registry = dependencies.registry
        self.retries = retries
        self.crashes = crashes
        self.counters = counters
        self.relay = AnswerRelay(dependencies.header_codec, counters)

    def run(self, exchange: Exchange, caller: CallerConnection, progress: Progress) -> None:
        """Answer the caller with a replica's answer; raises AspengateError where none serves."""
        self.retries.record_request(exchange.known_service.name)
        progress.last_event_id = exchange.request.last_event_id
        self._admit(exchange, progress)
        answered = False
        try:
            self._try_replicas(exchange, caller, progress)
            answered = True
        finally:
            self._settle_repeats(exchange, progress)
            if progress.crash_try is not None:
                self.crashes.end_trial(progress.crash_try, answered=answered)

    def _admit(self, exchange: Exchange, progress: Progress) -> None:
        """Have the crash guard admit the next attempt; raises SUSPECTED or QUARANTINED.

        Without it each try of a caller is a new request: 20 replicas ended in 40 s under one that
        came back twice a second (1 day, 4 routers).
        """
        progress.crash_try = self.crashes.admit(exchange.fingerprint, progress.crash_try)

    def _try_replicas(
        self, exchange: Exchange, caller: CallerConnection, progress: Progress
    ) -> None:
        while True:
            attempt = self._attempt(exchange, progress)
            try:
                self._serve(attempt, exchange, caller, progress)
                # Counted as good, a failure at once drew 40 of 40 requests beside a sound replica.
                attempt.end("answered", failed=progress.status in _SERVER_ERROR)
                self.crashes.record_answered(exchange.fingerprint)
                return
            except RetryableAttemptError as failure:
                self._note_lost(attempt, failure.cause, exchange, progress)
                attempt.end(str(failure), failed=failure.sent and not failure.misdirected)
                progress.excluded.add(attempt.view.identity)
                self._check_another(exchange, progress, failure)
            except AspengateError as error:
                self._note_lost(attempt, error, exchange, progress)
                attempt.end(str(error), failed=error.kind in _REPLICA_FAILURES)
                raise
            finally:
                attempt.end("fault", failed=False)

    def _note_lost(
        self, attempt: Attempt, error: AspengateError, exchange: Exchange, progress: Progress
    ) -> None:
        """Tell the crash guard where the replica may have ended."""
        if attempt.sent and isinstance(error, BrokenAnswerError):
            address = attempt.view.replica.address
            self.crashes.record_lost(
                exchange.fingerprint, attempt.replica_run, address, progress.crash_try
            )
        elif isinstance(error.__cause__, ConnectionRefusedError):
            self.crashes.record_connection_refused(attempt.replica_run)

    def _settle_repeats(self, exchange: Exchange, progress: Progress) -> None:
        """Tell the retry budget when the last of the request's arrivals was, or will have been."""
        allowed = sum(decision.allowed for decision in progress.repeats)
        if not allowed:
            return
        sent = [attempt for attempt in progress.made if attempt.sent]
        self.retries.settle(
            exchange.known_service.name,
            allowed=allowed,
            arrived=len(sent) - 1,
            arrived_ms=max((attempt.arrived_by_ms for attempt in sent), default=0.0),
        )

    def _attempt(self, exchange: Exchange, progress: Progress) -> Attempt:
        candidate, permit = self.selection.choose(exchange, progress.excluded)
        self._await_permit(permit, exchange)

        def may_repeat() -> bool:
            attempts = progress.attempts + 1
            return self._may_repeat(exchange, progress, attempts=attempts, to_spare=True)

        patience = AttemptTimeouts(
            exchange.known_route, candidate, self.dependencies.clock, may_repeat
        )
        replica_run = self.crashes.current_run(candidate.view.incarnation)
        attempt = Attempt(self.dependencies, exchange, candidate, patience, permit, replica_run)
        progress.made.append(attempt)
        return attempt

    def _await_permit(self, permit: Permit, exchange: Exchange) -> None:
        """Wait until a permit is ready; raises CallerGoneError where its caller leaves."""
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
        exchange: Exchange,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        ran_before = progress.may_have_run
        answer = self._begin(attempt, exchange, progress)
        self._take_notice(attempt, answer)
        if self.dependencies.header_codec.is_not_executed(answer.status, answer.headers):
            progress.may_have_run = ran_before
            if progress.crash_try is not None:
                progress.crash_try.sent = False
            misdirected = self.dependencies.header_codec.is_misdirected(answer.status)
            if misdirected:
                self._note_replaced(attempt, progress)
            refused = AspengateError(ErrorKind.OVERLOADED, f"refused with {answer.status}")
            raise RetryableAttemptError(refused, sent=True, misdirected=misdirected)
        if answer.status not in _SERVER_ERROR:
            attempt.note_first()
        if answer.status in _SUCCESS and not self.dependencies.header_codec.is_signed(
            answer.headers
        ):
            raise AspengateError(ErrorKind.UPSTREAM_FAILED, "an unsigned answer")
        if _is_event_stream(answer) and answer.status in _SUCCESS:
            self.relay.stream(attempt, answer, caller, progress)
            return
        if caller.started:
            raise AspengateError(ErrorKind.UPSTREAM_FAILED, f"resumed with {answer.status}")
        failed = answer.status in _SERVER_ERROR and exchange.known_route.repeatable
        if failed and self._may_repeat(exchange, progress, attempts=progress.attempts):
            cause = AspengateError(ErrorKind.UPSTREAM_FAILED, f"answered {answer.status}")
            raise RetryableAttemptError(cause, sent=True, paid=True)
        self.relay.whole(attempt, answer, caller)
        progress.status = answer.status

    def _take_notice(self, attempt: Attempt, answer: ReplicaAnswer) -> None:
        """Take what the replica says of itself.

        A 421 is the word of whoever is at its address now, and a success without a signature
        nobody's.
        """
        header_codec = self.dependencies.header_codec
        if header_codec.is_misdirected(answer.status):
            return
        if answer.status in _SUCCESS and not header_codec.is_signed(answer.headers):
            return
        asks_for_rest = answer.status == HTTPStatus.SERVICE_UNAVAILABLE
        limit, unreadable = self._named_limit(answer)
        attempt.notice = ReplicaNotice(
            leaving=header_codec.is_leaving(answer.headers),
            backoff_ms=answer.retry_after_ms if asks_for_rest else 0.0,
            limit=limit,
            unreadable=unreadable,
        )
        if attempt.notice.has_statement or attempt.view.reported.limit.is_in_force:
            self.registry.record_notice(attempt.view, attempt.notice, attempt.sent_ms)
        if attempt.notice.leaving:
            # It closes them: a request that meets the close is lost.
            self.dependencies.pool.forget(attempt.life)

    def _named_limit(self, answer: ReplicaAnswer) -> tuple[float | None, str]:
        """Return the limit that an answer names, or what it names instead of one."""
        try:
            return self.dependencies.header_codec.rate_limit(answer.headers), ""
        except AspengateError as error:
            self.counters.count("replica_limits.unreadable")
            return None, error.message

    def _note_replaced(self, attempt: Attempt, progress: Progress) -> None:
        """Send no more to a replica that is gone; it was none of those that the route allows.

        Of the requests that met replicas which had come back under new ids, 2% of a day's were
        refused after one attempt with time and other replicas left (1 day, 68 routers).
        """
        self.registry.record_replaced(attempt.life)
        progress.attempts -= 1
        self.counters.count("gateway.misdirected")

    def _begin(self, attempt: Attempt, exchange: Exchange, progress: Progress) -> ReplicaAnswer:
        try:
            return attempt.send(progress.last_event_id)
        except AspengateError as error:
            if error.kind is ErrorKind.UPSTREAM_FAILED and exchange.known_route.repeatable:
                raise RetryableAttemptError(error, sent=True) from error
            raise
        finally:
            if attempt.sent:
                progress.attempts += 1
                progress.may_have_run = True
                if progress.crash_try is not None:
                    progress.crash_try.sent = True

    def _check_another(
        self, exchange: Exchange, progress: Progress, failure: RetryableAttemptError
    ) -> None:
        """Raise the cause of a failure where no further attempt may be made."""
        if failure.sent:
            # A try of a suspect request is recorded only for a repeat that is made.
            may_repeat = failure.paid or self._may_be_sent_again(exchange, progress)
        else:
            progress.unreached += 1
            may_repeat = progress.unreached < _MOST_UNREACHED
        if not may_repeat:
            raise self._final(failure.cause, exchange.known_service.name)
        try:
            self._admit(exchange, progress)
        except AspengateError as refusal:
            raise failure.cause from refusal

    def _final(self, cause: AspengateError, service: str) -> AspengateError:
        """Return what ends a request: where all replicas rest, a refusal tells until when."""
        if cause.kind is ErrorKind.OVERLOADED and not self.registry.ready(service):
            return self.selection.no_replica(service)
        return cause

    def _may_be_sent_again(self, exchange: Exchange, progress: Progress) -> bool:
        """Take a repeat for a request that the crash guard does not refuse, if there is one."""
        try:
            self.crashes.check(exchange.fingerprint, progress.crash_try)
        except AspengateError:
            return False
        return self._may_repeat(exchange, progress, attempts=progress.attempts)

    def _may_repeat(
        self, exchange: Exchange, progress: Progress, *, attempts: int, to_spare: bool = False
    ) -> bool:
        """Take one more attempt from the route's bound and the retry budget, if there is one.

        ``attempts`` counts those that were sent, with the one in hand. ``to_spare`` tells that this
        one has not failed.
        """
        if attempts >= exchange.known_route.max_attempts:
            return False
        service = exchange.known_service
        # The replica of the attempt in hand is not another one: a slow answer or a failure of the
        # only replica is passed on, and not replaced by an error of this router.
        tried = progress.excluded | {attempt.view.identity for attempt in progress.made}
        if not self.selection.open(service, tried, to_spare=to_spare):
            return False
        decision = self.retries.acquire(exchange.known_service.name)
        progress.repeats.append(decision)
        if not decision.allowed:
            self.counters.count("gateway.retry_budget_spent")
            return False
        self.counters.count("gateway.repeated")
        return True


def _is_event_stream(answer: ReplicaAnswer) -> bool:
    return answer.header("content-type").startswith("text/event-stream")
