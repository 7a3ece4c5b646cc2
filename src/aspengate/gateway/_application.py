"""Handles each caller request: admission filters, dispatch to replicas, and error responses."""

import contextlib
import math
from collections.abc import Callable

import msgspec

from aspengate.clock import Clock
from aspengate.configuration import ConfigurationHolder
from aspengate.connections import CallerGoneError, Waiter
from aspengate.errors import AspengateError, ErrorKind, RunState
from aspengate.gateway._dispatcher import Dispatcher
from aspengate.gateway._exchange import Exchange, Filter
from aspengate.gateway._ports import HeaderCodec
from aspengate.gateway._progress import Progress
from aspengate.gateway._request import CallerRequest
from aspengate.gateway._request_log import RequestLog
from aspengate.gateway.filters import used_tokens
from aspengate.serving import CallerConnection
from aspengate.telemetry import log_change

ADMISSION = ("route", "authenticate", "resume", "reserve")
_DEFAULT_DEADLINE_MS = 600_000.0


class GatewayApplication:
    """The request handler of a relay server.

    ``last_request_ms`` is the monotonic time in ms at which handling of the latest request started.
    Requests whose response has not started by ``answer_by_ms``, in the same time, get a failure.
    """

    def __init__(
        self,
        *,
        header_codec: HeaderCodec,
        holder: ConfigurationHolder,
        admission: tuple[Filter, ...],
        dispatcher: Dispatcher,
        clock: Clock,
        log: RequestLog,
        is_refusing: Callable[[], bool],
    ) -> None:
        self.header_codec = header_codec
        self.holder = holder
        self.admission = admission
        self.dispatcher = dispatcher
        self.clock = clock
        self.log = log
        self.is_refusing = is_refusing
        self.last_request_ms = float("-inf")
        self.answer_by_ms = float("inf")

    def __call__(self, caller: CallerConnection) -> None:
        """Handle one request; raises CallerGoneError if the caller has disconnected."""
        handler = _RequestHandler(self, caller)
        try:
            handler.serve()
        except CallerGoneError as error:
            handler.log_end(_closed_error(caller) or error)
            raise
        except AspengateError as error:
            try:
                handler.handle_error(error)
            finally:
                # Frames in the traceback refer to the failed attempt, and that to this error.
                error.__context__ = error.__traceback__ = None
        except Exception as error:
            log_change("request.fault", request_id=handler.request_id, error=repr(error))
            handler.handle_error(AspengateError(ErrorKind.INTERNAL, "a fault of the router's own"))
        else:
            handler.log_end(None)
        finally:
            handler.break_cycles()

    def refuse(self, caller: CallerConnection, error: AspengateError) -> None:
        """Refuse a request that the server does not read; raises like a call."""
        _RequestHandler(self, caller).refuse(error)


