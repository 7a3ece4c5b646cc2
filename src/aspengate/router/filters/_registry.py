"""The registry that the filters are made from."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.limits import Limiter
from aspengate.router._claims import ClaimService
from aspengate.router._exchange import Filter
from aspengate.router._money import RouterMoney
from aspengate.router._streams import StreamTable
from aspengate.routing import ChoiceContext, Policy, PrefixMemory, UpstreamRegistry
from aspengate.telemetry import Counters
from aspengate.transport import Peer


@dataclass(frozen=True)
class FilterParts:
    """What the filters work with."""

    session: str
    clock: Clock
    counters: Counters
    peer: Peer
    limiter: Limiter
    registry: UpstreamRegistry
    policy: Policy
    choice: ChoiceContext
    prefixes: PrefixMemory
    claims: ClaimService
    money: RouterMoney
    streams: StreamTable


FilterFactory = Callable[[FilterParts], Filter]
_FILTERS: dict[str, FilterFactory] = {}


def register_filter(name: str) -> Callable[[FilterFactory], FilterFactory]:
    """Register a filter under the name that the pipeline lists."""

    def register(factory: FilterFactory) -> FilterFactory:
        _FILTERS[name] = factory
        return factory

    return register


def make_filters(names: Iterable[str], parts: FilterParts) -> tuple[Filter, ...]:
    """Return the named filters in order; raises KeyError for an unknown name."""
    return tuple(_FILTERS[name](parts) for name in names)
