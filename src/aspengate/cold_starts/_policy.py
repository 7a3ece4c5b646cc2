"""The platform's limit on the requests that a cold replica receives."""

from dataclasses import dataclass

from aspengate.fleet_permits import WindowBound


@dataclass(frozen=True)
class ColdStartPolicy:
    """Allows a cold replica at most its rate x ``overage`` + ``slack`` requests in any second.

    The rate is that of its service, in requests per second. ``start_ms`` is the time within which
    all routers are aware of a router that starts. Requests count for ``window_ms``: one second, and
    5 % more for clocks that run at different speeds.
    """

    overage: float = 1.0
    slack: float = 0.0
    window_ms: float = 1_050.0
    start_ms: float = 3_000.0

    def bound(self, per_second: float) -> WindowBound:
        """Return the bound whose permits the routers divide for one cold replica.

        The slack is not divided: it covers requests that arrive before the routers are aware that
        the replica is cold, and routers of which the others are not aware yet.
        """
        max_requests = int(per_second * self.overage + self.slack)
        permits = min(max_requests, max(1, int(per_second * self.overage)))
        return WindowBound(permits, self.window_ms)
