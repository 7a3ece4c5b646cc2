"""Classifies why a request was not served in time, from its ``request.ended`` log line."""

import enum
from collections.abc import Mapping
from typing import Any

from aspengate.errors import ErrorKind


class Loss(enum.Enum):
    """The reasons why a request failed or was served too late."""

    TOKENS_EXHAUSTED = "refused: the tokens of its account are spent or allocated"
    TOKENS_UNAVAILABLE = "refused: tokens are left, but none can be granted now"
    LOAD = "refused: replicas are full or unavailable"
    WARMING_UP = "refused: replicas may be cold"
    RESTING = "refused: all replicas are backing off"
    AT_LIMIT = "refused: all replicas are at their rate limits"
    REGIONS = "refused: no replica in the allowed regions can take the request"
    VERSION = "refused: the stream can't continue at the version that began it"
    CRASHES = "refused: replicas crashed while running this request"
    LEAVING = "refused: the router is being stopped"
    NOT_ALLOWED = "refused: no route, key or configuration"
    LATE_FIRST = "served late: the first event or the response"
    LATE_PAUSE = "served late: a pause in the stream"
    CUT = "cut off: its replica failed"
    TIMED_OUT = "timed out"
    CALLER_LEFT = "its client disconnected"
    FAILED = "the replica returned an error status"
    OTHER = "another error"


_BY_KIND: dict[str, Loss] = {
    ErrorKind.BUDGET_EXHAUSTED.value: Loss.TOKENS_EXHAUSTED,
    ErrorKind.BUDGET_UNAVAILABLE.value: Loss.TOKENS_UNAVAILABLE,
    ErrorKind.OVERLOADED.value: Loss.LOAD,
    ErrorKind.NO_UPSTREAM.value: Loss.LOAD,
    ErrorKind.RATE_LIMITED.value: Loss.LOAD,
    ErrorKind.WARMING_UP.value: Loss.WARMING_UP,
    ErrorKind.RESTING.value: Loss.RESTING,
    ErrorKind.AT_LIMIT.value: Loss.AT_LIMIT,
    ErrorKind.REGION_UNAVAILABLE.value: Loss.REGIONS,
    ErrorKind.VERSION_GONE.value: Loss.VERSION,
    ErrorKind.STREAM_UNKNOWN.value: Loss.VERSION,
    ErrorKind.SUSPECTED.value: Loss.CRASHES,
    ErrorKind.QUARANTINED.value: Loss.CRASHES,
    ErrorKind.LEAVING.value: Loss.LEAVING,
    ErrorKind.NOT_FOUND.value: Loss.NOT_ALLOWED,
    ErrorKind.UNAUTHENTICATED.value: Loss.NOT_ALLOWED,
    ErrorKind.FORBIDDEN.value: Loss.NOT_ALLOWED,
    ErrorKind.NOT_CONFIGURED.value: Loss.NOT_ALLOWED,
    ErrorKind.UPSTREAM_FAILED.value: Loss.CUT,
    ErrorKind.DEADLINE_EXCEEDED.value: Loss.TIMED_OUT,
    ErrorKind.OUTCOME_UNKNOWN.value: Loss.TIMED_OUT,
    ErrorKind.CALLER_GONE.value: Loss.CALLER_LEFT,
}
_ANSWERED = "answered"
_MIN_ERROR_STATUS = 400


def classify_loss(fields: Mapping[str, Any]) -> Loss | None:
    """Return why the request of a ``request.ended`` line failed or was late, or None."""
    outcome = str(fields.get("outcome", ""))
    if outcome != _ANSWERED:
        return _BY_KIND.get(outcome, Loss.OTHER)
    if int(fields.get("status") or 0) >= _MIN_ERROR_STATUS:
        return Loss.FAILED
    started_ms = fields.get("first_event_ms") or fields.get("held_ms") or 0
    aim_ms = float(fields.get("aim_ms") or 0)
    if aim_ms and started_ms > aim_ms:
        return Loss.LATE_FIRST
    gap_aim_ms = float(fields.get("gap_aim_ms") or 0)
    if gap_aim_ms and (fields.get("longest_gap_ms") or 0) > gap_aim_ms:
        return Loss.LATE_PAUSE
    return None
