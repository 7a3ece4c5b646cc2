"""Tells of items of the store that can't be read, once each."""

import threading
from collections import OrderedDict

from aspengate.errors import AspengateError
from aspengate.store import StoreItem, number_of
from aspengate.telemetry import Counters, log_change

# So many keys are remembered; a list of replicas is read again with each of its changes, and one
# line for each reading would fill the log.
_MOST_KEYS = 1_000


class UnreadableItems:
    """Writes one line for each revision of a key that can't be read, and counts them."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters
        self._told: OrderedDict[str, int] = OrderedDict()
        self._lock = threading.Lock()

    def report(self, what: str, item: StoreItem, error: AspengateError) -> None:
        """Tell that an item can't be read; ``what`` names what it should be."""
        with self._lock:
            if self._told.get(item.key) == item.revision:
                return
            self._told[item.key] = item.revision
            self._told.move_to_end(item.key)
            while len(self._told) > _MOST_KEYS:
                self._told.popitem(last=False)
        self._counters.count("store.items_unreadable")
        revision = number_of(item.revision)
        log_change(f"{what}.unreadable", key=item.key, revision=revision, error=str(error))
