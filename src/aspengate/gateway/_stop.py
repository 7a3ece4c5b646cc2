"""The schedule of a planned shutdown."""

from dataclasses import dataclass

# The load balancer polls readiness once a second and removes a router after two negative responses;
# until then it may open new connections.
_REMOVED_MS = 2_300.0
_REFUSE_MS = 2_800.0
_REMOVED_FRACTION = 0.45
_REFUSE_FRACTION = 0.55
# Requests that no replica has answered by then get a failure. A replica that is still at work has
# the first five sixths of the time to answer.
_ANSWER_FRACTION = 0.84
_MARGIN_MS = 800.0
_MARGIN_FRACTION = 0.1


@dataclass(frozen=True)
class StopPlan:
    """When a shutdown closes idle connections, refuses new requests, answers, and must have ended.

    All times are in the clock's monotonic milliseconds.
    """

    close_idle_ms: float
    refuse_ms: float
    answer_ms: float
    deadline_ms: float

    @classmethod
    def of(cls, stop_ms: float, started_ms: float) -> "StopPlan":
        """Return the schedule of a shutdown that may take ``stop_ms``."""
        return cls(
            close_idle_ms=started_ms + min(_REMOVED_MS, stop_ms * _REMOVED_FRACTION),
            refuse_ms=started_ms + min(_REFUSE_MS, stop_ms * _REFUSE_FRACTION),
            answer_ms=started_ms + stop_ms * _ANSWER_FRACTION,
            deadline_ms=started_ms + stop_ms - min(_MARGIN_MS, stop_ms * _MARGIN_FRACTION),
        )
