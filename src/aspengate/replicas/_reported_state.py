"""What one start of a replica has said of itself in its answers."""

from dataclasses import dataclass, field

from aspengate.replicas._reported_limit import ReportedLimit

# The longest rest that is granted at once, in ms: a replica that asks for 1e9 s by a fault of its
# own is asked again after ten minutes, and not out of use until it starts anew. A choice.
MAX_BACKOFF_MS = 600_000.0


@dataclass(frozen=True)
class ReplicaNotice:
    """What a replica says of itself in one answer.

    ``leaving`` tells that it is going to end; ``rest_ms`` is for how long it wants no request from
    this router, 0 where it does not say. ``limit`` is how many requests a second it takes from all
    routers together, None where it names no limit; ``unreadable`` is what it named instead of one,
    which says nothing.
    """

    leaving: bool = False
    backoff_ms: float = 0.0
    limit: float | None = None
    unreadable: str = ""

    @property
    def has_statement(self) -> bool:
        """Whether the answer says more than that it is one."""
        return bool(
            self.leaving or self.backoff_ms > 0 or self.limit is not None or self.unreadable
        )


@dataclass(frozen=True)
class ReportedState:
    """All that one start of a replica has said of itself, in the clock's monotonic time.

    ``leaving_ms`` is when it said first that it leaves, None where it has not. It wants nothing
    before ``backoff_until_ms``. ``limit`` is what it takes from all routers together: unlike the
    other
    two it holds for no longer than the replica says so.
    """

    leaving_ms: float | None = None
    backoff_until_ms: float = float("-inf")
    limit: ReportedLimit = field(default_factory=ReportedLimit)

    @property
    def is_leaving(self) -> bool:
        """Whether it leaves: only another start takes that back."""
        return self.leaving_ms is not None

    def with_notice(self, notice: ReplicaNotice, asked_ms: float, now_ms: float) -> "ReportedState":
        """Return the statement with an answer to a request that was sent at ``asked_ms``.

        It never takes back that the replica leaves, nor a rest.
        """
        leaving_ms = self.leaving_ms
        if notice.leaving and leaving_ms is None:
            leaving_ms = now_ms
        backoff_until_ms = self.backoff_until_ms
        if notice.backoff_ms > 0:
            rest_ms = min(notice.backoff_ms, MAX_BACKOFF_MS)
            backoff_until_ms = max(backoff_until_ms, now_ms + rest_ms)
        limit = self.limit
        if not notice.unreadable:
            limit = limit.with_answer(notice.limit, asked_ms, now_ms)
        return ReportedState(leaving_ms, backoff_until_ms, limit)
