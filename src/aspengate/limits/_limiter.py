"""Requests a second and concurrency for each client account and service."""

import threading
from collections import Counter

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.limits._bucket import TokenBucket
from aspengate.table import ClientAccountRow, ServiceRow

_BURST_SECONDS = 2.0


class Limiter:
    """Admits requests within this router's share of the limits in the table.

    The limits hold for a region; each of its ``routers`` routers takes an equal share, since
    the balancer spreads the requests, so that no message is needed. ``routers`` is 0 while their
    number is not known: then nothing that is limited is admitted.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.router_count = 0
        self._buckets: dict[str, TokenBucket] = {}
        self._running: Counter[str] = Counter()
        self._lock = threading.Lock()

    def enter(self, account: ClientAccountRow, service: ServiceRow) -> None:
        """Count a request in; raises AspengateError of kind RATE_LIMITED."""
        with self._lock:
            self._check_known(account, service)
            for identity, most in _concurrency(account, service):
                if most and self._running[identity] >= self._share(most):
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
            for identity, _ in _concurrency(account, service):
                self._running[identity] += 1

    def _check_known(self, account: ClientAccountRow, service: ServiceRow) -> None:
        """Refuse what is limited where the share of it is unknown.

        Several routers that start at once would each admit the whole limit.
        """
        limited = account.requests_per_second or any(
            most for _, most in _concurrency(account, service)
        )
        if limited and not self.router_count:
            raise AspengateError(
                ErrorKind.RATE_LIMITED,
                "how many routers share the limits is not known yet",
                where=f"client_account {account.name}",
            )

    def leave(self, account: ClientAccountRow, service: ServiceRow) -> None:
        """Count a request out."""
        with self._lock:
            for identity, _ in _concurrency(account, service):
                self._running[identity] -= 1
                if not self._running[identity]:
                    del self._running[identity]

    def _share(self, most: int) -> int:
        return max(1, -(-most // self.router_count))

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


def _concurrency(
    account: ClientAccountRow, service: ServiceRow
) -> tuple[tuple[str, int], tuple[str, int]]:
    return (
        (f"client_account {account.name}", account.max_concurrency),
        (f"service {service.name}", service.max_concurrency),
    )
