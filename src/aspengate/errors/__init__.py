"""The closed list of error kinds, and what a caller is told for each."""

from aspengate.errors._error import AspengateError, ErrorBody
from aspengate.errors._kinds import ANSWERS, ErrorAnswer, ErrorKind, RunState

__all__ = ["ANSWERS", "AspengateError", "ErrorAnswer", "ErrorBody", "ErrorKind", "RunState"]
