"""How many tokens a router keeps at hand beyond what its requests need."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class Demand:
    """What a router's requests need: ``committed`` is used or reserved, ``waiting`` waits.

    ``per_second`` is the rate at which it reserved lately, ``request`` the size of a usual
    request, or of the first one.
    """

    committed: int
    waiting: int
    per_second: float
    request_size: int


@dataclass(frozen=True)
class AllocationState:
    """How an account stands: of ``limit`` tokens ``unheld`` are held by nobody.

    ``routers`` may hold some. ``part`` is this router's part in what all of them used so far, 0
    to 1. ``lost_sessions`` took along what they held. ``outage_ms`` is the longest outage of the
    store that was seen, 0 where none was, and ``readiness``, 0 to 1, how far the time has passed
    in which none is expected after one.
    """

    limit: int
    unallocated: int
    routers: int
    share: float = 0.0
    lost_sessions: int = 0
    outage_ms: float = 0.0
    readiness: float = 1.0


@dataclass(frozen=True)
class AllowanceSizing:
    """Sizes the reserve of tokens that lets a router go on while the store does not answer.

    The reserve covers the demand expected within ``horizon_ms``, plus ``spread`` standard
    deviations of that demand, plus ``min_requests`` requests. It is at most the unallocated
    tokens, times the larger of ``demand_fraction`` of the router's share of the account's use and
    ``equal_share_fraction`` of an equal share, times the fraction of the limit that is
    unallocated. The tokens that routers hold are lost if all of them die at once. While most of
    an account is left, that makes no request fail; near its end every lost token does. The upper
    bound therefore shrinks with the square of what is left.

    After an outage of the store was seen, the reserve covers an outage of the same length, times
    ``outage_margin``, or the horizon if that is longer. The bound is then ``outage_fraction``
    instead of ``demand_fraction``, without the square: with the square, on a day with two outages
    of 8 s, the second one caused requests for 20% of the sum of all limits to be refused while 28%
    of it was unallocated (68 routers). The reserve is rebuilt gradually over the period in which
    no other outage is expected, so that little is lost if all routers die soon after an outage.

    Each time that as many sessions were lost as there are routers, the reserve is multiplied by
    ``loss_factor``, so that any number of deaths loses a bounded part of the account.
    """

    horizon_ms: float = 10_000.0
    spread: float = 1.0
    min_requests: int = 2
    demand_fraction: float = 0.5
    equal_share_fraction: float = 0.25
    outage_margin: float = 1.25
    outage_fraction: float = 0.6
    loss_factor: float = 0.1
    refill_fraction: float = 0.8
    headroom_ms: float = 1_000.0
    headroom_requests: int = 2

    def ceiling_headroom(self, demand: Demand) -> int:
        """Return how far a ceiling is raised above what is committed.

        That much is lost with a router whose witness survives it.
        """
        wanted = demand.per_second * self.headroom_ms / 1_000
        return int(wanted + self.headroom_requests * demand.request_size)

    def borrower_reserve(self, demand: Demand) -> int:
        """Return what a router keeps of what it borrowed; it is lost with the router."""
        return int(demand.per_second * self.headroom_ms / 1_000)

    def reserve(self, demand: Demand, state: AllocationState) -> int:
        """Return the tokens to keep at hand."""
        if state.limit <= 0 or state.unallocated <= 0:
            return 0
        horizon_ms = max(state.outage_ms * self.outage_margin, self.horizon_ms)
        expected = demand.per_second * horizon_ms / 1_000
        wanted = expected + self.spread * math.sqrt(expected * demand.request_size)
        wanted += self.min_requests * demand.request_size
        routers = max(1, state.routers)
        equal_share = self.equal_share_fraction / routers
        if state.outage_ms:
            max_reserve = state.unallocated * max(state.share * self.outage_fraction, equal_share)
            wanted = max(min(wanted, max_reserve) * state.readiness, self.ceiling_headroom(demand))
        else:
            max_reserve = state.unallocated * max(state.share * self.demand_fraction, equal_share)
            max_reserve *= min(1.0, state.unallocated / state.limit)
        caution = self.loss_factor ** (state.lost_sessions / routers)
        return int(min(wanted * caution, max_reserve))
