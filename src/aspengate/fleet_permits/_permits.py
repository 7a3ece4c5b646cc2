"""Acquisition and granting of this router's permits for the bounds that all routers keep."""

import threading
from collections import defaultdict
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.fleet_permits._bound import WindowBound
from aspengate.fleet_permits._permit import Permit
from aspengate.fleet_permits._shares import RouterShares, ShareOfRank, even_share
from aspengate.fleet_permits._usage import Usage

# Identifies a grant by the session of the requesting router and the request's number there.
GrantKey = tuple[str, int]


@dataclass(frozen=True)
class Grant:
    """A permit that another router may use from ``ready_ms`` until ``until_ms``.

    Both times are in the granting router's monotonic time. If the other router does not report by
    ``until_ms`` whether it used the permit, the permit counts as used at that time.
    """

    subject: str
    ready_ms: float
    until_ms: float


class FleetPermits:
    """Issues this router's permits to its own requests and to other routers.

    ``start_ms`` is the time within which all other routers are aware of a router that starts, and
    requests that an earlier process of that router was sending have been sent. ``share_of_rank``
    divides the permits among the routers. A subject names what a bound applies to, such as a
    replica. All methods are thread-safe.
    """

    def __init__(
        self,
        shares: RouterShares,
        clock: Clock,
        *,
        start_ms: float = 3_000.0,
        share_of_rank: ShareOfRank = even_share,
    ) -> None:
        self.shares = shares
        self.start_ms = start_ms
        self.share_of_rank = share_of_rank
        self._clock = clock
        self._usage: dict[str, Usage] = defaultdict(Usage)
        self._grants: dict[GrantKey, Grant] = {}
        self._lock = threading.Lock()

    def share(self, subject: str, bound: WindowBound) -> int:
        """Return the number of a bound's permits that this router holds.

        The share is 0 until all routers can be aware of this process, and permits that an earlier
        process of this router used no longer count.
        """
        if self.shares.known_for_ms() < self.start_ms + bound.window_ms:
            return 0
        return self.shares.share(subject, bound.permits, self.share_of_rank)

    def count_in_window(self, subject: str, bound: WindowBound) -> int:
        """Return how many of this router's permits count in the current window."""
        with self._lock:
            now = self._clock.monotonic_ms()
            return self._current_usage(subject, bound, now).count_since(now - bound.window_ms)

    def ready_in_ms(self, subject: str, bound: WindowBound) -> float | None:
        """Return the time until a permit is ready, in ms, or None if it can't be determined."""
        with self._lock:
            now = self._clock.monotonic_ms()
            ready_ms = self._ready_ms(subject, bound, now, self.share(subject, bound))
        return None if ready_ms is None else ready_ms - now

    def acquire(
        self,
        subject: str,
        bound: WindowBound,
        *,
        max_wait_ms: float = 0.0,
        share: float | None = None,
    ) -> Permit | None:
        """Return a permit that is ready within ``max_wait_ms``, or None.

        ``share`` is the maximum number of permits that count at any time; the default is this
        router's share.
        """
        with self._lock:
            now = self._clock.monotonic_ms()
            allowed = self.share(subject, bound) if share is None else share
            ready_ms = self._ready_ms(subject, bound, now, allowed)
            if ready_ms is None or ready_ms - now > max_wait_ms:
                return None
            self._usage[subject].record_acquired(ready_ms)
        return Permit(lambda sent: self._settle(subject, sent=sent), ready_ms=ready_ms)

    def grant(
        self,
        key: GrantKey,
        subject: str,
        bound: WindowBound,
        *,
        max_wait_ms: float,
        valid_ms: float,
    ) -> Grant | None:
        """Grant another router a permit that is ready within ``max_wait_ms``, or return None.

        The permit is valid for ``valid_ms`` once it is ready. It counts against this router's own
        share from now on, so the routers need not agree on which of them grants permits: a router
        without a share has none to grant.
        """
        with self._lock:
            now = self._clock.monotonic_ms()
            ready_ms = self._ready_ms(subject, bound, now, self.share(subject, bound))
            if ready_ms is None or ready_ms - now > max_wait_ms or key in self._grants:
                return None
            self._usage[subject].record_acquired(ready_ms)
            granted = self._grants[key] = Grant(subject, ready_ms, ready_ms + valid_ms)
        return granted

    def settle_grant(self, key: GrantKey, *, sent: bool) -> None:
        """Record another router's report of whether it used a grant."""
        with self._lock:
            granted = self._grants.pop(key, None)
            if granted is not None:
                # The report arrives after the request was sent, so the permit counts at least as
                # long as required.
                self._record_settled(granted.subject, self._clock.monotonic_ms(), sent=sent)

    def forget(self, subject: str) -> None:
        """Drop the cached rank of a removed subject, and expired usage of all subjects.

        Unexpired usage is kept because the subject may come back under the same name.
        """
        with self._lock:
            self.shares.forget(subject)
            now = self._clock.monotonic_ms()
            for each, usage in list(self._usage.items()):
                usage.discard_expired(now)
                if usage.is_empty:
                    del self._usage[each]

    def _settle(self, subject: str, *, sent: bool) -> None:
        with self._lock:
            # The use counts from now rather than from the acquisition: a request that was delayed
            # in between would otherwise reach the replica together with those of the next window.
            self._record_settled(subject, self._clock.monotonic_ms(), sent=sent)

    def _record_settled(self, subject: str, at_ms: float, *, sent: bool) -> None:
        usage = self._usage[subject]
        if sent:
            usage.record_used(at_ms)
        else:
            usage.acquired -= 1

    def _ready_ms(
        self, subject: str, bound: WindowBound, now_ms: float, share: float
    ) -> float | None:
        """Return when another permit is ready; the lock must be held."""
        return self._current_usage(subject, bound, now_ms).ready_ms(share, bound, now_ms)

    def _current_usage(self, subject: str, bound: WindowBound, now_ms: float) -> Usage:
        """Return a subject's usage without expired entries; the lock must be held."""
        expired = [key for key, granted in self._grants.items() if granted.until_ms <= now_ms]
        for key in expired:
            granted = self._grants.pop(key)
            self._record_settled(granted.subject, granted.until_ms, sent=True)
        usage = self._usage[subject]
        usage.window_ms = max(usage.window_ms, bound.window_ms)
        usage.discard_expired(now_ms)
        return usage
