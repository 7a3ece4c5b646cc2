"""Exchange of placements, the requests that routers sent to replicas, through the leaders."""

import threading
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Protocol

from aspengate.peers._leadership import DomainLeadership
from aspengate.peers._members import Member, MemberList
from aspengate.peers._messages import PlacedRequest, Placements, PlacementScope
from aspengate.telemetry import Counters, supervised_thread

# Time in s for which placements are collected before they are sent. They pass through two or three
# routers, so that all routers have them after 100 ms, a fifth of a usual time to first token.
_BATCH_INTERVAL_S = 0.04
# Maximum age in ms of the last status message of a leader to which placements are sent.
_LEADER_TIMEOUT_MS = 1_000.0
# Limits on one batch: placements of one router, where 50 allow for 1,250 requests per second, and
# placements in each of the two queues. With about 60 bytes each, a message with both queues fits
# into a datagram of 64 KB. Excess placements are dropped and counted, which only makes the choice
# of a replica less accurate.
_MAX_PER_ROUTER = 50
_MAX_PER_QUEUE = 400

OnPlaced = Callable[[PlacedRequest], None]


class PlacementSink(Protocol):
    """Interface of a receiver of the requests that this router sends to replicas."""

    def record_sent(self, placed: PlacedRequest) -> None:
        """Record a request that was just sent."""


class PlacementExchange:
    """Sends this router's placements to the other routers, and receives theirs.

    A router sends its placements to the leader of its failure domain; leaders forward them to each
    other and to the routers of their domains. Placements stay in the region, except those for a
    replica of another region, which that region's leaders get as well. ``send`` sends a message to
    addresses; ``on_placed`` is called with each request of another router. ``region_of`` returns
    the region of an incarnation of a replica, empty if it is not known.
    """

    def __init__(
        self,
        members: MemberList,
        leadership: DomainLeadership,
        counters: Counters,
        send: Callable[..., None],
        on_placed: OnPlaced,
        region_of: Callable[[str], str] = lambda _: "",
    ) -> None:
        self._members = members
        self._leadership = leadership
        self._counters = counters
        self._send = send
        self._on_placed = on_placed
        self._region_of = region_of
        self._domain_queue: dict[str, list[PlacedRequest]] = defaultdict(list)
        self._remote_queue: dict[str, list[PlacedRequest]] = defaultdict(list)
        self._lock = threading.Lock()
        self._wakeup = threading.Event()
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, "placements", counters)

    def start(self) -> None:
        """Start to send batches."""
        self._thread.start()

    def close(self) -> None:
        """Stop; collected placements are dropped."""
        self._closing.set()
        self._wakeup.set()

    def record_sent(self, placed: PlacedRequest) -> None:
        """Record a request that this router has just sent."""
        self._enqueue(self._domain_queue, self._members.own.name, [placed])

    def handle_placements(self, message: Placements) -> None:
        """Process placements of other routers; a leader also queues them to be forwarded."""
        for origin, requests in message.requests.items():
            if origin == self._members.own.name:
                continue
            for placed in requests:
                self._on_placed(placed)
            if self._members.leads and message.scope is PlacementScope.ROUTER:
                self._enqueue(self._domain_queue, origin, requests)
            elif self._members.leads and message.scope is PlacementScope.LEADER:
                self._enqueue(self._remote_queue, origin, requests)

    def flush(self) -> None:
        """Send the collected placements."""
        with self._lock:
            local, self._domain_queue = self._domain_queue, defaultdict(list)
            remote, self._remote_queue = self._remote_queue, defaultdict(list)
        if not self._members.leads:
            leader = self._leadership.leader
            if local and leader is not None:
                self._send_batch(local, PlacementScope.ROUTER, [leader])
            return
        if local or remote:
            domain = self._members.own.failure_domain
            statuses = self._members.recent_statuses(_LEADER_TIMEOUT_MS)
            others = [status.member for status in statuses if status.leads]
            others = [member for member in others if member.failure_domain != domain]
            near = [member for member in others if self._members.is_near(member)]
            self._send_batch(local, PlacementScope.LEADER, near)
            self._send_to_other_regions(local, [each for each in others if each not in near])
            self._send_batch({**remote, **local}, PlacementScope.DOMAIN, self._members.in_domain())

    def _send_to_other_regions(
        self, requests: dict[str, list[PlacedRequest]], leaders: Iterable[Member]
    ) -> None:
        """Send the leaders of each other region the requests to its replicas."""
        by_region: dict[str, list[Member]] = defaultdict(list)
        for leader in leaders:
            by_region[self._members.topology.region_of(leader.failure_domain)].append(leader)
        for region, members in by_region.items():
            found = {
                origin: [each for each in placed if self._region_of(each.replica) == region]
                for origin, placed in requests.items()
            }
            kept = {origin: placed for origin, placed in found.items() if placed}
            self._send_batch(kept, PlacementScope.LEADER, members)

    def _send_batch(
        self,
        requests: dict[str, list[PlacedRequest]],
        scope: PlacementScope,
        receivers: Iterable[Member],
    ) -> None:
        addresses = [member.address for member in receivers]
        if requests and addresses:
            self._send(Placements(scope, requests), *addresses)

    def _enqueue(
        self,
        queue: dict[str, list[PlacedRequest]],
        origin: str,
        requests: Iterable[PlacedRequest],
    ) -> None:
        with self._lock:
            queued = queue[origin]
            limit = _MAX_PER_QUEUE - sum(len(each) for each in queue.values()) + len(queued)
            for placed in requests:
                if len(queued) < min(_MAX_PER_ROUTER, limit):
                    queued.append(placed)
                else:
                    self._counters.count("placements.dropped")
        self._wakeup.set()

    def _run(self) -> None:
        while True:
            self._wakeup.wait()
            if self._closing.wait(_BATCH_INTERVAL_S):
                return
            self._wakeup.clear()
            self.flush()
