"""Whether the account's prepaid tokens cover the request at its most."""

from aspengate.gateway._exchange import Exchange, Outcome
from aspengate.gateway.filters._registry import FilterDependencies, register_filter


@register_filter("reserve")
class Reserve:
    """Sets the most that a request can use aside, and settles what it used."""

    def __init__(self, dependencies: FilterDependencies) -> None:
        self.dependencies = dependencies

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange; raises BUDGET_EXHAUSTED or BUDGET_UNAVAILABLE."""
        amount = _most(exchange)
        if amount and exchange.account is not None:
            self.dependencies.tokens.reserve(exchange.account, amount, exchange.waiter)
        return exchange

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Settle the exact use where the answer was whole, the most where that is not known."""
        amount = _most(exchange)
        if amount and exchange.account is not None:
            self.dependencies.tokens.settle(
                exchange.account, amount, used_tokens(exchange, outcome)
            )


def used_tokens(exchange: Exchange, outcome: Outcome) -> int:
    """Return the tokens that a request used at most, 0 where its account is not capped."""
    amount = _most(exchange)
    if not outcome.may_have_run:
        return 0
    if outcome.output_tokens is None or exchange.request.tokens is None:
        return amount
    return min(amount, exchange.request.tokens.prompt + outcome.output_tokens)


def _most(exchange: Exchange) -> int:
    """Return the tokens to set aside; 0 where the account is not capped."""
    account = exchange.account
    if account is None or account.prepaid_tokens is None or exchange.request.tokens is None:
        return 0
    return exchange.request.tokens.max_total
