"""How many requests a second one start of a replica takes, as it says in its answers."""

from dataclasses import dataclass, replace

# A replica that names less is sent one request in 20 s all the same: by its answer alone a router
# learns that it names a limit no more.
_LEAST_PER_SECOND = 0.05
# A limit that has ended is followed by wider ones, so that a replica which has just recovered does
# not get at one moment all that waited for it. Each of them holds for so long, in ms.
_STEP_MS = 500.0
_STEP_FACTOR = 4.0
_STEPS = 4


@dataclass(frozen=True)
class ReportedLimit:
    """What a start of a replica says of its limit, as far as one router knows.

    It takes ``per_second`` requests from all routers together, None for as many as come; before
    that it took ``before``. ``known_ms`` is when this router learnt that, or heard a limit named
    again, in monotonic time.

    ``number`` orders the statements of all routers. Whoever learns from an answer that what it knew
    under a number holds no more tells that under the next one; its request was sent after it knew
    of that number, so that its word is the newer one. Clocks, which may be seconds apart, don't
    matter.
    """

    number: int = 0
    per_second: float | None = None
    before: float | None = None
    known_ms: float = float("-inf")

    @property
    def is_in_force(self) -> bool:
        """Whether the replica names a limit, by the newest statement."""
        return self.per_second is not None

    def with_answer(self, named: float | None, asked_ms: float, now_ms: float) -> "ReportedLimit":
        """Return the statement with an answer of the replica that names a limit, or none.

        Of an answer to a request that was sent before the statement was known, at ``asked_ms``, it
        is open which of the two is newer. The narrower one holds then.
        """
        named = named if named is None else max(named, _LEAST_PER_SECOND)
        if named == self.per_second:
            return self if named is None else replace(self, known_ms=now_ms)
        if asked_ms < self.known_ms and not _is_narrower(named, self.per_second):
            return self
        return ReportedLimit(self.number + 1, named, self.per_second, now_ms)

    def with_told(self, number: int, per_second: float | None, now_ms: float) -> "ReportedLimit":
        """Return the statement with one that another router tells."""
        per_second = per_second if per_second is None else max(per_second, _LEAST_PER_SECOND)
        is_newer = number > self.number
        if number == self.number:
            is_newer = _is_narrower(per_second, self.per_second)
        if not is_newer:
            return self
        if per_second == self.per_second:
            return ReportedLimit(number, per_second, self.before, self.known_ms)
        return ReportedLimit(number, per_second, self.per_second, now_ms)

    def rate_at(self, now_ms: float) -> float | None:
        """Return how many requests a second the replica may get; None for as many as come."""
        if self.per_second is not None or self.before is None:
            return self.per_second
        step = int((now_ms - self.known_ms) / _STEP_MS) + 1
        return self.before * _STEP_FACTOR**step if step <= _STEPS else None


def _is_narrower(one: float | None, other: float | None) -> bool:
    return one is not None and (other is None or one < other)
