"""The right to start a call that may not be repeated."""

from dataclasses import replace

import xxhash

from aspengate.claims import claim_key
from aspengate.router._exchange import Exchange, Outcome
from aspengate.router.filters._registry import FilterParts, register_filter


@register_filter("claim")
class Claim:
    """Asks the key's owner for a ticket, or learns which agent has the answer."""

    def __init__(self, parts: FilterParts) -> None:
        self.parts = parts

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with a ticket or with the agent to join."""
        request = exchange.request
        if not request.idempotency_key:
            return exchange
        key = claim_key(exchange.known_account.name, request.idempotency_key)
        digest = xxhash.xxh128_hexdigest(
            b"\0".join((request.method.encode(), request.path.encode(), request.body))
        )
        ticket, joined = self.parts.claims.claim(
            key, digest, request.request_id, exchange.known_upstream.instance.address
        )
        return replace(exchange, claim=ticket, joined_agent=joined)

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Free the key where the call certainly did not run."""
        if exchange.claim is not None and outcome.not_run:
            self.parts.claims.release(exchange.claim, exchange.request.request_id)
