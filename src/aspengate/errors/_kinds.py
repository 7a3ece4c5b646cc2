"""Every kind of error that an HTTP client can receive, with the response to each."""

import enum
from dataclasses import dataclass


class RunState(enum.Enum):
    """Tells whether the request of an error response was executed."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class ErrorKind(enum.Enum):
    """The code of an error, in logs and in error responses."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    TOO_LARGE = "too_large"
    FIELDS_TOO_LARGE = "fields_too_large"
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
    OUT_OF_MEMORY = "out_of_memory"
    REGION_UNAVAILABLE = "region_unavailable"
    VERSION_GONE = "version_gone"
    STREAM_UNKNOWN = "stream_unknown"
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
class ErrorResponse:
    """Holds the HTTP response to one kind of error.

    ``retry_after_s`` is in seconds. ``None`` means that a retry does not help. 0 means that an
    immediate retry helps: another router serves the requests that a stopping router refuses.
    """

    status: int
    run_state: RunState
    retry_after_s: int | None = None


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, RunState.NOT_RUN),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, RunState.NOT_RUN),
    ErrorKind.FORBIDDEN: ErrorResponse(403, RunState.NOT_RUN),
    ErrorKind.NOT_FOUND: ErrorResponse(404, RunState.NOT_RUN),
    ErrorKind.TOO_LARGE: ErrorResponse(413, RunState.NOT_RUN),
    ErrorKind.FIELDS_TOO_LARGE: ErrorResponse(431, RunState.NOT_RUN),
    ErrorKind.CONFLICT: ErrorResponse(412, RunState.NOT_RUN),
    ErrorKind.RATE_LIMITED: ErrorResponse(429, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.BUDGET_EXHAUSTED: ErrorResponse(402, RunState.NOT_RUN),
    ErrorKind.BUDGET_UNAVAILABLE: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=5),
    ErrorKind.NOT_CONFIGURED: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=2),
    ErrorKind.OVERLOADED: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=2),
    ErrorKind.WARMING_UP: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.RESTING: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.AT_LIMIT: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.OUT_OF_MEMORY: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.REGION_UNAVAILABLE: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=2),
    ErrorKind.VERSION_GONE: ErrorResponse(503, RunState.NOT_RUN),
    ErrorKind.STREAM_UNKNOWN: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.SUSPECTED: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=2),
    ErrorKind.QUARANTINED: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=60),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, RunState.NOT_RUN),
    ErrorKind.LEAVING: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=0),
    ErrorKind.FENCED: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=1),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(502, RunState.RAN),
    ErrorKind.CLAIM_UNAVAILABLE: ErrorResponse(503, RunState.UNKNOWN, retry_after_s=2),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(504, RunState.UNKNOWN),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, RunState.NOT_RUN, retry_after_s=5),
    ErrorKind.CALLER_GONE: ErrorResponse(499, RunState.UNKNOWN),
    ErrorKind.INTERNAL: ErrorResponse(500, RunState.UNKNOWN),
}
