"""Resolves a request's route, service and deadline."""

import random
from dataclasses import replace

from aspengate.configuration import Route
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway._exchange import Exchange, Outcome
from aspengate.gateway.filters._registry import FilterDependencies, register_filter


@register_filter("route")
class FindRoute:
    """Finds the route by host and path, and picks one of its services at random by weight."""

    def __init__(self, dependencies: FilterDependencies) -> None:
        self.dependencies = dependencies

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with its route and service; raises NOT_FOUND or NO_UPSTREAM.

        A timeout of the route shortens the deadline of the exchange's waiter.
        """
        request = exchange.request
        route = exchange.configuration.route_of(request.host, request.path)
        name = _pick_service(route)
        service = exchange.configuration.services.get(name)
        if service is None:
            raise AspengateError(ErrorKind.NO_UPSTREAM, "no such service", where=name)
        if route.timeout_ms:
            exchange.waiter.deadline_ms = min(
                exchange.waiter.deadline_ms, request.received_ms + route.timeout_ms
            )
        return replace(exchange, route=route, service=service)

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Do nothing: there is nothing to undo."""


def _pick_service(route: Route) -> str:
    if len(route.services) == 1:
        return route.services[0].service
    weights = [max(0, each.weight) for each in route.services]
    if not any(weights):
        return route.services[0].service
    return random.choices(route.services, weights)[0].service
