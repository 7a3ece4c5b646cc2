"""Retry times for callers that are refused because all replicas are at their rate limits."""

import threading
from collections import OrderedDict

from aspengate.clock import Clock

# The longest time that is returned, in ms: limits may change or end in the meantime.
_MAX_RETRY_AFTER_MS = 60_000.0
# The maximum number of refused requests whose retry times are kept.
_MAX_REQUESTS = 10_000


class RetryAfterSchedule:
    """Assigns each refused caller of a service its own retry time.

    If all of them were given the time of the next permit, they would retry together and all but one
    would be refused again. A request that is retried before its time keeps that time, so callers
    that do not wait do not delay the others.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_ms: dict[str, float] = {}
        self._retry_ms: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def retry_after_ms(
        self, fingerprint: str, service: str, ready_in_ms: float, per_second: float
    ) -> float:
        """Return the time after which the caller of a request should retry, in ms.

        ``fingerprint`` is the same for all retries of a request. The next permit is ready in
        ``ready_in_ms``; ``per_second`` is the rate of permits for callers of this router.
        """
        with self._lock:
            now = self._clock.monotonic_ms()
            retry_ms = self._retry_ms.pop(fingerprint, now)
            if retry_ms <= now:
                after_last_ms = self._last_ms.get(service, 0.0) + 1_000 / per_second
                retry_ms = min(now + _MAX_RETRY_AFTER_MS, max(now + ready_in_ms, after_last_ms))
                self._last_ms[service] = retry_ms
            self._retry_ms[fingerprint] = retry_ms
            while len(self._retry_ms) > _MAX_REQUESTS:
                self._retry_ms.popitem(last=False)
        return retry_ms - now
