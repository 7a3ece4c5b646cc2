"""Who calls, and for which service."""

from dataclasses import replace

from aspengate.errors import AspengateError, ErrorKind
from aspengate.router._exchange import Exchange, Outcome
from aspengate.router.filters._registry import FilterParts, register_filter


@register_filter("authenticate")
class Authenticate:
    """Finds the account of the API key and the service, and checks the key of the call."""

    def __init__(self, parts: FilterParts) -> None:
        self.parts = parts

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with account and service."""
        request = exchange.request
        account = exchange.table.account_of(request.api_key)
        service = exchange.table.service(request.service)
        if not service.repeatable and not request.idempotency_key:
            raise AspengateError(
                ErrorKind.BAD_REQUEST,
                "calls of this service may not be repeated and need an Idempotency-Key",
                where=service.name,
            )
        return replace(exchange, account=account, service=service)

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Nothing to undo."""
