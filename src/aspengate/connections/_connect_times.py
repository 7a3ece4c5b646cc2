"""Learns how long opening a connection to a replica takes."""

import threading
from collections import OrderedDict

_WEIGHT = 0.2
# A lost packet delays a connection by 1 s, which is no usual cost.
_MAX_SAMPLE_MS = 100.0
# The replicas of a large fleet; older addresses are dropped.
_MAX_ADDRESSES = 1_024


class ConnectTimes:
    """Averages the times that opening connections took, by address. Thread-safe."""

    def __init__(self) -> None:
        self._mean_ms: OrderedDict[str, float] = OrderedDict()
        self._lock = threading.Lock()

    def record(self, address: str, connect_ms: float) -> None:
        """Record how long opening one connection took."""
        sample_ms = min(connect_ms, _MAX_SAMPLE_MS)
        with self._lock:
            before_ms = self._mean_ms.pop(address, sample_ms)
            self._mean_ms[address] = before_ms + _WEIGHT * (sample_ms - before_ms)
            if len(self._mean_ms) > _MAX_ADDRESSES:
                self._mean_ms.popitem(last=False)

    def mean_ms(self, address: str) -> float:
        """Return the usual time, 0 if no connection to the address was opened."""
        return self._mean_ms.get(address, 0.0)
