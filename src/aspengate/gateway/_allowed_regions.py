"""Keeps the attempts of each request within the regions that its route and its account allow."""

from collections.abc import Iterable, Iterator

from aspengate.configuration import ConfigurationHolder, FleetConfiguration
from aspengate.errors import AspengateError
from aspengate.gateway._exchange import Exchange
from aspengate.replicas import ReplicaView
from aspengate.topology import Topology


class AllowedRegions:
    """Answers in which regions a request may run.

    The lists of its route and its account both bind, as of the configuration that admitted it and
    as of the one in force: a list that changes while a request is in progress binds its next
    attempt, and never opens a region that was closed when the request was admitted.
    """

    def __init__(self, topology: Topology, holder: ConfigurationHolder) -> None:
        self.topology = topology
        self.holder = holder

    def regions_for(self, exchange: Exchange) -> frozenset[str] | None:
        """Return the regions that all lists allow, possibly none; None if there is no list."""
        lists = [each for each in self._lists(exchange) if each]
        return frozenset.intersection(*lists) if lists else None

    def allows(self, exchange: Exchange, view: ReplicaView) -> bool:
        """Return whether a replica is in an allowed region."""
        return bool(self.select(exchange, (view,)))

    def select(self, exchange: Exchange, views: Iterable[ReplicaView]) -> list[ReplicaView]:
        """Return the replicas in allowed regions; one in no known region is in none of a list."""
        regions = self.regions_for(exchange)
        if regions is None:
            return list(views)
        return [view for view in views if self.region_of(view) in regions]

    def region_of(self, view: ReplicaView) -> str:
        """Return a replica's region, empty if it is not known."""
        return self.topology.region_of(view.replica.failure_domain)

    def _lists(self, exchange: Exchange) -> Iterator[frozenset[str]]:
        yield exchange.known_route.allowed_regions
        if exchange.account is not None:
            yield exchange.account.allowed_regions
        if self.holder.is_configured and self.holder.current is not exchange.configuration:
            yield from _current_lists(exchange, self.holder.current)


def _current_lists(
    exchange: Exchange, configuration: FleetConfiguration
) -> Iterator[frozenset[str]]:
    """Yield the lists that a new request with the same host, path and account would have."""
    try:
        route = configuration.route_of(exchange.request.host, exchange.request.path)
        yield route.allowed_regions
    except AspengateError:
        # The route was removed; the request goes on under the list that admitted it.
        pass
    account = configuration.accounts_by_name.get(exchange.account.name if exchange.account else "")
    if account is not None:
        yield account.allowed_regions
