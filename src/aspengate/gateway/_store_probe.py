"""Finds out soon that the store no longer answers a router that others rely on."""

import threading
from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.errors import AspengateError
from aspengate.store import KeyValueStore
from aspengate.telemetry import Counters, lasting_thread

# A leader asks the store for a sign of life where it has had none for so long, in ms. With two
# calls that get no answer (700 ms at most while the store is quick) and the takeover by another
# router (400 ms at most) a change is late by less than the 2 s that the strictest platform allows;
# by keep-alive alone it was 3.4 s (1 day, 4 routers, leaders cut off from the store).
_QUIET_MS = 500.0
_LOOK_S = 0.2


class StoreProbe:
    """Asks for a sign of life, on a thread of its own, as long as ``is_needed`` says so.

    Two calls in a row that stay unanswered have the store's client end the watches that wait; so
    the second one follows the first at once.
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
        self._thread = lasting_thread(self._run, "store-probe", counters)

    def start(self) -> None:
        """Begin to look."""
        self._thread.start()

    def close(self) -> None:
        """Stop."""
        self._closing.set()

    def _run(self) -> None:
        failed = 0
        while not self._closing.wait(0.0 if failed == 1 else _LOOK_S):
            quiet_ms = self._clock.monotonic_ms() - self._store.last_answer_ms
            if quiet_ms < _QUIET_MS or not self._is_needed():
                failed = 0
                continue
            try:
                self._store.probe()
                failed = 0
            except AspengateError:
                self._counters.count("store.probe_failed")
                failed += 1
