"""Holds the bytes of responses until the caller's socket takes them."""

from collections import deque

from aspengate.serving._memory_budget import Reservation


class ResponseBuffer:
    """A queue of bytes that counts as held by ``reservation`` until they have been sent.

    It has the interface that waitress expects of its output buffers. A piece is dropped as soon as
    all of it was sent.
    """

    def __init__(self, reservation: Reservation) -> None:
        self.reservation = reservation
        self._pieces: deque[bytes] = deque()
        self._offset = 0
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        self._pieces.append(data)
        self._length += len(data)
        self.reservation.add(len(data))

    def get(self, size: int) -> memoryview:
        """Return up to ``size`` of the next bytes, which remain in the buffer."""
        return memoryview(self._pieces[0])[self._offset : self._offset + size]

    def skip(self, size: int, _allow_prune: bool = False) -> None:
        """Drop ``size`` bytes, of those that ``get`` returned."""
        self._offset += size
        self._length -= size
        if self._offset == len(self._pieces[0]):
            self._offset = 0
            self.reservation.grow(-len(self._pieces.popleft()))

    def close(self) -> None:
        """Drop all bytes."""
        self._pieces.clear()
        self._offset = self._length = 0
        self.reservation.release()
