"""The origins of recent streams, as far as one router knows them."""

import threading
from collections import OrderedDict
from dataclasses import dataclass, replace

from aspengate.clock import Clock
from aspengate.streams._origin import StreamKey, StreamOrigin

# Limit on the recorded streams, at about 0.6 KB each.
_MAX_STREAMS = 20_000


@dataclass(frozen=True)
class RecordedOrigin:
    """The origin of a stream, recorded at ``recorded_ms`` and kept until ``until_ms``.

    Both are in the clock's monotonic time.
    """

    origin: StreamOrigin
    recorded_ms: float
    until_ms: float


class StreamOrigins:
    """Holds the origins of streams for a time; the oldest give way to new ones; thread-safe."""

    def __init__(self, clock: Clock, capacity: int = _MAX_STREAMS) -> None:
        self.clock = clock
        self.capacity = capacity
        self._recorded: OrderedDict[StreamKey, RecordedOrigin] = OrderedDict()
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._recorded)

    def record(self, key: StreamKey, origin: StreamOrigin, keep_ms: float) -> None:
        """Record a stream's origin for ``keep_ms``, or extend the time for which it is kept.

        A version that is uncertain stays so: others may not know of it yet.
        """
        now = self.clock.monotonic_ms()
        with self._lock:
            known = self._recorded.get(key)
            if known is not None and known.origin.version is None:
                origin = replace(origin, version=None)
            self._recorded[key] = RecordedOrigin(origin, now, now + keep_ms)
            self._recorded.move_to_end(key)
            while self._recorded and self._is_first_obsolete(now):
                self._recorded.popitem(last=False)

    def find(self, key: StreamKey) -> StreamOrigin | None:
        """Return a stream's origin, None if it is not known."""
        found = self.find_recorded(key)
        return None if found is None else found.origin

    def find_recorded(self, key: StreamKey) -> RecordedOrigin | None:
        """Return a stream's origin with its times, None if it is not known."""
        now = self.clock.monotonic_ms()
        with self._lock:
            found = self._recorded.get(key)
        return found if found is not None and found.until_ms >= now else None

    def of_service(self, service: str) -> dict[StreamKey, RecordedOrigin]:
        """Return the streams that began at a service and are still kept."""
        now = self.clock.monotonic_ms()
        with self._lock:
            recorded = list(self._recorded.items())
        return {
            key: each
            for key, each in recorded
            if each.origin.service == service and each.until_ms >= now
        }

    def mark_uncertain(self, replica: str, version: str, since_ms: float) -> None:
        """Mark the versions of streams as uncertain that began at a replica since ``since_ms``.

        Those that began at ``version`` are left alone.
        """
        with self._lock:
            for key, each in self._recorded.items():
                origin = each.origin
                if (
                    origin.replica == replica
                    and origin.version != version
                    and each.recorded_ms >= since_ms
                ):
                    self._recorded[key] = replace(each, origin=replace(origin, version=None))

    def _is_first_obsolete(self, now_ms: float) -> bool:
        first = next(iter(self._recorded.values()))
        return first.until_ms < now_ms or len(self._recorded) > self.capacity
