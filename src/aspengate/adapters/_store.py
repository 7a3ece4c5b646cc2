"""Interface to the platform's key-value store."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class Entry:
    """Holds a value of the store and the revision at which it was written."""

    value: bytes
    revision: int


class Store(Protocol):
    """Interface to the platform's key-value store, implemented by an adapter.

    Every method raises AspengateError of kind STORE_UNAVAILABLE if the call certainly had no
    effect, or of kind OUTCOME_UNKNOWN if a write may have taken effect although its response
    was lost.
    """

    def get(self, key: str) -> Entry | None:
        """Return the entry under ``key``, or ``None`` if the key does not exist."""

    def compare_and_swap(self, key: str, revision: int, value: bytes) -> int | None:
        """Write ``value`` if the key is still at ``revision`` (0: the key does not exist).

        Return the new revision, or ``None`` if another write came first.
        """

    def watch(self, key: str, after_revision: int, timeout_ms: float) -> Entry | None:
        """Wait for a revision of ``key`` above ``after_revision``; ``None`` on a timeout."""
