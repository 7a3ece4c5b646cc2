"""Authenticates the caller by its API key."""

from dataclasses import replace

from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._exchange import Exchange, Outcome
from aspengate.gateway.filters._registry import FilterDependencies, register_filter


@register_filter("authenticate")
class Authenticate:
    """Resolves the account of the request's API key, unless the route is public."""

    def __init__(self, dependencies: FilterDependencies) -> None:
        self.dependencies = dependencies

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with its account; raises UNAUTHENTICATED."""
        configuration = exchange.configuration
        if exchange.known_route.public or not configuration.accounts:
            return exchange
        if not exchange.request.key:
            raise AspengateError(ErrorKind.UNAUTHENTICATED, "a key is needed")
        return replace(exchange, account=configuration.account_of(exchange.request.key))

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Do nothing: there is nothing to undo."""
