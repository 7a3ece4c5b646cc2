"""Where the request runs."""

from dataclasses import replace

from aspengate.errors import ErrorKind
from aspengate.router._exchange import Exchange, Outcome
from aspengate.router.filters._registry import FilterParts, register_filter
from aspengate.routing import prefix_blocks
from aspengate.table import ClientAccountRow, ServiceRow

_MAY_WAIT_SHARE = 0.6
_LOW_PRIORITY_SHARE = 0.8
_FAILURES = frozenset({ErrorKind.UPSTREAM_FAILED.value, ErrorKind.OUTCOME_UNKNOWN.value})


@register_filter("choose")
class Choose:
    """Chooses an upstream by the policy and counts the request there."""

    def __init__(self, parts: FilterParts) -> None:
        self.parts = parts

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with an upstream; raises NO_UPSTREAM or OVERLOADED."""
        service = exchange.known_service
        prefix = exchange.prefix
        if not prefix and service.protocol == "completion":
            prefix = prefix_blocks(exchange.request.body)
        upstream = self.parts.registry.choose(
            service.name,
            self.parts.policy,
            self.parts.choice,
            self.parts.prefixes.hits(prefix),
            exchange.excluded,
            share_of(exchange.known_account, service),
        )
        self.parts.prefixes.record_sent(prefix, upstream.instance.address)
        return replace(exchange, upstream=upstream, prefix=prefix)

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Count the request out, and a failure against the upstream."""
        self.parts.registry.record_finished(
            exchange.known_upstream,
            failed=outcome.error in _FAILURES,
            first_answer_ms=outcome.first_answer_ms,
        )


def share_of(account: ClientAccountRow, service: ServiceRow) -> float:
    """Return what part of an upstream's limit a request may use.

    What may wait is held back first, then what has a priority below 0.
    """
    if service.may_wait:
        return _MAY_WAIT_SHARE
    if account.priority + service.priority < 0:
        return _LOW_PRIORITY_SHARE
    return 1.0
