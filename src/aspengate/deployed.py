"""Puts the gateway on the users' platform; what the deploy file runs and ``aspengate gateway``."""

import signal
import sys
import threading
from pathlib import Path

from aspengate.clock import SystemClock
from aspengate.gateway import Gateway, GatewaySettings
from aspengate.platform import PlatformDeployment
from aspengate.settings import load_settings
from aspengate.telemetry import NullCounters, log_to_stream

SETTINGS_VARIABLE = "ASPENGATE_BOOT"


def run_gateway(settings_file: Path) -> None:
    """Run a gateway until SIGTERM, then finish what is in progress.

    Raises AspengateError of kind BAD_REQUEST for settings that are not accepted.
    """
    settings = load_settings(GatewaySettings, settings_file)
    stop = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop.set())
    signal.signal(signal.SIGHUP, lambda *_: None)
    log_to_stream(sys.stdout)
    clock = SystemClock()
    deployment = PlatformDeployment(settings.store, settings.store_timeout_ms, clock)
    gateway = Gateway(settings, deployment, clock, NullCounters())
    gateway.start()
    while not stop.is_set():
        stop.wait(60.0)
    gateway.leave()
