"""A small fleet on loopback, with every role and stand-in in this process."""

from dataclasses import dataclass, field, replace

from aspengate.adapters import Instance
from aspengate.agent import Agent, AgentSettings
from aspengate.clock import Clock, SystemClock
from aspengate.demo._network import Network
from aspengate.router import Router, RouterSettings, TableEditor
from aspengate.serving import WsgiServer
from aspengate.standins import (
    EngineApplication,
    MemoryStore,
    ServiceApplication,
    StandInInstanceList,
)
from aspengate.table import AnyRow
from aspengate.telemetry import NullCounters
from aspengate.transport import Sealer

_ANY_PORT = "127.0.0.1:0"
_STAND_IN_THREADS = 64
_MAX_BODY = 16 * 1024 * 1024
_SECRETS = ("demonstration-secret",)

_QUICK = RouterSettings(
    name="router",
    listen=_ANY_PORT,
    peer_listen=_ANY_PORT,
    region="region-1",
    failure_domain="domain-1",
    store=_ANY_PORT,
    instances=_ANY_PORT,
    secrets=_SECRETS,
    poll_ms=200,
    heartbeat_ms=300,
    settle_ms=500,
    silent_after_ms=2_000,
    list_lag_ms=500,
    deadline_ms=30_000,
    block_horizon_ms=2_000,
    idle_ms=1_000,
    rotate_ms=3_000,
)
_QUICK_AGENT = AgentSettings(
    name="agent",
    listen=_ANY_PORT,
    region="region-1",
    failure_domain="domain-1",
    store=_ANY_PORT,
    secrets=_SECRETS,
    service="service",
    upstream_address=_ANY_PORT,
    heartbeat_ms=300,
)


@dataclass(frozen=True)
class LocalService:
    """A service of the fleet: its protocol and how many upstreams it has."""

    name: str
    protocol: str
    upstreams: int
    token_ms: float = 5.0


@dataclass
class LocalUpstream:
    """One stand-in upstream with its server."""

    agent: str
    application: EngineApplication | ServiceApplication
    server: WsgiServer


@dataclass
class LocalFleet:
    """Starts and stops routers, agents and stand-ins; the parts are public for tests."""

    rows: tuple[AnyRow, ...]
    services: tuple[LocalService, ...]
    regions: tuple[str, ...] = ("region-1",)
    routers_per_region: int = 2
    router_settings: RouterSettings = _QUICK
    clock: Clock = field(default_factory=SystemClock)
    store: MemoryStore = field(default_factory=MemoryStore)
    listed: StandInInstanceList = field(default_factory=StandInInstanceList)
    network: Network = field(default_factory=lambda: Network(Sealer(_SECRETS)))
    counters: NullCounters = field(default_factory=NullCounters)
    upstreams: list[LocalUpstream] = field(default_factory=list)
    agents: dict[str, Agent] = field(default_factory=dict)
    routers: dict[str, Router] = field(default_factory=dict)

    def start(self) -> None:
        """Write the table and start everything."""
        editor = TableEditor(self.store, self.clock, self.router_settings.budget_shards)
        editor.replace(self.rows, "demonstration")
        for region in self.regions:
            for service in self.services:
                for number in range(service.upstreams):
                    self.add_agent(service, region, number)
            for number in range(self.routers_per_region):
                self.add_router(region, f"{region}-router-{number}")

    def add_agent(self, service: LocalService, region: str, number: int) -> Agent:
        """Start an upstream and its agent, and list the agent."""
        application: EngineApplication | ServiceApplication
        if service.protocol == "completion":
            application = EngineApplication(token_ms=service.token_ms)
        else:
            application = ServiceApplication()
        server = WsgiServer(application, _ANY_PORT, _STAND_IN_THREADS, _MAX_BODY)
        server.start()
        name = f"{region}-{service.name}-{number}"
        self.upstreams.append(LocalUpstream(name, application, server))
        settings = replace(
            _QUICK_AGENT,
            name=name,
            region=region,
            failure_domain=f"{region}-domain-{number % 3}",
            service=service.name,
            upstream_address=server.address,
            protocol=service.protocol,
        )
        peer = self.network.peer(region, settings.listen, self.counters)
        store = self.network.store(region, self.store)
        agent = Agent(settings, store, self.clock, self.counters, peer)
        agent.start()
        self.agents[name] = agent
        self.listed.put(
            Instance(name, "agent", agent.address, region, settings.failure_domain, service.name)
        )
        return agent

    def add_router(self, region: str, name: str) -> Router:
        """Start a router and list it."""
        settings = replace(
            self.router_settings,
            name=name,
            region=region,
            failure_domain=f"{region}-domain-{len(self.routers) % 3}",
        )
        peer = self.network.peer(region, settings.peer_listen, self.counters)
        store = self.network.store(region, self.store)
        listed = self.network.instance_list(region, self.listed)
        router = Router(settings, store, listed, self.clock, self.counters, peer)
        self.listed.put(
            Instance(name, "router", router.peer.address, region, settings.failure_domain)
        )
        router.start()
        self.routers[name] = router
        return router

    def kill_router(self, name: str) -> None:
        """End a router without warning; the platform takes it off its list."""
        self.routers.pop(name).close()
        self.listed.remove(name)

    def kill_agent(self, name: str) -> None:
        """End an agent without warning; the platform takes it off its list."""
        self.agents.pop(name).close()
        self.listed.remove(name)

    def close(self) -> None:
        """Stop everything at once."""
        for router in self.routers.values():
            router.close()
        for agent in self.agents.values():
            agent.close()
        for upstream in self.upstreams:
            upstream.server.close()
