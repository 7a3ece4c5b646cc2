"""Requests permits from other routers to send to replicas with rate limits."""

import itertools
import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from aspengate.clock import Clock
from aspengate.fleet_permits import Permit
from aspengate.peers import Datagram, LimitWord, PermitReply, PermitRequest, PermitUse
from aspengate.replica_limits import PermitHolders
from aspengate.replicas import ReplicaView
from aspengate.telemetry import Counters

# Time limit for a reply, in ms: a few round trips between regions.
_REPLY_TIMEOUT_MS = 100.0
# Number of replicas that fit into one request datagram.
_MAX_WORDS = 100


@dataclass
class _PendingRequest:
    """A permit request that waits for its reply."""

    sent_ms: float
    answered: threading.Event = field(default_factory=threading.Event)
    reply: PermitReply | None = None


@dataclass(frozen=True)
class GrantedPermit:
    """A replica, and another router's permit to send one request to it."""

    view: ReplicaView
    permit: Permit


class PermitClient:
    """Requests permits from the routers that hold them.

    ``address_of`` returns the address of a router by its name, or an empty string if it is unknown.
    ``send`` sends a message to an address; the message may be lost. ``session`` returns the name
    of this router's session.
    """

    def __init__(
        self,
        session: Callable[[], str],
        holders: PermitHolders,
        clock: Clock,
        counters: Counters,
        *,
        address_of: Callable[[str], str],
        send: Callable[[Datagram, str], None],
    ) -> None:
        self.holders = holders
        self._session = session
        self._clock = clock
        self._counters = counters
        self._address_of = address_of
        self._send = send
        self._numbers = itertools.count(1)
        self._pending: dict[int, _PendingRequest] = {}
        self._lock = threading.Lock()

    def handle_reply(self, reply: PermitReply, address: str) -> None:
        """Handle another router's reply; return the permit if the request has timed out."""
        with self._lock:
            pending = self._pending.get(reply.number)
            if pending is not None:
                pending.reply = reply
                pending.answered.set()
        if pending is None and reply.replica:
            self._counters.count("permits.too_late")
            self._send(PermitUse(reply.number, self._session(), sent=False), address)

    def request_permit(
        self, router: str, wanted: Sequence[ReplicaView], max_wait_ms: float
    ) -> GrantedPermit | None:
        """Request a permit for one of the rate-limited replicas ``wanted`` from a router.

        The permit can be used within ``max_wait_ms``. Returns None if the router grants none or
        does not reply before the timeout. Blocks until then; a reply takes some ms.
        """
        address = self._address_of(router)
        if not address:
            self.holders.record_unresponsive(router)
            return None
        number = next(self._numbers)
        pending = _PendingRequest(self._clock.monotonic_ms())
        with self._lock:
            self._pending[number] = pending
        views = {view.incarnation: view for view in wanted[:_MAX_WORDS]}
        words = [limit_word_of(view) for view in views.values()]
        self._counters.count("permits.asked")
        self._send(PermitRequest(number, self._session(), words, int(max_wait_ms)), address)
        pending.answered.wait(_REPLY_TIMEOUT_MS / 1_000)
        with self._lock:
            del self._pending[number]
        reply = pending.reply
        if reply is None:
            self._counters.count("permits.unanswered")
            self.holders.record_unresponsive(router)
            return None
        ready = {
            views[each.replica].identity: float(each.ready_ms)
            for each in reply.ready
            if each.replica in views
        }
        self.holders.record_reply(router, ready)
        return self._granted(reply, views, pending, address)

    def _granted(
        self,
        reply: PermitReply,
        views: dict[str, ReplicaView],
        pending: _PendingRequest,
        address: str,
    ) -> GrantedPermit | None:
        view = views.get(reply.replica)
        if view is None:
            return None
        self._counters.count("permits.granted_here")

        def settle(sent: bool) -> None:
            self._send(PermitUse(reply.number, self._session(), sent=sent), address)

        # The other router starts the validity period when it receives the request, so the permit
        # expires there a few ms later than here.
        until_ms = pending.sent_ms + reply.wait_ms + reply.valid_ms
        ready_ms = self._clock.monotonic_ms() + reply.wait_ms
        return GrantedPermit(view, Permit(settle, ready_ms=ready_ms, until_ms=until_ms))


def limit_word_of(view: ReplicaView) -> LimitWord:
    """Return the message entry with the rate limit that this router last saw for a replica."""
    limit = view.reported.limit
    return LimitWord(view.incarnation, limit.number, limit.per_second)
