"""How many tokens a router keeps at hand beyond what its requests need."""

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
    request: int


@dataclass(frozen=True)
class Holding:
    """How an account stands: of ``limit`` tokens ``unheld`` are held by nobody.

    ``routers`` may hold some. ``part`` is this router's part in what all of them used so far, 0
    to 1. ``lost_sessions`` took along what they held.
    """

    limit: int
    unheld: int
    routers: int
    part: float = 0.0
    lost_sessions: int = 0


@dataclass(frozen=True)
class AllowanceSizing:
    """Sizes of the reserve that lets a router go on while the store does not answer.

    The reserve covers ``horizon_ms`` of the demand seen and ``least_requests``. Of what nobody
    holds yet it takes at most ``demand_part`` of the router's part in the account's use so far,
    or ``equal_part`` of an equal part, so that it shrinks as an account's tokens run out; and of
    the limit at most ``limit_part`` of its part or of an equal one.

    What a router that dies held is lost to the account: for each time that as many sessions
    were lost as there are routers the reserve is smaller by ``loss_factor``, so that any number
    of deaths takes a bounded part of the account along.
    """

    horizon_ms: float = 10_000.0
    demand_part: float = 0.5
    equal_part: float = 0.25
    limit_part: float = 0.15
    least_requests: int = 3
    loss_factor: float = 0.1
    refill_part: float = 0.5

    def reserve(self, demand: Demand, holding: Holding) -> int:
        """Return the tokens to keep at hand."""
        routers = max(1, holding.routers)
        part = max(holding.part * self.demand_part, self.equal_part / routers)
        bound = holding.limit * self.limit_part * max(holding.part, 1 / routers)
        most = min(holding.unheld * part, bound)
        wanted = demand.per_second * self.horizon_ms / 1_000
        wanted += self.least_requests * demand.request
        caution = self.loss_factor ** (holding.lost_sessions / routers)
        return int(max(0.0, min(wanted * caution, most)))
