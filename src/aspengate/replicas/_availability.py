"""Whether a router may send a replica a new request, or the reason why not."""

import enum
from collections.abc import Collection

from aspengate.replicas._replica import ReplicaState
from aspengate.replicas._view import ReplicaView


class Availability(enum.Enum):
    """What keeps a replica from new requests; of several reasons the one that comes first here."""

    DRAINING = "drains by its record"
    LEAVING = "said that it leaves"
    EVACUATED = "in an evacuated failure domain"
    REPLACED = "replaced at its address"
    RESTING = "asked for rest"
    OPEN = "takes requests"


# Looked up once: it is asked for each replica of a service with each request.
_READY = ReplicaState.READY
_OPEN = Availability.OPEN


def availability_of(view: ReplicaView, evacuated: Collection[str], now_ms: float) -> Availability:
    """Return what one start of a replica may get at a moment, by all that is known of it.

    A replica is heard by three ways: its record, its answers, and another's answer at its address.
    Each way is as good as the others: while the store was away, a record still read ready 12.8 s
    after the replica's answers said that it leaves.
    """
    replica = view.replica
    said = view.reported
    if replica.state is not _READY:
        return Availability.DRAINING
    if said.leaving_ms is not None:
        return Availability.LEAVING
    if replica.failure_domain in evacuated:
        return Availability.EVACUATED
    if now_ms < view.replaced_until_ms:
        return Availability.REPLACED
    if now_ms < said.backoff_until_ms:
        return Availability.RESTING
    return _OPEN
