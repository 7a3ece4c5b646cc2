"""Money for the request: its upper bound before the run, its cost after it."""

from dataclasses import replace

from aspengate.router._exchange import CallerRequest, Exchange, Outcome
from aspengate.router.filters._registry import FilterParts, register_filter
from aspengate.table import ServiceRow


@register_filter("reserve")
class Reserve:
    """Sets the upper bound of the cost aside in the account's budget."""

    def __init__(self, parts: FilterParts) -> None:
        self.parts = parts

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with a reservation; a joined answer is paid for already."""
        if exchange.joined_agent:
            return exchange
        bound = upper_bound(exchange.request, exchange.known_service)
        reservation = self.parts.money.reserve(exchange.known_account.budget, bound)
        self.parts.money.note_agent(reservation, exchange.known_upstream.instance.address)
        return replace(exchange, upper_bound=bound, reservation=reservation)

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Settle the actual cost and free the rest."""
        if exchange.reservation is None:
            return
        usage = outcome.usage
        item = usage if exchange.known_service.itemised else None
        self.parts.money.settle(
            exchange.reservation, exchange.line, usage.cost if usage else 0, item
        )


def upper_bound(request: CallerRequest, service: ServiceRow) -> int:
    """Return the most that a request can cost, in credits.

    A prompt has at most as many tokens as its body has bytes.
    """
    output = service.max_output_tokens
    if request.max_tokens is not None:
        output = min(output, request.max_tokens)
    tokens = service.price_input * len(request.body) + service.price_output * output
    return service.price_call + (tokens if service.protocol == "completion" else 0)
