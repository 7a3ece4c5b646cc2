"""The HTTP face of a router: callers' requests, the operators' table, and its status."""

import uuid
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus

import msgspec

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind, RunState
from aspengate.router._exchange import Answer, CallerRequest
from aspengate.serving import StartResponse, WsgiEnvironment
from aspengate.table import TableView
from aspengate.telemetry import Counters, log_change
from aspengate.transport import Header

_COMPLETION_PATHS = ("/v1/chat/completions", "/v1/completions")
_PLAIN_PREFIX = "/services/"
_TABLE_PATH = "/table"
_MAX_IDEMPOTENCY_KEY = 200

Handle = Callable[[CallerRequest, TableView], Answer]
AdminHandle = Callable[[WsgiEnvironment], tuple[int, list[tuple[str, str]], bytes]]


class _CompletionFields(msgspec.Struct):
    model: str
    max_tokens: int | None = None


_COMPLETION_DECODER = msgspec.json.Decoder(_CompletionFields)


class HttpApplication:
    """The WSGI application of a router."""

    def __init__(
        self,
        *,
        handle: Handle,
        administer: AdminHandle,
        table: Callable[[], TableView],
        accepting: Callable[[], bool],
        clock: Clock,
        counters: Counters,
        deadline_ms: int,
    ) -> None:
        self.clock = clock
        self.counters = counters
        self.deadline_ms = deadline_ms
        self._handle = handle
        self._administer = administer
        self._table = table
        self._accepting = accepting

    def __call__(self, environ: WsgiEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        path = environ["PATH_INFO"]
        if path in {_TABLE_PATH, "/status", "/health"} or path.startswith(f"{_TABLE_PATH}/"):
            return self._answer_operator(environ, start_response)
        request_id = uuid.uuid4().hex
        keyed = "HTTP_IDEMPOTENCY_KEY" in environ
        try:
            if not self._accepting():
                raise AspengateError(ErrorKind.LEAVING, "this router takes no new requests")
            request = self._read(environ, request_id)
            answer = self._handle(request, self._table())
        except AspengateError as error:
            self.counters.count(f"router.errors.{error.kind.value}")
            return _answer_error(start_response, error, request_id, keyed=keyed)
        except Exception as error:
            log_change("router.request_failed", request_id=request_id, error=repr(error))
            self.counters.count(f"router.errors.{ErrorKind.INTERNAL.value}")
            internal = AspengateError(ErrorKind.INTERNAL, "a fault of the router's own")
            return _answer_error(start_response, internal, request_id, keyed=keyed)
        self.counters.count("router.answers")
        headers = [(header.name, header.value) for header in answer.headers]
        write = start_response(_status_line(answer.status), headers)
        if answer.pump is not None:
            answer.pump(write)
        return _Body(answer.chunks)

    def _read(self, environ: WsgiEnvironment, request_id: str) -> CallerRequest:
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        max_tokens = None
        if path in _COMPLETION_PATHS:
            service, max_tokens = _read_completion(body)
            target = path
        elif path.startswith(_PLAIN_PREFIX):
            service, _, rest = path[len(_PLAIN_PREFIX) :].partition("/")
            target = f"/{rest}"
        else:
            raise AspengateError(ErrorKind.NOT_FOUND, "there is nothing here", where=path)
        query = environ.get("QUERY_STRING", "")
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if len(key) > _MAX_IDEMPOTENCY_KEY:
            raise AspengateError(ErrorKind.BAD_REQUEST, "is too long", where="Idempotency-Key")
        now = self.clock.now_ms()
        return CallerRequest(
            request_id=request_id,
            service=service,
            api_key=_api_key(environ),
            method=environ["REQUEST_METHOD"],
            path=f"{target}?{query}" if query else target,
            headers=_passed_headers(environ),
            body=body,
            idempotency_key=key,
            received_ms=now,
            deadline_ms=now + self.deadline_ms,
            max_tokens=max_tokens,
        )

    def _answer_operator(
        self, environ: WsgiEnvironment, start_response: StartResponse
    ) -> Iterable[bytes]:
        try:
            status, headers, body = self._administer(environ)
        except AspengateError as error:
            return _answer_error(start_response, error, "", keyed=False)
        start_response(_status_line(status), headers)
        return [body]


class _Body:
    """Hands the chunks to the server and closes them when the caller goes away."""

    def __init__(self, chunks: Iterator[bytes]) -> None:
        self._chunks = chunks

    def __iter__(self) -> Iterator[bytes]:
        return self._chunks

    def close(self) -> None:
        close = getattr(self._chunks, "close", None)
        if close is not None:
            close()


def _read_completion(body: bytes) -> tuple[str, int | None]:
    try:
        fields = _COMPLETION_DECODER.decode(body)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where="body") from error
    if fields.max_tokens is not None and fields.max_tokens < 1:
        raise AspengateError(ErrorKind.BAD_REQUEST, "must be 1 or more", where="max_tokens")
    return fields.model, fields.max_tokens


def _api_key(environ: WsgiEnvironment) -> str:
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise AspengateError(
            ErrorKind.UNAUTHENTICATED, "an API key is needed: Authorization: Bearer KEY"
        )
    return str(key.strip())


_KEPT_APART = frozenset({"HTTP_AUTHORIZATION", "HTTP_IDEMPOTENCY_KEY", "HTTP_X_REQUEST_ID"})


def _passed_headers(environ: WsgiEnvironment) -> tuple[Header, ...]:
    headers = [
        Header(name[len("HTTP_") :].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_") and name not in _KEPT_APART
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(Header("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _answer_error(
    start_response: StartResponse, error: AspengateError, request_id: str, *, keyed: bool
) -> Iterable[bytes]:
    body = error.body(request_id)
    if keyed and error.kind not in _DECIDED and body.run_state == RunState.NOT_RUN.value:
        body = msgspec.structs.replace(body, run_state=RunState.UNKNOWN.value)
    encoded = msgspec.json.encode({"error": body})
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(encoded)))]
    if error.response.retry_after_s is not None:
        headers.append(("Retry-After", str(error.response.retry_after_s)))
    if request_id:
        headers.append(("X-Request-Id", request_id))
    start_response(_status_line(error.response.status), headers)
    return [encoded]


_DECIDED = frozenset({ErrorKind.BUDGET_EXHAUSTED, ErrorKind.BUDGET_UNAVAILABLE})


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Unknown"
