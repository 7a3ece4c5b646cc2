"""The grants of the store that other routers have announced."""

import threading
from collections import OrderedDict
from collections.abc import Iterable

from aspengate.clock import Clock
from aspengate.peers import Grant

# The maximum number of grants kept, one for each session and account.
_MAX_GRANTS = 10_000


class PeerGrants:
    """Holds the newest announced grant of each session and account, and when it arrived.

    Thread-safe. Keeps at most ``_MAX_GRANTS`` grants.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._grants: OrderedDict[tuple[str, str], tuple[Grant, float]] = OrderedDict()
        self._lock = threading.Lock()

    def record(self, grants: Iterable[Grant]) -> None:
        """Record grants, except those older than a known one of their session and account."""
        now = self._clock.monotonic_ms()
        with self._lock:
            for grant in grants:
                key = (grant.account, grant.session)
                known = self._grants.get(key)
                if known is not None and known[0].revision > grant.revision:
                    continue
                self._grants[key] = (grant, now)
                self._grants.move_to_end(key)
            while len(self._grants) > _MAX_GRANTS:
                self._grants.popitem(last=False)

    def since(self, since_ms: float) -> list[Grant]:
        """Return the grants that arrived at or after ``since_ms``."""
        with self._lock:
            return [grant for grant, at_ms in self._grants.values() if at_ms >= since_ms]
