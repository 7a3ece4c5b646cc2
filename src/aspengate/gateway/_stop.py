"""The times of a planned stop."""

from dataclasses import dataclass

# The balancer asks once a second, and takes a router out after two answers that it is not
# ready; until then it may send new connections.
_TAKEN_OUT_MS = 2_300.0
_REFUSE_MS = 2_800.0
_TAKEN_OUT_PART = 0.45
_REFUSE_PART = 0.55
_MARGIN_MS = 800.0
_MARGIN_PART = 0.15


@dataclass(frozen=True)
class StopPlan:
    """When a stop closes idle connections, refuses requests, and ends at the latest.

    All in the clock's monotonic milliseconds.
    """

    close_idle_ms: float
    refuse_ms: float
    last_ms: float

    @classmethod
    def of(cls, stop_ms: float, begun_ms: float) -> "StopPlan":
        """Return the plan of a stop that may take ``stop_ms``."""
        return cls(
            close_idle_ms=begun_ms + min(_TAKEN_OUT_MS, stop_ms * _TAKEN_OUT_PART),
            refuse_ms=begun_ms + min(_REFUSE_MS, stop_ms * _REFUSE_PART),
            last_ms=begun_ms + stop_ms - min(_MARGIN_MS, stop_ms * _MARGIN_PART),
        )
