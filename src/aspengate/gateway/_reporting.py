"""Periodic log lines of a gateway on retry decisions and store calls."""

from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.retries import SharedRetryBudget
from aspengate.store import KeyValueStore
from aspengate.telemetry import log_change

# Interval of the log lines on store calls, in ms: short enough to attribute calls to a fault.
_STORE_CALLS_INTERVAL_MS = 5_000.0


class GatewayReport:
    """Logs retry decisions and store calls, aggregated over an interval.

    ``session`` returns the name of this router's session. Call ``log_if_due`` about once a second.
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
        self._calls_logged_ms = clock.monotonic_ms()

    def log_if_due(self) -> None:
        """Log the retry decisions since the last call, and the store calls if they are due."""
        self._log_retries()
        if self._clock.monotonic_ms() - self._calls_logged_ms >= _STORE_CALLS_INTERVAL_MS:
            self.log_store_calls()

    def log_store_calls(self) -> None:
        """Log the number of store calls so far, by kind."""
        self._calls_logged_ms = self._clock.monotonic_ms()
        log_change("store.calls", session=self._session(), calls=dict(self._store.calls))

    def _log_retries(self) -> None:
        """Log the retry decisions.

        The lines of single requests do not suffice: those of a killed router are never written.
        """
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
