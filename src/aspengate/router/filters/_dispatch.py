"""Sends the request to its agent."""

from dataclasses import replace

from aspengate.errors import AspengateError, ErrorKind
from aspengate.router._exchange import Exchange, Outcome
from aspengate.router._streams import AnswerStream
from aspengate.router.filters._registry import FilterParts, register_filter
from aspengate.transport import Dispatch, Header, Join


@register_filter("dispatch")
class Dispatcher:
    """Opens a stream and sends the dispatch, or joins the answer that an agent has."""

    def __init__(self, parts: FilterParts) -> None:
        self.parts = parts

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with its stream; raises NO_UPSTREAM where nothing was sent."""
        agent = exchange.joined_agent or exchange.known_upstream.instance.address
        stream = self.parts.streams.open(agent)
        message = (
            self._join(exchange, stream)
            if exchange.joined_agent
            else self._dispatch(exchange, stream)
        )
        if not self.parts.peer.send(agent, message):
            self.parts.streams.close(stream.number)
            raise AspengateError(ErrorKind.NO_UPSTREAM, "the agent can't be reached", where=agent)
        self.parts.registry.record_sent(agent)
        return replace(exchange, stream=stream)

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Drop whatever still comes."""
        if exchange.stream is not None:
            self.parts.streams.close(exchange.stream.number)

    def _join(self, exchange: Exchange, stream: AnswerStream) -> Join:
        return Join(
            stream=stream.number,
            router_session=self.parts.session,
            reply_to=self.parts.peer.address,
            key=f"{exchange.known_account.name}/{exchange.request.idempotency_key}",
        )

    def _dispatch(self, exchange: Exchange, stream: AnswerStream) -> Dispatch:
        request, service = exchange.request, exchange.known_service
        reservation = exchange.reservation
        if reservation is None:
            raise AssertionError("the reserve filter comes first")
        headers = request.headers
        if request.idempotency_key:
            headers = (*headers, Header("Idempotency-Key", request.idempotency_key))
        return Dispatch(
            stream=stream.number,
            router_session=self.parts.session,
            reply_to=self.parts.peer.address,
            request_id=request.request_id,
            service=service.name,
            budget=exchange.known_account.budget,
            client_account=exchange.known_account.name,
            holder=reservation.block.holder,
            block_id=reservation.block.block_id,
            sequence=reservation.sequence,
            upper_bound=exchange.upper_bound,
            honour_until_ms=reservation.block.honour_until_ms,
            deadline_ms=request.deadline_ms,
            priority=exchange.known_account.priority + service.priority,
            method=request.method,
            path=request.path,
            headers=headers,
            body=request.body,
            price_input=service.price_input,
            price_output=service.price_output,
            price_call=service.price_call,
            claim=exchange.claim,
        )
