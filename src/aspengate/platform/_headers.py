"""Parses and renders the HTTP headers of the platform's requests and responses."""

import re
from collections.abc import Iterable

from aspengate.connections import parse_decimal
from aspengate.errors import AspengateError, ErrorKind
from aspengate.gateway import CallerRequest, PromptSegment, TokenBounds
from aspengate.serving import ReceivedRequest

Headers = tuple[tuple[str, str], ...]

_REQUEST_ID = "x-request-id"
_DEADLINE = "x-deadline-ms"
_KEY = "authorization"
_KEY_SCHEME = "token "
_TOKENS = "x-token-count"
_SEGMENTS = "x-prefix-hash"
_LAST_EVENT = "last-event-id"
_MODEL = "x-model"
_LENGTH_HINT = "x-length-hint"
_LIMIT = "server-limit"

_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
        "content-length",
    }
)
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
        request_id = _single(received.headers, _REQUEST_ID)
        if not request_id:
            raise AspengateError(ErrorKind.BAD_REQUEST, "is needed", where="X-Request-Id")
        target = received.target
        if not _TARGET_PATTERN.fullmatch(target):
            raise AspengateError(ErrorKind.BAD_REQUEST, "is no path", where=repr(target[:100]))
        deadline = _number(received.headers, _DEADLINE)
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
            model=_single(received.headers, _MODEL),
            last_event_id=_single(received.headers, _LAST_EVENT),
            length_hint=_number(received.headers, _LENGTH_HINT),
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
        return tuple((name, value) for name, value in headers if name.lower() not in _HOP_HEADERS)

    def matches_request(self, headers: Headers, request_id: str) -> bool:
        """Return whether a response carries this request's id, and no other one."""
        return _all(headers, _REQUEST_ID) == [request_id]

    def is_not_executed(self, status: int, headers: Headers) -> bool:
        """Return whether a response states that the replica did not run the request."""
        return status == _MISDIRECTED or bool(_all(headers, "x-not-executed"))

    def is_misdirected(self, status: int) -> bool:
        """Return whether the response comes from a replica other than the addressed one."""
        return status == _MISDIRECTED

    def is_signed(self, headers: Headers) -> bool:
        """Return whether a response carries a replica's signature."""
        return bool(_all(headers, "x-server-stamp"))

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether a response announces that its replica is shutting down."""
        return "1" in _all(headers, "server-leaving")

    def rate_limit(self, headers: Headers) -> float | None:
        """Return the replica's limit in requests per second, None if absent; raises BAD_REQUEST."""
        if not _all(headers, _LIMIT):
            return None
        return parse_decimal(_single(headers, _LIMIT), _LIMIT)

    def error_headers(self, request_id: str) -> Headers:
        """Return the headers of an error response that the gateway itself makes."""
        return (("X-Request-Id", request_id),) if request_id else ()


_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_MISDIRECTED = 421


def _all(headers: Iterable[tuple[str, str]], name: str) -> list[str]:
    return [value for key, value in headers if key.lower() == name]


def _single(headers: Headers, name: str) -> str:
    values = _all(headers, name)
    if len(values) > 1:
        raise AspengateError(ErrorKind.BAD_REQUEST, "stands twice", where=name)
    return values[0] if values else ""


def _forwarded(headers: Headers) -> Headers:
    """Return the caller's headers that are forwarded to a replica unchanged."""
    dropped = _HOP_HEADERS | _SYSTEM_HEADERS | _hop_by_hop(headers)
    return tuple((name, value) for name, value in headers if name.lower() not in dropped)


def _number(headers: Headers, name: str) -> float | None:
    text = _single(headers, name)
    if not text:
        return None
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        raise AspengateError(ErrorKind.BAD_REQUEST, f"{text!r} is no number", where=name)
    return value


def _host(headers: Headers) -> str:
    host = _single(headers, "host")
    if not host:
        raise AspengateError(ErrorKind.BAD_REQUEST, "is needed", where="Host")
    return host.partition(":")[0]


def _key(headers: Headers) -> str:
    value = _single(headers, _KEY)
    if value[: len(_KEY_SCHEME)].lower() != _KEY_SCHEME:
        return ""
    return value[len(_KEY_SCHEME) :].strip()


def _token_bounds(headers: Headers) -> TokenBounds | None:
    text = _single(headers, _TOKENS)
    if not text:
        return None
    prompt, _, output = text.partition(",")
    try:
        return TokenBounds(_parse_int(prompt), _parse_int(output))
    except ValueError:
        raise AspengateError(ErrorKind.BAD_REQUEST, f"{text!r}", where=_TOKENS) from None


def _prompt_segments(headers: Headers) -> tuple[PromptSegment, ...]:
    text = _single(headers, _SEGMENTS)
    if not text:
        return ()
    segments = []
    for segment in text.split(","):
        identity, _, tokens = segment.strip().partition(":")
        try:
            segments.append(PromptSegment(identity, _parse_int(tokens)))
        except ValueError:
            raise AspengateError(ErrorKind.BAD_REQUEST, f"{segment!r}", where=_SEGMENTS) from None
    return tuple(segments)


def _parse_int(text: str) -> int:
    stripped = text.strip()
    if not stripped.isascii() or not stripped.isdigit():
        raise ValueError(text)
    return int(stripped)


def _hop_by_hop(headers: Headers) -> frozenset[str]:
    """Return the headers that Connection names as hop-by-hop, except those in ``_END_TO_END``."""
    options = ",".join(_all(headers, "connection"))
    names = frozenset(option.strip().lower() for option in options.split(","))
    return names - _END_TO_END


_END_TO_END = frozenset(
    {_REQUEST_ID, "host", "content-length", _MODEL, _TOKENS, _SEGMENTS, _LAST_EVENT, "content-type"}
)
