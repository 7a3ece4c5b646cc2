"""Determines the capacity of both cohorts of a rollout from the listed replicas."""

from collections.abc import Iterable

from aspengate.clock import Clock
from aspengate.replicas import Availability, ReplicaRegistry, ReplicaView
from aspengate.rollouts import CohortCapacity, CohortSlots, RolloutDocument


def cohort_capacity(
    registry: ReplicaRegistry,
    service: str,
    target: str,
    document: RolloutDocument | None,
    cold_start_ms: float,
    clock: Clock,
) -> CohortCapacity:
    """Return the capacity of a service's replicas of version ``target`` and of the others."""
    views = registry.listed(service)
    base = document.base_versions if document else ()
    baseline = [
        view
        for view in views
        if view.replica.version != target and (not base or view.replica.version in base)
    ]
    now = clock.monotonic_ms()

    def slots(listed: Iterable[ReplicaView]) -> CohortSlots:
        listed = list(listed)
        ready = [view for view in listed if registry.availability(view) is Availability.OPEN]
        warm = [view for view in ready if not view.is_cold(now, cold_start_ms)]
        warm_slots = sum(view.replica.slots for view in warm)
        return CohortSlots(len(listed), len(ready), len(warm), warm_slots)

    return CohortCapacity(
        slots(view for view in views if view.replica.version == target),
        slots(baseline),
        frozenset(view.replica.version for view in views),
    )
