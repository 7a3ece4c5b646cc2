"""The exception that carries an error kind, and its JSON form in an HTTP response."""

import msgspec

from aspengate.errors._kinds import ERROR_RESPONSES, ErrorKind, ErrorResponse


class ErrorBody(msgspec.Struct, frozen=True):
    """Holds the JSON object under ``error`` in the body of an error response."""

    code: str
    message: str
    run_state: str
    request_id: str = ""


class AspengateError(Exception):
    """Raised if a request or an edit of the table fails; ``kind`` is its machine-readable code.

    ``where`` names the location of the cause, such as a file, a row or a setting.
    ``retry_after_s`` overrides the kind's default time after which to retry, in seconds.
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
        """The HTTP response for this error's kind."""
        return ERROR_RESPONSES[self.kind]

    @property
    def retry_after_s(self) -> float | None:
        """The time after which to retry, in seconds; None if a retry does not help."""
        if self._retry_after_s is not None:
            return self._retry_after_s
        return self.response.retry_after_s

    def body(self, request_id: str = "") -> ErrorBody:
        """Return the error as it is sent to the HTTP client."""
        return ErrorBody(
            code=self.kind.value,
            message=str(self),
            run_state=self.response.run_state.value,
            request_id=request_id,
        )

    def __str__(self) -> str:
        return f"{self.where}: {self.message}" if self.where else self.message
