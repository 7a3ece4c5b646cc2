"""Receives the bodies of requests, framed by a length or by chunks."""

import io
from typing import Protocol

from waitress.rfc7230 import CHUNK_EXT_RE, ONLY_HEXDIG_RE
from waitress.utilities import BadRequest, Error, RequestEntityTooLarge, RequestHeaderFieldsTooLarge

from aspengate.serving._memory_budget import Reservation

_LINE_END = b"\r\n"
# Chunked bodies reserve memory in steps of this size.
_RESERVED_STEP_BYTES = 16 * 1024


class OutOfMemoryError(Error):  # type: ignore[misc]
    """The error of a request for which there is no memory."""

    code = 503
    reason = "Service Unavailable"


class FramingError(BadRequest):  # type: ignore[misc]
    """The error of a body whose chunks can't be read."""


class TrailersTooLargeError(RequestHeaderFieldsTooLarge):  # type: ignore[misc]
    """The error of a body that is followed by too many trailers."""


class BodyBuffer:
    """Collects a body in memory that is reserved before.

    A bytearray holds up to an eighth more than its length.
    """

    def __init__(self, reservation: Reservation) -> None:
        self.reservation = reservation
        self.data = bytearray()
        self._reserved = 0

    def __len__(self) -> int:
        return len(self.data)

    def reserve(self, size: int) -> bool:
        """Reserve memory for a body of ``size`` bytes; return whether there is enough."""
        needed = size + size // 8 - self._reserved
        if needed <= 0:
            return True
        if not self.reservation.grow(needed):
            return False
        self._reserved += needed
        return True

    def take(self) -> bytes:
        """Return the collected body, and keep the memory reserved that it needs."""
        body = bytes(self.data)
        self.data = bytearray()
        self.reservation.grow(len(body) - self._reserved)
        self._reserved = len(body)
        return body

    def close(self) -> None:
        """Drop the data; the owner of the reservation releases it."""
        self.data = bytearray()


class BodyReceiver(Protocol):
    """Takes the bytes of a body from those that follow a request's head.

    ``completed`` is set after the last byte, and ``error`` if the body is refused.
    """

    completed: bool
    error: Error | None

    def __len__(self) -> int:
        """Return the length of the body so far, without framing."""

    def received(self, data: bytes) -> int:
        """Take the bytes that belong to the body; return how many were taken."""

    def getbuf(self) -> BodyBuffer:
        """Return the buffer of the body."""

    def getfile(self) -> io.BytesIO:
        """Return the body as a file."""


class _Receiver:
    def __init__(self, buffer: BodyBuffer) -> None:
        self.buffer = buffer
        self.completed = False
        self.error: Error | None = None

    def __len__(self) -> int:
        return len(self.buffer)

    def getbuf(self) -> BodyBuffer:
        """Return the buffer of the body."""
        return self.buffer

    def getfile(self) -> io.BytesIO:
        """Return the body as a file."""
        return io.BytesIO(bytes(self.buffer.data))


class SizedBodyReceiver(_Receiver):
    """Receives a body of ``size`` bytes."""

    def __init__(self, size: int, buffer: BodyBuffer) -> None:
        super().__init__(buffer)
        self.remaining = size

    def received(self, data: bytes) -> int:
        """Take the bytes that belong to the body; return how many were taken."""
        taken = data[: self.remaining]
        self.buffer.data += taken
        self.remaining -= len(taken)
        self.completed = not self.remaining
        return len(taken)


class ChunkedBodyReceiver(_Receiver):
    """Receives a body in chunks, of at most ``max_bytes`` without the framing.

    Lines of chunk sizes and of trailers are dropped once they are read. The former may have
    ``max_line_bytes`` each, the latter ``max_trailer_bytes`` together.
    """

    def __init__(
        self, buffer: BodyBuffer, *, max_bytes: int, max_line_bytes: int, max_trailer_bytes: int
    ) -> None:
        super().__init__(buffer)
        self.max_bytes = max_bytes
        self.max_line_bytes = max_line_bytes
        self.max_trailer_bytes = max_trailer_bytes
        self.chunk_remaining = 0
        self._line = b""
        self._trailer_bytes = 0
        self._step = self._read_size

    def received(self, data: bytes) -> int:
        """Take the bytes that belong to the body; return how many were taken."""
        position = 0
        while position < len(data) and not self.completed and self.error is None:
            position = self._step(data, position)
        return position

    def _read_size(self, data: bytes, position: int) -> int:
        """Read a line with the size of a chunk; return the position after what was read."""
        line, position = self._read_line(data, position, self.max_line_bytes)
        if line is None:
            return position
        size, _, extension = line.partition(b";")
        if extension and not CHUNK_EXT_RE.match(b";" + extension):
            self.error = FramingError("the extension of a chunk is invalid")
        elif not ONLY_HEXDIG_RE.match(size):
            self.error = FramingError("the size of a chunk is invalid")
        else:
            self._begin_chunk(int(size, 16))
        return position

    def _begin_chunk(self, size: int) -> None:
        if not size:
            self._step = self._read_trailer
        elif len(self.buffer) + size > self.max_bytes:
            self.error = RequestEntityTooLarge(f"exceeds max_body of {self.max_bytes}")
        else:
            self.chunk_remaining = size
            self._step = self._read_data

    def _read_data(self, data: bytes, position: int) -> int:
        taken = data[position : position + self.chunk_remaining]
        size = len(self.buffer) + len(taken)
        rounded = -(-size // _RESERVED_STEP_BYTES) * _RESERVED_STEP_BYTES
        if not self.buffer.reserve(rounded):
            self.error = OutOfMemoryError("no memory for the body")
            return position
        self.buffer.data += taken
        self.chunk_remaining -= len(taken)
        if not self.chunk_remaining:
            self._step = self._read_end
        return position + len(taken)

    def _read_end(self, data: bytes, position: int) -> int:
        """Read the end of the line after a chunk's data."""
        line, position = self._read_line(data, position, len(_LINE_END))
        if line or self.error is not None:
            self.error = FramingError("a chunk is longer than its size")
        elif line is not None:
            self._step = self._read_size
        return position

    def _read_trailer(self, data: bytes, position: int) -> int:
        line, after = self._read_line(data, position, self.max_trailer_bytes)
        self._trailer_bytes += after - position
        if self._trailer_bytes > self.max_trailer_bytes:
            self.error = TrailersTooLargeError(
                f"the trailers have more than {self.max_trailer_bytes} bytes"
            )
        self.completed = line == b""
        return after

    def _read_line(self, data: bytes, position: int, limit: int) -> tuple[bytes | None, int]:
        """Return a line without its end, None while it is incomplete, and the position after it.

        Sets ``error`` if the line is longer than ``limit`` bytes.
        """
        # The carriage return may have arrived before the line feed.
        if self._line.endswith(b"\r") and data[position : position + 1] == b"\n":
            line, self._line = self._line[:-1], b""
            return line, position + 1
        end = data.find(_LINE_END, position)
        after = len(data) if end < 0 else end + len(_LINE_END)
        self._line += data[position : len(data) if end < 0 else end]
        if len(self._line) > limit:
            self.error = FramingError(
                f"a line between the chunks of the body has more than {limit} bytes"
            )
        if end < 0:
            return None, after
        line, self._line = self._line, b""
        return line, after
