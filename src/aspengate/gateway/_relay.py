"""Relays a replica's response to the caller."""

from aspengate.connections import BrokenResponseError, ReplicaResponse
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._attempt import Attempt, RetryableAttemptError
from aspengate.gateway._events import EventSplitter, StreamEvent
from aspengate.gateway._ports import HeaderCodec
from aspengate.gateway._progress import Progress
from aspengate.gateway._unframed_ends import UnframedEnds
from aspengate.gateway.streams import StreamDirectory
from aspengate.serving import CallerConnection
from aspengate.telemetry import Counters

_MAX_BUFFERED_BYTES = 256 * 1024
_MAX_EVENT_BYTES = 1024 * 1024


class AnswerRelay:
    """Relays buffered responses and event streams."""

    def __init__(
        self,
        header_codec: HeaderCodec,
        streams: StreamDirectory,
        unframed_ends: UnframedEnds,
        counters: Counters,
    ) -> None:
        self.header_codec = header_codec
        self.streams = streams
        self.unframed_ends = unframed_ends
        self.counters = counters

    def relay_buffered(
        self, attempt: Attempt, answer: ReplicaResponse, caller: CallerConnection
    ) -> None:
        """Read a response to its end before sending it, so that a broken one is never started.

        Beyond ``_MAX_BUFFERED_BYTES``, or without memory for it, it is passed on as it arrives.
        Raises RetryableAttemptError, or AspengateError.
        """
        caller.held_back.release()
        body = bytearray()
        waiter = attempt.exchange.waiter
        try:
            while data := answer.next_data(waiter):
                body += data
                has_memory = caller.held_back.grow(len(data))
                if caller.started or not has_memory or len(body) > _MAX_BUFFERED_BYTES:
                    self._start(answer, caller)
                    caller.held_back.release()
                    caller.write(bytes(body), waiter)
                    body.clear()
            self.unframed_ends.check(attempt, answer)
        except AspengateError as error:
            if _is_retryable(attempt, error, resumable=not caller.started):
                raise RetryableAttemptError(error, sent=True) from error
            raise
        attempt.release(answer)
        if caller.started:
            caller.write(bytes(body), waiter)
            caller.finish()
            return
        headers = self.header_codec.response_headers(answer.headers)
        caller.respond(answer.status, answer.reason, headers, bytes(body))

    def relay_stream(
        self,
        attempt: Attempt,
        answer: ReplicaResponse,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        """Pass on complete events as they arrive; raises like ``relay_buffered``."""
        splitter = EventSplitter()
        progress.status = answer.status
        try:
            while data := self._next_data(attempt, answer):
                attempt.record_activity()
                for event in splitter.feed(data):
                    self._relay_event(event, attempt, answer, caller, progress)
                if len(splitter.remainder) > _MAX_EVENT_BYTES:
                    raise BrokenResponseError("an event is too long", answer.connection.address)
                if not caller.held_back.resize(len(splitter.remainder)):
                    raise AspengateError(ErrorKind.OUT_OF_MEMORY, "no memory for an event")
            if splitter.remainder:
                raise BrokenResponseError("ends within an event", answer.connection.address)
            if not answer.is_framed and not progress.events and not progress.last_event_id:
                address = answer.connection.address
                raise BrokenResponseError("a stream without framing and events", address)
            self.unframed_ends.check(attempt, answer)
        except AspengateError as error:
            resumable = not caller.started or attempt.exchange.known_route.resumable
            if _is_retryable(attempt, error, resumable=resumable):
                raise RetryableAttemptError(error, sent=True) from error
            raise
        attempt.release(answer)
        self._start(answer, caller)
        caller.finish()
        progress.is_complete = True

    def _next_data(self, attempt: Attempt, answer: ReplicaResponse) -> bytes:
        """Return more stream data; raises RetryableAttemptError if the replica is unresponsive."""
        while True:
            until_ms = attempt.timeouts.gap_deadline_ms()
            data = answer.next_data(attempt.exchange.waiter, until_ms)
            if data is not None:
                return data
            if attempt.timeouts.should_abandon_stream():
                unresponsive = AspengateError(ErrorKind.UPSTREAM_FAILED, "went silent")
                raise RetryableAttemptError(unresponsive, sent=True, retry_acquired=True)

    def _relay_event(
        self,
        event: StreamEvent,
        attempt: Attempt,
        answer: ReplicaResponse,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        # One piece of data may hold thousands of events.
        attempt.exchange.waiter.check_deadline()
        if _is_duplicate(event, progress):
            self.counters.count("gateway.events_repeated")
            return
        if not progress.events:
            progress.pin = self.streams.record_first_event(attempt.exchange, attempt.replica)
        self._start(answer, caller)
        caller.write(event.data, attempt.exchange.waiter)
        now_ms = attempt.dependencies.clock.monotonic_ms()
        attempt.record_event(now_ms)
        progress.record_event(event.event_id, now_ms)

    def _start(self, answer: ReplicaResponse, caller: CallerConnection) -> None:
        """Send the response head once; a resumed stream keeps the head of its first replica."""
        if not caller.started:
            headers = self.header_codec.response_headers(answer.headers)
            caller.start(answer.status, answer.reason, headers)


def _is_retryable(attempt: Attempt, error: AspengateError, *, resumable: bool) -> bool:
    """Return whether a response that broke off may be replaced by that of another attempt."""
    is_lost = error.kind is ErrorKind.UPSTREAM_FAILED
    return is_lost and resumable and attempt.exchange.known_route.is_retryable


def _is_duplicate(event: StreamEvent, progress: Progress) -> bool:
    """Return whether the caller already has an event; numeric ids are ascending."""
    if not (event.event_id.isdigit() and progress.last_event_id.isdigit()):
        return False
    return int(event.event_id) <= int(progress.last_event_id)
