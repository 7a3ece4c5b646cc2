"""Idempotency keys: UUIDs of version 7, which carry the time of their birth."""

import uuid
from dataclasses import dataclass

import uuid6
import xxhash

from aspengate.errors import AspengateError, ErrorKind

_UUID_VERSION = 7


@dataclass(frozen=True)
class KeyTimes:
    """The times that the rule of births depends on, all in milliseconds.

    ``future_tolerance_ms`` is how far ahead a caller's clock may be; ``clock_error_ms`` the
    largest difference between two of our instances; ``max_age_ms`` how long an owner remembers.
    """

    future_tolerance_ms: int = 2_000
    clock_error_ms: int = 500
    max_age_ms: int = 3_600_000

    @property
    def guard_ms(self) -> int:
        """How long after its start a tenure distrusts the births of unknown keys."""
        return self.future_tolerance_ms + 2 * self.clock_error_ms


def creation_time_ms(key: str) -> int:
    """Return when a key was made, in milliseconds; raises BAD_REQUEST for other keys."""
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
    """Return the key under which a claim is kept: no account sees another's."""
    return f"{client_account}/{key}"


def claim_shard(key: str, shard_count: int) -> int:
    """Return the number of the shard, from 0, that decides on a claim key."""
    return xxhash.xxh64_intdigest(key.encode()) % shard_count
