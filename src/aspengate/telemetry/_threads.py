"""Threads that go on after a fault which nobody foresaw."""

import threading
from collections.abc import Callable

from aspengate.telemetry._counters import Counters
from aspengate.telemetry._log import log_change

# How long a thread pauses after a fault, in s: one that fails each time writes ten lines a second.
_PAUSE_S = 0.1
# What a line tells of a fault, in characters.
_MOST_TOLD = 300


def supervised_thread(run: Callable[[], None], name: str, counters: Counters) -> threading.Thread:
    """Return a thread that runs ``run`` until it returns, and again after each fault.

    ``run`` is a loop that keeps its state outside of itself. Without this one message or entry
    that was not foreseen ended what a router follows, leads or settles, while it went on serving.
    """

    def keep_running() -> None:
        while True:
            try:
                run()
            except Exception as error:
                counters.count("threads.faults")
                log_change("thread.fault", thread=name, error=repr(error)[:_MOST_TOLD])
                threading.Event().wait(_PAUSE_S)
            else:
                return

    return threading.Thread(target=keep_running, daemon=True, name=name)
