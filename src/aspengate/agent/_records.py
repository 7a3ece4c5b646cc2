"""Holds usage records in memory until their block is settled in the key-value store."""

import threading

from aspengate.transport import RunningRequest, UsageRecord

_DEFAULT_CAPACITY = 200_000


class RecordStore:
    """Holds the usage records and the running requests of an agent, by block. Thread-safe.

    ``forget`` removes the records of settled blocks. Above ``capacity`` records, those of the
    oldest blocks are removed and counted in ``dropped``.
    """

    def __init__(self, capacity: int = _DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.dropped = 0
        self._count = 0
        self._blocks: dict[str, dict[int, UsageRecord]] = {}
        self._running: dict[tuple[str, int], RunningRequest] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return self._count

    def start(self, request: RunningRequest) -> None:
        """Record that a request has started."""
        with self._lock:
            self._running[request.block_id, request.sequence] = request

    def finish(self, record: UsageRecord) -> None:
        """Record the usage of a finished request."""
        with self._lock:
            self._running.pop((record.block_id, record.sequence), None)
            block = self._blocks.setdefault(record.block_id, {})
            self._count += record.sequence not in block
            block[record.sequence] = record
            while self._count > self.capacity:
                self.dropped += self._drop(next(iter(self._blocks)))

    def forget(self, block_ids: tuple[str, ...]) -> None:
        """Remove the records of settled blocks."""
        with self._lock:
            for block_id in block_ids:
                self._drop(block_id)

    def of_session(
        self, session: str
    ) -> tuple[tuple[UsageRecord, ...], tuple[RunningRequest, ...]]:
        """Return the records and running requests under the session of a steward or a router."""
        with self._lock:
            records = tuple(
                record
                for block in self._blocks.values()
                for record in block.values()
                if session in (record.holder, record.router_session)
            )
            running = tuple(
                request
                for request in self._running.values()
                if session in (request.holder, request.router_session)
            )
        return records, running

    def _drop(self, block_id: str) -> int:
        dropped = len(self._blocks.pop(block_id, ()))
        self._count -= dropped
        return dropped
