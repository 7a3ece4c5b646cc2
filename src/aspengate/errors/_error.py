"""The exception that carries an error kind, and its form towards callers."""

import msgspec

from aspengate.errors._kinds import ERROR_RESPONSES, ErrorKind, ErrorResponse


class ErrorBody(msgspec.Struct, frozen=True):
    """The JSON object under ``error`` in an answer to a caller."""

    code: str
    message: str
    run_state: str
    request_id: str = ""


class AspengateError(Exception):
    """A failure with a code; raise it wherever a request or an edit can't go on.

    ``where`` names the position of the cause, such as a file, a row or a setting.
    ``retry_after_s`` is when a retry may help, in seconds, where that is known better than by the
    kind.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        where: str = "",
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.where = where
        self._retry_after_s = retry_after_s

    @property
    def response(self) -> ErrorResponse:
        """The HTTP answer to this error's kind."""
        return ERROR_RESPONSES[self.kind]

    @property
    def retry_after_s(self) -> float | None:
        """When a retry may help, in seconds; None where none does."""
        if self._retry_after_s is not None:
            return self._retry_after_s
        return self.response.retry_after_s

    def body(self, request_id: str = "") -> ErrorBody:
        """Return what a caller is told about this error."""
        return ErrorBody(
            code=self.kind.value,
            message=str(self),
            run_state=self.response.run_state.value,
            request_id=request_id,
        )

    def __str__(self) -> str:
        return f"{self.where}: {self.message}" if self.where else self.message
