"""Which routers hold the permits of a bound, worked out by each of them without a message."""

import heapq
from collections.abc import Callable, Collection

import xxhash

from aspengate.clock import Clock

# The router that ranks first holds this part of a bound's permits where the others ask it for
# them: it finds at once whether one is free. The rest is used without asking, also while the
# first one is away.
_FIRST_PART = 0.75

# How many permits the router of a rank has, the first rank being 0, of a number of routers and of
# permits in all. It never grows with the rank or with the number of routers, so that a router
# which counts more routers than there are takes no more than its part.
ShareOfRank = Callable[[int, int, int], int]


def even_share(rank: int, routers: int, total: int) -> int:
    """Return as many permits for each rank, and one more for the first ones.

    Load pattern: replicas that bear little while many routers send to them, each a few requests. An
    equal share for each router does not work there: a share is at least one request, and 26 routers
    with one request each send 26 where 14 are allowed.
    """
    return total // routers + (rank < total % routers)


def first_weighted_share(rank: int, routers: int, total: int) -> int:
    """Return most permits for the first rank, and the rest evenly for the others.

    Load pattern: all replicas of a service bear little, and their callers are spread over more
    routers than there are permits. Most routers have none of their own then, and those that have
    one seldom get a request while it is free.
    """
    if routers == 1:
        return total
    rest = int(total * (1 - _FIRST_PART)) or total // 2
    return even_share(rank - 1, routers - 1, rest) if rank else total - rest


class RouterShares:
    """Which routers may be alive, and where this one ranks among them for each subject."""

    def __init__(self, own: str, clock: Clock) -> None:
        self.own = own
        self._clock = clock
        self._known_since_ms: float | None = None
        self._routers: tuple[str, ...] = (own,)
        self._count = 1
        self._ranks: dict[str, int] = {}
        self._first: dict[str, tuple[str, ...]] = {}

    def set_routers(self, routers: Collection[str], count: int) -> None:
        """Take over the names of the routers known, and how many there are by all accounts."""
        if self._known_since_ms is None:
            self._known_since_ms = self._clock.monotonic_ms()
        names = tuple(sorted({self.own, *routers}))
        count = max(count, len(names))
        if names == self._routers and count == self._count:
            return
        self._routers, self._count = names, count
        self._ranks, self._first = {}, {}

    @property
    def router_count(self) -> int:
        """How many routers there are by all accounts, this one among them."""
        return self._count

    def known_for_ms(self) -> float:
        """Return for how long the fleet was known, in ms; negative where it is not."""
        if self._known_since_ms is None:
            return float("-inf")
        return self._clock.monotonic_ms() - self._known_since_ms

    def share(self, subject: str, total: int, share_of_rank: ShareOfRank = even_share) -> int:
        """Return how many of a subject's permits this router holds.

        Routers whose names are not known here are taken to rank before this one.
        """
        rank = self._ranks.get(subject)
        if rank is None:
            rank = self._ranks[subject] = self._rank(subject)
        return share_of_rank(rank, self._count, total)

    def top_ranked(self, subject: str) -> tuple[str, ...]:
        """Return the two routers that rank first for a subject, as far as names are known."""
        found = self._first.get(subject)
        if found is None:
            found = tuple(heapq.nlargest(2, self._routers, lambda each: _weight(subject, each)))
            self._first[subject] = found
        return found

    def forget(self, subject: str) -> None:
        """Forget a subject that is gone."""
        self._ranks.pop(subject, None)
        self._first.pop(subject, None)

    def _rank(self, subject: str) -> int:
        own = _weight(subject, self.own)
        before = sum(_weight(subject, each) > own for each in self._routers)
        return before + self._count - len(self._routers)


def _weight(subject: str, router: str) -> int:
    return xxhash.xxh64_intdigest(f"{subject}/{router}".encode())
