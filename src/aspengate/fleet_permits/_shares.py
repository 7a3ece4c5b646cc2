"""Divides a bound's permits among the routers without any messages between them."""

import heapq
from collections.abc import Callable, Collection

import xxhash

from aspengate.clock import Clock, running_ms

# The fraction of a bound's permits that the router with rank 0 holds if the other routers request
# permits from it: that router finds out at once whether one is free. The other routers use the rest
# without a request, also while the first router is unavailable.
_FIRST_FRACTION = 0.75

# Returns the number of permits of a router from its rank (0 is the first), the number of routers
# and the total number of permits. The result never grows with the rank or with the number of
# routers, so a router that overestimates their number does not exceed its share.
ShareOfRank = Callable[[int, int, int], int]


def even_share(rank: int, routers: int, total: int) -> int:
    """Return an equal share for each rank; the first ranks receive the remainder, one each.

    It suits replicas with a low limit to which many routers send a few requests each. Such a share
    can be 0. With a minimum of one request per router, 26 routers would send 26 requests where 14
    are allowed.
    """
    return total // routers + (rank < total % routers)


def first_weighted_share(rank: int, routers: int, total: int) -> int:
    """Return most permits for the first rank, and equal shares of the rest for the others.

    It suits services whose replicas all have low limits, with callers spread over more routers than
    there are permits. With equal shares most routers would have no permit of their own, and the
    others would seldom receive a request while theirs is available.
    """
    if routers == 1:
        return total
    rest = int(total * (1 - _FIRST_FRACTION)) or total // 2
    return even_share(rank - 1, routers - 1, rest) if rank else total - rest


class RouterShares:
    """Ranks the routers that may be alive for each subject, by rendezvous hashing.

    ``own`` is this router's name.
    """

    def __init__(self, own: str, clock: Clock) -> None:
        self.own = own
        self._clock = clock
        self._known_since_ms: float | None = None
        self._routers: tuple[str, ...] = (own,)
        self._count = 1
        self._ranks: dict[str, int] = {}
        self._top_ranked: dict[str, tuple[str, ...]] = {}

    def set_routers(self, routers: Collection[str], count: int) -> None:
        """Set the names of the known routers, and the highest reported number of routers."""
        if self._known_since_ms is None:
            self._known_since_ms = running_ms(self._clock)
        names = tuple(sorted({self.own, *routers}))
        count = max(count, len(names))
        if names == self._routers and count == self._count:
            return
        self._routers, self._count = names, count
        self._ranks, self._top_ranked = {}, {}

    @property
    def router_count(self) -> int:
        """The highest reported number of routers, including this one."""
        return self._count

    def known_for_ms(self) -> float:
        """Return the time since the routers were first set, in ms; ``-inf`` before that.

        It excludes suspensions of the machine: what an earlier process of this router sent may have
        been held up by them as well.
        """
        if self._known_since_ms is None:
            return float("-inf")
        return running_ms(self._clock) - self._known_since_ms

    def share(self, subject: str, total: int, share_of_rank: ShareOfRank = even_share) -> int:
        """Return how many of a subject's ``total`` permits this router holds.

        Routers whose names are not known here are assumed to rank before this one.
        """
        rank = self._ranks.get(subject)
        if rank is None:
            rank = self._ranks[subject] = self._rank(subject)
        return share_of_rank(rank, self._count, total)

    def top_ranked(self, subject: str) -> tuple[str, ...]:
        """Return the two routers that rank first for a subject among those with known names."""
        routers = self._top_ranked.get(subject)
        if routers is None:
            routers = tuple(heapq.nlargest(2, self._routers, lambda each: _weight(subject, each)))
            self._top_ranked[subject] = routers
        return routers

    def forget(self, subject: str) -> None:
        """Drop the cached ranks of a subject that no longer exists."""
        self._ranks.pop(subject, None)
        self._top_ranked.pop(subject, None)

    def _rank(self, subject: str) -> int:
        own = _weight(subject, self.own)
        higher = sum(_weight(subject, each) > own for each in self._routers)
        return higher + self._count - len(self._routers)


def _weight(subject: str, router: str) -> int:
    """Return a router's rendezvous hash for a subject; the highest weight ranks first."""
    return xxhash.xxh64_intdigest(f"{subject}/{router}".encode())
