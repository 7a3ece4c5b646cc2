"""A strict request parser, which rejects requests that two parsers could read differently."""

from typing import Any

from waitress.parser import HTTPRequestParser, ParsingError, get_header_lines
from waitress.utilities import RequestEntityTooLarge

from aspengate.clock import Clock, SystemClock
from aspengate.errors import ErrorKind
from aspengate.serving._memory_budget import Reservation, unlimited_reservation
from aspengate.serving._relay_task import ReceivedRequest
from aspengate.serving._request_body import (
    BodyBuffer,
    BodyReceiver,
    ChunkedBodyReceiver,
    FramingError,
    OutOfMemoryError,
    SizedBodyReceiver,
    TrailersTooLargeError,
)

_VERSIONS = frozenset({"1.0", "1.1"})
# What the objects of a request occupy, apart from its bytes, and each of its header lines.
_REQUEST_BYTES = 4 * 1024
_HEADER_LINE_BYTES = 512
# Copies of the head that are held at the same time, parsed and not parsed.
_HEAD_COPIES = 3
_REFUSED_KINDS = {
    OutOfMemoryError: ErrorKind.OUT_OF_MEMORY,
    RequestEntityTooLarge: ErrorKind.TOO_LARGE,
    FramingError: ErrorKind.BAD_REQUEST,
    TrailersTooLargeError: ErrorKind.FIELDS_TOO_LARGE,
}


class StrictRequestParser(HTTPRequestParser):  # type: ignore[misc]
    """Keeps the header lines as they were sent and rejects ambiguous framing.

    Ambiguous framing would allow request smuggling. All memory that the request occupies is
    reserved first, and ``close`` releases it.

    ``due_from_ms`` is the monotonic time from which the timeout counts: the start of the request
    and then of its body, whose bytes advance it at ``min_body_rate``, in bytes per second. Thus a
    body is in time as long as it arrives at this rate at least.
    """

    clock: Clock = SystemClock()
    body_rcv: BodyReceiver | None
    min_body_rate = 1_000.0
    max_chunk_line_bytes = 1_024

    def __init__(self, adjustments: Any, reservation: Reservation | None = None) -> None:
        super().__init__(adjustments)
        self.reservation = reservation or unlimited_reservation()
        self.received_ms = self.clock.monotonic_ms()
        self.due_from_ms = self.received_ms
        self.header_pairs: tuple[tuple[str, str], ...] = ()
        self.body = b""
        self._buffer = BodyBuffer(self.reservation)

    @property
    def max_body_bytes(self) -> int:
        """The largest length of a body."""
        # The limit of the library is the first length that is refused.
        return int(self.adj.max_request_body_size) - 1

    def received(self, data: bytes) -> int:
        """Take the bytes that belong to this request; return how many were taken."""
        if self.completed:
            return 0
        if self.body_rcv is not None:
            return self._receive_body(self.body_rcv, data)
        before = len(self.header_plus)
        consumed = int(super().received(data))
        has_room = self.reservation.grow(len(self.header_plus) - before)
        if self.headers_finished:
            has_room = self._begin_body() and has_room
        if not has_room and self.error is None:
            self._fail(OutOfMemoryError("no memory for the request"))
        return consumed

    def parse_header(self, header_plus: bytes) -> None:
        """Parse the request line and the headers; raises ParsingError."""
        super().parse_header(header_plus)
        if self.version not in _VERSIONS:
            raise ParsingError("HTTP version is not supported")
        _, _, block = header_plus.partition(b"\r\n")
        self.header_pairs = _header_pairs(block)
        _check_framing(self.header_pairs, self.version)
        self.header_plus = b""

    def received_request(self) -> ReceivedRequest:
        """Return the request; without its body if that has not completed."""
        return ReceivedRequest(
            method=self.command,
            target=self.request_uri,
            version=self.version,
            headers=self.header_pairs,
            body=self.body,
            received_ms=self.received_ms,
        )

    def close(self) -> None:
        """Drop the body and release the request's memory."""
        self.body = b""
        self._buffer.close()
        self.reservation.release()

    def _begin_body(self) -> bool:
        """Reserve memory for the parsed head and a body of known length; return if there is any."""
        if self.error is not None or self.empty:
            return True
        self.due_from_ms = self.clock.monotonic_ms()
        head_bytes = _REQUEST_BYTES + _HEAD_COPIES * self.header_bytes_received
        lines_bytes = _HEADER_LINE_BYTES * len(self.header_pairs)
        if not self.reservation.grow(head_bytes + lines_bytes):
            return False
        if self.chunked:
            self.body_rcv = ChunkedBodyReceiver(
                self._buffer,
                max_bytes=self.max_body_bytes,
                max_line_bytes=self.max_chunk_line_bytes,
                max_trailer_bytes=self.adj.max_request_header_size,
            )
        elif self.content_length:
            self.body_rcv = SizedBodyReceiver(self.content_length, self._buffer)
            return self._buffer.reserve(self.content_length)
        return True

    def _receive_body(self, receiver: BodyReceiver, data: bytes) -> int:
        before = len(receiver)
        consumed = receiver.received(data)
        paid_ms = (len(receiver) - before) / self.min_body_rate * 1_000
        self.due_from_ms = min(self.clock.monotonic_ms(), self.due_from_ms + paid_ms)
        if receiver.error is not None:
            self._fail(receiver.error)
        elif receiver.completed:
            self.completed = True
            self.headers["CONTENT_LENGTH"] = str(len(receiver))
            self.body = self._buffer.take()
        return consumed

    def _fail(self, error: Any) -> None:
        self.error = error
        self.completed = True
        self._buffer.close()


def refused_kind(error: Any) -> ErrorKind | None:
    """Return the kind of a refusal after a valid head; None for other errors."""
    kinds = (kind for each, kind in _REFUSED_KINDS.items() if isinstance(error, each))
    return next(kinds, None)


def _header_pairs(block: bytes) -> tuple[tuple[str, str], ...]:
    pairs = []
    if b"\r\n " in block or b"\r\n\t" in block:
        raise ParsingError("Folded header line")
    for line in get_header_lines(block):
        name, _, value = line.partition(b":")
        pairs.append((name.decode("latin-1"), value.strip(b" \t").decode("latin-1")))
    return tuple(pairs)


def _check_framing(pairs: tuple[tuple[str, str], ...], version: str) -> None:
    lengths = [value for name, value in pairs if name.lower() == "content-length"]
    codings = [value for name, value in pairs if name.lower() == "transfer-encoding"]
    if len(lengths) > 1 or len(codings) > 1:
        raise ParsingError("Framing header stands twice")
    if lengths and codings:
        raise ParsingError("Both Content-Length and Transfer-Encoding")
    if codings and (version == "1.0" or codings[0].lower() != "chunked"):
        raise ParsingError("Transfer-Encoding is not supported")
