"""The gateway process: composition of its components, startup and planned shutdown."""

import threading
from dataclasses import replace

from aspengate.clock import Clock
from aspengate.cold_starts import ColdStartPolicy, Connectivity
from aspengate.configuration import CallerLimits, ConfigurationHolder, FleetConfiguration
from aspengate.connections import ConnectionPool
from aspengate.crashes import replica_of_run
from aspengate.gateway._allowed_regions import AllowedRegions
from aspengate.gateway._application import ADMISSION, GatewayApplication
from aspengate.gateway._attempt import AttemptDependencies
from aspengate.gateway._close_log import CloseLog
from aspengate.gateway._crash_guard import CrashGuard
from aspengate.gateway._dispatcher import Dispatcher
from aspengate.gateway._listener_log import ListenerLog
from aspengate.gateway._peer_services import GatewayPeerServices
from aspengate.gateway._peering import Peering, Reply
from aspengate.gateway._permit_client import PermitClient
from aspengate.gateway._ports import Deployment
from aspengate.gateway._rate_limited_selection import RateLimitedSelection
from aspengate.gateway._ready import ReadyApplication
from aspengate.gateway._replica_bounds import ReplicaBounds
from aspengate.gateway._reporting import GatewayReport
from aspengate.gateway._request_log import RequestLog
from aspengate.gateway._selection import ReplicaSelection
from aspengate.gateway._settings import GatewaySettings
from aspengate.gateway._stop import StopPlan
from aspengate.gateway._store_mirrors import StoreMirrors
from aspengate.gateway._store_reader import StoreReader
from aspengate.gateway._suspension import SuspensionDetector
from aspengate.gateway.filters import FilterDependencies, make_filters
from aspengate.gateway.prepaid import PeerLoans, RemoteWitness, TokenAccounts
from aspengate.gateway.rollouts import Rollouts
from aspengate.gateway.streams import StreamDirectory, StreamPeers
from aspengate.peers import (
    CeilingReply,
    LimitNotice,
    LimitWord,
    LoanReply,
    RepaymentReply,
)
from aspengate.replica_limits import PermitHolders
from aspengate.replicas import (
    RegionCosts,
    ReplicaChooser,
    ReplicaRegistry,
    ReplicaView,
    ReportedLimit,
    SegmentTracker,
)
from aspengate.retries import RetryPolicy, SharedRetryBudget
from aspengate.rollouts import RolloutPolicy
from aspengate.serving import FreeMemory, RelayServer, WsgiServer
from aspengate.store import number_of
from aspengate.telemetry import Counters, log_change, supervised_thread

_READY_THREADS = 2
# How long connections to replicas that announce no idle timeout are kept idle.
_MAX_IDLE_CONNECTION_MS = 6_000.0
# The maximum of idle connections to replicas: at 1 to 2 KB each, 4 MB of a memory of 128 MB.
_MAX_IDLE_CONNECTIONS = 2_048
_RESERVED_DESCRIPTORS = 200
# Interval in s at which deferrable documents are written together. It suffices to refill a reserve
# of ten seconds of demand, and limits the router that draws for all to one call per interval.
_TICK_INTERVAL_S = 1.0
# Load balancers send no bodies.
_MAX_READY_BODY_BYTES = 4 * 1024
# The budget for requests and responses in progress is no less than this many of the largest bodies:
# one request may use three quarters of it, and a body takes an eighth more while it is read.
_BODIES_IN_BUFFER = 2

_RELOADABLE_SETTINGS = frozenset(
    {
        "seeds",
        "stop_s",
        "retry_ratio",
        "retry_slack",
        "retry_window_s",
        "retry_start_ms",
        "log_lines_per_second",
    }
)


