"""The request rate limit that a replica reports in its responses."""

from dataclasses import dataclass, replace

# Lower limits are raised to this one, which is one request in 20 s: a router learns only from
# responses that the limit has ended.
_MIN_PER_SECOND = 0.05
# A limit that has ended is raised in steps, so that a replica that has just recovered does not get
# all waiting requests at once. Each step takes this long.
_STEP_MS = 500.0
_STEP_FACTOR = 4.0
_STEPS = 4


@dataclass(frozen=True)
class ReportedLimit:
    """The request rate limit that one incarnation of a replica reports, as known to a router.

    ``per_second`` is the limit for all routers together, None for no limit, and
    ``previous_per_second`` the limit before it. ``updated_ms`` is the monotonic time at which this
    router learned of the limit or last saw it confirmed.

    ``number`` orders the reports of all routers. A router that learns from a response that a report
    no longer holds publishes a new one under the next number. Its request was sent after it had
    received the old report, so the new report is the newer one, even if clocks differ by seconds.
    """

    number: int = 0
    per_second: float | None = None
    previous_per_second: float | None = None
    updated_ms: float = float("-inf")

    @property
    def is_in_force(self) -> bool:
        """Whether the newest report names a limit."""
        return self.per_second is not None

    def with_answer(self, named: float | None, asked_ms: float, now_ms: float) -> "ReportedLimit":
        """Return the limit updated with a response that names the limit ``named``, or none.

        The request was sent at ``asked_ms``. If that was before this router knew of the current
        report, either of the two may be the newer one, and the lower limit applies.
        """
        named = named if named is None else max(named, _MIN_PER_SECOND)
        if named == self.per_second:
            return self if named is None else replace(self, updated_ms=now_ms)
        if asked_ms < self.updated_ms and not _is_lower(named, self.per_second):
            return self
        return ReportedLimit(self.number + 1, named, self.per_second, now_ms)

    def with_peer_report(
        self, number: int, per_second: float | None, now_ms: float
    ) -> "ReportedLimit":
        """Return the limit updated with a report of another router."""
        per_second = per_second if per_second is None else max(per_second, _MIN_PER_SECOND)
        is_newer = number > self.number
        if number == self.number:
            is_newer = _is_lower(per_second, self.per_second)
        if not is_newer:
            return self
        if per_second == self.per_second:
            return ReportedLimit(number, per_second, self.previous_per_second, self.updated_ms)
        return ReportedLimit(number, per_second, self.per_second, now_ms)

    def rate_at(self, now_ms: float) -> float | None:
        """Return how many requests per second the replica may receive, None for no limit."""
        if self.per_second is not None or self.previous_per_second is None:
            return self.per_second
        step = int((now_ms - self.updated_ms) / _STEP_MS) + 1
        return self.previous_per_second * _STEP_FACTOR**step if step <= _STEPS else None


def _is_lower(one: float | None, other: float | None) -> bool:
    return one is not None and (other is None or one < other)
