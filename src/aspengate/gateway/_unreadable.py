"""Logs store items that can't be decoded, once for each revision."""

import threading
from collections import OrderedDict

from aspengate.errors import AspengateError
from aspengate.store import StoreItem, number_of
from aspengate.telemetry import Counters, log_change

# Number of keys that are remembered. The list of replicas is decoded again after each change, and
# a line for each time would fill the log.
_MAX_KEYS = 1_000


class UnreadableItems:
    """Counts unreadable items, and logs each revision of a key once."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._logged: OrderedDict[str, int] = OrderedDict()
        self._lock = threading.Lock()

    def report(self, what: str, item: StoreItem, error: AspengateError) -> None:
        """Log that an item can't be decoded; ``what`` names the expected kind of item."""
        with self._lock:
            if self._logged.get(item.key) == item.revision:
                return
            self._logged[item.key] = item.revision
            self._logged.move_to_end(item.key)
            while len(self._logged) > _MAX_KEYS:
                self._logged.popitem(last=False)
        self._counters.count("store.items_unreadable")
        revision = number_of(item.revision)
        log_change(f"{what}.unreadable", key=item.key, revision=revision, error=str(error))
