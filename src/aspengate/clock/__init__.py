"""Clocks in milliseconds: the system clock, and one that tests set by hand."""

from aspengate.clock._clock import Clock, ManualClock, SystemClock, running_ms

__all__ = ["Clock", "ManualClock", "SystemClock", "running_ms"]
