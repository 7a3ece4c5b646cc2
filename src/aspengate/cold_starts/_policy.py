"""The bound on what a cold replica may get, as the platform states it."""

from dataclasses import dataclass

from aspengate.fleet_permits import WindowBound


@dataclass(frozen=True)
class ColdStartPolicy:
    """In any second a cold replica gets at most its rate x ``overage`` + ``slack`` requests.

    The rate is that of its service, in requests a second. Within ``start_ms`` all routers have
    heard of one that starts. Requests count for ``window_ms``: a second, and a twentieth of one
    for clocks that run unevenly.
    """

    overage: float = 1.0
    slack: float = 0.0
    window_ms: float = 1_050.0
    start_ms: float = 3_000.0

    def bound(self, per_second: float) -> WindowBound:
        """Return what the routers share out for one cold replica.

        The slack is not shared out: it covers what arrives before its routers know that a
        replica is cold, and routers of which others have not heard.
        """
        most = int(per_second * self.overage + self.slack)
        permits = min(most, max(1, int(per_second * self.overage)))
        return WindowBound(permits, self.window_ms)
