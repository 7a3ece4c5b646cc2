"""Runs the requests of a relay server on a pool of threads."""

from collections import deque
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from aspengate.clock import SystemClock
from aspengate.telemetry import Counters, log_change

_CLOCK = SystemClock()


class PoolDispatcher:
    """Runs the tasks of waitress on threads that are started on demand."""

    def __init__(self, threads: int, counters: Counters) -> None:
        self.counters = counters
        # The tasks that wait for a thread, each with the monotonic time since which it waits.
        self._waiting: deque[tuple[Any, float]] = deque()
        self._is_shut_down = False
        self._pools = [ThreadPoolExecutor(threads, thread_name_prefix="request")]

    def add_task(self, task: Any) -> None:
        """Queue a task for the next free thread."""
        self._waiting.append((task, _CLOCK.monotonic_ms()))
        self._submit()

    def count_waiting(self, min_wait_ms: float) -> int:
        """Return how many tasks wait for a thread if one of them has waited for ``min_wait_ms``."""
        waiting = list(self._waiting)
        if not waiting or _CLOCK.monotonic_ms() - waiting[0][1] < min_wait_ms:
            return 0
        return len(waiting)

    def add_threads(self, threads: int) -> None:
        """Run the waiting tasks and all later ones on further threads."""
        self._pools.append(ThreadPoolExecutor(threads, thread_name_prefix="refusal"))
        for _ in range(len(self._waiting)):
            self._submit()

    def shutdown(self, *_: Any, **__: Any) -> None:
        """Cancel the tasks that have not started."""
        self._is_shut_down = True
        for pool in self._pools:
            pool.shutdown(wait=False, cancel_futures=True)

    def _submit(self) -> None:
        try:
            self._pools[-1].submit(self._run_next)
        except RuntimeError as error:
            if self._is_shut_down:
                raise
            # The system refuses to start a thread. The task is queued for those that run.
            self.counters.count("threads.not_started")
            log_change("thread.not_started", error=str(error))

    def _run_next(self) -> None:
        try:
            task, _ = self._waiting.popleft()
        except IndexError:  # A thread of another pool took it.
            return
        task.service()
