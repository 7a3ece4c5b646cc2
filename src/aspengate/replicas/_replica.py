"""A replica as its record in the store describes it."""

import enum
from dataclasses import dataclass, field


class ReplicaState(enum.Enum):
    """Whether a replica accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Replica:
    """One replica as of its record; it may restart under the same ``identity``.

    ``born_ms`` is its start time in milliseconds since the Unix epoch, 0 if the record has none.
    ``number`` is the sequence number of the record; it starts over with each start and is not
    compared. ``slots`` is how many requests it processes concurrently. ``cold_ms`` is how long it
    stays cold from the time of the record on, during which it can handle only a few requests.
    ``version`` is the version of the service that it runs, empty if the record names none.
    """

    identity: str
    service: str
    address: str
    failure_domain: str = ""
    slots: int = 0
    state: ReplicaState = ReplicaState.READY
    cold_ms: float = 0.0
    born_ms: int = 0
    number: int = field(default=0, compare=False)
    version: str = ""

    @property
    def incarnation(self) -> str:
        """The name of this start; nothing recorded for another start applies to it."""
        return f"{self.identity}@{self.born_ms}" if self.born_ms else self.identity

    def is_other_incarnation(self, other: "Replica") -> bool:
        """Return whether an earlier record ``other`` of this identity is of another start.

        Without start times, a sequence number that has decreased indicates another start.
        """
        return self.incarnation != other.incarnation or (
            not self.born_ms and self.number < other.number
        )
