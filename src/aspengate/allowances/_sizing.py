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
class AllowanceSizing:
    """Sizes of the reserve that lets a router go on while the store does not answer.

    The reserve covers ``horizon_ms`` of the demand seen and ``least_requests``. Of what nobody
    holds yet it takes at most ``demand_part`` of the router's part in the account's use so far,
    or ``equal_part`` of an equal part, so that it shrinks as an account's tokens run out; what
    a router that dies held is lost to the account.
    """

    horizon_ms: float = 10_000.0
    demand_part: float = 0.5
    equal_part: float = 0.25
    least_requests: int = 3
    refill_part: float = 0.5

    def reserve(self, demand: Demand, unheld: int, routers: int, part: float) -> int:
        """Return the tokens to keep at hand, where ``unheld`` are held by nobody.

        ``part`` is the router's part in what the account's routers used so far, 0 to 1.
        """
        most = max(0, unheld) * max(part * self.demand_part, self.equal_part / max(1, routers))
        wanted = demand.per_second * self.horizon_ms / 1_000
        wanted += self.least_requests * demand.request
        return int(min(wanted, most))
