"""Counters and the log of state changes."""

from aspengate.telemetry._counters import Counters, NullCounters, StatsdCounters
from aspengate.telemetry._log import log_change, log_to_stream

__all__ = ["Counters", "NullCounters", "StatsdCounters", "log_change", "log_to_stream"]