class _RequestHandler:
    """Handles one request and holds its state."""

    def __init__(self, application: GatewayApplication, caller: CallerConnection) -> None:
        self.application = application
        self.caller = caller
        self.request_id = ""
        self.progress = Progress()
        self.exchange: Exchange | None = None

    def serve(self) -> None:
        """Parse, admit and dispatch the request; raises AspengateError.

        The filters that admitted it are finished in reverse order, whatever the outcome.
        """
        self.progress.started_ms = self.application.clock.monotonic_ms()
        self.application.last_request_ms = self.progress.started_ms
        request = self.application.header_codec.parse_request(self.caller.request)
        self.request_id = request.request_id
        if self.application.is_refusing():
            raise AspengateError(ErrorKind.LEAVING, "this router is being stopped")
        self.exchange = self._new_exchange(request)
        applied: list[Filter] = []
        failure: ErrorKind | None = None
        try:
            for step in self.application.admission:
                self.exchange = step.apply(self.exchange)
                applied.append(step)
            self.progress.admitted_ms = self.application.clock.monotonic_ms()
            self.application.dispatcher.run(self.exchange, self.caller, self.progress)
        except AspengateError as error:
            failure = error.kind
            raise
        except Exception:
            failure = ErrorKind.INTERNAL
            raise
        finally:
            outcome = self.progress.outcome(failure, _event_tokens(self.exchange))
            self.progress.settled_tokens = used_tokens(self.exchange, outcome)
            for step in reversed(applied):
                step.finish(self.exchange, outcome)

    def refuse(self, error: AspengateError) -> None:
        """Send a refusal for a request that is not handled, and log it."""
        self.progress.started_ms = self.application.clock.monotonic_ms()
        with contextlib.suppress(AspengateError):
            codec = self.application.header_codec
            self.request_id = codec.parse_request(self.caller.request).request_id
        self.handle_error(error)

    def handle_error(self, error: AspengateError) -> None:
        """Send an error response, or cut off a response that has started; log the request."""
        reported = _with_correct_run_state(error, self.progress)
        try:
            self._send_error(reported)
        finally:
            self.log_end(reported)

    def log_end(self, error: AspengateError | None) -> None:
        """Write the request's log line."""
        self.application.log.record_end(
            self.request_id,
            self.caller.request.received_ms,
            self.exchange,
            self.progress,
            error,
        )

    def break_cycles(self) -> None:
        """Drop the references by which the request's body would stay in memory.

        The exchange refers to this handler, and each attempt to the progress; only the garbage
        collector would find these cycles, much later.
        """
        self.exchange = None
        self.progress.forget_attempts()

    def _new_exchange(self, request: CallerRequest) -> Exchange:
        deadline = request.deadline_ms
        if deadline is None:
            deadline = request.received_ms + _DEFAULT_DEADLINE_MS
        waiter = Waiter(self.application.clock, self.caller.socket, deadline, self._latest_ms)
        return Exchange(request, self.application.holder.current, waiter)

    def _latest_ms(self) -> float:
        return float("inf") if self.caller.started else self.application.answer_by_ms

    def _send_error(self, error: AspengateError) -> None:
        if self.caller.started:
            self.caller.abort()
            return
        self.progress.status = error.response.status
        body = msgspec.json.encode({"error": error.body(self.request_id)})
        headers = [
            ("Content-Type", "application/json"),
            *self.application.header_codec.error_headers(self.request_id),
        ]
        if error.retry_after_s is not None:
            headers.append(("Retry-After", f"{math.ceil(error.retry_after_s * 10) / 10:g}"))
        self.caller.respond(error.response.status, error.kind.value, headers, body)


def _closed_error(caller: CallerConnection) -> AspengateError | None:
    """Return the error of a request whose connection the router itself closed, else None."""
    if caller.close_reason is None:
        return None
    reason = f"the router closed the connection of a slow caller: {caller.close_reason.value}"
    return AspengateError(ErrorKind.CALLER_GONE, reason)


def _event_tokens(exchange: Exchange) -> int:
    """Return the maximum number of tokens in one event of the exchange's stream."""
    engine = exchange.service.engine if exchange.service else None
    return engine.event_tokens if engine else 1


def _with_correct_run_state(error: AspengateError, progress: Progress) -> AspengateError:
    """Return the error to report to the caller, whose kind states correctly if the request ran.

    An error whose kind means "not run" becomes OUTCOME_UNKNOWN if the request may have run, and one
    whose kind means that it may have run becomes OVERLOADED if it was never sent.
    """
    says_not_run = error.response.run_state is RunState.NOT_RUN
    if progress.may_have_run and says_not_run:
        return AspengateError(ErrorKind.OUTCOME_UNKNOWN, str(error))
    if not progress.may_have_run and error.kind in _IMPLIES_SENT:
        return AspengateError(ErrorKind.OVERLOADED, str(error))
    return error


_IMPLIES_SENT = frozenset(
    {ErrorKind.DEADLINE_EXCEEDED, ErrorKind.UPSTREAM_FAILED, ErrorKind.OUTCOME_UNKNOWN}
)
