"""Puts the gateway on the users' platform; what the deploy file runs and ``aspengate gateway``."""

import signal
import sys
import threading
from pathlib import Path

from aspengate.clock import SystemClock
from aspengate.gateway import Gateway, GatewaySettings
from aspengate.platform import PlatformDeployment
from aspengate.serving import WsgiServer
from aspengate.settings import load_settings
from aspengate.telemetry import BackgroundLog
from aspengate.telemetry._metrics import MetricsApplication, ScrapedCounters

SETTINGS_VARIABLE = "ASPENGATE_BOOT"
_METRICS_THREADS = 1
_SMALL_BODY = 4 * 1024


def run_gateway(settings_file: Path) -> None:
    """Run a gateway until SIGTERM, then finish what is in progress.

    Raises AspengateError of kind BAD_REQUEST for settings that are not accepted.
    """
    settings = load_settings(GatewaySettings, settings_file)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    signal.signal(signal.SIGHUP, lambda *_: None)
    log = BackgroundLog(sys.stdout)
    log.start()
    clock = SystemClock()
    counters = ScrapedCounters()
    deployment = PlatformDeployment(settings.store, settings.store_timeout_ms, clock)
    gateway = Gateway(settings, deployment, clock, counters)
    metrics = _serve_metrics(settings, counters, gateway, log)
    gateway.start()
    while not stop.is_set():
        stop.wait(60.0)
    gateway.leave()
    if metrics is not None:
        metrics.close()
    log.close()


def _serve_metrics(
    settings: GatewaySettings, counters: ScrapedCounters, gateway: Gateway, log: BackgroundLog
) -> WsgiServer | None:
    if not settings.metrics_listen:
        return None
    counters.gauges = lambda: {**gateway.gauges(), "log_lines_dropped": log.dropped}
    server = WsgiServer(
        MetricsApplication(counters), settings.metrics_listen, _METRICS_THREADS, _SMALL_BODY
    )
    server.start()
    return server
