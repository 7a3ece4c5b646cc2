"""Why a request was not served in time, as far as its router's own line tells."""

import enum
from collections.abc import Mapping
from typing import Any

from aspengate.errors import ErrorKind


class Loss(enum.Enum):
    """The reasons for which a request loses its worth, or a part of it."""

    TOKENS_EXHAUSTED = "refused: its account's tokens are spent or held"
    TOKENS_UNAVAILABLE = "refused: tokens are left, none can be granted now"
    LOAD = "refused: replicas are full or away"
    WARMING_UP = "refused: replicas may be cold"
    RESTING = "refused: all replicas asked for rest"
    AT_LIMIT = "refused: all replicas have got what their limits allow"
    CRASHES = "refused: replicas ended under this request"
    LEAVING = "refused: the router is being stopped"
    NOT_ALLOWED = "refused: no route, key or configuration"
    LATE_FIRST = "served late: the first event or answer"
    LATE_PAUSE = "served late: a pause in the stream"
    CUT = "cut: its replica failed"
    TIMED_OUT = "timed out"
    CALLER_LEFT = "its caller left"
    FAILED = "the replica answered with a failure"
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
_LEAST_FAILURE_STATUS = 400


def classify_loss(fields: Mapping[str, Any]) -> Loss | None:
    """Return why the request of a ``request.ended`` line lost worth; None where it did not."""
    outcome = str(fields.get("outcome", ""))
    if outcome != _ANSWERED:
        return _BY_KIND.get(outcome, Loss.OTHER)
    if int(fields.get("status") or 0) >= _LEAST_FAILURE_STATUS:
        return Loss.FAILED
    begun_ms = fields.get("first_event_ms") or fields.get("held_ms") or 0
    aim_ms = float(fields.get("aim_ms") or 0)
    if aim_ms and begun_ms > aim_ms:
        return Loss.LATE_FIRST
    gap_aim_ms = float(fields.get("gap_aim_ms") or 0)
    if gap_aim_ms and (fields.get("longest_gap_ms") or 0) > gap_aim_ms:
        return Loss.LATE_PAUSE
    return None
