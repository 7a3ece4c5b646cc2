"""Threads that continue after an unexpected exception."""

import threading
from collections.abc import Callable

from aspengate.telemetry._counters import Counters
from aspengate.telemetry._log import log_change

# The pause after an exception; a loop that fails every time logs at most 10 lines per second.
_RESTART_DELAY_S = 0.1
_MAX_ERROR_CHARS = 300


def supervised_thread(run: Callable[[], None], name: str, counters: Counters) -> threading.Thread:
    """Return a daemon thread that calls ``run`` again after each exception, until it returns.

    ``run`` is a loop that keeps its state outside of its local variables. An unexpected message
    or store entry used to end the thread that follows the store, leads a failure domain or settles
    accounts, while the router continued to serve requests.
    """

    def run_until_return() -> None:
        while True:
            try:
                run()
            except Exception as error:
                counters.count("threads.faults")
                log_change("thread.fault", thread=name, error=repr(error)[:_MAX_ERROR_CHARS])
                threading.Event().wait(_RESTART_DELAY_S)
            else:
                return

    return threading.Thread(target=run_until_return, daemon=True, name=name)
