"""The kinds of errors that a request can end with, and the HTTP response to each."""

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
