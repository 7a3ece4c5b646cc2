"""The registry of admission filters."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

from aspengate.clock import Clock
from aspengate.gateway._exchange import Filter
from aspengate.gateway.prepaid import TokenAccounts
from aspengate.gateway.streams import StreamDirectory
from aspengate.telemetry import Counters


@dataclass(frozen=True)
class FilterDependencies:
    """The services that filters use."""

    clock: Clock
    counters: Counters
    tokens: TokenAccounts
    streams: StreamDirectory


FilterFactory = Callable[[FilterDependencies], Filter]
_FACTORIES: dict[str, FilterFactory] = {}
_Factory = TypeVar("_Factory", bound=FilterFactory)


def register_filter(name: str) -> Callable[[_Factory], _Factory]:
    """Register a filter under ``name``, by which ``make_filters`` refers to it."""

    def register(factory: _Factory) -> _Factory:
        _FACTORIES[name] = factory
        return factory

    return register


def make_filters(names: Iterable[str], dependencies: FilterDependencies) -> tuple[Filter, ...]:
    """Create the filters with these names, in order."""
    return tuple(_FACTORIES[name](dependencies) for name in names)
