"""What a replica says of itself."""

import enum
from dataclasses import dataclass, field


class ReplicaState(enum.Enum):
    """Whether a replica takes new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclass(frozen=True)
class Replica:
    """One replica as of its record; it may start again under its ``identity``.

    ``born_ms`` is when it started, in milliseconds since the Unix epoch, 0 where it does not say;
    ``number`` is that of its record, which begins anew with each start and is not compared.
    ``slots`` is how many requests it works on at once. ``cold_ms`` is how long it is still cold, as
    of its record: it bears few requests then.
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

    @property
    def incarnation(self) -> str:
        """The name of this start: what was learnt of another one does not hold for it."""
        return f"{self.identity}@{self.born_ms}" if self.born_ms else self.identity

    def is_other_incarnation(self, other: "Replica") -> bool:
        """Return whether another record of the same identity tells of another start.

        Where they tell no time, a number that has gone back does.
        """
        return self.incarnation != other.incarnation or (
            not self.born_ms and self.number < other.number
        )
