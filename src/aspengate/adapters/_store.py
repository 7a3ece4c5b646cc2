"""What the fleet asks of the platform's key-value service."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class Entry:
    """A value of the store with the revision at which it was written."""

    value: bytes
    revision: int


class Store(Protocol):
    """The platform's key-value service, seen through one adapter.

    Every method raises AspengateError: of kind STORE_UNAVAILABLE where the call certainly had
    no effect, of kind OUTCOME_UNKNOWN where a write may have taken effect although its answer
    was lost.
    """

    def get(self, key: str) -> Entry | None:
        """Return the value under ``key``, if any."""

    def compare_and_swap(self, key: str, revision: int, value: bytes) -> int | None:
        """Write ``value`` if the key is still at ``revision`` (0: absent).

        Return the new revision, or ``None`` where another write came first.
        """

    def watch(self, key: str, after_revision: int, timeout_ms: float) -> Entry | None:
        """Wait until ``key`` has a revision above ``after_revision``; ``None`` on time-out."""
