"""What other routers have told of tokens that the store granted them."""

import threading
from collections import OrderedDict
from collections.abc import Iterable

from aspengate.clock import Clock
from aspengate.peers import Grant

# So many grants are remembered, the newest of each session and account.
_MOST_GRANTS = 10_000


class PeerGrants:
    """The newest grant of each session of other routers, by account, and when it was heard."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._heard: OrderedDict[tuple[str, str], tuple[Grant, float]] = OrderedDict()
        self._lock = threading.Lock()

    def record(self, grants: Iterable[Grant]) -> None:
        """Remember grants; one that is older than another of its session is passed over."""
        now = self._clock.monotonic_ms()
        with self._lock:
            for grant in grants:
                key = (grant.account, grant.session)
                known = self._heard.get(key)
                if known is not None and known[0].revision > grant.revision:
                    continue
                self._heard[key] = (grant, now)
                self._heard.move_to_end(key)
            while len(self._heard) > _MOST_GRANTS:
                self._heard.popitem(last=False)

    def since(self, since_ms: float) -> list[Grant]:
        """Return the grants that were heard since ``since_ms``."""
        with self._lock:
            return [grant for grant, at_ms in self._heard.values() if at_ms >= since_ms]