class Gateway:
    """Runs one gateway: ``start`` begins to serve, ``leave`` performs a planned stop."""

    def __init__(
        self,
        settings: GatewaySettings,
        deployment: Deployment,
        clock: Clock,
        counters: Counters,
        build: str = "",
    ) -> None:
        self.settings = settings
        self.topology = settings.topology
        self.region_costs = RegionCosts(self.topology)
        self.build = build
        self.deployment = deployment
        self.clock = clock
        self.counters = counters
        self.leaving = False
        self.refusing = False
        deployment.store.era.on_increase = self._on_store_era
        self.holder = ConfigurationHolder(clock)
        self.pool = ConnectionPool(
            clock, _MAX_IDLE_CONNECTION_MS, _max_idle_connections(settings.descriptors)
        )
        self.segments = SegmentTracker()
        self.registry = ReplicaRegistry(clock, self._on_replica_gone, self._send_limit)
        self.rollouts = self._make_rollouts()
        self.streams = StreamDirectory(clock, counters, self._stream_peers())
        self._reader = StoreReader(
            deployment, self.holder, self.registry, counters, self.streams, self.rollouts
        )
        self.retries = SharedRetryBudget(_retry_policy(settings), clock)
        self.bounds = ReplicaBounds(
            settings.name,
            clock,
            ColdStartPolicy(settings.cold_overage, settings.cold_slack),
            self._current_connectivity,
            any_limited=lambda: self.registry.any_limited,
        )
        self.bounds.cold_starts.reports_all = lambda view: (
            not self.region_costs.is_other_region(view.replica.failure_domain)
        )
        self.crashes = CrashGuard(
            deployment.store,
            clock,
            counters,
            broadcast=lambda notice: self.peering.crashes.announce(notice),
            on_ended=self._on_run_ended,
            reaches_store=lambda: self.peering.reaches_store,
            is_first=lambda content: self.peering.members.is_first(content),
            rewrites_lost=self._rewrites_lost,
            is_superseded=lambda session: self.peering.members.is_superseded(session),
        )
        self.mirrors = StoreMirrors(
            deployment,
            clock,
            counters,
            self._reader,
            self.crashes.load_records,
            mode=lambda: self.peering.mirror_mode(),
            leads=lambda: self.peering.members.leads,
            last_request_ms=lambda: self.application.last_request_ms,
            rollouts=self.rollouts,
        )
        self.peering = self._make_peering()
        self.witness = self._make_witness()
        self.loans = self._make_loans()
        self.tokens = self._make_tokens()
        self._connect_tokens()
        self.report = GatewayReport(
            self.retries, deployment.store, lambda: self.peering.session, clock
        )
        self.log = RequestLog(clock, counters, settings.log_lines_per_second)
        self.application = self._make_application()
        self.close_log = CloseLog(counters)
        self.server = self._make_server()
        self.free_memory = FreeMemory(self.server.memory)
        self.ready_server = WsgiServer(
            ReadyApplication(self._is_ready),
            settings.ready_listen,
            _READY_THREADS,
            _MAX_READY_BODY_BYTES,
            limits=settings.listener_limits("ready"),
            observer=ListenerLog("ready", counters),
        )
        self.holder.on_change(self._apply_configuration)
        self._suspension = SuspensionDetector(clock, counters, deployment.store.abort_watches)
        self._closing = threading.Event()
        self._ticker = supervised_thread(self._tick, "ticker", counters)

    def start(self) -> None:
        """Start serving requests."""
        self.mirrors.start()
        self.peering.start()
        self.crashes.start(self.peering.session)
        if self.rollouts is not None:
            self.rollouts.start()
        self.witness.start()
        self.loans.start()
        self.server.start()
        self.ready_server.start()
        self._ticker.start()
        log_change(
            "gateway.started",
            name=self.settings.name,
            build=self.build,
            listen=self.server.address,
            ready=self.ready_server.address,
            peers=self.peering.server.address,
            session=self.peering.session,
        )

    def reload(self, settings: GatewaySettings) -> None:
        """Apply changed settings that can change at run time.

        Changes of addresses, names and process limits take effect at the next start.
        """
        changed = [
            name
            for name in settings.__dataclass_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        fixed = [name for name in changed if name not in _RELOADABLE_SETTINGS]
        kept = {name: getattr(self.settings, name) for name in fixed}
        self.settings = replace(settings, **kept)
        self.retries.policy = _retry_policy(self.settings)
        self.peering.seeds = self.settings.seeds
        self.log.max_lines_per_second = self.settings.log_lines_per_second
        log_change("gateway.reloaded", changed=changed, at_next_start=fixed)

    def gauges(self) -> dict[str, float]:
        """Return the current values of the gauges, by name."""
        error = self.application.dispatcher.dependencies.chooser.estimate_error()
        return {
            "first_token_over_expected_median": error.median,
            "first_token_over_expected_p90": error.p90,
            "leads_failure_domain": self.peering.members.leads,
            "configuration_version": self.holder.version,
            "configuration_connected": self.mirrors.operator.connected,
            "failure_domains_evacuated": len(self.registry.evacuated),
            **self.registry.gauges(),
            **self.region_costs.gauges(self.clock.monotonic_ms()),
            "store_era": self.deployment.store.era.current,
            "operator_revision": number_of(self.mirrors.operator.state.revision),
            "replicas_revision": number_of(self.mirrors.replicas.state.revision),
            "replicas_connected": self.mirrors.replicas.connected,
            "routers_known": self.peering.members.count,
            **{f"routers_build_{name}": n for name, n in self.peering.members.builds().items()},
            "retry_routers": self.retries.router_count,
            "crash_records": len(self.crashes.records),
            "requests_in_progress": self.server.in_progress,
            "connections": len(self.server.active_channels),
            "buffered_bytes": self.server.memory.used_bytes,
            "buffer_capacity_bytes": self.server.memory.capacity_bytes,
            "connections_opened": self.pool.opened,
            "connections_idle": self.pool.idle,
            **{f"store_calls_{kind}": n for kind, n in self.deployment.store.calls.items()},
            **self.tokens.gauges(),
            **self.streams.gauges(),
            **(self.rollouts.gauges() if self.rollouts is not None else {}),
        }

    def leave(self) -> bool:
        """Finish requests in progress and stop; return whether all of them were finished.

        First the gateway reports that it is not ready, while it still serves requests. Then it
        closes idle connections and refuses new requests. Requests in progress get the remaining
        time of the planned stop; near its end, those without a response get a failure.
        """
        plan = StopPlan.of(self.settings.stop_s * 1_000, self.clock.monotonic_ms())
        self.leaving = True
        self.application.answer_by_ms = plan.answer_ms
        self.server.leaving = True
        log_change("gateway.leaving", name=self.settings.name)
        self._sleep_until(plan.close_idle_ms)
        self.server.close_idle()
        self._sleep_until(plan.refuse_ms)
        self.refusing = True
        log_change("gateway.refusing", name=self.settings.name)
        finished = self.server.drain(plan.deadline_ms)
        self.close()
        log_change(
            "gateway.stopped",
            name=self.settings.name,
            finished=finished,
            requests_cut=self.close_log.cut,
            closed_unread=self.close_log.unread,
        )
        return finished

    def close(self) -> None:
        """Stop immediately, and settle the tokens of finished requests."""
        self.report.log_store_calls()
        self._closing.set()
        self.server.stop()
        self.ready_server.close()
        self.tokens.close()
        self.witness.close()
        self.loans.close()
        self.crashes.close()
        if self.rollouts is not None:
            self.rollouts.close()
        self.mirrors.close()
        self.peering.close()
        self.pool.close()

    def _rewrites_lost(self, subject: str) -> bool:
        """Return whether this router is one of the few that rewrite items the store has lost."""
        members = self.peering.members
        return members.leads or members.is_first(subject)

    def _on_store_era(self, before: int | None) -> None:
        self.counters.count("store.eras")
        log_change("store.era", era=self.deployment.store.era.current, before=before)
        if self._closing.is_set():
            return
        if before is not None:
            # Watches that are still open would return changes of the previous era.
            self.deployment.store.abort_watches()
            self.peering.handle_store_restored()
            if self.rollouts is not None:
                self.rollouts.handle_store_restored()
        self.tokens.restore(store_restored=before is not None)

    def _is_ready(self) -> bool:
        is_listed = bool(self.mirrors.replicas.state.revision)
        knows_rollouts = self.rollouts is None or self._knows_rollouts()
        return self.holder.is_configured and is_listed and knows_rollouts and not self.leaving

    def _knows_rollouts(self) -> bool:
        mirror = self.mirrors.rollouts
        return mirror is not None and bool(mirror.state.revision)

    def _knows_replicas(self) -> bool:
        """Return whether the list of replicas has been read and applied."""
        state = self.mirrors.replicas.state
        # An empty list is not applied, as it does not differ from the initial state.
        return bool(self.registry.revision) or (bool(state.revision) and not state.items)

    def _sleep_until(self, until_ms: float) -> None:
        self.clock.sleep_ms(until_ms - self.clock.monotonic_ms())

    def _tick(self) -> None:
        while not self._closing.wait(_TICK_INTERVAL_S):
            self._suspension.poll()
            self.tokens.tick()
            self.pool.close_expired()
            self.free_memory.give_back()
            self.report.log_if_due()

    def _make_rollouts(self) -> Rollouts | None:
        """Return the rollouts, None if they are disabled."""
        policy = RolloutPolicy(
            self.settings.exposure_share, self.settings.exposure_slack, self.settings.rollback_ms
        )
        if not policy.is_enabled:
            return None
        return Rollouts(
            policy,
            self.settings.configuration_ms,
            self.deployment,
            self.registry,
            self.clock,
            self.counters,
            fleet=lambda: self.peering,
            is_loaded=lambda: self._knows_rollouts() and self._knows_replicas(),
            rewrites_lost=self._rewrites_lost,
            cold_start_ms=self._cold_start_ms,
        )

    def _cold_start_ms(self, service: str) -> float:
        """Return for how long replicas of a service are cold; 0 if it is not configured."""
        if not self.holder.is_configured:
            return 0.0
        found = self.holder.current.services.get(service)
        return found.cold_start_ms if found else 0.0

    def _make_peering(self) -> Peering:
        host = self.settings.listen.rpartition(":")[0]
        return Peering(
            name=self.settings.name,
            address=f"{host}:{self.settings.peer_ports.start}",
            topology=self.topology,
            capacity=self.settings.memory_mb,
            build=self.build,
            seeds=self.settings.seeds,
            mirrors=self.mirrors.by_prefix,
            store=self.deployment.store,
            clock=self.clock,
            counters=self.counters,
            services=GatewayPeerServices(
                self.registry,
                self.bounds,
                self.crashes,
                self.segments,
                self.clock,
                lambda: self.tokens,
                self.streams,
                self.rollouts,
            ),
            registry=self.registry,
            on_count=self._on_router_count,
            limits=self.settings.listener_limits("peer"),
        )

    def _stream_peers(self) -> StreamPeers:
        return StreamPeers(
            holders=lambda key: self.peering.stream_holders(key),
            all_asked=lambda key: self.peering.stream_routers(key),
            send=lambda datagram, address: self.peering.send(datagram, address),
            has_current_list=lambda: self.peering.has_current(self.deployment.replica_prefix),
        )

    def _make_witness(self) -> RemoteWitness:
        return RemoteWitness(
            self.peering.session,
            self.clock,
            self.counters,
            alive=self.peering.members.alive,
            send=self.peering.send,
            ask_to_close=self.peering.close_witnessed,
            preferred=self.peering.members.preferred_witnesses,
        )

    def _make_loans(self) -> PeerLoans:
        members = self.peering.members
        return PeerLoans(members.own, members, self.clock, self.counters, self.peering.send)

    def _connect_tokens(self) -> None:
        self.witness.on_accepted = self.tokens.handle_accepted_ceilings
        self.witness.on_lost = self.tokens.handle_lost_witness
        self.loans.on_loan_reply = self.tokens.handle_loan_reply
        self.loans.on_failed = self.tokens.handle_loan_failure
        self.loans.on_lenders_done = self.tokens.handle_lenders_done
        self.loans.reaches_store = self._store_responds
        self.peering.on_reply = self._on_reply
        self.peering.on_stream = self.streams.queries.handle_reply
        self.tokens.restorer.others_restored = self.peering.members.all_restored
        self.tokens.on_restored = self.peering.announce_now
        self.peering.restored_era = lambda: self.tokens.restored_era
        self.tokens.writer.announce_grant = self.peering.send_grant
        self.tokens.writer.outage_outlook = lambda: self.peering.outages.forecast

    def _store_responds(self) -> bool:
        """Return whether the store appears to respond to this router."""
        now = self.clock.monotonic_ms()
        return self.peering.reaches_store and not self.tokens.writer.store_seems_down(now)

    def _on_reply(self, reply: Reply) -> None:
        match reply:
            case CeilingReply():
                self.witness.handle_reply(reply)
            case LoanReply():
                self.loans.handle_reply(reply)
            case RepaymentReply():
                self.loans.handle_repayment_reply(reply)

    def _make_tokens(self) -> TokenAccounts:
        return TokenAccounts(
            session=self.peering.session,
            store=self.deployment.store,
            clock=self.clock,
            counters=self.counters,
            limit_of=self._reader.limit_of,
            loans=self.loans,
            witness=self.witness,
            sessions=self.peering.members,
            reaches_store=lambda: self.peering.reaches_store,
        )

    def _make_server(self) -> RelayServer:
        limits = FleetConfiguration(version=0).limits
        return RelayServer(
            self.application,
            self.settings.listen,
            threads=self.settings.threads,
            max_connections=(self.settings.descriptors - _RESERVED_DESCRIPTORS) // 2,
            max_header_bytes=limits.max_header_bytes,
            max_body_bytes=limits.max_body_bytes,
            buffer_bytes=_buffer_bytes(self.settings, limits),
            min_body_rate=self.settings.min_body_rate,
            max_chunk_line_bytes=self.settings.chunk_line_bytes,
            socket_buffer_bytes=self.settings.socket_buffer_kb * 1024,
            on_refused=self.application.refuse,
            on_close=self.close_log,
            counters=self.counters,
        )

    def _make_application(self) -> GatewayApplication:
        header_codec = self.deployment.header_codec
        chooser = ReplicaChooser(
            self.segments,
            self.settings.failure_domain,
            opening_ms=self._opening_cost_ms,
            regions=self.region_costs,
        )
        regions = AllowedRegions(self.topology, self.holder)
        traffic = self.rollouts.traffic if self.rollouts is not None else None
        return GatewayApplication(
            header_codec=header_codec,
            holder=self.holder,
            admission=make_filters(
                ADMISSION,
                FilterDependencies(self.clock, self.counters, self.tokens, self.streams),
            ),
            dispatcher=Dispatcher(
                AttemptDependencies(
                    header_codec,
                    self.pool,
                    self.clock,
                    chooser,
                    self.registry,
                    traffic,
                    allows=regions.allows,
                    regions=self.region_costs,
                ),
                ReplicaSelection(
                    self.registry,
                    self.bounds,
                    RateLimitedSelection(
                        self.bounds, self._make_permit_client(), chooser, self.clock, self.counters
                    ),
                    chooser,
                    self.clock,
                    self.counters,
                    self.peering.placements,
                    regions,
                    self.streams,
                    traffic,
                ),
                self.retries,
                self.crashes,
                self.streams,
                self.counters,
            ),
            clock=self.clock,
            log=self.log,
            is_refusing=lambda: self.refusing,
        )

    def _opening_cost_ms(self, view: ReplicaView) -> float:
        """Return how long a request to a replica will probably wait for a connection, in ms."""
        if self.pool.has_idle(view.incarnation):
            return 0.0
        return self.pool.connect_times.mean_ms(view.replica.address)

    def _make_permit_client(self) -> PermitClient:
        client = PermitClient(
            lambda: self.peering.session,
            PermitHolders(self.bounds.shares, self.clock),
            self.clock,
            self.counters,
            address_of=self.peering.members.address_of,
            send=self.peering.send,
        )
        self.peering.on_permit = client.handle_reply
        return client

    def _current_connectivity(self) -> Connectivity:
        if self.peering.reaches_store:
            return Connectivity.CURRENT
        return Connectivity.PEERS if self.peering.members.has_live_leader else Connectivity.NONE

    def _on_replica_gone(self, view: ReplicaView) -> None:
        self.pool.discard(view.incarnation)
        self.segments.forget(view.identity)
        self.bounds.forget(view.identity)

    def _on_run_ended(self, run: str) -> None:
        incarnation = replica_of_run(run)
        self.pool.discard(incarnation)
        self.streams.handle_ended_replica(incarnation)

    def _send_limit(self, incarnation: str, limit: ReportedLimit) -> None:
        word = LimitWord(incarnation, limit.number, limit.per_second)
        self.peering.limits.announce(LimitNotice([word]))

    def _on_router_count(self, count: int) -> None:
        if self.peering.members.count_known:
            self.retries.set_router_count(count)
            self.bounds.set_routers(self.peering.members.names(), count)
            self.pool.routers = count
        self.tokens.routers = count
        if self.rollouts is not None:
            self.rollouts.refresh()

    def _apply_configuration(self, configuration: FleetConfiguration) -> None:
        limits = configuration.limits
        self.server.idle_timeout_ms = limits.idle_timeout_ms
        self.server.header_timeout_ms = limits.header_timeout_ms
        self.server.adj.max_request_header_size = limits.max_header_bytes
        self.server.adj.max_request_body_size = limits.max_body_bytes + 1
        self.server.memory.capacity_bytes = _buffer_bytes(self.settings, limits)
        self.tokens.limits_changed()


def _buffer_bytes(settings: GatewaySettings, limits: CallerLimits) -> int:
    """Return the memory for requests and responses; it suffices for one of the largest size."""
    return max(settings.buffer_bytes, _BODIES_IN_BUFFER * limits.max_body_bytes)


def _max_idle_connections(descriptors: int) -> int:
    """Return the maximum of idle connections to replicas; callers have half of the descriptors."""
    return max(1, min(_MAX_IDLE_CONNECTIONS, (descriptors - _RESERVED_DESCRIPTORS) // 4))


def _retry_policy(settings: GatewaySettings) -> RetryPolicy:
    return RetryPolicy(
        settings.retry_ratio,
        settings.retry_slack,
        settings.retry_window_s * 1_000,
        settings.retry_start_ms,
    )
