"""HTTP clients of the upstream beside an agent: a model engine or a plain service."""

import http.client
import json
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from aspengate.connections import StrictHTTPConnection
from aspengate.errors import AspengateError, ErrorKind

_READ_BYTES = 64 * 1024
_HOP_BY_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "host"}
)
_REMOVED_REQUEST_HEADERS = _HOP_BY_HOP_HEADERS | {
    "authorization",
    "content-length",
    "accept-encoding",
}


@dataclass(frozen=True)
class UpstreamRequest:
    """A request to the upstream; ``timeout_ms`` limits each wait for bytes."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    priority: int
    timeout_ms: float


@dataclass(frozen=True)
class TokenUsage:
    """The numbers of input and output tokens of a run."""

    input_tokens: int = 0
    output_tokens: int = 0

    def __bool__(self) -> bool:
        return bool(self.input_tokens or self.output_tokens)


@dataclass
class UpstreamResponse:
    """A response that is read as it arrives; ``usage`` is final when ``chunks`` has ended."""

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: Iterator[bytes] = field(repr=False)
    close: Callable[[], None] = field(repr=False)
    usage: TokenUsage = TokenUsage()


class Upstream(Protocol):
    """Interface through which an agent sends requests to its upstream."""

    def send(self, request: UpstreamRequest) -> UpstreamResponse:
        """Start a run.

        Raises AspengateError of kind NO_UPSTREAM if the run certainly did not start, or of
        kind UPSTREAM_FAILED if it may have started.
        """


UpstreamFactory = Callable[[str], Upstream]
_UPSTREAMS: dict[str, UpstreamFactory] = {}


def register_upstream(protocol: str) -> Callable[[UpstreamFactory], UpstreamFactory]:
    """Register an adapter for ``protocol``, the value of an agent's setting of that name."""

    def register(factory: UpstreamFactory) -> UpstreamFactory:
        _UPSTREAMS[protocol] = factory
        return factory

    return register


def open_upstream(protocol: str, address: str) -> Upstream:
    """Return an adapter for ``protocol`` that sends to ``address``.

    Raises AspengateError of kind BAD_REQUEST if no adapter is registered for the protocol.
    """
    factory = _UPSTREAMS.get(protocol)
    if factory is None:
        known = ", ".join(sorted(_UPSTREAMS))
        raise AspengateError(
            ErrorKind.BAD_REQUEST, f"no upstream protocol {protocol!r}; known: {known}"
        )
    return factory(address)


@register_upstream("plain")
class PlainUpstream:
    """Client of a plain HTTP service; passes methods and bodies through unchanged.

    Headers pass through except hop-by-hop headers and, in requests, those in
    ``_REMOVED_REQUEST_HEADERS``.
    """

    def __init__(self, address: str) -> None:
        self.address = address

    def send(self, request: UpstreamRequest) -> UpstreamResponse:
        """Start a run at the service."""
        connection, http_response = _request(self.address, request)
        response = UpstreamResponse(
            http_response.status, _response_headers(http_response), iter(()), connection.close
        )
        response.chunks = _read_body(connection, http_response)
        return response


@register_upstream("completion")
class CompletionUpstream:
    """Client of a model engine with the usual completions interface.

    Token usage is read from the response: from the ``usage`` object of a JSON body, or of the
    last event in a stream that has one. Without one, each event of a stream counts as one
    output token.
    """

    def __init__(self, address: str) -> None:
        self.address = address

    def send(self, request: UpstreamRequest) -> UpstreamResponse:
        """Start a run at the engine."""
        headers = (*request.headers, ("X-Priority", str(request.priority)))
        prioritised = UpstreamRequest(
            request.method,
            request.path,
            headers,
            request.body,
            request.priority,
            request.timeout_ms,
        )
        connection, http_response = _request(self.address, prioritised)
        response = UpstreamResponse(
            http_response.status, _response_headers(http_response), iter(()), connection.close
        )
        is_event_stream = http_response.getheader("Content-Type", "").startswith(
            "text/event-stream"
        )
        chunks = _with_usage(response, _read_body(connection, http_response), is_event_stream)
        response.chunks = chunks
        response.close = chunks.close
        return response


def _request(
    address: str, request: UpstreamRequest
) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
    connection = StrictHTTPConnection(address, timeout=request.timeout_ms / 1_000)
    try:
        connection.connect()
    except OSError as error:
        raise AspengateError(ErrorKind.NO_UPSTREAM, repr(error), where=address) from error
    headers = {
        name: value
        for name, value in request.headers
        if name.lower() not in _REMOVED_REQUEST_HEADERS
    }
    try:
        connection.request(request.method, request.path, request.body or None, headers)
        return connection, connection.getresponse()
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        raise AspengateError(ErrorKind.UPSTREAM_FAILED, repr(error), where=address) from error


def _response_headers(http_response: http.client.HTTPResponse) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in http_response.getheaders()
        if name.lower() not in _HOP_BY_HOP_HEADERS
    )


def _read_body(
    connection: http.client.HTTPConnection, http_response: http.client.HTTPResponse
) -> Iterator[bytes]:
    try:
        while data := http_response.read1(_READ_BYTES):
            yield data
        if http_response.length:
            raise AspengateError(ErrorKind.UPSTREAM_FAILED, "the answer was cut short")
    except (OSError, http.client.HTTPException) as error:
        raise AspengateError(ErrorKind.UPSTREAM_FAILED, repr(error)) from error
    finally:
        connection.close()


class _UsageObject(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _UsageEnvelope(msgspec.Struct):
    usage: _UsageObject | None = None


_USAGE_DECODER = msgspec.json.Decoder(_UsageEnvelope)
_USAGE_TAIL_BYTES = 8 * 1024


def _with_usage(
    response: UpstreamResponse, chunks: Iterator[bytes], is_event_stream: bool
) -> Generator[bytes, None, None]:
    buffered = b""
    event_count = 0
    try:
        for data in chunks:
            buffered += data
            if is_event_stream:
                event_count += data.count(b"data:")
                buffered = buffered[-_USAGE_TAIL_BYTES:]
            yield data
    finally:
        reported = _usage_of_events(buffered) if is_event_stream else _usage_of_body(buffered)
        response.usage = reported or TokenUsage(output_tokens=event_count)


def _usage_of_events(tail: bytes) -> TokenUsage:
    for line in reversed(tail.split(b"\n")):
        if line.startswith(b"data:") and b'"usage"' in line:
            usage = _usage_of_body(line[len(b"data:") :])
            if usage:
                return usage
    return TokenUsage()


def _usage_of_body(body: bytes) -> TokenUsage:
    try:
        usage = _USAGE_DECODER.decode(body).usage
    except (msgspec.MsgspecError, json.JSONDecodeError):
        return TokenUsage()
    if usage is None:
        return TokenUsage()
    return TokenUsage(usage.prompt_tokens, usage.completion_tokens)
