"""Idempotency keys: UUIDs of version 7, which contain the time of their creation."""

import uuid
from dataclasses import dataclass

import uuid6
import xxhash

from aspengate.errors import AspengateError, ErrorKind

_UUID_VERSION = 7


@dataclass(frozen=True)
class KeyTimes:
    """Holds the limits, in milliseconds, for the creation times of keys.

    ``future_tolerance_ms`` is how far a caller's clock may be ahead; ``clock_error_ms`` is the
    largest difference between the clocks of two instances of the fleet; ``max_age_ms`` is how
    long an owner remembers a claim.
    """

    future_tolerance_ms: int = 2_000
    clock_error_ms: int = 500
    max_age_ms: int = 3_600_000

    @property
    def guard_ms(self) -> int:
        """How long after the start of a tenure, in ms, unknown keys are still refused.

        A key with a creation time in this period may have been granted by the previous owner,
        because the caller's clock may be ahead.
        """
        return self.future_tolerance_ms + 2 * self.clock_error_ms


def creation_time_ms(key: str) -> int:
    """Return the creation time that a key contains, in ms since the epoch.

    Raises AspengateError of kind BAD_REQUEST if the key is not a UUID of version 7.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        parsed = None
    if parsed is None or parsed.version != _UUID_VERSION:
        raise AspengateError(
            ErrorKind.BAD_REQUEST, "must be a UUID of version 7", where="Idempotency-Key"
        )
    return uuid6.UUID(key).time


def claim_key(client_account: str, key: str) -> str:
    """Return the key under which a claim is stored.

    It begins with the client account, so that accounts can't reach each other's claims.
    """
    return f"{client_account}/{key}"


def claim_shard(key: str, shard_count: int) -> int:
    """Return the number of the shard that decides on a claim key, from 0 to ``shard_count - 1``."""
    return xxhash.xxh64_intdigest(key.encode()) % shard_count
