"""Returns memory that the C library keeps for later allocations to the operating system."""

import ctypes
from collections.abc import Callable

from aspengate.serving._memory_budget import MemoryBudget

# Memory is returned after this fraction of a budget was in use and is free again.
_MIN_FREED_FRACTION = 0.25


class FreeMemory:
    """Has the C library give back memory after much of ``budget`` was in use.

    Without it, each thread keeps up to some hundred KB that it has freed. ``trim`` defaults to the
    function of the GNU C library; others have none, and nothing is done.
    """

    def __init__(self, budget: MemoryBudget, trim: Callable[[], None] | None = None) -> None:
        self.budget = budget
        self.trim = trim or _trim_function()
        self._peak_bytes = 0

    def give_back(self) -> None:
        """Give back memory if there is enough; call it about once a second."""
        used = self.budget.used_bytes
        self._peak_bytes = max(self._peak_bytes, used)
        if self._peak_bytes - used >= self.budget.capacity_bytes * _MIN_FREED_FRACTION:
            self._peak_bytes = used
            self.trim()


def _trim_function() -> Callable[[], None]:
    found = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if found is None:
        return lambda: None
    return lambda: found(0)
