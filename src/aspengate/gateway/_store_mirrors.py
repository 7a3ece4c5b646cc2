"""The mirrors of the store that a gateway keeps, and their polling intervals."""

from collections.abc import Callable, Mapping

from aspengate.clock import Clock
from aspengate.crashes import RECORD_PREFIX
from aspengate.gateway._ports import Deployment
from aspengate.gateway._store_reader import StoreReader
from aspengate.gateway.rollouts import Rollouts, document_order
from aspengate.rollouts import DOCUMENT_PREFIX
from aspengate.store import (
    UNCONFIRMED_RETENTION_MS,
    MirrorMode,
    MirrorState,
    StoreMirror,
    WriterOrder,
    no_order,
)
from aspengate.telemetry import Counters

# Duration of a watch without changes, in ms.
_WATCH_TIMEOUT_MS = 25_000
# Delay before the next watch, in ms, in which changes accumulate. The platform's strictest limit
# on the delay from a change of the configuration or of a leaving replica to the first request that
# respects it is 2 s. With requests in progress a tenth of it is used; without requests, none is
# served from the mirror, and half of it is used.
_COALESCE_MS = 150.0
_IDLE_COALESCE_MS = 800.0
# Time without a request, in ms, after which a router counts as idle.
_IDLE_AFTER_MS = 1_000.0
# Maximum backoff before an unresponsive store is called again, in ms. The leader of a failure
# domain retries sooner, and the other routers learn of the recovery from it without a call.
_MAX_LEADER_BACKOFF_MS = 200.0
_MAX_BACKOFF_MS = 1_500.0


class StoreMirrors:
    """Holds the mirrors of the items that the operator, the replicas and the routers write.

    ``reader`` applies the items of the operator and the replicas, and ``load_records`` the crash
    records, which routers write. ``mode`` returns how changes are received, ``leads`` whether
    this router follows the store for others, and ``last_request_ms`` the time of its last request,
    in monotonic milliseconds. ``rollouts`` receives the documents of rollouts, which are followed
    only if it is given.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        counters: Counters,
        reader: StoreReader,
        load_records: Callable[[MirrorState], None],
        *,
        mode: Callable[[], MirrorMode],
        leads: Callable[[], bool],
        last_request_ms: Callable[[], float],
        rollouts: Rollouts | None = None,
    ) -> None:
        self._store = deployment.store
        self._clock = clock
        self._counters = counters
        self._mode = mode
        self._leads = leads
        self._last_request_ms = last_request_ms
        self.operator = self._mirror(
            deployment.operator_prefix, reader.load_operator_items, order=deployment.read_order
        )
        self.replicas = self._mirror(
            deployment.replica_prefix, reader.load_replicas, order=deployment.read_order
        )
        # Only routers write crash records, and they rewrite the ones that the store has lost.
        self.crash_records = self._mirror(RECORD_PREFIX, load_records, keep_ms=float("inf"))

        self.rollouts = (
            self._mirror(
                DOCUMENT_PREFIX,
                rollouts.load_documents,
                keep_ms=float("inf"),
                order=document_order,
            )
            if rollouts is not None
            else None
        )

    @property
    def by_prefix(self) -> Mapping[str, StoreMirror]:
        """All mirrors, by the prefix that each follows."""
        mirrors = (self.operator, self.replicas, self.crash_records, self.rollouts)
        return {each.prefix: each for each in mirrors if each is not None}

    def start(self) -> None:
        """Start to follow the store."""
        for mirror in self.by_prefix.values():
            mirror.start()

    def close(self) -> None:
        """Stop following the store."""
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
            _WATCH_TIMEOUT_MS,
            self._coalesce_ms,
            mode=self._mode,
            max_backoff_ms=self._max_backoff_ms,
            retention_ms=keep_ms,
            order=order,
        )

    def _coalesce_ms(self) -> float:
        """Return the delay before the next watch, in ms: longer while there are no requests."""
        idle_ms = self._clock.monotonic_ms() - self._last_request_ms()
        return _IDLE_COALESCE_MS if idle_ms > _IDLE_AFTER_MS else _COALESCE_MS

    def _max_backoff_ms(self) -> float:
        """Return the maximum backoff in ms: shorter for leaders, which retry first."""
        return _MAX_LEADER_BACKOFF_MS if self._leads() else _MAX_BACKOFF_MS
