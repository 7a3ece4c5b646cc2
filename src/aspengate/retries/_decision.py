"""What a router knew when it decided on a repeat, and how its decisions add up."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RetryDecision:
    """Whether one repeat was allowed, and by which figures.

    ``repeats`` of this router still counted against its ``share``; ``requests`` is how many its
    callers made in the window. ``routers`` is how many share the fleet's budget, 0 where that
    was not known.
    """

    allowed: bool
    retries: int
    share: float
    requests: int
    router_count: int

    def log_fields(self) -> dict[str, object]:
        """Return what the log tells of this decision."""
        return {
            "allowed": self.allowed,
            "repeats": self.retries,
            "share": round(self.share, 1),
            "requests": self.requests,
            "routers": self.router_count,
        }


@dataclass(frozen=True)
class RetryTally:
    """The decisions on one service's repeats since they were asked for last."""

    service: str
    allowed: int
    refused: int
    last: RetryDecision
