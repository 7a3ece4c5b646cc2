"""The one clock type of the project, in milliseconds."""

from aspengate.clock._clock import Clock, ManualClock, SystemClock

__all__ = ["Clock", "ManualClock", "SystemClock"]
