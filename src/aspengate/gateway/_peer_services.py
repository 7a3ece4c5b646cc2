"""What a router does for the other ones: loans, witnessing, and what they tell of replicas."""

import math
from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.gateway._crash_guard import CrashGuard
from aspengate.gateway._permit_client import limit_word_of
from aspengate.gateway._replica_bounds import ReplicaBounds
from aspengate.gateway.prepaid import TokenAccounts
from aspengate.peers import (
    CeilingNotice,
    CrashNotice,
    GrantNotice,
    LimitNotice,
    LimitWord,
    LoanReply,
    LoanRequest,
    PermitReply,
    PermitRequest,
    PermitUse,
    PlacedRequest,
    ReadyPermit,
    Repayment,
)
from aspengate.replicas import ReplicaRegistry, ReplicaView, SegmentTracker

# How long another router may use a permit that it is granted, in ms: its connection to the replica
# may take a second to come up. With the longest wait before that it is over within the time after
# which a router that starts again hands out permits.
_VALID_MS = 1_500.0
_MOST_WAIT_MS = 1_000.0
# So many words on limits are told to a router that has just started.
_MOST_RETOLD = 400


class GatewayPeerServices:
    """Hands what other routers ask and tell to the parts of this one that it concerns.

    ``tokens`` returns the accounts, which are made after the peering that serves them.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        bounds: ReplicaBounds,
        crashes: CrashGuard,
        parts: SegmentTracker,
        clock: Clock,
        tokens: Callable[[], TokenAccounts],
    ) -> None:
        self._registry = registry
        self._bounds = bounds
        self._crashes = crashes
        self._parts = parts
        self._clock = clock
        self._tokens = tokens

    def handle_loan_request(
        self, request: LoanRequest, answer: Callable[[LoanReply], None]
    ) -> None:
        """Lend another router tokens; ``answer`` is called once it is decided how many."""
        self._tokens().handle_loan_request(request, answer)

    def handle_repayment(self, payment: Repayment) -> bool:
        """Take tokens back from another router; return whether they count now."""
        return self._tokens().handle_repayment(payment)

    def accept_ceilings(self, notice: CeilingNotice) -> bool:
        """Witness the most that another router's session will use."""
        now = self._clock.monotonic_ms()
        return self._tokens().ceilings.accept(notice.session, notice.ceilings, now)

    def close_witnessed(self, session: str) -> dict[str, int] | None:
        """Accept no more of a session; return its ceilings by account, None if not known."""
        return self._tokens().close_witnessed(session)

    def handle_grants(self, notice: GrantNotice) -> None:
        """Remember what the store granted another router's session."""
        self._tokens().handle_grants(notice.grants)

    def handle_placed_request(self, placed: PlacedRequest) -> None:
        """Note a request that another router has sent to a replica."""
        now = self._clock.monotonic_ms()
        view = self._registry.view_of_incarnation(placed.replica)
        if view is None:
            return
        self._bounds.cold_starts.note_heard(view.identity)
        view.record_remote_request(placed.tokens, placed.expected_ms, now)
        for part in placed.parts:
            self._parts.record_sent(part, view.identity, now)

    def handle_crash_notice(self, notice: CrashNotice) -> None:
        """Note under which requests another router saw replicas end."""
        self._crashes.handle_notice(notice)

    def known_crashes(self) -> CrashNotice | None:
        """Return what a router that has just started is to know of such requests, if anything."""
        return self._crashes.recent_crashes()

    def handle_limit_notice(self, notice: LimitNotice, reported_by: str) -> None:
        """Note what another router knows of the limits that replicas name."""
        for word in notice.words:
            self._registry.record_peer_limit(
                word.replica, word.number, word.per_second, reported_by
            )

    def known_limits(self) -> LimitNotice | None:
        """Return what a router that has just started is to know of limits, if anything."""
        limits = self._registry.limits(_MOST_RETOLD)
        words = [LimitWord(life, each.number, each.per_second) for life, each in limits.items()]
        return LimitNotice(words) if words else None

    def handle_permit_request(
        self, request: PermitRequest
    ) -> tuple[PermitReply, LimitNotice | None]:
        """Grant another router a permit, if there is one; return what it has to know besides."""
        views = []
        newer = []
        for word in request.words:
            self._registry.record_peer_limit(word.replica, word.number, word.per_second)
            view = self._registry.view_of_incarnation(word.replica)
            if view is not None:
                views.append(view)
                if view.reported.limit.number > word.number:
                    newer.append(limit_word_of(view))
        return self._permit_for(request, views), LimitNotice(newer) if newer else None

    def _permit_for(self, request: PermitRequest, views: list[ReplicaView]) -> PermitReply:
        """Return a permit for the first of some replicas that there is one for."""
        key = (request.session, request.number)
        wait_ms = min(_MOST_WAIT_MS, request.most_wait_ms)
        ready = []
        limiter = self._bounds.limiter
        for view in views:
            granted = limiter.grant(key, view, most_wait_ms=wait_ms, valid_ms=_VALID_MS)
            if granted is not None:
                left_ms = math.ceil(max(0.0, granted.ready_ms - self._clock.monotonic_ms()))
                return PermitReply(
                    request.number, request.session, view.incarnation, left_ms, int(_VALID_MS)
                )
            in_ms = limiter.ready_in_ms(view)
            ready.append(ReadyPermit(view.incarnation, -1 if in_ms is None else math.ceil(in_ms)))
        return PermitReply(request.number, request.session, ready=ready)

    def handle_permit_use(self, use: PermitUse) -> None:
        """Note what became of a permit that another router was granted."""
        self._bounds.limiter.permits.settle_grant((use.session, use.number), sent=use.sent)
