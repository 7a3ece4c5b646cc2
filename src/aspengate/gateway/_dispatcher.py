"""Sends an admitted request to replicas until one of them has answered, and relays the answer."""

from dataclasses import dataclass, field

from aspengate.connections import CallerGoneError, ReplicaAnswer
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._attempt import Attempt, AttemptParts
from aspengate.gateway._events import EventSplitter, StreamEvent
from aspengate.gateway._exchange import Exchange, Outcome
from aspengate.replicas import ReplicaRegistry, ReplicaView
from aspengate.serving import CallerConnection
from aspengate.telemetry import Counters

_WHOLE_ANSWER_BYTES = 256 * 1024
_SUCCESS = range(200, 300)
_SERVER_ERROR = range(500, 600)


@dataclass
class Progress:
    """What has happened to one request so far."""

    attempts: int = 0
    may_have_run: bool = False
    excluded: set[str] = field(default_factory=set)
    last_event_id: str = ""
    events: int = 0

    def outcome(self, error: ErrorKind | None) -> Outcome:
        """Return how the request ended."""
        return Outcome(error, self.attempts, self.may_have_run)


class Dispatcher:
    """Makes the attempts of each request."""

    def __init__(self, parts: AttemptParts, registry: ReplicaRegistry, counters: Counters) -> None:
        self.parts = parts
        self.registry = registry
        self.counters = counters

    def run(self, exchange: Exchange, caller: CallerConnection, progress: Progress) -> None:
        """Answer the caller with a replica's answer; raises AspengateError where none serves."""
        progress.last_event_id = exchange.request.last_event_id
        while True:
            view = self._choose(exchange, progress)
            attempt = Attempt(self.parts, exchange, view)
            view.in_flight += 1
            try:
                self._serve(attempt, exchange, caller, progress)
                return
            except _TryAnotherError as failure:
                progress.excluded.add(view.identity)
                self.counters.count("gateway.repeated")
                if progress.attempts >= exchange.known_route.max_attempts:
                    raise failure.cause from None
            finally:
                view.in_flight -= 1
                attempt.close()

    def _choose(self, exchange: Exchange, progress: Progress) -> ReplicaView:
        ready = self.registry.ready(exchange.known_service.name, progress.excluded)
        if not ready:
            raise AspengateError(
                ErrorKind.NO_UPSTREAM, "no replica is ready", where=exchange.known_service.name
            )
        return min(ready, key=lambda view: view.in_flight)

    def _serve(
        self,
        attempt: Attempt,
        exchange: Exchange,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        route = exchange.known_route
        try:
            answer = attempt.begin(progress.last_event_id)
        except CallerGoneError:
            self._note_sent(attempt, progress)
            raise
        except AspengateError as error:
            self._note_sent(attempt, progress)
            if error.kind is ErrorKind.NO_UPSTREAM:
                raise _TryAnotherError(error) from error
            if route.repeatable and error.kind is ErrorKind.UPSTREAM_FAILED:
                raise _TryAnotherError(error) from error
            raise
        self._note_sent(attempt, progress)
        if self.parts.spelling.is_not_executed(answer.status, answer.headers):
            progress.may_have_run = progress.may_have_run and progress.attempts > 1
            refused = AspengateError(ErrorKind.OVERLOADED, f"refused with {answer.status}")
            raise _TryAnotherError(refused)
        if answer.status in _SUCCESS and not self.parts.spelling.is_signed(answer.headers):
            raise AspengateError(ErrorKind.UPSTREAM_FAILED, "an unsigned answer")
        if _is_event_stream(answer) and answer.status in _SUCCESS:
            self._relay_stream(attempt, answer, exchange, caller, progress)
        else:
            self._relay_whole(attempt, answer, exchange, caller)

    def _note_sent(self, attempt: Attempt, progress: Progress) -> None:
        if attempt.sent:
            progress.attempts += 1
            progress.may_have_run = True

    def _relay_whole(
        self,
        attempt: Attempt,
        answer: ReplicaAnswer,
        exchange: Exchange,
        caller: CallerConnection,
    ) -> None:
        body = b""
        try:
            while data := answer.next_data(exchange.waiter):
                body += data
                if len(body) > _WHOLE_ANSWER_BYTES:
                    self._relay_rest(answer, body, exchange, caller)
                    attempt.release()
                    return
        except CallerGoneError:
            raise
        except AspengateError as error:
            if exchange.known_route.repeatable and error.kind is ErrorKind.UPSTREAM_FAILED:
                raise _TryAnotherError(error) from error
            raise
        attempt.release()
        headers = self.parts.spelling.answer_headers(answer.headers)
        caller.answer(answer.status, answer.reason, headers, body)

    def _relay_rest(
        self, answer: ReplicaAnswer, body: bytes, exchange: Exchange, caller: CallerConnection
    ) -> None:
        headers = self.parts.spelling.answer_headers(answer.headers)
        caller.start(answer.status, answer.reason, headers)
        caller.write(body, exchange.waiter)
        while data := answer.next_data(exchange.waiter):
            caller.write(data, exchange.waiter)
        caller.finish()

    def _relay_stream(
        self,
        attempt: Attempt,
        answer: ReplicaAnswer,
        exchange: Exchange,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        splitter = EventSplitter()
        try:
            while data := answer.next_data(exchange.waiter):
                for event in splitter.feed(data):
                    self._pass_on(event, answer, exchange, caller, progress)
            if splitter.rest:
                raise AspengateError(ErrorKind.UPSTREAM_FAILED, "ends within an event")
        except CallerGoneError:
            raise
        except AspengateError as error:
            if exchange.known_route.repeatable and error.kind is ErrorKind.UPSTREAM_FAILED:
                raise _TryAnotherError(error) from error
            raise
        attempt.release()
        if not caller.started:
            headers = self.parts.spelling.answer_headers(answer.headers)
            caller.start(answer.status, answer.reason, headers)
        caller.finish()

    def _pass_on(
        self,
        event: StreamEvent,
        answer: ReplicaAnswer,
        exchange: Exchange,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        if not caller.started:
            headers = self.parts.spelling.answer_headers(answer.headers)
            caller.start(answer.status, answer.reason, headers)
        caller.write(event.data, exchange.waiter)
        progress.events += 1
        if event.identity:
            progress.last_event_id = event.identity


class _TryAnotherError(Exception):
    """An attempt failed in a way that lets another replica be tried."""

    def __init__(self, cause: AspengateError) -> None:
        super().__init__(str(cause))
        self.cause = cause


def _is_event_stream(answer: ReplicaAnswer) -> bool:
    return answer.header("content-type").startswith("text/event-stream")
