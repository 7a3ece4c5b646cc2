"""Combines the store's era and its change number into one ordered revision.

The store numbers its changes. After it is restored from an older copy of its data, it continues
from the copy's number, so the same number then identifies another change. The store names each such
history by an increasing number, its *era*. A revision holds the era in the high bits and the number
in the low bits: two revisions are equal only within one era, and every revision of a later era is
greater than those of earlier ones. A greater revision does not imply newer values: see
``UnconfirmedItems``.
"""

_NUMBER_BITS = 40
_NUMBER_MASK = (1 << _NUMBER_BITS) - 1
# The highest era whose revisions fit into the 63 bits that messages and documents hold.
MAX_ERA = (1 << (63 - _NUMBER_BITS)) - 1


def make_revision(era: int, number: int) -> int:
    """Return the revision of the change ``number`` in ``era``."""
    return era << _NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the era of a revision; 0 if the store names none."""
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own change number of a revision, which is valid only in its era."""
    return revision & _NUMBER_MASK
