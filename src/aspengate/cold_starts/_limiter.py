"""Decides which replicas may get one more request while some of them are cold.

Load pattern: a failure domain's replicas come back cold while callers press, or one prompt is
much asked for. The empty replicas are the cheapest choice of every router at once: 16 to 18
requests in a second reached one that bears 6.6, and 24 of 24 fell over (one day played, 26
routers, all of a domain's replicas restarted during a burst).
"""

import enum
import threading
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from aspengate.clock import Clock
from aspengate.cold_starts._permit import ColdStartPermit
from aspengate.cold_starts._policy import ColdStartPolicy
from aspengate.cold_starts._shares import RouterShares
from aspengate.configuration import Service
from aspengate.replicas import ReplicaView


class Contact(enum.Enum):
    """What a router can know of replicas that have just become cold.

    ``CURRENT``: it hears of each change in the store. ``PEERS``: it does not, but hears what the
    other routers send where. ``NONE``: neither.
    """

    CURRENT = "current"
    PEERS = "peers"
    NONE = "none"


@dataclass
class _Recent:
    """Requests to one replica: own ones under way and sent, and those of other routers."""

    under_way: int = 0
    sent: deque[float] = field(default_factory=deque)
    heard: deque[float] = field(default_factory=deque)

    def forget(self, oldest_ms: float) -> None:
        """Drop what was before ``oldest_ms``."""
        for times in (self.sent, self.heard):
            while times and times[0] < oldest_ms:
                times.popleft()

    @property
    def own(self) -> int:
        """How many requests of this router count now."""
        return self.under_way + len(self.sent)


class ColdStartLimiter:
    """Keeps what all routers together send to a cold replica within the policy.

    A replica that is known to be cold gets requests only by permits, of which each router has
    its part (``RouterShares``). A router that does not hear of changes can't know which replicas
    are cold: it holds the rate of every one, by what it sends and hears, to what a cold one
    bears; where it hears of nobody, it sends by permits alone. ``contact`` tells which holds.
    """

    def __init__(
        self, policy: ColdStartPolicy, own: str, clock: Clock, contact: Callable[[], Contact]
    ) -> None:
        self.policy = policy
        self.shares = RouterShares(own)
        self.contact = contact
        self._clock = clock
        self._known_ms: float | None = None
        self._recent: dict[str, _Recent] = defaultdict(_Recent)
        self._lock = threading.Lock()

    def note_routers(self, names: list[str], count: int) -> None:
        """Take over which routers may be alive, by the store's list, and how many there are."""
        with self._lock:
            if self._known_ms is None:
                self._known_ms = self._clock.monotonic_ms()
            self.shares.know(names, count)

    def note_heard(self, replica: str) -> None:
        """Count a request of another router."""
        with self._lock:
            self._current(replica).heard.append(self._clock.monotonic_ms())

    def forget(self, replica: str) -> None:
        """Forget a replica that is gone, but not what it got within the window.

        Its entry may have lapsed and come back under the same id.
        """
        with self._lock:
            self.shares.forget(replica)
            for each in list(self._recent):
                recent = self._current(each)
                if not (recent.own or recent.heard):
                    del self._recent[each]

    def open(self, views: list[ReplicaView], service: Service) -> list[ReplicaView]:
        """Return those of a service's replicas that may get one more request now, in a new list.

        While none may be cold, which is nearly always, nothing is counted for each replica.
        """
        if not service.cold_per_second:
            return list(views)
        contact = self.contact()
        if contact is Contact.CURRENT:
            now = self._clock.monotonic_ms()
            if not any(view.is_cold(now, service.cold_start_ms) for view in views):
                return list(views)
        with self._lock:
            return [view for view in views if self._admits(view, service, contact)]

    def take(self, view: ReplicaView, service: Service) -> ColdStartPermit | None:
        """Count one more request to a replica; None where it may get none after all."""
        if not service.cold_per_second:
            return ColdStartPermit(lambda _: None)
        contact = self.contact()
        with self._lock:
            if not self._admits(view, service, contact):
                return None
            recent = self._current(view.identity)
            recent.under_way += 1
        return ColdStartPermit(lambda sent: self._settle(recent, sent=sent))

    def _settle(self, recent: _Recent, *, sent: bool) -> None:
        with self._lock:
            recent.under_way -= 1
            # It counts from now and not from the decision: one that was held up in between would
            # meet those of the next window at the replica.
            if sent:
                recent.sent.append(self._clock.monotonic_ms())

    def _admits(self, view: ReplicaView, service: Service, contact: Contact) -> bool:
        now = self._clock.monotonic_ms()
        total = self.policy.permits(service.cold_per_second)
        recent = self._current(view.identity)
        if contact is Contact.NONE or view.is_cold(now, service.cold_start_ms):
            return recent.own < self._permits(view.identity, total, now)
        if contact is Contact.PEERS:
            return recent.own + len(recent.heard) < total
        return True

    def _permits(self, replica: str, total: int, now_ms: float) -> int:
        """Return this router's permits; none before all can have heard of this run of it."""
        least_ms = self.policy.start_ms + self.policy.window_ms
        if self._known_ms is None or now_ms - self._known_ms < least_ms:
            return 0
        return self.shares.permits(replica, total)

    def _current(self, replica: str) -> _Recent:
        recent = self._recent[replica]
        recent.forget(self._clock.monotonic_ms() - self.policy.window_ms)
        return recent
