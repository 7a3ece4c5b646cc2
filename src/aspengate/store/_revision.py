"""Revisions of a store that may come back from an older copy of itself.

The store counts its changes, and counts anew from the copy's number where it comes back from one:
the same number then stands for another change. It names each such history by a rising number, its
*era*. A revision here holds both, the era above the number, so that two of them are equal only
within one history, and one of a later history is later than any of an earlier one. That a state is
later does not mean that its values are newer: see ``KeptItems``.
"""

_NUMBER_BITS = 40
_MOST_NUMBER = (1 << _NUMBER_BITS) - 1
# The highest history whose revisions fit into 63 bits, as messages and documents hold them.
MAX_ERA = (1 << (63 - _NUMBER_BITS)) - 1


def make_revision(era: int, number: int) -> int:
    """Return the revision of the change ``number`` in the history ``era``."""
    return era << _NUMBER_BITS | number


def era_of(revision: int) -> int:
    """Return the history that a revision belongs to; 0 where the store names none."""
    return revision >> _NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own number of a revision, which means nothing in another history."""
    return revision & _MOST_NUMBER
