"""What a gateway tells of itself: its gauges, and lines on what its routers decided together."""

from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.retries import SharedRetryBudget
from aspengate.store import KeyValueStore
from aspengate.telemetry import log_change

# How often the calls to the store are told, in ms: often enough to see which fault cost them.
_CALLS_TOLD_MS = 5_000.0


class GatewayReport:
    """Tells the decisions on repeats and the calls to the store, each a line for a while of them.

    ``session`` returns the name of this run; ``tell`` is to be called about once a second.
    """

    def __init__(
        self,
        retries: SharedRetryBudget,
        store: KeyValueStore,
        session: Callable[[], str],
        clock: Clock,
    ) -> None:
        self._retries = retries
        self._store = store
        self._session = session
        self._clock = clock
        self._calls_told_ms = clock.monotonic_ms()

    def log_if_due(self) -> None:
        """Tell what has been decided since the last call, and now and then the store's calls."""
        self._tell_retries()
        if self._clock.monotonic_ms() - self._calls_told_ms >= _CALLS_TOLD_MS:
            self.log_store_calls()

    def log_store_calls(self) -> None:
        """Tell how many calls the store got so far, by kind."""
        self._calls_told_ms = self._clock.monotonic_ms()
        log_change("store.calls", session=self._session(), calls=dict(self._store.calls))

    def _tell_retries(self) -> None:
        """Tell the decisions on repeats: a killed router's requests never get their own lines."""
        told_ms = self._retries.router_count_age_ms()
        for tally in self._retries.drain_tallies():
            log_change(
                "retry.decided",
                service=tally.service,
                allowed_since=tally.allowed,
                refused_since=tally.refused,
                routers_told_ms=None if told_ms is None else round(told_ms),
                **tally.last.log_fields(),
            )
