"""Routers tell each other which requests they sent to which replica, by way of the leaders."""

import threading
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

from aspengate.peers._leadership import DomainLeadership
from aspengate.peers._members import Member, MemberList
from aspengate.peers._messages import PlacedRequest, Placements, PlacementScope
from aspengate.telemetry import Counters, lasting_thread

# How long placements are gathered before they are told, in s. They pass two or three routers, so
# that all know them after 100 ms, a fifth of a usual first token.
_GATHER_S = 0.04
# Leaders that were heard within this time, in ms, are told.
_LEADER_MS = 1_000.0
# What one message holds at most: of one router 50, which is 1,250 requests a second, and of all
# together twice 400, of about 60 bytes each, for a datagram of 64 KB. What is more is dropped and
# counted: a choice is worse for it, and nothing else.
_MOST_TOLD = 50
_MOST_TOGETHER = 400

OnPlaced = Callable[[PlacedRequest], None]


class PlacementSink(Protocol):
    """Who is told of requests that this router sent to replicas."""

    def record_sent(self, placed: PlacedRequest) -> None:
        """Take a request that was just sent."""


class PlacementExchange:
    """Tells the other routers of this one's requests, and hears of theirs.

    A router tells the leader of its failure domain; leaders tell each other and the routers of
    their domains. ``send`` sends a message to addresses; ``on_placed`` is called with each request
    of another router.
    """

    def __init__(
        self,
        members: MemberList,
        leadership: DomainLeadership,
        counters: Counters,
        send: Callable[..., None],
        on_placed: OnPlaced,
    ) -> None:
        self._members = members
        self._leadership = leadership
        self._counters = counters
        self._send = send
        self._on_placed = on_placed
        self._near: dict[str, list[PlacedRequest]] = defaultdict(list)
        self._far: dict[str, list[PlacedRequest]] = defaultdict(list)
        self._lock = threading.Lock()
        self._some = threading.Event()
        self._closing = threading.Event()
        self._thread = lasting_thread(self._run, "placements", counters)

    def start(self) -> None:
        """Begin to tell."""
        self._thread.start()

    def close(self) -> None:
        """Stop."""
        self._closing.set()
        self._some.set()

    def record_sent(self, placed: PlacedRequest) -> None:
        """Take a request that this router has just sent."""
        self._keep(self._near, self._members.own.name, [placed])

    def handle_placements(self, message: Placements) -> None:
        """Take what another router tells; a leader passes it on."""
        for origin, requests in message.requests.items():
            if origin == self._members.own.name:
                continue
            for placed in requests:
                self._on_placed(placed)
            if self._members.leads and message.scope is PlacementScope.ROUTER:
                self._keep(self._near, origin, requests)
            elif self._members.leads and message.scope is PlacementScope.LEADER:
                self._keep(self._far, origin, requests)

    def flush(self) -> None:
        """Tell what was gathered."""
        with self._lock:
            near, self._near = self._near, defaultdict(list)
            far, self._far = self._far, defaultdict(list)
        if not self._members.leads:
            leader = self._leadership.leader
            if near and leader is not None:
                self._tell(near, PlacementScope.ROUTER, [leader])
            return
        if near or far:
            domain = self._members.own.failure_domain
            signs = self._members.recent_statuses(_LEADER_MS)
            others = [sign.member for sign in signs if sign.leads]
            self._tell(
                near, PlacementScope.LEADER, [m for m in others if m.failure_domain != domain]
            )
            self._tell({**far, **near}, PlacementScope.DOMAIN, self._members.in_domain())

    def _tell(
        self,
        requests: dict[str, list[PlacedRequest]],
        scope: PlacementScope,
        receivers: Iterable[Member],
    ) -> None:
        addresses = [member.address for member in receivers]
        if requests and addresses:
            self._send(Placements(scope, requests), *addresses)

    def _keep(
        self,
        gathered: dict[str, list[PlacedRequest]],
        origin: str,
        requests: Iterable[PlacedRequest],
    ) -> None:
        with self._lock:
            kept = gathered[origin]
            room = _MOST_TOGETHER - sum(len(each) for each in gathered.values()) + len(kept)
            for placed in requests:
                if len(kept) < min(_MOST_TOLD, room):
                    kept.append(placed)
                else:
                    self._counters.count("placements.dropped")
        self._some.set()

    def _run(self) -> None:
        while True:
            self._some.wait()
            if self._closing.wait(_GATHER_S):
                return
            self._some.clear()
            self.flush()
