"""Handlers for requests and notices from other routers: loans, ceilings, replicas, permits."""

import math
from collections.abc import Callable

from aspengate.clock import Clock
from aspengate.gateway._crash_guard import CrashGuard
from aspengate.gateway._permit_client import limit_word_of
from aspengate.gateway._replica_bounds import ReplicaBounds
from aspengate.gateway.prepaid import TokenAccounts
from aspengate.gateway.rollouts import Rollouts
from aspengate.gateway.streams import StreamDirectory
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
    RolloutNotice,
    RolloutReport,
    StreamNotice,
    StreamQuery,
    StreamReply,
)
from aspengate.replicas import ReplicaRegistry, ReplicaView, SegmentTracker

# Validity of a permit that is granted to another router, in ms; its connection to the replica may
# take a second. Together with the longest wait it stays below the time for which a restarted router
# grants no permits.
_PERMIT_VALIDITY_MS = 1_500.0
_MAX_PERMIT_WAIT_MS = 1_000.0
# Number of rate limits that are sent to a router that has just started.
_MAX_RESENT_LIMITS = 400


class GatewayPeerServices:
    """Dispatches requests and notices from other routers to the components of this one.

    ``tokens`` returns the accounts; it is a function because they are created after the peering.
    ``rollouts`` is None if rollouts are disabled.
    """

    def __init__(
        self,
        registry: ReplicaRegistry,
        bounds: ReplicaBounds,
        crashes: CrashGuard,
        segments: SegmentTracker,
        clock: Clock,
        tokens: Callable[[], TokenAccounts],
        streams: StreamDirectory,
        rollouts: Rollouts | None = None,
    ) -> None:
        self._streams = streams
        self._rollouts = rollouts
        self._registry = registry
        self._bounds = bounds
        self._crashes = crashes
        self._segments = segments
        self._clock = clock
        self._tokens = tokens

    def handle_loan_request(
        self, request: LoanRequest, answer: Callable[[LoanReply], None]
    ) -> None:
        """Lend tokens to another router; pass the reply to ``answer`` once it is decided."""
        self._tokens().handle_loan_request(request, answer)

    def handle_repayment(self, payment: Repayment) -> bool:
        """Accept tokens that another router repays; return whether the repayment is settled."""
        return self._tokens().handle_repayment(payment)

    def accept_ceilings(self, notice: CeilingNotice) -> bool:
        """Record, as a witness, the token ceilings of another router's session."""
        now = self._clock.monotonic_ms()
        return self._tokens().ceilings.accept(notice.session, notice.ceilings, now)

    def close_witnessed(self, session: str) -> dict[str, int] | None:
        """Stop witnessing a session; return its ceilings by account, or None if unknown."""
        return self._tokens().close_witnessed(session)

    def handle_grants(self, notice: GrantNotice) -> None:
        """Record the allowances that the store granted to another router's session."""
        self._tokens().handle_grants(notice.grants)

    def handle_placed_request(self, placed: PlacedRequest) -> None:
        """Record a request that another router has sent to a replica."""
        now = self._clock.monotonic_ms()
        view = self._registry.view_of_incarnation(placed.replica)
        if view is None:
            return
        self._bounds.cold_starts.record_peer_request(view.identity)
        view.record_remote_request(placed.tokens, placed.expected_ms, now)
        for segment in placed.parts:
            self._segments.record_sent(segment, view.identity, now)

    def handle_crash_notice(self, notice: CrashNotice) -> None:
        """Record crashes that another router has detected."""
        self._crashes.handle_notice(notice)

    def known_crashes(self) -> CrashNotice | None:
        """Return a notice of recent crashes for a router that has just started, or None."""
        return self._crashes.recent_crashes()

    def handle_limit_notice(self, notice: LimitNotice, reported_by: str) -> None:
        """Record the rate limits of replicas that another router reports."""
        for word in notice.words:
            self._registry.record_peer_limit(
                word.replica, word.number, word.per_second, reported_by
            )

    def known_limits(self) -> LimitNotice | None:
        """Return a notice of rate limits for a router that has just started, or None."""
        limits = self._registry.limits(_MAX_RESENT_LIMITS)
        words = [
            LimitWord(incarnation, each.number, each.per_second)
            for incarnation, each in limits.items()
        ]
        return LimitNotice(words) if words else None

    def handle_permit_request(
        self, request: PermitRequest
    ) -> tuple[PermitReply, LimitNotice | None]:
        """Grant a permit if available; return the reply and a notice of newer limits or None."""
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
        """Return a permit for the first replica that has one available."""
        key = (request.session, request.number)
        wait_ms = min(_MAX_PERMIT_WAIT_MS, request.most_wait_ms)
        ready = []
        limiter = self._bounds.limiter
        for view in views:
            granted = limiter.grant(key, view, max_wait_ms=wait_ms, valid_ms=_PERMIT_VALIDITY_MS)
            if granted is not None:
                left_ms = math.ceil(max(0.0, granted.ready_ms - self._clock.monotonic_ms()))
                return PermitReply(
                    request.number,
                    request.session,
                    view.incarnation,
                    left_ms,
                    int(_PERMIT_VALIDITY_MS),
                )
            in_ms = limiter.ready_in_ms(view)
            ready.append(ReadyPermit(view.incarnation, -1 if in_ms is None else math.ceil(in_ms)))
        return PermitReply(request.number, request.session, ready=ready)

    def handle_rollout_report(self, report: RolloutReport) -> None:
        """Record another router's evidence on a rollout."""
        if self._rollouts is not None:
            self._rollouts.handle_report(report)

    def handle_rollout_notice(self, notice: RolloutNotice, reported_by: str) -> None:
        """Stop sending to the targets that another router found to be bad."""
        if self._rollouts is not None:
            self._rollouts.handle_notice(notice, reported_by)

    def known_halted_rollouts(self) -> RolloutNotice | None:
        """Return a notice of halted rollouts for a router that has just started, or None."""
        return self._rollouts.known_halts() if self._rollouts is not None else None

    def handle_stream_notice(self, notice: StreamNotice) -> None:
        """Remember streams that another router serves."""
        self._streams.handle_notice(notice)

    def handle_stream_query(self, query: StreamQuery) -> StreamReply:
        """Return what this router knows of a stream that another router is asked to continue."""
        return self._streams.handle_query(query)

    def handle_permit_use(self, use: PermitUse) -> None:
        """Record whether another router used the permit that it was granted."""
        self._bounds.limiter.permits.settle_grant((use.session, use.number), sent=use.sent)
