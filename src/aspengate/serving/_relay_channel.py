"""A caller's connection: it reads requests, one at a time, and sends the responses."""

import contextlib
import socket
from typing import Any

from waitress.channel import ClientDisconnected, HTTPChannel

from aspengate.clock import SystemClock
from aspengate.connections import CallerGoneError
from aspengate.errors import AspengateError, ErrorKind
from aspengate.serving._close_report import CloseReason, has_unread_data
from aspengate.serving._memory_budget import Reservation
from aspengate.serving._relay_task import RESET_ON_CLOSE, CallerConnection, RelayTask
from aspengate.serving._request_body import OutOfMemoryError
from aspengate.serving._request_parser import StrictRequestParser, refused_kind
from aspengate.serving._response_buffer import ResponseBuffer

# What a connection occupies apart from its requests and responses.
_CONNECTION_BYTES = 4 * 1024
# A caller sends its first request within this time after it has connected, in ms.
_FIRST_REQUEST_MS = 200.0
_NEVER = float("inf")
_CLOCK = SystemClock()


class RelayChannel(HTTPChannel):  # type: ignore[misc]
    """A caller's connection; ``last_used_ms`` is the monotonic time of its last activity.

    Both reading and sending are activity: a response may take longer than the idle timeout, and
    its last bytes may leave long after its request has been handled.

    ``unsent_since_ms`` is the monotonic time since which response data has been waiting for the
    caller to read, infinite if there is none. ``close_reason`` is set if the server closes the
    connection under a request.
    """

    task_class = RelayTask
    parser_class = StrictRequestParser
    request: StrictRequestParser | None
    unsent_since_ms = _NEVER
    close_reason: CloseReason | None = None
    # Whether no request was read from the connection yet.
    is_unused = True
    # Bytes that arrived after a complete request, which are parsed after its response.
    _unparsed = b""
    # Whether a request is refused, and what its caller still sends is dropped. From the time at
    # which the refusal was sent, that lasts until ``_drop_until_ms``.
    _drops_rest = False
    _drop_until_ms: float | None = None

    def __init__(self, server: Any, *args: Any, **kwargs: Any) -> None:
        self._reservation = Reservation(server.memory)
        self.last_used_ms = _CLOCK.monotonic_ms()
        super().__init__(server, *args, **kwargs)
        self._reservation.add(_CONNECTION_BYTES)
        self.outbufs = [ResponseBuffer(Reservation(server.memory))]

    def received(self, data: bytes) -> bool:
        """Handle data from the caller."""
        if self._drop_until_ms is not None:
            return False
        with self.requests_lock:
            if self.will_close or self.close_when_flushed:
                return False
            if self.requests:
                self._keep_unparsed(self._unparsed + data)
            elif self._parse(self._unparsed + data):
                self.last_used_ms = _CLOCK.monotonic_ms()
        return True

    def service(self) -> None:
        """Handle one request; called on a thread of the pool."""
        super().service()
        if self._unparsed:
            self.server.parse_later(self)

    def parse_pending(self) -> None:
        """Parse what arrived together with the previous request; on the reading thread."""
        with self.requests_lock:
            if self.connected and not (self.requests or self.close_when_flushed):
                self._parse(self._unparsed)

    def send(self, data: bytes, do_close: bool = True) -> int:
        """Send response data, on the thread of the request or on the reading thread."""
        sent = int(super().send(data, do_close))
        if sent:
            self.last_used_ms = _CLOCK.monotonic_ms()
        return sent

    def write_soon(self, data: bytes) -> int:
        """Queue response data and send what the socket takes; raises ClientDisconnected."""
        with self.outbuf_lock:
            if not self.connected:
                raise ClientDisconnected
            if data:
                self.outbufs[0].append(data)
                self.total_outbufs_len += len(data)
                self._flush_exception(self._flush_some, do_close=False)
                if self.total_outbufs_len or self.will_close:
                    self.server.pull_trigger()
        return len(data)

    def readable(self) -> bool:
        """Whether data of the caller is read next."""
        return bool(super().readable()) and not self._unparsed

    def handle_write(self) -> None:
        """Send response data, or close the connection after the last of it."""
        if not (self._drops_rest and self.close_when_flushed):
            super().handle_write()
            return
        self._flush_exception(self._flush_some)
        if self.will_close:
            self.handle_close()
        elif not self.total_outbufs_len:
            self._end_sending()

    def handle_close(self) -> None:
        """Close the connection and release the memory that it alone uses."""
        request, self.request = self.request, None
        if request is not None:
            request.close()
        self._unparsed = b""
        self._reservation.release()
        super().handle_close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly read, and all responses are written."""
        is_reading = self.request is not None or bool(self._unparsed)
        return not (self.requests or is_reading or self.total_outbufs_len or self.is_dropping)

    def awaits_first_request(self, now_ms: float) -> bool:
        """Return whether the connection is so new that its first request may be on its way."""
        return self.is_unused and now_ms - self.last_used_ms < _FIRST_REQUEST_MS

    @property
    def is_dropping(self) -> bool:
        """Whether a refusal was sent, and what the caller still sends is dropped."""
        return self._drop_until_ms is not None

    @property
    def slow_since_ms(self) -> float:
        """The monotonic time since which the caller has not sent all of a request, or not read all.

        0 if it still sends after a refusal, infinite if the connection does not wait for it.
        """
        if self.is_dropping:
            return 0.0
        request = self.request
        reading_ms = request.received_ms if request is not None else _NEVER
        return min(reading_ms, self.unsent_since_ms)

    @property
    def slow_bytes(self) -> int:
        """The memory that is released if the connection is closed although its caller is slow."""
        request = self.request
        unread_bytes = request.reservation.held_bytes if request is not None else 0
        return unread_bytes + int(self.total_outbufs_len)

    def has_expired(self, now_ms: float, *, timeouts: float = 1.0) -> bool:
        """Return whether the caller takes longer than ``timeouts`` of the server's timeout."""
        if self._drop_until_ms is not None:
            return now_ms > self._drop_until_ms
        if self.requests or not self.connected:
            return False
        request = self.request
        if request is None:
            return bool(now_ms - self.last_used_ms > timeouts * self.server.idle_timeout_ms)
        return bool(now_ms - request.due_from_ms > timeouts * self.server.header_timeout_ms)

    def close_unless_unread(self, reason: CloseReason) -> bool:
        """Close the connection unless data has arrived that is read next; return whether it did.

        Only the reading thread may call it: otherwise a request could be read in between.
        """
        if self.readable() and has_unread_data(self.socket):
            return False
        self.server.report_close(self, reason)
        self.handle_close()
        return True

    def give_up(self, reason: CloseReason) -> None:
        """Refuse a request that is being read, or cut off a response that is not read.

        Only the reading thread may call it.
        """
        request = self.request
        if reason is CloseReason.MEMORY and request is not None and request.headers_finished:
            request.error = OutOfMemoryError("the memory is needed for other requests")
            self.request = None
            self._refuse(request)
            return
        self.close_reason = reason
        self.server.report_close(self, reason)
        if self.total_outbufs_len and self.socket is not None:
            # An orderly close could make a part of a response look whole.
            with contextlib.suppress(OSError):
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.handle_close()

    def _flush_some(self, do_close: bool = True) -> bool:
        flushed = bool(super()._flush_some(do_close))
        if not self.total_outbufs_len:
            self.unsent_since_ms = _NEVER
        elif self.unsent_since_ms == _NEVER:
            self.unsent_since_ms = _CLOCK.monotonic_ms()
        return flushed

    def _keep_unparsed(self, data: bytes) -> None:
        """Keep data that is not parsed yet, in place of what was kept before."""
        added = len(data) - len(self._unparsed)
        self._unparsed = data
        if added:
            self._reservation.add(added)

    def _parse(self, data: bytes) -> bool:
        """Parse data up to the end of a request; return False if there were only empty lines."""
        is_used = False
        while data and self.connected and not (self.requests or self._drops_rest):
            if self.request is None:
                self.request = self._new_request()
            request = self.request
            data = data[request.received(data) :]
            self._answer_expectation(request)
            if request.completed:
                self.request = None
                self.sent_continue = False
                self._accept(request)
            is_used = is_used or not request.empty
        is_kept = self.connected and not self._drops_rest
        self._keep_unparsed(data if is_kept else b"")
        return is_used

    def _new_request(self) -> StrictRequestParser:
        reservation = Reservation(self.server.memory, self._make_room)
        request = self.parser_class(self.adj, reservation)
        request.min_body_rate = self.server.min_body_rate
        request.max_chunk_line_bytes = self.server.max_chunk_line_bytes
        return request

    def _make_room(self, missing: int) -> None:
        self.server.make_room(missing, self)

    def _answer_expectation(self, request: StrictRequestParser) -> None:
        """Send an interim response if the caller waits for one before it sends the body."""
        if request.expect_continue and request.headers_finished and not request.completed:
            self.send_continue()

    def _accept(self, request: StrictRequestParser) -> None:
        """Queue a request that was read, or refuse it."""
        self.is_unused = False
        if request.empty:
            request.close()
        elif refused_kind(request.error) and request.headers_finished:
            self._refuse(request)
        else:
            self._drops_rest = request.error is not None
            self.requests.append(request)
            self.server.add_task(self)

    def _refuse(self, request: StrictRequestParser) -> None:
        """Send a refusal at once, without a thread of the pool."""
        request.close()
        self._drops_rest = True
        caller = CallerConnection(self, request.received_request(), closing=True)
        with contextlib.suppress(CallerGoneError):
            self.server.on_refused(caller, _refusal(request))
        self.close_when_flushed = True

    def _end_sending(self) -> None:
        """Close the sending direction; closing both would reset it under the last response."""
        self.close_when_flushed = False
        self._drop_until_ms = _CLOCK.monotonic_ms() + self.server.header_timeout_ms
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_WR)


def _refusal(request: StrictRequestParser) -> AspengateError:
    kind = refused_kind(request.error) or ErrorKind.BAD_REQUEST
    if kind is ErrorKind.TOO_LARGE:
        return AspengateError(kind, f"the body has more than {request.max_body_bytes} bytes")
    return AspengateError(kind, str(request.error.body))
