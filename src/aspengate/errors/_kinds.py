"""Every kind of error that a caller can meet, with the answer to each."""

import enum
from dataclasses import dataclass


class RunState(enum.Enum):
    """What an error says about the request: whether its work was started."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """The code that an error carries, in logs and to callers."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    CONFLICT = "conflict"
    RATE_LIMITED = "rate_limited"
    BUDGET_EXHAUSTED = "budget_exhausted"
    BUDGET_UNAVAILABLE = "budget_unavailable"
    NOT_CONFIGURED = "not_configured"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    WARMING_UP = "warming_up"
    RESTING = "resting"
    AT_LIMIT = "at_limit"
    SUSPECTED = "suspected"
    QUARANTINED = "quarantined"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    LEAVING = "leaving"
    FENCED = "fenced"
    UPSTREAM_FAILED = "upstream_failed"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STORE_UNAVAILABLE = "store_unavailable"
    CALLER_GONE = "caller_gone"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorAnswer:
    """The HTTP answer to one kind of error.

    ``retry_after_s`` is in seconds; ``None`` means that a retry does not help, 0 that it helps at
    once: another router serves what one that is being stopped refuses.
    """

    status: int
    run_state: RunState
    retry_after_s: int | None = None


ANSWERS: dict[ErrorKind, ErrorAnswer] = {
    ErrorKind.BAD_REQUEST: ErrorAnswer(400, RunState.NOT_RUN),
    ErrorKind.UNAUTHENTICATED: ErrorAnswer(401, RunState.NOT_RUN),
    ErrorKind.FORBIDDEN: ErrorAnswer(403, RunState.NOT_RUN),
    ErrorKind.NOT_FOUND: ErrorAnswer(404, RunState.NOT_RUN),
    ErrorKind.TOO_LARGE: ErrorAnswer(413, RunState.NOT_RUN),
    ErrorKind.CONFLICT: ErrorAnswer(412, RunState.NOT_RUN),
    ErrorKind.RATE_LIMITED: ErrorAnswer(429, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.BUDGET_EXHAUSTED: ErrorAnswer(402, RunState.NOT_RUN),
    ErrorKind.BUDGET_UNAVAILABLE: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=5),
    ErrorKind.NOT_CONFIGURED: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.NO_UPSTREAM: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=2),
    ErrorKind.OVERLOADED: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=2),
    ErrorKind.WARMING_UP: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.RESTING: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.AT_LIMIT: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.SUSPECTED: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=2),
    ErrorKind.QUARANTINED: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=60),
    ErrorKind.DEADLINE_EXCEEDED: ErrorAnswer(504, RunState.NOT_RUN),
    ErrorKind.LEAVING: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=0),
    ErrorKind.FENCED: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.UPSTREAM_FAILED: ErrorAnswer(502, RunState.RAN),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorAnswer(503, RunState.UNKNOWN, retry_after_s=2),
    ErrorKind.OUTCOME_UNKNOWN: ErrorAnswer(504, RunState.UNKNOWN),
    ErrorKind.STORE_UNAVAILABLE: ErrorAnswer(503, RunState.NOT_RUN, retry_after_s=5),
    ErrorKind.CALLER_GONE: ErrorAnswer(499, RunState.UNKNOWN),
    ErrorKind.INTERNAL: ErrorAnswer(500, RunState.UNKNOWN),
}
