"""The row of filters that every request passes, and the relay of its answer."""

from dataclasses import replace

from aspengate.errors import AspengateError, ErrorKind, RunState
from aspengate.limits import RetryBudget
from aspengate.router._exchange import Answer, CallerRequest, Exchange, Filter, Outcome
from aspengate.router._relay import ANSWER_MARGIN_MS, Relay, finish_filters
from aspengate.router._streams import AnswerStream
from aspengate.router.filters import FilterParts, make_filters
from aspengate.table import TableView
from aspengate.transport import Cancel, Done, Header, Refused, Started

ADMISSION = ("authenticate", "limit")
ATTEMPT = ("choose", "claim", "reserve", "dispatch")
_MAX_ATTEMPTS = 4
_RETRYABLE = frozenset(
    {ErrorKind.LEAVING, ErrorKind.OVERLOADED, ErrorKind.NO_UPSTREAM, ErrorKind.FENCED}
)
_WHOLE_ANSWER_BYTES = 64 * 1024


class Pipeline:
    """Takes a request through admission, then through attempts until one agent has started it.

    An attempt is repeated, on another upstream, where the agent truly refused it, or where the
    agent was lost before its answer began and the service's calls may be repeated.
    """

    def __init__(self, parts: FilterParts, retries: RetryBudget) -> None:
        self.parts = parts
        self.retries = retries
        self.admission = make_filters(ADMISSION, parts)
        self.attempt = make_filters(ATTEMPT, parts)

    def handle(self, request: CallerRequest, table: TableView) -> Answer:
        """Return the answer to a request, whose body is still to come.

        Raises AspengateError where the request is refused or failed before its first byte.
        """
        self.retries.record_first_attempt()
        exchange = Exchange(request, table)
        try:
            exchange = self._pass(self.admission, exchange)
            return self._attempts(exchange)
        except _PassError as failure:
            finish_filters(failure.exchange, _outcome_of(failure.cause))
            raise failure.cause from None

    def _attempts(self, admitted: Exchange) -> Answer:
        exchange = admitted
        lost = False
        for number in range(1, _MAX_ATTEMPTS + 1):
            try:
                exchange = self._pass(self.attempt, exchange)
                return self._first_frame(exchange)
            except _PassError as failure:
                last = number == _MAX_ATTEMPTS
                if last or not self._may_retry(failure, admitted):
                    raise _after_loss(failure) if lost else failure from failure.cause
                lost = lost or failure.cause.kind is ErrorKind.OUTCOME_UNKNOWN
                finish_filters(failure.exchange, _outcome_of(failure.cause), keep=admitted.passed)
                exchange = replace(admitted, excluded=_excluded(failure.exchange))
                self.parts.counters.count("router.retries")
        raise AssertionError("the last attempt returns or raises")

    def _may_retry(self, failure: "_PassError", admitted: Exchange) -> bool:
        exchange = failure.exchange
        if exchange.upstream is None or exchange.joined_agent:
            return False
        lost = failure.cause.kind is ErrorKind.OUTCOME_UNKNOWN
        harmless = exchange.known_service.repeatable and not exchange.request.idempotency_key
        if failure.cause.kind not in _RETRYABLE and not (lost and harmless):
            return False
        expired = self.parts.clock.now_ms() >= admitted.request.deadline_ms
        return not expired and self.retries.acquire()

    def _pass(self, filters: tuple[Filter, ...], exchange: Exchange) -> Exchange:
        for each in filters:
            try:
                exchange = each.apply(exchange)
            except AspengateError as error:
                raise _PassError(exchange, error) from error
            exchange = replace(exchange, passed=(*exchange.passed, each))
        return exchange

    def _first_frame(self, exchange: Exchange) -> Answer:
        stream = _stream(exchange)
        try:
            frame = stream.next(self._remaining(exchange), lambda: self._is_lost(stream))
        except AspengateError as error:
            self._cancel(stream)
            raise _PassError(exchange, error) from error
        if isinstance(frame, Refused):
            kind = ErrorKind(frame.kind)
            raise _PassError(exchange, AspengateError(kind, frame.reason, where=stream.agent))
        if isinstance(frame, Done):
            kind = ErrorKind(frame.error) if frame.error else ErrorKind.UPSTREAM_FAILED
            message = "the upstream failed before its answer began"
            raise _PassError(exchange, AspengateError(kind, message))
        if not isinstance(frame, Started):
            raise _PassError(
                exchange, AspengateError(ErrorKind.OUTCOME_UNKNOWN, "the answer has no start")
            )
        headers = (
            *frame.headers,
            Header("X-Request-Id", exchange.request.request_id),
            Header("X-Aspengate-Budget", exchange.known_account.budget),
        )
        return self._answer(exchange, stream, frame.status, headers)

    def _answer(
        self, exchange: Exchange, stream: AnswerStream, status: int, headers: tuple[Header, ...]
    ) -> Answer:
        """Return the answer; a short one is waited for, so that its cost goes in a header."""
        length = next((each.value for each in headers if each.name.lower() == "content-length"), "")
        relay = Relay(
            exchange,
            stream,
            self.parts.clock,
            self.parts.counters,
            self._cancel,
            lambda: self._is_lost(stream),
        )
        if length.isdigit() and int(length) <= _WHOLE_ANSWER_BYTES:
            body = b"".join(relay)
            cost = relay.usage.cost if relay.usage else 0
            headers = (*headers, Header("X-Aspengate-Cost", str(cost)))
            return Answer(status, headers, iter([body]))
        if any(_is_event_stream(each) for each in headers):
            return Answer(status, headers, iter(()), relay.pump)
        return Answer(status, headers, iter(relay))

    def _is_lost(self, stream: AnswerStream) -> bool:
        return self.parts.registry.is_unresponsive(stream.agent)

    def _remaining(self, exchange: Exchange) -> float:
        deadline = exchange.request.deadline_ms + ANSWER_MARGIN_MS
        return deadline - self.parts.clock.now_ms()

    def _cancel(self, stream: AnswerStream) -> None:
        self.parts.peer.send(stream.agent, Cancel(stream.number, self.parts.session))


class _PassError(Exception):
    """A filter refused the exchange, which had passed some filters by then."""

    def __init__(self, exchange: Exchange, cause: AspengateError) -> None:
        super().__init__(str(cause))
        self.exchange = exchange
        self.cause = cause


def _after_loss(failure: _PassError) -> _PassError:
    """Return a failure that does not say ``not_run``, since the lost attempt may have run."""
    if failure.cause.response.run_state is not RunState.NOT_RUN:
        return failure
    message = f"an attempt was lost, and then: {failure.cause}"
    return _PassError(failure.exchange, AspengateError(ErrorKind.OUTCOME_UNKNOWN, message))


def _outcome_of(error: AspengateError) -> Outcome:
    not_run = error.response.run_state is RunState.NOT_RUN
    return Outcome(error=error.kind.value, not_run=not_run)


def _excluded(exchange: Exchange) -> frozenset[str]:
    if exchange.upstream is None:
        return exchange.excluded
    return exchange.excluded | {exchange.upstream.instance.address}


def _is_event_stream(header: Header) -> bool:
    return header.name.lower() == "content-type" and header.value.startswith("text/event-stream")


def _stream(exchange: Exchange) -> AnswerStream:
    if exchange.stream is None:
        raise AssertionError("the dispatch filter comes first")
    return exchange.stream
