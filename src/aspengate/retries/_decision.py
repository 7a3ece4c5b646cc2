"""A decision on a retry with the figures behind it, and tallies of decisions."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RetryDecision:
    """Whether one retry was allowed, with the figures that decided it.

    ``retries`` is the number of this router's retries that counted against its ``share``,
    ``requests`` the number of requests its callers made in the window, and ``router_count`` the
    number of routers that share the fleet's budget, 0 if unknown.
    """

    allowed: bool
    retries: int
    share: float
    requests: int
    router_count: int

    def log_fields(self) -> dict[str, object]:
        """Return the log fields of this decision."""
        return {
            "allowed": self.allowed,
            "repeats": self.retries,
            "share": round(self.share, 1),
            "requests": self.requests,
            "routers": self.router_count,
        }


@dataclass(frozen=True)
class RetryTally:
    """The decisions on one service's retries since the last tally, and the latest of them."""

    service: str
    allowed: int
    refused: int
    last: RetryDecision
