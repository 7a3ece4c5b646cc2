"""Restricts requests that take a stream up to the version that began it."""

from aspengate.gateway._exchange import Exchange, Outcome
from aspengate.gateway.filters._registry import FilterDependencies, register_filter


@register_filter("resume")
class ResumeStream:
    """Finds the version and the service that began the stream which a request takes up."""

    def __init__(self, dependencies: FilterDependencies) -> None:
        self.streams = dependencies.streams

    def apply(self, exchange: Exchange) -> Exchange:
        """Return the exchange with the version; raises STREAM_UNKNOWN if it is not known."""
        return self.streams.resume(exchange)

    def finish(self, exchange: Exchange, outcome: Outcome) -> None:
        """Do nothing: there is nothing to undo."""
