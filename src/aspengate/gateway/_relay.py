"""Hands a replica's answer to the caller."""

from aspengate.connections import BrokenAnswerError, ReplicaAnswer
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._attempt import Attempt, RetryableAttemptError
from aspengate.gateway._events import EventSplitter, StreamEvent
from aspengate.gateway._ports import HeaderCodec
from aspengate.gateway._progress import Progress
from aspengate.serving import CallerConnection
from aspengate.telemetry import Counters

_WHOLE_ANSWER_BYTES = 256 * 1024


class AnswerRelay:
    """Relays whole answers and streams of events."""

    def __init__(self, header_codec: HeaderCodec, counters: Counters) -> None:
        self.header_codec = header_codec
        self.counters = counters

    def whole(self, attempt: Attempt, answer: ReplicaAnswer, caller: CallerConnection) -> None:
        """Read an answer to its end, then send it, so that a broken one is never begun.

        One that is very long is passed on as it comes. Raises RetryableAttemptError, or
        AspengateError.
        """
        body = b""
        waiter = attempt.exchange.waiter
        try:
            while data := answer.next_data(waiter):
                body += data
                if len(body) > _WHOLE_ANSWER_BYTES:
                    self._begin(answer, caller)
                    caller.write(body, waiter)
                    body = b""
        except AspengateError as error:
            raise _broken(attempt, error, resumable=not caller.started) from error
        attempt.release(answer)
        if caller.started:
            caller.write(body, waiter)
            caller.finish()
            return
        headers = self.header_codec.response_headers(answer.headers)
        caller.answer(answer.status, answer.reason, headers, body)

    def stream(
        self,
        attempt: Attempt,
        answer: ReplicaAnswer,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        """Pass events on as they come, each one whole; raises as ``whole`` does."""
        splitter = EventSplitter()
        progress.status = answer.status
        try:
            while data := self._next_data(attempt, answer):
                attempt.note_sign()
                for event in splitter.feed(data):
                    self._pass_on(event, attempt, answer, caller, progress)
            if splitter.remainder:
                raise BrokenAnswerError("ends within an event", answer.connection.address)
            if not answer.framed:
                raise BrokenAnswerError("a stream without framing", answer.connection.address)
        except AspengateError as error:
            resumable = not caller.started or attempt.exchange.known_route.resumable
            raise _broken(attempt, error, resumable=resumable) from error
        attempt.release(answer)
        self._begin(answer, caller)
        caller.finish()
        progress.whole = True

    def _next_data(self, attempt: Attempt, answer: ReplicaAnswer) -> bytes:
        """Return more of a stream; raises RetryableAttemptError where its replica went silent."""
        while True:
            until_ms = attempt.patience.gap_until_ms()
            data = answer.next_data(attempt.exchange.waiter, until_ms)
            if data is not None:
                return data
            if attempt.patience.gap_is_over():
                silent = AspengateError(ErrorKind.UPSTREAM_FAILED, "went silent")
                raise RetryableAttemptError(silent, sent=True, paid=True)

    def _pass_on(
        self,
        event: StreamEvent,
        attempt: Attempt,
        answer: ReplicaAnswer,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        if _is_repeated(event, progress):
            self.counters.count("gateway.events_repeated")
            return
        self._begin(answer, caller)
        caller.write(event.data, attempt.exchange.waiter)
        now_ms = attempt.dependencies.clock.monotonic_ms()
        attempt.note_event(now_ms)
        progress.note_event(event.event_id, now_ms)

    def _begin(self, answer: ReplicaAnswer, caller: CallerConnection) -> None:
        """Send the head, once; a resumed stream keeps that of its first replica."""
        if not caller.started:
            headers = self.header_codec.response_headers(answer.headers)
            caller.start(answer.status, answer.reason, headers)


def _broken(attempt: Attempt, error: AspengateError, *, resumable: bool) -> Exception:
    """Return what to raise after an answer broke off."""
    lost = error.kind is ErrorKind.UPSTREAM_FAILED
    if lost and resumable and attempt.exchange.known_route.repeatable:
        return RetryableAttemptError(error, sent=True)
    return error


def _is_repeated(event: StreamEvent, progress: Progress) -> bool:
    """Return whether the caller has an event already; ids rise where they are numbers."""
    if not (event.event_id.isdigit() and progress.last_event_id.isdigit()):
        return False
    return int(event.event_id) <= int(progress.last_event_id)
