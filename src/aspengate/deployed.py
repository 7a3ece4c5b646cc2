"""Puts the gateway on the users' platform; what the deploy file runs and ``aspengate gateway``."""

import re
import signal
import sys
import threading
from pathlib import Path

from aspengate.clock import SystemClock
from aspengate.errors import AspengateError
from aspengate.gateway import Gateway, GatewaySettings
from aspengate.platform import PlatformDeployment
from aspengate.serving import WsgiServer
from aspengate.settings import load_settings
from aspengate.telemetry import BackgroundLog, log_change
from aspengate.telemetry._metrics import MetricsApplication, PrometheusCounters

SETTINGS_VARIABLE = "ASPENGATE_BOOT"
UNNAMED_BUILD = "unnamed"
_BUILD_PATTERN = re.compile(r"[0-9A-Za-z._-]{1,40}")
_LOOK_S = 5.0
_METRICS_THREADS = 1
_SMALL_BODY = 4 * 1024


def read_build(build_file: Path) -> str:
    """Return the name that the build step wrote, ``UNNAMED_BUILD`` where there is none."""
    try:
        name = build_file.read_text(encoding="utf-8").strip()
    except (OSError, ValueError):
        return UNNAMED_BUILD
    return name if _BUILD_PATTERN.fullmatch(name) else UNNAMED_BUILD


def run_gateway(settings_file: Path, build: str = UNNAMED_BUILD) -> None:
    """Run a gateway until SIGTERM, then finish what is in progress; SIGHUP reads settings again.

    ``build`` names the program's build to operators and to other routers.
    Raises AspengateError of kind BAD_REQUEST for settings that are not accepted at the start.
    """
    settings = load_settings(GatewaySettings, settings_file)
    signals = _Signals()
    log = BackgroundLog(sys.stdout)
    log.start()
    clock = SystemClock()
    counters = PrometheusCounters()
    deployment = PlatformDeployment(settings.store, settings.store_timeout_ms, clock)
    gateway = Gateway(settings, deployment, clock, counters, build)
    metrics = _serve_metrics(settings, counters, gateway, log)
    gateway.start()
    written = _written(settings_file)
    while not signals.stop:
        hung_up = signals.wait(_LOOK_S)
        changed = _written(settings_file)
        if not signals.stop and (hung_up or changed != written):
            written = changed
            _reload(gateway, settings_file)
    gateway.leave()
    if metrics is not None:
        metrics.close()
    log.close()


class _Signals:
    """The signals that this process was sent."""

    def __init__(self) -> None:
        self.stop = False
        self._hang_up = False
        self._wake = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, self._take)

    def wait(self, seconds: float) -> bool:
        """Wait for a signal; return whether the settings are to be read again."""
        self._wake.wait(seconds)
        self._wake.clear()
        hung_up, self._hang_up = self._hang_up, False
        return hung_up

    def _take(self, number: int, _: object) -> None:
        if number == signal.SIGHUP:
            self._hang_up = True
        else:
            self.stop = True
        self._wake.set()


def _written(settings_file: Path) -> int:
    """Return when the settings file was last written; 0 while it is not there."""
    try:
        return settings_file.stat().st_mtime_ns
    except OSError:
        return 0


def _reload(gateway: Gateway, settings_file: Path) -> None:
    """Apply changed settings; ones that are not accepted leave those before in force."""
    try:
        gateway.reload(load_settings(GatewaySettings, settings_file))
    except AspengateError as error:
        log_change("gateway.reload_refused", error=str(error))


def _serve_metrics(
    settings: GatewaySettings, counters: PrometheusCounters, gateway: Gateway, log: BackgroundLog
) -> WsgiServer | None:
    if not settings.metrics_listen:
        return None
    counters.gauge_source = lambda: {**gateway.gauges(), "log_lines_dropped": log.dropped}
    server = WsgiServer(
        MetricsApplication(counters), settings.metrics_listen, _METRICS_THREADS, _SMALL_BODY
    )
    server.start()
    log_change("metrics.serving", address=server.address)
    return server
