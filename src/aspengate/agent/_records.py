"""Usage records that an agent keeps until their block is settled in the store."""

import threading

from aspengate.transport import RunningRequest, UsageRecord

_DEFAULT_CAPACITY = 200_000


class RecordStore:
    """An agent's evidence of what was spent, by block.

    Records leave when ``forget`` is told that their block is settled. Above ``capacity`` the
    oldest leave and are counted in ``dropped``.
    """

    def __init__(self, capacity: int = _DEFAULT_CAPACITY) -> None:
        self.capacity = capacity
        self.dropped = 0
        self._records: dict[tuple[str, int], UsageRecord] = {}
        self._running: dict[tuple[str, int], RunningRequest] = {}
        self._lock = threading.Lock()

    def __len__(self) -> int:
        return len(self._records)

    def start(self, request: RunningRequest) -> None:
        """Note that a request starts to spend."""
        with self._lock:
            self._running[request.block_id, request.sequence] = request

    def finish(self, record: UsageRecord) -> None:
        """Note what a request spent."""
        key = (record.block_id, record.sequence)
        with self._lock:
            self._running.pop(key, None)
            self._records[key] = record
            if len(self._records) > self.capacity:
                del self._records[next(iter(self._records))]
                self.dropped += 1

    def forget(self, block_ids: tuple[str, ...]) -> None:
        """Drop the records of settled blocks."""
        settled = frozenset(block_ids)
        with self._lock:
            self._records = {
                key: record for key, record in self._records.items() if key[0] not in settled
            }

    def of_session(
        self, session: str
    ) -> tuple[tuple[UsageRecord, ...], tuple[RunningRequest, ...]]:
        """Return the records and running requests under a steward's or router's session."""
        with self._lock:
            records = tuple(
                record
                for record in self._records.values()
                if session in (record.holder, record.router_session)
            )
            running = tuple(
                request
                for request in self._running.values()
                if session in (request.holder, request.router_session)
            )
        return records, running
