"""Assigns work to the members of a group by rendezvous hashing, without coordination.

If a member joins or leaves, only that member's share of the work is reassigned.
"""

from collections.abc import Iterable

import xxhash


def rank_owners(work: str, members: Iterable[str]) -> list[str]:
    """Return the members in order of preference as the owner of ``work``."""
    return sorted(members, key=lambda member: _weight(work, member), reverse=True)


def owner_of(work: str, members: Iterable[str]) -> str | None:
    """Return the member that should own ``work``, or None if there are no members."""
    return max(members, key=lambda member: _weight(work, member), default=None)


def _weight(work: str, member: str) -> tuple[int, str]:
    return (xxhash.xxh64_intdigest(f"{work}\0{member}".encode()), member)
