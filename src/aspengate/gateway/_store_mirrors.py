"""The parts of the store that a gateway follows, and how often it asks the store for them."""

from collections.abc import Callable, Mapping

from aspengate.clock import Clock
from aspengate.crashes import RECORD_PREFIX
from aspengate.gateway._ports import Deployment
from aspengate.gateway._store_reader import StoreReader
from aspengate.store import (
    UNCONFIRMED_RETENTION_MS,
    MirrorMode,
    MirrorState,
    StoreMirror,
    WriterOrder,
    no_order,
)
from aspengate.telemetry import Counters

# How long a watch waits for changes, in ms.
_WATCH_MS = 25_000
# How long changes are gathered before the next watch, in ms. The platform's shortest bound on
# configuration and leaving replicas is 2 s, counted from a change to a request. While there are
# requests a tenth of it is spent; without any, nobody is served by what is known: half of it.
_GATHER_MS = 150.0
_GATHER_AT_REST_MS = 800.0
# After so long without a request, in ms, a router counts as being at rest.
_AT_REST_MS = 1_000.0
# The longest pause before a store that does not answer is asked again, in ms: the leader of a
# failure domain finds out first that it is back, and the others hear that without a call.
_LEADER_PAUSE_MS = 200.0
_PAUSE_MS = 1_500.0


class StoreMirrors:
    """Mirrors of what the operator, the replicas and the routers write.

    ``reader`` takes over what the first two write, ``take_records`` the records of requests that
    end replicas. ``stance`` tells where changes are learnt from, ``leads`` whether this router
    follows the store for others, and ``last_request_ms`` when it got its last request, in
    monotonic milliseconds.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        counters: Counters,
        reader: StoreReader,
        take_records: Callable[[MirrorState], None],
        *,
        stance: Callable[[], MirrorMode],
        leads: Callable[[], bool],
        last_request_ms: Callable[[], float],
    ) -> None:
        self._store = deployment.store
        self._clock = clock
        self._counters = counters
        self._stance = stance
        self._leads = leads
        self._last_request_ms = last_request_ms
        self.operator = self._mirror(
            deployment.operator_prefix, reader.load_operator_items, order=deployment.read_order
        )
        self.replicas = self._mirror(
            deployment.replica_prefix, reader.load_replicas, order=deployment.read_order
        )
        # Routers alone write these, and write again what the store has lost.
        self.crash_records = self._mirror(RECORD_PREFIX, take_records, keep_ms=float("inf"))

    @property
    def by_prefix(self) -> Mapping[str, StoreMirror]:
        """All of them, by the prefix that each follows."""
        return {each.prefix: each for each in (self.operator, self.replicas, self.crash_records)}

    def start(self) -> None:
        """Begin to follow the store."""
        for mirror in self.by_prefix.values():
            mirror.start()

    def close(self) -> None:
        """Stop."""
        for mirror in self.by_prefix.values():
            mirror.close()

    def _mirror(
        self,
        prefix: str,
        on_change: Callable[[MirrorState], None],
        *,
        keep_ms: float = UNCONFIRMED_RETENTION_MS,
        order: WriterOrder = no_order,
    ) -> StoreMirror:
        return StoreMirror(
            self._store,
            prefix,
            self._clock,
            self._counters,
            on_change,
            _WATCH_MS,
            self._gather_ms,
            mode=self._stance,
            max_backoff_ms=self._longest_pause_ms,
            retention_ms=keep_ms,
            order=order,
        )

    def _gather_ms(self) -> float:
        """Return how long changes are gathered: longer while there are no requests."""
        rested_ms = self._clock.monotonic_ms() - self._last_request_ms()
        return _GATHER_AT_REST_MS if rested_ms > _AT_REST_MS else _GATHER_MS

    def _longest_pause_ms(self) -> float:
        """Return how long to wait before the store is asked again; leaders are to be the first."""
        return _LEADER_PAUSE_MS if self._leads() else _PAUSE_MS
