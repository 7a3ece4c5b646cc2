"""The closed list of error kinds, and what a caller is told for each."""

from aspengate.errors._error import AspengateError, ErrorBody
from aspengate.errors._kinds import ERROR_RESPONSES, ErrorKind, ErrorResponse, RunState

__all__ = [
    "ERROR_RESPONSES",
    "AspengateError",
    "ErrorBody",
    "ErrorKind",
    "ErrorResponse",
    "RunState",
]
