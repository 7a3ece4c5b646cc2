"""Adapters for what runs behind an agent: model engines and plain services."""

import http.client
import json
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from aspengate.errors import AspengateError, ErrorKind

_READ_BYTES = 64 * 1024
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "host"}
)
_REQUEST_DROPPED = _HOP_HEADERS | {"authorization", "content-length", "accept-encoding"}


@dataclass(frozen=True)
class UpstreamRequest:
    """A request as the upstream is to see it; ``timeout_ms`` bounds each wait for bytes."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    priority: int
    timeout_ms: float


@dataclass(frozen=True)
class TokenUsage:
    """The tokens that a run took in and gave out."""

    input_tokens: int = 0
    output_tokens: int = 0

    def __bool__(self) -> bool:
        return bool(self.input_tokens or self.output_tokens)


@dataclass
class UpstreamResponse:
    """An answer that is still being read; ``usage`` is final once ``chunks`` has ended."""

    status: int
    headers: tuple[tuple[str, str], ...]
    chunks: Iterator[bytes] = field(repr=False)
    close: Callable[[], None] = field(repr=False)
    usage: TokenUsage = TokenUsage()


class Upstream(Protocol):
    """What an agent needs of the process that it stands beside."""

    def send(self, request: UpstreamRequest) -> UpstreamResponse:
        """Start a run.

        Raises AspengateError: of kind NO_UPSTREAM where the run certainly did not start, of
        kind UPSTREAM_FAILED where it may have.
        """


UpstreamFactory = Callable[[str], Upstream]
_UPSTREAMS: dict[str, UpstreamFactory] = {}


def register_upstream(protocol: str) -> Callable[[UpstreamFactory], UpstreamFactory]:
    """Register the adapter for ``protocol``, a name in the settings of an agent."""

    def register(factory: UpstreamFactory) -> UpstreamFactory:
        _UPSTREAMS[protocol] = factory
        return factory

    return register


def open_upstream(protocol: str, address: str) -> Upstream:
    """Return the adapter for ``protocol`` towards ``address``."""
    factory = _UPSTREAMS.get(protocol)
    if factory is None:
        known = ", ".join(sorted(_UPSTREAMS))
        raise AspengateError(
            ErrorKind.BAD_REQUEST, f"no upstream protocol {protocol!r}; known: {known}"
        )
    return factory(address)


@register_upstream("plain")
class PlainUpstream:
    """A plain HTTP service; methods, headers and bodies pass through whole."""

    def __init__(self, address: str) -> None:
        self.address = address

    def send(self, request: UpstreamRequest) -> UpstreamResponse:
        """Start a run at the service."""
        connection, answer = _request(self.address, request)
        response = UpstreamResponse(
            answer.status, _response_headers(answer), iter(()), connection.close
        )
        response.chunks = _read_body(connection, answer)
        return response


@register_upstream("completion")
class CompletionUpstream:
    """A model engine with the usual completions interface.

    Its usage is read from the answer: the ``usage`` object of a JSON body, or of the last event
    of a stream that has one.
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
        connection, answer = _request(self.address, prioritised)
        response = UpstreamResponse(
            answer.status, _response_headers(answer), iter(()), connection.close
        )
        streams = answer.getheader("Content-Type", "").startswith("text/event-stream")
        chunks = _with_usage(response, _read_body(connection, answer), streams)
        response.chunks = chunks
        response.close = chunks.close
        return response


def _request(
    address: str, request: UpstreamRequest
) -> tuple[http.client.HTTPConnection, http.client.HTTPResponse]:
    connection = http.client.HTTPConnection(address, timeout=request.timeout_ms / 1_000)
    try:
        connection.connect()
    except OSError as error:
        raise AspengateError(ErrorKind.NO_UPSTREAM, repr(error), where=address) from error
    kept = {name: value for name, value in request.headers if name.lower() not in _REQUEST_DROPPED}
    try:
        connection.request(request.method, request.path, request.body or None, kept)
        return connection, connection.getresponse()
    except (OSError, http.client.HTTPException) as error:
        connection.close()
        raise AspengateError(ErrorKind.UPSTREAM_FAILED, repr(error), where=address) from error


def _response_headers(answer: http.client.HTTPResponse) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value) for name, value in answer.getheaders() if name.lower() not in _HOP_HEADERS
    )


def _read_body(
    connection: http.client.HTTPConnection, answer: http.client.HTTPResponse
) -> Iterator[bytes]:
    try:
        while data := answer.read1(_READ_BYTES):
            yield data
        if answer.length:
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
_TAIL_BYTES = 8 * 1024


def _with_usage(
    response: UpstreamResponse, chunks: Iterator[bytes], streams: bool
) -> Generator[bytes, None, None]:
    kept = b""
    events = 0
    try:
        for data in chunks:
            kept += data
            if streams:
                events += data.count(b"data:")
                kept = kept[-_TAIL_BYTES:]
            yield data
    finally:
        reported = _usage_of_events(kept) if streams else _usage_of_body(kept)
        response.usage = reported or TokenUsage(output_tokens=events)


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
