"""Reserves prepaid tokens for a request and settles its actual use."""

from aspengate.gateway._exchange import Exchange, Outcome
from aspengate.gateway.filters._registry import FilterDependencies, register_filter


@register_filter("reserve")
class Reserve:
    """Reserves the maximum that a request can use, and settles what it used."""

    def __init__(self, dependencies: FilterDependencies) -> None:
        self.dependencies = dependencies

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange unchanged; raises BUDGET_EXHAUSTED or BUDGET_UNAVAILABLE."""
        amount = _max_tokens(exchange)
        if amount and exchange.account is not None:
            self.dependencies.tokens.reserve(exchange.account, amount, exchange.waiter)
        return exchange

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Settle the exact use if the response was complete, else the maximum."""
        amount = _max_tokens(exchange)
        if amount and exchange.account is not None:
            self.dependencies.tokens.settle(
                exchange.account, amount, used_tokens(exchange, outcome)
            )


def used_tokens(exchange: Exchange, outcome: Outcome) -> int:
    """Return the maximum number of tokens that a request used.

    It is 0 if no replica may have run it, or if its account has no cap.
    """
    amount = _max_tokens(exchange)
    if not outcome.may_have_run:
        return 0
    if outcome.output_tokens is None or exchange.request.tokens is None:
        return amount
    return min(amount, exchange.request.tokens.prompt + outcome.output_tokens)


def _max_tokens(exchange: Exchange) -> int:
    """Return the number of tokens to reserve; 0 if the account has no cap."""
    account = exchange.account
    if account is None or account.prepaid_tokens is None or exchange.request.tokens is None:
        return 0
    return exchange.request.tokens.max_total
