"""An operator's order to move a service's traffic to replicas of another version."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RolloutOrder:
    """One order as read from the store.

    ``duration_ms`` is the time from the order to its deadline. ``revision`` is the store revision
    of the order, which carries the store's era.
    """

    service: str
    target_version: str
    duration_ms: float
    revision: int
