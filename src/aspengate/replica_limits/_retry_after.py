"""When callers that are refused since all replicas are at their limits are to come back."""

import threading
from collections import OrderedDict

from aspengate.clock import Clock

# The longest time that a caller is told, in ms: limits change and end meanwhile.
_LONGEST_MS = 60_000.0
# So many requests are remembered with the time that their callers were told.
_MOST_REMEMBERED = 10_000


class RetryAfterSchedule:
    """Gives each refused caller of a service a time of its own.

    Told the time of the next permit, all that wait for it would come back together, and all but one
    would be refused again. A request that comes again before its time keeps it, so that callers who
    do not wait put off nobody.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last_ms: dict[str, float] = {}
        self._told_ms: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def retry_after_ms(
        self, fingerprint: str, service: str, ready_in_ms: float, per_second: float
    ) -> float:
        """Return in how many ms the caller of a request is to come back.

        ``content`` is the id that the request shares with those that are the same, come again. The
        next permit is ready in ``ready_in_ms``; of all of them ``per_second`` are for callers of
        this router.
        """
        with self._lock:
            now = self._clock.monotonic_ms()
            told_ms = self._told_ms.pop(fingerprint, now)
            if told_ms <= now:
                after_last_ms = self._last_ms.get(service, 0.0) + 1_000 / per_second
                told_ms = min(now + _LONGEST_MS, max(now + ready_in_ms, after_last_ms))
                self._last_ms[service] = told_ms
            self._told_ms[fingerprint] = told_ms
            while len(self._told_ms) > _MOST_REMEMBERED:
                self._told_ms.popitem(last=False)
        return told_ms - now
