"""Parses and renders the HTTP headers of the platform's requests and responses."""

import re

from aspengate.connections import (
    HOP_BY_HOP_HEADERS,
    Headers,
    connection_options,
    header_values,
    number_header,
    parse_decimal,
    parse_whole_number,
    single_header,
)
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway import CallerRequest, PromptSegment, TokenBounds
from aspengate.serving import ReceivedRequest

_REQUEST_ID = "x-request-id"
_DEADLINE = "x-deadline-ms"
_KEY = "authorization"
_KEY_SCHEME = "token "
_TOKENS = "x-token-count"
_SEGMENTS = "x-prefix-hash"
_LAST_EVENT = "last-event-id"
_RESUMES = "resumes"
_MODEL = "x-model"
_LENGTH_HINT = "x-length-hint"
_LIMIT = "server-limit"

# Headers that only the gateway may send to a replica; those that a caller sends are dropped.
_SYSTEM_HEADERS = frozenset(
    {
        _KEY,
        _DEADLINE,
        "x-tenant",
        "x-expect-instance",
        "x-expect-version",
        "x-request-priority",
        "x-pin-ms",
        "x-hold",
        "kv-fetch",
        "kv-from",
        "x-kv-backup",
    }
)
_TARGET_PATTERN = re.compile(r"/[\x21-\x7e]*")


class PlatformHeaderCodec:
    """Implements the ``HeaderCodec`` interface with the platform's headers."""

    def parse_request(self, received: ReceivedRequest) -> CallerRequest:
        """Parse a request; raises BAD_REQUEST, also if a header like its id is repeated."""
        request_id = single_header(received.headers, _REQUEST_ID)
        if not request_id:
            raise AspengateError(ErrorKind.BAD_REQUEST, "is needed", where="X-Request-Id")
        target = received.target
        if not _TARGET_PATTERN.fullmatch(target):
            raise AspengateError(ErrorKind.BAD_REQUEST, "is no path", where=repr(target[:100]))
        deadline = number_header(received.headers, _DEADLINE)
        return CallerRequest(
            request_id=request_id,
            method=received.method,
            target=target,
            host=_host(received.headers),
            path=target.partition("?")[0],
            headers=_forwarded(received.headers),
            body=received.body,
            key=_key(received.headers),
            received_ms=received.received_ms,
            deadline_ms=None if deadline is None else received.received_ms + deadline,
            tokens=_token_bounds(received.headers),
            prompt_segments=_prompt_segments(received.headers),
            model=single_header(received.headers, _MODEL),
            last_event_id=single_header(received.headers, _LAST_EVENT),
            resumes=single_header(received.headers, _RESUMES),
            length_hint=number_header(received.headers, _LENGTH_HINT),
        )

    def replica_headers(
        self,
        request: CallerRequest,
        *,
        identity: str,
        account: str,
        remaining_ms: float,
        priority: int | None,
        last_event_id: str,
    ) -> Headers:
        """Return the headers of a request to the replica ``identity``."""
        headers = [(name, value) for name, value in request.headers if name.lower() != _LAST_EVENT]
        headers.append(("X-Deadline-Ms", str(max(1, int(remaining_ms)))))
        headers.append(("X-Expect-Instance", identity))
        if account:
            headers.append(("X-Tenant", account))
        if priority is not None:
            headers.append(("X-Request-Priority", str(priority)))
        if last_event_id:
            headers.append(("Last-Event-Id", last_event_id))
        if request.body or request.method in _METHODS_WITH_BODY:
            headers.append(("Content-Length", str(len(request.body))))
        return tuple(headers)

    def response_headers(self, headers: Headers) -> Headers:
        """Return the headers of a replica's response that are passed on to the caller."""
        return tuple(
            (name, value) for name, value in headers if name.lower() not in HOP_BY_HOP_HEADERS
        )

    def matches_request(self, headers: Headers, request_id: str) -> bool:
        """Return whether a response carries this request's id, and no other one."""
        return header_values(headers, _REQUEST_ID) == [request_id]

    def is_not_executed(self, status: int, headers: Headers) -> bool:
        """Return whether a response states that the replica did not run the request."""
        return status == _MISDIRECTED or bool(header_values(headers, "x-not-executed"))

    def is_misdirected(self, status: int) -> bool:
        """Return whether the response comes from a replica other than the addressed one."""
        return status == _MISDIRECTED

    def is_signed(self, headers: Headers) -> bool:
        """Return whether a response carries a replica's signature."""
        return bool(header_values(headers, "x-server-stamp"))

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether a response announces that its replica is shutting down."""
        return "1" in header_values(headers, "server-leaving")

    def rate_limit(self, headers: Headers) -> float | None:
        """Return the replica's limit in requests per second, None if absent; raises BAD_REQUEST."""
        if not header_values(headers, _LIMIT):
            return None
        return parse_decimal(single_header(headers, _LIMIT), _LIMIT)

    def error_headers(self, request_id: str) -> Headers:
        """Return the headers of an error response that the gateway itself makes."""
        return (("X-Request-Id", request_id),) if request_id else ()


_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_MISDIRECTED = 421


def _forwarded(headers: Headers) -> Headers:
    """Return the caller's headers that are forwarded to a replica unchanged."""
    dropped = HOP_BY_HOP_HEADERS | _SYSTEM_HEADERS | (connection_options(headers) - _END_TO_END)
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)


def _host(headers: Headers) -> str:
    host = single_header(headers, "host")
    if not host:
        raise AspengateError(ErrorKind.BAD_REQUEST, "is needed", where="Host")
    return host.partition(":")[0]


def _key(headers: Headers) -> str:
    value = single_header(headers, _KEY)
    if value[: len(_KEY_SCHEME)].lower() != _KEY_SCHEME:
        return ""
    return value[len(_KEY_SCHEME) :].strip()


def _token_bounds(headers: Headers) -> TokenBounds | None:
    text = single_header(headers, _TOKENS)
    if not text:
        return None
    prompt, _, output = text.partition(",")
    try:
        return TokenBounds(parse_whole_number(prompt), parse_whole_number(output))
    except ValueError:
        raise AspengateError(ErrorKind.BAD_REQUEST, f"{text!r}", where=_TOKENS) from None


def _prompt_segments(headers: Headers) -> tuple[PromptSegment, ...]:
    text = single_header(headers, _SEGMENTS)
    if not text:
        return ()
    segments = []
    for segment in text.split(","):
        identity, _, tokens = segment.strip().partition(":")
        try:
            segments.append(PromptSegment(identity, parse_whole_number(tokens)))
        except ValueError:
            raise AspengateError(ErrorKind.BAD_REQUEST, f"{segment!r}", where=_SEGMENTS) from None
    return tuple(segments)


# Headers that are forwarded even if Connection names them.
_END_TO_END = frozenset(
    {_REQUEST_ID, "host", "content-length", _MODEL, _TOKENS, _SEGMENTS, _LAST_EVENT, "content-type"}
)
