"""The gateway as a process: its followers of the store, its servers, and its planned stop."""

from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.configuration import ConfigurationHolder, FleetConfiguration
from aspengate.connections import ConnectionPool
from aspengate.errors import AspengateError
from aspengate.gateway._application import ADMISSION, GatewayApplication
from aspengate.gateway._attempt import AttemptParts
from aspengate.gateway._dispatcher import Dispatcher
from aspengate.gateway._ports import Deployment
from aspengate.gateway._ready import ReadyApplication
from aspengate.gateway._settings import GatewaySettings
from aspengate.gateway.filters import FilterParts, make_filters
from aspengate.replicas import ReplicaRegistry
from aspengate.serving import RelayServer, WsgiServer
from aspengate.store import MirrorState, StoreMirror
from aspengate.telemetry import Counters, log_change

_READY_THREADS = 2
_WATCH_MS = 20_000
_LONGEST_REST_MS = 4_000.0
_RESERVED_DESCRIPTORS = 200
_DRAIN_POLL_MS = 50.0
_LISTEN_MS = 3_000.0
_STOP_MARGIN_MS = 500.0
_SMALL_BODY = 64 * 1024


class Gateway:
    """Make it, ``start`` it, and ``leave`` for a planned stop."""

    def __init__(
        self,
        settings: GatewaySettings,
        deployment: Deployment,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.settings = settings
        self.deployment = deployment
        self.clock = clock
        self.counters = counters
        self.leaving = False
        self.holder = ConfigurationHolder(clock)
        self.pool = ConnectionPool(clock, _LONGEST_REST_MS)
        self.registry = ReplicaRegistry(clock, self.pool.forget)
        self.mirrors = (
            self._mirror(deployment.configuration_key, self._on_configuration),
            self._mirror(deployment.replica_prefix, self._on_replicas),
        )
        limits = FleetConfiguration(version=0).limits
        self.server = RelayServer(
            self._application(),
            settings.listen,
            threads=settings.threads,
            most_connections=(settings.descriptors - _RESERVED_DESCRIPTORS) // 2,
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
        )
        self.ready_server = WsgiServer(
            ReadyApplication(self._is_ready), settings.ready_listen, _READY_THREADS, _SMALL_BODY
        )
        self.holder.on_change(self._apply_limits)

    def start(self) -> None:
        """Begin to serve."""
        for mirror in self.mirrors:
            mirror.start()
        self.server.start()
        self.ready_server.start()
        log_change("gateway.started", name=self.settings.name, listen=self.server.address)

    def leave(self) -> bool:
        """Finish what is in progress and stop; return whether all of it was finished."""
        self.leaving = True
        self.server.leaving = True
        log_change("gateway.leaving", name=self.settings.name)
        begun = self.clock.monotonic_ms()
        stop_ms = self.settings.stop_s * 1_000
        last = begun + stop_ms - _STOP_MARGIN_MS
        self._sleep_until(begun + min(_LISTEN_MS, stop_ms / 2))
        self.server.close_idle()
        while not self.server.is_idle and self.clock.monotonic_ms() < last:
            self.clock.sleep_ms(_DRAIN_POLL_MS)
        done = self.server.is_idle
        self.close()
        log_change("gateway.stopped", name=self.settings.name, finished=done)
        return done

    def close(self) -> None:
        """Stop at once."""
        for mirror in self.mirrors:
            mirror.close()
        self.server.stop()
        self.ready_server.close()
        self.pool.close()

    def _is_ready(self) -> bool:
        return self.holder.known and bool(self.mirrors[1].state.revision) and not self.leaving

    def _sleep_until(self, until_ms: float) -> None:
        self.clock.sleep_ms(until_ms - self.clock.monotonic_ms())

    def _mirror(self, prefix: str, on_change: Callable[[MirrorState], None]) -> StoreMirror:
        return StoreMirror(
            self.deployment.store, prefix, self.clock, self.counters, on_change, _WATCH_MS
        )

    def _application(self) -> GatewayApplication:
        parts = FilterParts(self.clock, self.counters)
        attempt_parts = AttemptParts(self.deployment.spelling, self.pool)
        return GatewayApplication(
            spelling=self.deployment.spelling,
            holder=self.holder,
            admission=make_filters(ADMISSION, parts),
            dispatcher=Dispatcher(attempt_parts, self.registry, self.counters),
            clock=self.clock,
            counters=self.counters,
        )

    def _on_configuration(self, state: MirrorState) -> None:
        item = state.items.get(self.deployment.configuration_key)
        if item is None:
            return
        try:
            self.holder.offer(self.deployment.read_configuration(item))
        except AspengateError as error:
            log_change("configuration.unreadable", revision=item.revision, error=str(error))

    def _on_replicas(self, state: MirrorState) -> None:
        replicas = []
        for item in state.items.values():
            try:
                replicas.append(self.deployment.read_replica(item))
            except AspengateError as error:
                log_change("replica.unreadable", key=item.key, error=str(error))
        self.registry.update(replicas)

    def _apply_limits(self, configuration: FleetConfiguration) -> None:
        limits = configuration.limits
        self.server.idle_timeout_ms = limits.idle_timeout_ms
        self.server.header_timeout_ms = limits.header_timeout_ms
        self.server.adj.max_request_header_size = limits.max_header_bytes
        self.server.adj.max_request_body_size = limits.max_body_bytes + 1
