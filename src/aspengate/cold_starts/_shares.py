"""Which routers may send to a cold replica, worked out by each of them without a message.

Load pattern: replicas that come back cold while many routers send to them, each a few requests.
An equal share for each router does not work there: a share is at least one request, and 26
routers with one request each send 26 in a second where 14 are allowed.
"""

from collections.abc import Collection

import xxhash


def permits_of_rank(rank: int, routers: int, total: int) -> int:
    """Return how many of ``total`` permits the router of a rank has, the first one being 0.

    All ranks together have ``total``. It never grows with the rank or with the number of
    routers: a router that counts more routers than there are takes less than its part.
    """
    return total // routers + (rank < total % routers)


class RouterShares:
    """Permits of one router for each replica, by its rank among the routers known to it."""

    def __init__(self, own: str) -> None:
        self.own = own
        self._routers: tuple[str, ...] = (own,)
        self._count = 1
        self._ranks: dict[str, int] = {}

    def know(self, routers: Collection[str], count: int) -> None:
        """Take over the names of the routers known, and how many there are by all accounts."""
        names = tuple(sorted({self.own, *routers}))
        count = max(count, len(names))
        if names == self._routers and count == self._count:
            return
        self._routers, self._count, self._ranks = names, count, {}

    def permits(self, replica: str, total: int) -> int:
        """Return how many of a replica's permits this router has in one window.

        Routers whose names are not known here are taken to rank before this one.
        """
        rank = self._ranks.get(replica)
        if rank is None:
            rank = self._ranks[replica] = self._rank(replica)
        return permits_of_rank(rank, self._count, total)

    def forget(self, replica: str) -> None:
        """Forget a replica that is gone."""
        self._ranks.pop(replica, None)

    def _rank(self, replica: str) -> int:
        own = _weight(replica, self.own)
        before = sum(_weight(replica, each) > own for each in self._routers)
        return before + self._count - len(self._routers)


def _weight(replica: str, router: str) -> int:
    return xxhash.xxh64_intdigest(f"{replica}/{router}".encode())
