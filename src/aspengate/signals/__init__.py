"""Signals that stop or reload a process, received by waiting for them instead of by handlers."""

from aspengate.signals._waiter import SignalWaiter

__all__ = ["SignalWaiter"]
