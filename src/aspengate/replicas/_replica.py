"""What a replica says of itself."""

import enum
from dataclasses import dataclass


class ReplicaState(enum.Enum):
    """Whether a replica takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Replica:
    """One start of one replica; ``identity`` is never used again.

    ``slots`` is how many requests it works on at once. ``cold_ms`` is how long it is still
    cold, as of its record: it bears few requests then.
    """

    identity: str
    service: str
    address: str
    failure_domain: str = ""
    slots: int = 0
    state: ReplicaState = ReplicaState.READY
    cold_ms: float = 0.0
