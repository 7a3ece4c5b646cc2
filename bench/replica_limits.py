"""Compares who may send to replicas that name limits.

    python bench/replica_limits.py

Requests come at random to all routers; each router has the permits and ranks of the product, on a
clock of its own. Prints the share served of what could be, for each way and number of routers.
"""

import random

from aspengate.clock import ManualClock
from aspengate.fleet_permits import (
    FleetPermits,
    RouterShares,
    ShareOfRank,
    WindowBound,
    even_share,
    first_weighted_share,
)

MOST_ASKED = 4
VALID_MS = 1_500.0
SETTLED_MS = 60_000.0
ROUTERS = (4, 10, 26, 68, 760)
CASES = ((2.0, 0.5), (2.0, 0.8), (2.0, 3.0), (0.2, 0.5), (20.0, 0.8))


def all_first(rank: int, routers: int, total: int) -> int:
    """Return all permits for the first rank."""
    return 0 if rank else total


class Fleet:
    """Routers that share the permits of replicas; ``asks`` tells whether they grant them."""

    def __init__(
        self, routers: int, replicas: int, share_of_rank: ShareOfRank, *, asks: bool
    ) -> None:
        self.clock = ManualClock()
        self.asks = asks
        self.names = [f"router-{number}" for number in range(routers)]
        self.replicas = [f"replica-{number}" for number in range(replicas)]
        self.permits = {}
        for name in self.names:
            shares = RouterShares(name, self.clock)
            shares.set_routers(self.names, routers)
            self.permits[name] = FleetPermits(shares, self.clock, share_of_rank=share_of_rank)
        first = self.permits[self.names[0]].shares.top_ranked
        self.holders = {replica: first(replica) for replica in self.replicas}
        self.clock.advance(SETTLED_MS)
        self.silent: dict[tuple[str, str], float] = {}
        self.ready: dict[tuple[str, str, str], float] = {}
        self.asked = 0
        self.source = random.Random(2)

    def send(self, own: str, bound: WindowBound, alive: set[str], source: random.Random) -> bool:
        """Send one request of a router, if any replica may get it; return whether one did."""
        for replica in source.sample(self.replicas, len(self.replicas)):
            permit = self.permits[own].acquire(replica, bound)
            if permit is not None:
                permit.settle(sent=True)
                return True
        return self.asks and self._ask(own, bound, alive)

    def _ask(self, own: str, bound: WindowBound, alive: set[str]) -> bool:
        now = self.clock.monotonic_ms()
        wanted: dict[str, list[str]] = {}
        for replica in self.replicas:
            for holder in self.holders[replica]:
                is_silent = self.silent.get((own, holder), now) > now
                is_early = self.ready.get((own, holder, replica), now) > now
                if holder != own and not is_silent and not is_early:
                    wanted.setdefault(holder, []).append(replica)
                    break
        self.source.shuffle(ordered := list(wanted))
        ordered.sort(key=lambda each: len(wanted[each]), reverse=True)
        return any(
            self._ask_one(own, holder, wanted[holder], bound, alive)
            for holder in ordered[:MOST_ASKED]
        )

    def _ask_one(
        self, own: str, holder: str, replicas: list[str], bound: WindowBound, alive: set[str]
    ) -> bool:
        self.asked += 1
        now = self.clock.monotonic_ms()
        if holder not in alive:
            self.silent[own, holder] = now + 1_000
            return False
        for replica in replicas:
            key = (own, self.asked)
            made = self.permits[holder].grant(key, replica, bound, max_wait_ms=0, valid_ms=VALID_MS)
            if made is not None:
                self.permits[holder].settle_grant(key, sent=True)
                return True
            ready_in_ms = self.permits[holder].ready_in_ms(replica, bound)
            self.ready[own, holder, replica] = now + (200 if ready_in_ms is None else ready_in_ms)
        return False


def play(
    way: tuple[ShareOfRank, bool], routers: int, per_second: float, load: float, dead: float
) -> float:
    """Return the share served of what could be."""
    share_of_rank, asks = way
    replicas = 4 if routers <= 10 else 24
    fleet = Fleet(routers, replicas, share_of_rank, asks=asks)
    bound = WindowBound.from_rate(per_second)
    source = random.Random(1)
    alive = fleet.names[int(dead * routers) :]
    lasts_ms = max(20_000.0, 8 * bound.window_ms)
    last_ms = fleet.clock.monotonic_ms() + lasts_ms
    supply = replicas * per_second
    came = served = 0
    while True:
        fleet.clock.advance(source.expovariate(load * supply) * 1_000)
        if fleet.clock.monotonic_ms() > last_ms:
            break
        came += 1
        served += fleet.send(source.choice(alive), bound, set(alive), source)
    return served / min(came, supply * lasts_ms / 1_000)


WAYS: dict[str, tuple[ShareOfRank, bool]] = {
    "by rank alone": (even_share, False),
    "by rank, granted": (even_share, True),
    "one in charge": (all_first, True),
    "most at the first": (first_weighted_share, True),
}


def main() -> None:
    """Print a table for all ways, numbers of routers and loads."""
    print(f"| routers | limit, load | {' | '.join(WAYS)} | the same, a quarter dead |")
    print(f"|--:|---|{'--:|' * len(WAYS)}---|")
    for routers in ROUTERS:
        for per_second, load in CASES:
            live, dead = (
                [f"{play(way, routers, per_second, load, part):.2f}" for way in WAYS.values()]
                for part in (0.0, 0.25)
            )
            told = f"| {routers} | {per_second:g}, {load:g} | {' | '.join(live)} |"
            print(f"{told} {', '.join(dead)} |", flush=True)


if __name__ == "__main__":
    main()
