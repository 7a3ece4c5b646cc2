"""Limits the request rate of client accounts and the concurrency of accounts and services."""

import threading
from collections import Counter

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.limits._bucket import TokenBucket
from aspengate.table import ClientAccountRow, ServiceRow

_BURST_SECONDS = 2.0


class Limiter:
    """Admits requests within this router's share of the limits in the table.

    The limits in the table apply to a whole region. Each of its ``router_count`` routers enforces
    an equal share, rounded up to at least 1 concurrent request; the load balancer distributes
    requests evenly, so the routers need not exchange messages. While the number of routers is
    unknown, ``router_count`` is 0 and requests that are subject to a limit are rejected.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.router_count = 0
        self._buckets: dict[str, TokenBucket] = {}
        self._running: Counter[str] = Counter()
        self._lock = threading.Lock()

    def enter(self, account: ClientAccountRow, service: ServiceRow) -> None:
        """Admit a request and count it as running until ``leave``.

        Raises AspengateError of kind RATE_LIMITED if the request exceeds a limit.
        """
        with self._lock:
            self._require_router_count(account, service)
            for identity, limit in _concurrency_limits(account, service):
                if limit and self._running[identity] >= self._share(limit):
                    raise AspengateError(
                        ErrorKind.RATE_LIMITED, "too many requests at once", where=identity
                    )
            if account.requests_per_second and not self._bucket(account).acquire(
                self.clock.monotonic_ms()
            ):
                raise AspengateError(
                    ErrorKind.RATE_LIMITED,
                    "too many requests a second",
                    where=f"client_account {account.name}",
                )
            for identity, _ in _concurrency_limits(account, service):
                self._running[identity] += 1

    def _require_router_count(self, account: ClientAccountRow, service: ServiceRow) -> None:
        """Reject requests that are subject to a limit while the number of routers is unknown.

        Otherwise, several routers that start at the same time would each admit the whole limit.
        """
        limited = account.requests_per_second or any(
            limit for _, limit in _concurrency_limits(account, service)
        )
        if limited and not self.router_count:
            raise AspengateError(
                ErrorKind.RATE_LIMITED,
                "how many routers share the limits is not known yet",
                where=f"client_account {account.name}",
            )

    def leave(self, account: ClientAccountRow, service: ServiceRow) -> None:
        """Stop counting a request that ``enter`` admitted."""
        with self._lock:
            for identity, _ in _concurrency_limits(account, service):
                self._running[identity] -= 1
                if not self._running[identity]:
                    del self._running[identity]

    def _share(self, limit: int) -> int:
        return max(1, -(-limit // self.router_count))

    def _bucket(self, account: ClientAccountRow) -> TokenBucket:
        rate = account.requests_per_second / self.router_count
        burst = max(1.0, rate * _BURST_SECONDS)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = TokenBucket(rate, burst, self.clock.monotonic_ms())
            self._buckets[account.name] = bucket
        elif (bucket.rate, bucket.burst) != (rate, burst):
            bucket.configure(rate, burst)
        return bucket


def _concurrency_limits(
    account: ClientAccountRow, service: ServiceRow
) -> tuple[tuple[str, int], tuple[str, int]]:
    return (
        (f"client_account {account.name}", account.max_concurrency),
        (f"service {service.name}", service.max_concurrency),
    )
