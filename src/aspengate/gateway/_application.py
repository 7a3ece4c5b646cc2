"""Answers each request that a caller sends: admission, attempts, and errors as answers."""

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

ADMISSION = ("route", "authenticate", "reserve")
_LONGEST_MS = 600_000.0


class GatewayApplication:
    """The handler of a relay server.

    ``last_request_ms`` is when the handling of the newest request began, in monotonic time.
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
        refusing: Callable[[], bool],
    ) -> None:
        self.header_codec = header_codec
        self.holder = holder
        self.admission = admission
        self.dispatcher = dispatcher
        self.clock = clock
        self.log = log
        self.refusing = refusing
        self.last_request_ms = float("-inf")

    def __call__(self, caller: CallerConnection) -> None:
        """Answer one request; raises CallerGoneError where nobody waits for the answer."""
        handling = _Handling(self, caller)
        try:
            handling.serve()
        except CallerGoneError as error:
            handling.tell(error)
            raise
        except AspengateError as error:
            handling.fail(error)
        except Exception as error:
            log_change("request.fault", request_id=handling.request_id, error=repr(error))
            handling.fail(AspengateError(ErrorKind.INTERNAL, "a fault of the router's own"))
        else:
            handling.tell(None)


class _Handling:
    """The handling of one request."""

    def __init__(self, application: GatewayApplication, caller: CallerConnection) -> None:
        self.application = application
        self.caller = caller
        self.request_id = ""
        self.progress = Progress()
        self.exchange: Exchange | None = None

    def serve(self) -> None:
        """Read, admit and dispatch the request; raises AspengateError."""
        self.progress.begun_ms = self.application.clock.monotonic_ms()
        self.application.last_request_ms = self.progress.begun_ms
        request = self.application.header_codec.parse_request(self.caller.request)
        self.request_id = request.request_id
        if self.application.refusing():
            raise AspengateError(ErrorKind.LEAVING, "this router is being stopped")
        self.exchange = self._new_exchange(request)
        passed: list[Filter] = []
        failure: ErrorKind | None = None
        try:
            for step in self.application.admission:
                self.exchange = step.apply(self.exchange)
                passed.append(step)
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
            for step in reversed(passed):
                step.finish(self.exchange, outcome)

    def fail(self, error: AspengateError) -> None:
        """Tell the caller an error, or cut an answer that has begun."""
        truthful = _truthful(error, self.progress)
        try:
            self._answer(truthful)
        finally:
            self.tell(truthful)

    def tell(self, error: AspengateError | None) -> None:
        """Write the request's line in the log."""
        self.application.log.ended(
            self.request_id,
            self.caller.request.received_ms,
            self.exchange,
            self.progress,
            error,
        )

    def _new_exchange(self, request: CallerRequest) -> Exchange:
        deadline = request.deadline_ms
        if deadline is None:
            deadline = request.received_ms + _LONGEST_MS
        waiter = Waiter(self.application.clock, self.caller.socket, deadline)
        return Exchange(request, self.application.holder.current, waiter)

    def _answer(self, error: AspengateError) -> None:
        if self.caller.started:
            self.caller.cut()
            return
        self.progress.status = error.answer.status
        body = msgspec.json.encode({"error": error.body(self.request_id)})
        headers = [
            ("Content-Type", "application/json"),
            *self.application.header_codec.error_headers(self.request_id),
        ]
        if error.retry_after_s is not None:
            headers.append(("Retry-After", f"{math.ceil(error.retry_after_s * 10) / 10:g}"))
        self.caller.answer(error.answer.status, error.kind.value, headers, body)


def _event_tokens(exchange: Exchange) -> int:
    """Return how many tokens one event of the exchange's stream holds at most."""
    engine = exchange.service.engine if exchange.service else None
    return engine.event_tokens if engine else 1


def _truthful(error: AspengateError, progress: Progress) -> AspengateError:
    """Return the error to tell, such that what it says of the run is true."""
    says_not_run = error.answer.run_state is RunState.NOT_RUN
    if progress.may_have_run and says_not_run:
        return AspengateError(ErrorKind.OUTCOME_UNKNOWN, str(error))
    if not progress.may_have_run and error.kind in _NEVER_SENT:
        return AspengateError(ErrorKind.OVERLOADED, str(error))
    return error


_NEVER_SENT = frozenset(
    {ErrorKind.DEADLINE_EXCEEDED, ErrorKind.UPSTREAM_FAILED, ErrorKind.OUTCOME_UNKNOWN}
)
