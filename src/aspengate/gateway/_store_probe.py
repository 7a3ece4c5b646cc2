"""Detects quickly that the store no longer responds to a router that others depend on."""

import threading
from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.store import KeyValueStore
from aspengate.telemetry import Counters, supervised_thread

# A leader probes the store after this time without a response, in ms. Together with two unanswered
# calls (700 ms at most while the store is fast) and the takeover by another router (400 ms at most)
# a change is delayed by less than the 2 s that the strictest platform allows. With TCP keep-alive
# alone the delay was 3.4 s.
_IDLE_BEFORE_PROBE_MS = 500.0
_POLL_S = 0.2


class StoreProbe:
    """Probes the store from a background thread while ``is_needed`` returns True.

    After two consecutive unanswered calls the store's client aborts the waiting watches; therefore
    the second probe follows a failed first one immediately.
    """

    def __init__(
        self,
        store: KeyValueStore,
        clock: Clock,
        counters: Counters,
        is_needed: Callable[[], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._counters = counters
        self._is_needed = is_needed
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, "store-probe", counters)

    def start(self) -> None:
        """Start probing."""
        self._thread.start()

    def close(self) -> None:
        """Stop probing."""
        self._closing.set()

    def _run(self) -> None:
        failed = 0
        while not self._closing.wait(0.0 if failed == 1 else _POLL_S):
            idle_ms = self._clock.monotonic_ms() - self._store.last_answer_ms
            if idle_ms < _IDLE_BEFORE_PROBE_MS or not self._is_needed():
                failed = 0
                continue
            try:
                self._store.probe()
                failed = 0
            except AspengateError:
                self._counters.count("store.probe_failed")
                failed += 1
