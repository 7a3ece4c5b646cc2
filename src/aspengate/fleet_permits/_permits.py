"""One router's part of bounds that hold for all routers together."""

import threading
from collections import defaultdict
from dataclasses import dataclass

from aspengate.clock import Clock
from aspengate.fleet_permits._bound import WindowBound
from aspengate.fleet_permits._permit import Permit
from aspengate.fleet_permits._shares import RouterShares, ShareOfRank, even_share
from aspengate.fleet_permits._usage import Usage

# A grant that is asked for, by the session that asks and its number there.
GrantKey = tuple[str, int]


@dataclass(frozen=True)
class Grant:
    """A permit that another router may use from ``ready_ms`` until ``until_ms``.

    Both are in the granting router's monotonic time. Where the other one does not tell before what
    became of it, it counts as used at the end.
    """

    subject: str
    ready_ms: float
    until_ms: float


class FleetPermits:
    """Hands out this router's permits, to its own requests and to other routers.

    Within ``start_ms`` all routers have heard of one that starts, and what a run that has ended
    was sending has been sent. ``share_of_rank`` tells how many permits the routers hold.
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
        """Return how many permits of a bound this router holds.

        None before all can have heard of this run of it, and what an earlier one used counts no
        more.
        """
        if self.shares.known_for_ms() < self.start_ms + bound.window_ms:
            return 0
        return self.shares.share(subject, bound.permits, self.share_of_rank)

    def count_in_window(self, subject: str, bound: WindowBound) -> int:
        """Return how many of this router's permits count within a bound's window now."""
        with self._lock:
            now = self._clock.monotonic_ms()
            return self._current(subject, bound, now).count_since(now - bound.window_ms)

    def ready_in_ms(self, subject: str, bound: WindowBound) -> float | None:
        """Return in how many ms one may be used; None where that is not known here."""
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
        """Return a permit that may be used within ``max_wait_ms``; None where there is none.

        ``share`` is how many may count at any time, where that is not this router's part.
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
        """Grant another router a permit that is ready within ``max_wait_ms``, for ``valid_ms``.

        It counts as one of this router's own from now on, so that nobody has to agree on who
        grants: whoever holds no permit has none to grant.
        """
        with self._lock:
            now = self._clock.monotonic_ms()
            ready_ms = self._ready_ms(subject, bound, now, self.share(subject, bound))
            if ready_ms is None or ready_ms - now > max_wait_ms or key in self._grants:
                return None
            self._usage[subject].record_acquired(ready_ms)
            made = self._grants[key] = Grant(subject, ready_ms, ready_ms + valid_ms)
        return made

    def settle_grant(self, key: GrantKey, *, sent: bool) -> None:
        """Take another router's word on what became of a grant."""
        with self._lock:
            made = self._grants.pop(key, None)
            if made is not None:
                # The word comes after the sending, so that the permit counts no shorter than it
                # must.
                self._note(made.subject, self._clock.monotonic_ms(), sent=sent)

    def forget(self, subject: str) -> None:
        """Forget a subject that is gone, but not what was used of it.

        It may come back under the same name.
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
            # It counts from now and not from when it was taken: a request that was held up in
            # between would meet those of the next window at the replica.
            self._note(subject, self._clock.monotonic_ms(), sent=sent)

    def _note(self, subject: str, at_ms: float, *, sent: bool) -> None:
        usage = self._usage[subject]
        if sent:
            usage.record_used(at_ms)
        else:
            usage.acquired -= 1

    def _ready_ms(
        self, subject: str, bound: WindowBound, now_ms: float, part: float
    ) -> float | None:
        """Return when one more may be used; call it with the lock held."""
        return self._current(subject, bound, now_ms).ready_ms(part, bound, now_ms)

    def _current(self, subject: str, bound: WindowBound, now_ms: float) -> Usage:
        """Return what counts of a subject; call it with the lock held."""
        ended = [key for key, made in self._grants.items() if made.until_ms <= now_ms]
        for key in ended:
            made = self._grants.pop(key)
            self._note(made.subject, made.until_ms, sent=True)
        usage = self._usage[subject]
        usage.window_ms = max(usage.window_ms, bound.window_ms)
        usage.discard_expired(now_ms)
        return usage
