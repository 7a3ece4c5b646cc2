"""The subcommands that run one process of the fleet or one stand-in, or check its settings."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import cappa

from aspengate.clock import SystemClock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.settings import load_settings, read_sections
from aspengate.signals import SignalWaiter
from aspengate.telemetry import Counters, NullCounters, StatsdCounters, log_to_stream

_SettingsFile = Annotated[Path, cappa.Arg(long="--settings", help="INI file of this process")]
_DRAIN_TIMEOUT_MS = 600_000.0
_STAND_IN_THREADS = 128
# Interval at which a process looks whether it has to end without a signal.
_END_POLL_S = 0.2
_MAX_BODY_BYTES = 16 * 1024 * 1024


@cappa.command(description="Run the router of an entry instance.")
@dataclass
class Router:
    """Run until SIGTERM or SIGINT, then finish the requests in progress."""

    settings: _SettingsFile

    def __call__(self) -> None:
        """Run the router."""
        from aspengate.adapters import EtcdStore, HttpInstanceList
        from aspengate.router import Router as RouterProcess
        from aspengate.router import RouterSettings

        signals = SignalWaiter()
        settings = load_settings(RouterSettings, self.settings)
        router = RouterProcess(
            settings,
            EtcdStore(settings.store),
            HttpInstanceList(settings.instances),
            SystemClock(),
            _counters(settings.statsd, "aspengate.router"),
        )
        _run_until_stopped(router, signals)


@cappa.command(description="Run the gateway of a shared platform.")
@dataclass
class Gateway:
    """Run until SIGTERM or SIGINT, then finish the requests in progress."""

    settings: _SettingsFile

    def __call__(self) -> None:
        """Run the gateway."""
        signals = SignalWaiter(reloads=True)
        from aspengate.deployed import run_gateway

        run_gateway(self.settings, signals)


@cappa.command(description="Run the agent beside an upstream.")
@dataclass
class Agent:
    """Run until SIGTERM or SIGINT, then finish the requests in progress."""

    settings: _SettingsFile

    def __call__(self) -> None:
        """Run the agent."""
        from aspengate.adapters import EtcdStore
        from aspengate.agent import Agent as AgentProcess
        from aspengate.agent import AgentSettings

        signals = SignalWaiter()
        settings = load_settings(AgentSettings, self.settings)
        agent = AgentProcess(
            settings,
            EtcdStore(settings.store),
            SystemClock(),
            _counters(settings.statsd, "aspengate.agent"),
        )
        _run_until_stopped(agent, signals)


@cappa.command(name="stand-in", description="Run a stand-in of the platform, for manual tests.")
@dataclass
class StandIn:
    """Run one stand-in until SIGTERM or SIGINT."""

    kind: Annotated[str, cappa.Arg(help="store, instances, engine or service")]
    settings: _SettingsFile

    def __call__(self) -> None:
        """Run the stand-in."""
        from aspengate.serving import WsgiServer
        from aspengate.standins import StandInSettings, make_stand_in

        signals = SignalWaiter()
        settings = load_settings(StandInSettings, self.settings)
        application = make_stand_in(self.kind, settings)
        server = WsgiServer(application, settings.listen, _STAND_IN_THREADS, _MAX_BODY_BYTES)
        server.start()
        sys.stderr.write(f"{self.kind} at {server.address}\n")
        while not signals.stop:
            signals.wait(_END_POLL_S)
        server.close()


@cappa.command(description="Check a settings file of a gateway, router, agent or stand-in.")
@dataclass
class Check:
    """Load a settings file as its daemon does, and report the first error."""

    file: Annotated[Path, cappa.Arg(help="INI file")]

    def __call__(self) -> None:
        """Check the file."""
        load_settings(_settings_type_of(self.file), self.file)
        sys.stdout.write(f"{self.file}: accepted\n")


def _settings_type_of(path: Path) -> type[Any]:
    from aspengate.agent import AgentSettings
    from aspengate.gateway import GatewaySettings
    from aspengate.router import RouterSettings
    from aspengate.standins import StandInSettings

    sections = read_sections(path)
    if "stand-in" in sections:
        return StandInSettings
    if "ready_listen" in sections.get("instance", {}):
        return GatewaySettings
    return AgentSettings if "upstream" in sections else RouterSettings


def _counters(statsd: str, prefix: str) -> Counters:
    if not statsd:
        return NullCounters()
    host, _, port = statsd.rpartition(":")
    return StatsdCounters(host, int(port), prefix)


def _run_until_stopped(process: Any, signals: SignalWaiter) -> None:
    log_to_stream(sys.stderr)
    process.start()
    while not signals.stop and not getattr(process, "fenced", False):
        signals.wait(_END_POLL_S)
    if not process.leave(_DRAIN_TIMEOUT_MS):
        raise AspengateError(ErrorKind.INTERNAL, "stopped before all requests were finished")
