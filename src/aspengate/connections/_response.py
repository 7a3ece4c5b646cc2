"""The response to a request, whose body is read incrementally from the connection."""

import math
import re
from collections.abc import Callable
from http import HTTPStatus

import h11

from aspengate.connections._connection import ReplicaConnection
from aspengate.connections._waiter import Waiter
from aspengate.errors import AspengateError, ErrorKind

_MAX_RESPONSES_READ = 3
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
_BODYLESS_STATUSES = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})

_KEEP_ALIVE_PATTERN = re.compile(r"timeout=(\d+)")

HeaderPredicate = Callable[[tuple[tuple[str, str], ...]], bool]


class ReplicaResponse:
    """A response whose head was received; ``next_data`` returns its body piece by piece.

    ``is_complete`` is set once the whole body was read.
    """

    def __init__(self, connection: ReplicaConnection, head: h11.Response) -> None:
        self.connection = connection
        self.status = head.status_code
        self.reason = bytes(head.reason).decode("latin-1")
        self.headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers
        )
        names = {name for name, _ in head.headers}
        self._states_length = bool(names & {_CONTENT_LENGTH, _TRANSFER_ENCODING})
        self.is_complete = False

    @classmethod
    def await_head(
        cls,
        connection: ReplicaConnection,
        waiter: Waiter,
        matches: HeaderPredicate,
        until_ms: float | None = None,
    ) -> "ReplicaResponse | None":
        """Wait for the response whose headers ``matches`` accepts; None if ``until_ms`` passes.

        On a reused connection, late responses to earlier requests are read and discarded. Raises
        UPSTREAM_FAILED, DEADLINE_EXCEEDED or CallerGoneError.
        """
        for _ in range(_MAX_RESPONSES_READ):
            event = connection.receive(waiter, until_ms)
            if event is None:
                return None
            if not isinstance(event, h11.Response):
                break
            response = cls(connection, event)
            if matches(response.headers):
                return response
            if not connection.is_reused or not response.is_framed:
                break
            while response.next_data(waiter):
                pass
            connection.expect_next_response()
        raise AspengateError(
            ErrorKind.UPSTREAM_FAILED, "another request's answer", where=connection.address
        )

    @property
    def is_framed(self) -> bool:
        """Whether the response delimits itself, instead of by the end of the connection.

        It does so by a length, by chunks or by having no body.
        """
        has_no_body = self.connection.method == "HEAD" or self.status in _BODYLESS_STATUSES
        return has_no_body or self._states_length

    def header(self, name: str) -> str:
        """Return the value of the first header of this name; empty if there is none."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key.lower() == lowered), "")

    @property
    def keep_alive_ms(self) -> float | None:
        """The idle timeout in the Keep-Alive header; None if the response states none."""
        found = _KEEP_ALIVE_PATTERN.search(self.header("keep-alive"))
        return float(found.group(1)) * 1_000 if found else None

    @property
    def retry_after_ms(self) -> float:
        """The longest Retry-After time of the response; 0 if none is given in seconds."""
        values = [value for key, value in self.headers if key.lower() == "retry-after"]
        return max((_parse_seconds_as_ms(value) for value in values), default=0.0)

    def next_data(self, waiter: Waiter, until_ms: float | None = None) -> bytes | None:
        """Return more of the body, empty at its end; None if ``until_ms`` passes first.

        Raises UPSTREAM_FAILED if the response is truncated.
        """
        event = self.connection.receive(waiter, until_ms)
        if event is None:
            return None
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self.is_complete = True
        return b""


def _parse_seconds_as_ms(text: str) -> float:
    """Parse a number of seconds; 0 for a date and for a negative or infinite number."""
    try:
        value_ms = float(text) * 1_000
    except ValueError:
        return 0.0
    return value_ms if math.isfinite(value_ms) and value_ms > 0 else 0.0
