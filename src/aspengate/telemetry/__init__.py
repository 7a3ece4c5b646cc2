"""Counters, figures for scrapers, and the log of decisions and changes of state."""

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
