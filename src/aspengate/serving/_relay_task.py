"""A caller's request and the writing of its response on a waitress channel."""

import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from waitress.channel import ClientDisconnected
from waitress.task import Task

from aspengate.connections import CallerGoneError, Waiter
from aspengate.serving._close_report import CloseReason
from aspengate.serving._memory_budget import Reservation

_MAX_UNSENT_BYTES = 256 * 1024
_UNSENT_POLL_MS = 20.0
# The value of SO_LINGER with which closing a socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_BODYLESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})

Headers = Iterable[tuple[str, str]]


@dataclass(frozen=True)
class ReceivedRequest:
    """A request that was read completely; ``received_ms`` is the monotonic time of its start."""

    method: str
    target: str
    version: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_ms: float


class CallerConnection:
    """A caller's request and the response to it.

    Call either ``respond`` once, or ``start``, ``write`` any number of times, and then ``finish``
    or ``abort``. The methods that send raise CallerGoneError if the caller has disconnected.
    ``closing`` is whether the connection is closed after the response. ``held_back`` is the memory
    of a response that is not sent yet.
    """

    def __init__(self, channel: Any, request: ReceivedRequest, closing: bool) -> None:
        self.request = request
        self.closing = closing
        self.started = False
        self.ended = False
        self.held_back = Reservation(channel.server.memory)
        self._channel = channel
        self._chunked = False

    @property
    def socket(self) -> socket.socket | None:
        """The caller's socket, which may be polled but not read."""
        found: socket.socket | None = self._channel.socket
        return found

    @property
    def close_reason(self) -> CloseReason | None:
        """Why the server closed the connection under this request; None if it did not."""
        found: CloseReason | None = self._channel.close_reason
        return found

    def respond(self, status: int, reason: str, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        lines = _header_lines(headers)
        if status not in _BODYLESS_STATUSES:
            lines.append(f"Content-Length: {len(body)}")
        self._send_head(status, reason, lines)
        if body and status not in _BODYLESS_STATUSES and self.request.method != "HEAD":
            self._send(body)
        self.ended = True

    def start(self, status: int, reason: str, headers: Headers) -> None:
        """Send the head of a response whose length is not known yet."""
        lines = _header_lines(headers)
        self._chunked = self.request.version == "1.1"
        if self._chunked:
            lines.append("Transfer-Encoding: chunked")
        else:
            self.closing = True
        self._send_head(status, reason, lines)

    def write(self, data: bytes, waiter: Waiter) -> None:
        """Send more of a started response; wait while the caller reads too slowly."""
        if data:
            self._send(b"%x\r\n%b\r\n" % (len(data), data) if self._chunked else data)
        while self._channel.total_outbufs_len > self._max_unsent_bytes:
            waiter.pause(waiter.clock.monotonic_ms() + _UNSENT_POLL_MS)

    def finish(self) -> None:
        """Complete a started response."""
        if self._chunked:
            self._send(b"0\r\n\r\n")
        self.ended = True

    def abort(self) -> None:
        """Close the connection so that the caller detects that the response is incomplete.

        Without chunks that takes a reset, since an orderly close would end the response.
        """
        self.closing = True
        self.ended = True
        caller = self.socket
        if not self._chunked and self.started and caller is not None:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)

    @property
    def _max_unsent_bytes(self) -> int:
        return 0 if self._channel.server.memory.has_shortage else _MAX_UNSENT_BYTES

    def _send_head(self, status: int, reason: str, lines: list[str]) -> None:
        self.started = True
        # The server may have been told to leave since the request was read.
        self.closing = self.closing or bool(self._channel.server.leaving)
        if self.closing:
            lines.append("Connection: close")
        elif self.request.version == "1.0":
            lines.append("Connection: keep-alive")
        head = "\r\n".join([f"HTTP/1.1 {status} {reason}", *lines, "", ""])
        self._send(head.encode("latin-1"))

    def _send(self, data: bytes) -> None:
        try:
            self._channel.write_soon(data)
        except ClientDisconnected as error:
            raise CallerGoneError from error


class RelayTask(Task):  # type: ignore[misc]
    """Passes a request to the server's handler; a response that it left unfinished is aborted."""

    def service(self) -> None:
        """Handle the request; called on a thread of the pool."""
        connection = CallerConnection(
            self.channel, self.request.received_request(), closing=self._must_close()
        )
        try:
            self.channel.server.handler(connection)
        except CallerGoneError:
            pass
        finally:
            connection.held_back.release()
            if not connection.ended:
                connection.abort()
            # After an exception, waitress sends an error response unless a head was written.
            self.wrote_header = connection.started
            self.close_on_finish = connection.closing

    def _must_close(self) -> bool:
        server = self.channel.server
        options = self.request.headers.get("CONNECTION", "").lower()
        if self.request.version == "1.0":
            return options != "keep-alive" or bool(server.leaving)
        return "close" in options or bool(server.leaving)


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _header_lines(headers: Headers) -> list[str]:
    return [f"{name}: {value}" for name, value in headers]
