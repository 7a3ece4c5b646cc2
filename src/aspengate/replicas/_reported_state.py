"""The state that a replica reports in its responses."""

from dataclasses import dataclass, field

from aspengate.replicas._reported_limit import ReportedLimit

# The longest backoff that one response can start. A replica that asks for 1e9 s by mistake is tried
# again after ten minutes instead of staying unused until it restarts.
MAX_BACKOFF_MS = 600_000.0


@dataclass(frozen=True)
class ReplicaNotice:
    """The state that a replica reports in one response.

    ``leaving`` is whether it is about to terminate. ``backoff_ms`` is for how long it asks this
    router to send no requests, 0 if it does not ask. ``limit`` is how many requests per second it
    accepts from all routers together, None for no limit. ``unreadable`` is the value of a limit
    that could not be parsed; such a value leaves the known limit unchanged.
    """

    leaving: bool = False
    backoff_ms: float = 0.0
    limit: float | None = None
    unreadable: str = ""

    @property
    def has_statement(self) -> bool:
        """Whether the response reports any state."""
        return bool(
            self.leaving or self.backoff_ms > 0 or self.limit is not None or self.unreadable
        )


@dataclass(frozen=True)
class ReportedState:
    """The state that one incarnation of a replica has reported, in monotonic time.

    ``leaving_ms`` is when it first reported that it is leaving, None if it has not. It accepts no
    requests before ``backoff_until_ms``. ``limit`` is its rate limit for all routers together;
    unlike the other two, it holds only as long as the replica reports it.
    """

    leaving_ms: float | None = None
    backoff_until_ms: float = float("-inf")
    limit: ReportedLimit = field(default_factory=ReportedLimit)

    @property
    def is_leaving(self) -> bool:
        """Whether the replica is leaving, which holds until it restarts."""
        return self.leaving_ms is not None

    def with_notice(self, notice: ReplicaNotice, asked_ms: float, now_ms: float) -> "ReportedState":
        """Return the state updated with a response to a request sent at ``asked_ms``.

        A notice never revokes that the replica is leaving and never shortens a backoff.
        """
        leaving_ms = self.leaving_ms
        if notice.leaving and leaving_ms is None:
            leaving_ms = now_ms
        backoff_until_ms = self.backoff_until_ms
        if notice.backoff_ms > 0:
            backoff_ms = min(notice.backoff_ms, MAX_BACKOFF_MS)
            backoff_until_ms = max(backoff_until_ms, now_ms + backoff_ms)
        limit = self.limit
        if not notice.unreadable:
            limit = limit.with_answer(notice.limit, asked_ms, now_ms)
        return ReportedState(leaving_ms, backoff_until_ms, limit)
