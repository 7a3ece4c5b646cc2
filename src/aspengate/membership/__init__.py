"""Assignment of work to the members of a group, and the list of fenced sessions."""

from aspengate.membership._fences import FENCES_KEY, FenceDocument, FencedSession, fences_document
from aspengate.membership._ranking import owner_of, rank_owners

__all__ = [
    "FENCES_KEY",
    "FenceDocument",
    "FencedSession",
    "fences_document",
    "owner_of",
    "rank_owners",
]
