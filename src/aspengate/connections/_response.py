"""The answer to one request, read from its connection as it comes."""

import math
import re
from collections.abc import Callable

import h11

from aspengate.connections._connection import ReplicaConnection
from aspengate.connections._waiter import Waiter
from aspengate.errors import AspengateError, ErrorKind

_MOST_SURPLUS_ANSWERS = 3
_LENGTH = b"content-length"
_CODING = b"transfer-encoding"

_REST_PATTERN = re.compile(r"timeout=(\d+)")

BelongsTo = Callable[[tuple[tuple[str, str], ...]], bool]


class ReplicaResponse:
    """An answer whose head has come; read its body with ``next_data`` until that is empty.

    ``framed`` tells whether the answer says itself where it ends, other than by closing.
    """

    def __init__(self, connection: ReplicaConnection, head: h11.Response) -> None:
        self.connection = connection
        self.status = head.status_code
        self.reason = bytes(head.reason).decode("latin-1")
        self.headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in head.headers
        )
        names = {name for name, _ in head.headers}
        self.is_framed = bool(names & {_LENGTH, _CODING})
        self.is_complete = False

    @classmethod
    def await_head(
        cls,
        connection: ReplicaConnection,
        waiter: Waiter,
        belongs: BelongsTo,
        until_ms: float | None = None,
    ) -> "ReplicaResponse | None":
        """Wait for the answer that ``belongs`` to the request; None where ``until_ms`` is first.

        Answers to earlier requests that come in its place are read and dropped. Raises
        UPSTREAM_FAILED, DEADLINE_EXCEEDED or CallerGoneError.
        """
        for _ in range(_MOST_SURPLUS_ANSWERS):
            event = connection.receive(waiter, until_ms)
            if event is None:
                return None
            if not isinstance(event, h11.Response):
                break
            answer = cls(connection, event)
            if belongs(answer.headers):
                return answer
            if not connection.is_reused or not answer.is_framed:
                break
            while answer.next_data(waiter):
                pass
            connection.expect_next_response()
        raise AspengateError(
            ErrorKind.UPSTREAM_FAILED, "another request's answer", where=connection.address
        )

    def header(self, name: str) -> str:
        """Return a header's value; empty where there is none."""
        lowered = name.lower()
        return next((value for key, value in self.headers if key.lower() == lowered), "")

    @property
    def keep_alive_ms(self) -> float | None:
        """How long the connection may rest after this answer, where the answer tells."""
        found = _REST_PATTERN.search(self.header("keep-alive"))
        return float(found.group(1)) * 1_000 if found else None

    @property
    def retry_after_ms(self) -> float:
        """For how long the replica asks to be left alone; 0 where it does not say that in seconds.

        Of several values the longest counts.
        """
        values = [value for key, value in self.headers if key.lower() == "retry-after"]
        return max((_milliseconds(value) for value in values), default=0.0)

    def next_data(self, waiter: Waiter, until_ms: float | None = None) -> bytes | None:
        """Return more of the body, empty at its end; None where ``until_ms`` comes first.

        Raises UPSTREAM_FAILED where the answer breaks off.
        """
        event = self.connection.receive(waiter, until_ms)
        if event is None:
            return None
        if isinstance(event, h11.Data):
            return bytes(event.data)
        self.is_complete = True
        return b""


def _milliseconds(text: str) -> float:
    """Return a time that is told in seconds; 0 for a date, a negative or an endless one."""
    try:
        value_ms = float(text) * 1_000
    except ValueError:
        return 0.0
    return value_ms if math.isfinite(value_ms) and value_ms > 0 else 0.0
