"""Requests a second and concurrency."""

from aspengate.router._exchange import Exchange, Outcome
from aspengate.router.filters._registry import FilterParts, register_filter


@register_filter("limit")
class Limit:
    """Counts the request in and out."""

    def __init__(self, parts: FilterParts) -> None:
        self.parts = parts

    def apply(self, exchange: Exchange) -> Exchange:
        """Count the request in; raises RATE_LIMITED."""
        self.parts.limiter.enter(exchange.known_account, exchange.known_service)
        return exchange

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Count the request out."""
        self.parts.limiter.leave(exchange.known_account, exchange.known_service)
