"""Counters, Prometheus metrics, and the structured log of decisions and state changes."""

from aspengate.telemetry._background_log import BackgroundLog
from aspengate.telemetry._counters import Counters, NullCounters, StatsdCounters
from aspengate.telemetry._log import log_change, log_to_stream
from aspengate.telemetry._threads import supervised_thread

__all__ = [
    "BackgroundLog",
    "Counters",
    "NullCounters",
    "StatsdCounters",
    "log_change",
    "log_to_stream",
    "supervised_thread",
]
