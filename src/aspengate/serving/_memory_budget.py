"""Bounds the memory that the requests and responses of callers occupy."""

import threading
from collections.abc import Callable

# A holder of more than this can't use the part of the budget that is kept for small requests.
SMALL_BYTES = 32 * 1024
_LARGE_FRACTION = 0.75


class MemoryBudget:
    """Counts the bytes that are held for callers, of at most ``capacity_bytes``.

    A quarter of the capacity is kept for small requests, so that large ones don't exclude them.
    Thread-safe.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self._lock = threading.Lock()

    @property
    def has_shortage(self) -> bool:
        """Whether a large request would be refused any further memory."""
        return self.used_bytes >= self.capacity_bytes * _LARGE_FRACTION

    @property
    def is_exceeded(self) -> bool:
        """Whether more than the capacity is in use, which only ``add`` can cause."""
        return self.used_bytes > self.capacity_bytes

    def missing_bytes(self, amount: int, *, is_large: bool) -> int:
        """Return how much memory has to be released before ``amount`` is available."""
        limit = self.capacity_bytes * (_LARGE_FRACTION if is_large else 1.0)
        return max(0, self.used_bytes + amount - int(limit))

    def reserve(self, amount: int, *, is_large: bool) -> bool:
        """Take ``amount`` bytes if they are available; return whether they were."""
        with self._lock:
            if self.missing_bytes(amount, is_large=is_large):
                return False
            self.used_bytes += amount
            return True

    def add(self, amount: int) -> None:
        """Take ``amount`` bytes even beyond the capacity; a negative amount is released."""
        with self._lock:
            self.used_bytes += amount


class Reservation:
    """The part of a budget that one holder uses; ``release`` gives it back, any number of times.

    If the budget is exhausted, ``make_room`` is called with the number of bytes that are missing
    before the reservation is tried again; it may make other holders release memory. Only one
    thread at a time may use a reservation.
    """

    def __init__(
        self, budget: MemoryBudget, make_room: Callable[[int], None] = lambda _missing: None
    ) -> None:
        self.budget = budget
        self.make_room = make_room
        self.held_bytes = 0

    def grow(self, amount: int) -> bool:
        """Reserve ``amount`` more bytes; return False, with nothing changed, if there is no room.

        Giving up bytes with a negative amount always succeeds.
        """
        if amount > 0 and not self._reserve(amount):
            return False
        if amount < 0:
            self.budget.add(amount)
        self.held_bytes += amount
        return True

    def resize(self, size: int) -> bool:
        """Reserve ``size`` bytes in all; return False, with nothing changed, without room."""
        return self.grow(size - self.held_bytes)

    def add(self, amount: int) -> None:
        """Reserve ``amount`` more bytes even beyond the capacity."""
        self.budget.add(amount)
        self.held_bytes += amount

    def release(self) -> None:
        """Give back all bytes."""
        held, self.held_bytes = self.held_bytes, 0
        self.budget.add(-held)

    def _reserve(self, amount: int) -> bool:
        is_large = self.held_bytes + amount > SMALL_BYTES
        if self.budget.reserve(amount, is_large=is_large):
            return True
        self.make_room(self.budget.missing_bytes(amount, is_large=is_large))
        return self.budget.reserve(amount, is_large=is_large)


def unlimited_reservation() -> Reservation:
    """Return a reservation that always has room."""
    return Reservation(MemoryBudget(2**62))
