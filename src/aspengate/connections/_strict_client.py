"""An ``http.client`` connection that rejects malformed response heads."""

import http.client
import io
from typing import BinaryIO

import h11

_MAX_HEAD_BYTES = 64 * 1024
# A peer may send interim responses (1xx) without end.
_MAX_INTERIM_RESPONSES = 100


class MalformedHeadError(http.client.HTTPException):
    """The head of a response is malformed, truncated or too long."""


class StrictHTTPResponse(http.client.HTTPResponse):
    """A response whose head is parsed by h11, and read by ``http.client`` in its normal form.

    At a line that is no header field, the parser of ``http.client`` drops the rest of the head
    without an error, a Content-Length among it.
    """

    def begin(self) -> None:
        """Read the final response's head; raises HTTPException or OSError."""
        if self.headers is not None:
            return
        stream = self.fp
        self.fp = io.BufferedReader(io.BytesIO(_render(_receive_final_head(stream))))
        try:
            super().begin()
        finally:
            self.fp = stream


class StrictHTTPConnection(http.client.HTTPConnection):
    """A connection whose ``getresponse`` raises MalformedHeadError for a malformed head."""

    response_class = StrictHTTPResponse


def _receive_final_head(stream: BinaryIO) -> h11.Response:
    for _ in range(_MAX_INTERIM_RESPONSES + 1):
        head = _parse(_read_head(stream))
        if isinstance(head, h11.Response):
            return head
    raise MalformedHeadError("too many interim responses")


def _read_head(stream: BinaryIO) -> bytes:
    """Return the bytes up to the empty line that ends a head."""
    head = b""
    while len(head) < _MAX_HEAD_BYTES:
        line = stream.readline(_MAX_HEAD_BYTES - len(head))
        if not line:
            if head:
                raise MalformedHeadError("the connection ended within the head")
            raise http.client.RemoteDisconnected("the connection ended without a response")
        head += line
        if line in (b"\r\n", b"\n"):
            return head
    raise MalformedHeadError("the head is too long")


def _parse(head: bytes) -> h11.Response | h11.InformationalResponse:
    protocol = h11.Connection(h11.CLIENT)
    # The parser needs a request to respond to; its method matters only to the body.
    protocol.send(h11.Request(method="GET", target="/", headers=[("Host", "-")]))
    protocol.send(h11.EndOfMessage())
    protocol.receive_data(head)
    try:
        event = protocol.next_event()
    except h11.RemoteProtocolError as error:
        raise MalformedHeadError(str(error)) from error
    if isinstance(event, h11.Response | h11.InformationalResponse):
        return event
    raise MalformedHeadError("no head")


def _render(head: h11.Response) -> bytes:
    lines = [b"HTTP/%b %d %b" % (head.http_version, head.status_code, head.reason)]
    lines += [b"%b: %b" % (name, value) for name, value in head.headers.raw_items()]
    return b"\r\n".join([*lines, b"", b""])
