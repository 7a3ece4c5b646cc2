"""Runs a gateway on the users' platform, for the deploy file and ``aspengate gateway``."""

import os
import re
import sys
import threading
from pathlib import Path

from aspengate.clock import SystemClock
from aspengate.errors import AspengateError
from aspengate.gateway import Gateway, GatewaySettings, ListenerLog
from aspengate.platform import PlatformDeployment
from aspengate.serving import WsgiServer
from aspengate.settings import load_settings
from aspengate.signals import SignalWaiter
from aspengate.telemetry import BackgroundLog, log_change
from aspengate.telemetry._metrics import MetricsApplication, PrometheusCounters

SETTINGS_VARIABLE = "ASPENGATE_BOOT"
UNNAMED_BUILD = "unnamed"
_BUILD_PATTERN = re.compile(r"[0-9A-Za-z._-]{1,40}")
_SETTINGS_POLL_S = 5.0
# What remains of the time of a stop for the last log lines and the exit.
_EXIT_MARGIN_S = 0.3
_METRICS_THREADS = 1
_MAX_METRICS_BODY_BYTES = 4 * 1024


def read_build(build_file: Path) -> str:
    """Return the build name in ``build_file``; ``UNNAMED_BUILD`` if it is absent or invalid."""
    try:
        name = build_file.read_text(encoding="utf-8").strip()
    except (OSError, ValueError):
        return UNNAMED_BUILD
    return name if _BUILD_PATTERN.fullmatch(name) else UNNAMED_BUILD


def run_gateway(settings_file: Path, signals: SignalWaiter, build: str = UNNAMED_BUILD) -> None:
    """Run a gateway until a signal to stop, then finish the requests in progress.

    The settings are reloaded on SIGHUP and when their file changes. ``build`` is the name of the
    program's build, which is shown to operators and other routers.

    Raises AspengateError of kind BAD_REQUEST if the settings are invalid at the start.
    """
    settings = load_settings(GatewaySettings, settings_file)
    log = BackgroundLog(sys.stdout)
    log.start()
    clock = SystemClock()
    counters = PrometheusCounters()
    deployment = PlatformDeployment(settings.store, settings.store_timeout_ms, clock)
    gateway = Gateway(settings, deployment, clock, counters, build)
    _serve_metrics(settings, counters, gateway, log)
    gateway.start()
    modified_ns = _modified_ns(settings_file)
    while not signals.stop:
        hung_up = signals.wait(_SETTINGS_POLL_S)
        changed_ns = _modified_ns(settings_file)
        if not signals.stop and (hung_up or changed_ns != modified_ns):
            modified_ns = changed_ns
            _reload(gateway, settings_file)
    _leave(gateway)
    log.close()
    # Threads that still wait for the store would hold up the exit beyond the time of the stop.
    os._exit(0)


def _leave(gateway: Gateway) -> None:
    """Stop a gateway; return by the end of its stop time, even if it still waits for the store."""
    leaving = threading.Thread(target=gateway.leave, daemon=True, name="leave")
    leaving.start()
    leaving.join(max(0.0, gateway.settings.stop_s - _EXIT_MARGIN_S))
    if leaving.is_alive():
        log_change("gateway.stop_incomplete", name=gateway.settings.name)


def _modified_ns(settings_file: Path) -> int:
    """Return the modification time of the settings file; 0 if it can't be read."""
    try:
        return settings_file.stat().st_mtime_ns
    except OSError:
        return 0


def _reload(gateway: Gateway, settings_file: Path) -> None:
    """Apply changed settings; invalid ones are logged and the current ones stay in force."""
    try:
        gateway.reload(load_settings(GatewaySettings, settings_file))
    except AspengateError as error:
        log_change("gateway.reload_refused", error=str(error))


def _serve_metrics(
    settings: GatewaySettings, counters: PrometheusCounters, gateway: Gateway, log: BackgroundLog
) -> None:
    if not settings.metrics_listen:
        return
    counters.gauge_source = lambda: {**gateway.gauges(), "log_lines_dropped": log.dropped}
    server = WsgiServer(
        MetricsApplication(counters),
        settings.metrics_listen,
        _METRICS_THREADS,
        _MAX_METRICS_BODY_BYTES,
        limits=settings.listener_limits("metrics"),
        observer=ListenerLog("metrics", counters),
    )
    server.start()
    log_change("metrics.serving", address=server.address)
