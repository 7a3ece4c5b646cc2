"""Answers each request that a caller sends: admission, attempts, and errors as answers."""

from collections.abc import Callable

import msgspec

from aspengate.clock import Clock
from aspengate.configuration import ConfigurationHolder
from aspengate.connections import CallerGoneError, Waiter
from aspengate.errors import AspengateError, ErrorKind, RunState
from aspengate.gateway._dispatcher import Dispatcher
from aspengate.gateway._exchange import Exchange, Filter
from aspengate.gateway._ports import RequestSpelling
from aspengate.gateway._progress import Progress
from aspengate.gateway._request import CallerRequest
from aspengate.serving import CallerConnection
from aspengate.telemetry import Counters, log_change

ADMISSION = ("route", "authenticate", "reserve")
_LONGEST_MS = 600_000.0


class GatewayApplication:
    """The handler of a relay server."""

    def __init__(
        self,
        *,
        spelling: RequestSpelling,
        holder: ConfigurationHolder,
        admission: tuple[Filter, ...],
        dispatcher: Dispatcher,
        clock: Clock,
        counters: Counters,
        refusing: Callable[[], bool],
    ) -> None:
        self.spelling = spelling
        self.holder = holder
        self.admission = admission
        self.dispatcher = dispatcher
        self.clock = clock
        self.counters = counters
        self.refusing = refusing

    def __call__(self, caller: CallerConnection) -> None:
        """Answer one request; raises CallerGoneError where nobody waits for the answer."""
        request_id = ""
        progress = Progress()
        try:
            request = self.spelling.caller_request(caller.request)
            request_id = request.request_id
            self._serve(request, caller, progress)
            self.counters.count("gateway.answered")
        except CallerGoneError:
            self.counters.count("gateway.caller_gone")
            raise
        except AspengateError as error:
            self._fail(caller, error, request_id, progress)
        except Exception as error:
            log_change("gateway.request_failed", request_id=request_id, error=repr(error))
            internal = AspengateError(ErrorKind.INTERNAL, "a fault of the router's own")
            self._fail(caller, internal, request_id, progress)

    def _serve(self, request: CallerRequest, caller: CallerConnection, progress: Progress) -> None:
        if self.refusing():
            raise AspengateError(ErrorKind.LEAVING, "this router is being stopped")
        deadline = request.deadline_ms
        if deadline is None:
            deadline = request.received_ms + _LONGEST_MS
        waiter = Waiter(self.clock, caller.socket, deadline)
        exchange = Exchange(request, self.holder.current, waiter)
        passed: list[Filter] = []
        failure: ErrorKind | None = None
        try:
            for step in self.admission:
                exchange = step.apply(exchange)
                passed.append(step)
            self.dispatcher.run(exchange, caller, progress)
        except AspengateError as error:
            failure = error.kind
            raise
        except Exception:
            failure = ErrorKind.INTERNAL
            raise
        finally:
            outcome = progress.outcome(failure, _event_tokens(exchange))
            for step in reversed(passed):
                step.finish(exchange, outcome)

    def _fail(
        self,
        caller: CallerConnection,
        error: AspengateError,
        request_id: str,
        progress: Progress,
    ) -> None:
        truthful = _truthful(error, progress)
        self.counters.count(f"gateway.errors.{truthful.kind.value}")
        log_change(
            "gateway.refused",
            request_id=request_id,
            kind=truthful.kind.value,
            reason=str(error),
            attempts=progress.attempts,
            may_have_run=progress.may_have_run,
        )
        if caller.started:
            caller.cut()
            return
        body = msgspec.json.encode({"error": truthful.body(request_id)})
        headers = [
            ("Content-Type", "application/json"),
            *self.spelling.error_headers(request_id),
        ]
        if truthful.answer.retry_after_s is not None:
            headers.append(("Retry-After", str(truthful.answer.retry_after_s)))
        caller.answer(truthful.answer.status, truthful.kind.value, headers, body)


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
