"""Which member of a group should own a piece of work, without asking anyone.

Rendezvous hashing: when a member comes or goes, only its own share of the work moves.
"""

from collections.abc import Iterable

import xxhash


def rank_owners(work: str, members: Iterable[str]) -> list[str]:
    """Return the members in the order in which they should own ``work``."""
    return sorted(members, key=lambda member: _weight(work, member), reverse=True)


def owner_of(work: str, members: Iterable[str]) -> str | None:
    """Return the member that should own ``work``; ``None`` where there are no members."""
    return max(members, key=lambda member: _weight(work, member), default=None)


def _weight(work: str, member: str) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(f"{work}\0{member}".encode()), member)
