"""Sizes of the reserves of prepaid tokens that routers keep."""

import math
from dataclasses import dataclass


@dataclass(frozen=True)
class Demand:
    """Holds the demand of a router's requests, in tokens.

    ``committed`` tokens are used, reserved or lent, and ``waiting`` tokens are needed by waiting
    requests. ``per_second`` is the recent rate of reservations, ``request_size`` the moving average
    of the sizes of requests, or ``waiting`` before the first one.
    """

    committed: int
    waiting: int
    per_second: float
    request_size: int


@dataclass(frozen=True)
class AllocationState:
    """Holds how the tokens of an account are allocated, and what is known about outages.

    ``unallocated`` of ``limit`` tokens are not allocated to any session. ``routers`` is the number
    of routers that may hold some, and ``share``, 0 to 1, this router's share of the allowances of
    all sessions, which is taken as 1 on the primary. ``lost_sessions`` is the number of sessions
    that ended without returning the tokens they held.

    ``outage_ms`` is the longest outage of the store that was seen, 0 if none was. ``readiness``, 0
    to 1, is the elapsed fraction of the period after an outage in which no other one is expected.
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
        """Return how far a ceiling is raised above the committed tokens.

        If a router dies and its witness survives, up to this number of tokens is lost.
        """
        wanted = demand.per_second * self.headroom_ms / 1_000
        return int(wanted + self.headroom_requests * demand.request_size)

    def borrower_reserve(self, demand: Demand) -> int:
        """Return the borrowed tokens that a router keeps unused; they are lost if it dies."""
        return int(demand.per_second * self.headroom_ms / 1_000)

    def reserve(self, demand: Demand, state: AllocationState) -> int:
        """Return the number of tokens to keep in reserve."""
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
        loss_discount = self.loss_factor ** (state.lost_sessions / routers)
        return int(min(wanted * loss_discount, max_reserve))
