"""HTTP calls between routers: the state of a mirror of the store, and a session's ceilings."""

import contextlib
import http.client
import socket
import threading
import zlib
from collections.abc import Callable, Iterable, Iterator, Mapping
from http import HTTPStatus
from typing import Protocol
from urllib.parse import parse_qs, urlencode

import msgspec

from aspengate.connections import StrictHTTPConnection
from aspengate.errors import AspengateError, ErrorKind
from aspengate.peers._messages import (
    CeilingNotice,
    CrashNotice,
    GrantNotice,
    LimitNotice,
    LoanReply,
    LoanRequest,
    PermitReply,
    PermitRequest,
    PermitUse,
    PlacedRequest,
    Repayment,
    RolloutNotice,
    RolloutReport,
    StreamNotice,
    StreamQuery,
    StreamReply,
)
from aspengate.serving import StartResponse, WsgiEnvironment
from aspengate.store import (
    DECODE_ERRORS,
    Changes,
    MirrorState,
    Removal,
    Snapshot,
    StoreItem,
    StoreMirror,
    era_of,
    make_revision,
    number_of,
)

# A response may take this many times as long as a single read, and have this length.
_MAX_TIMEOUTS = 4
_MAX_RESPONSE_BYTES = 16 * 1024 * 1024
_MIRROR_PATH = "/mirror"
# The fastest level reduces a generated list of 3,000 replicas from 765 to 43 KB in 4 ms.
_COMPRESSION_LEVEL = 1
# The first byte of zlib data; a msgpack array starts with a different byte.
_ZLIB_FIRST_BYTE = b"\x78"
_CEILINGS_PATH = "/ceilings"


class _Item(msgspec.Struct, array_like=True):
    """An item of the store; ``revision`` is its change number in the era that the body names."""

    key: str
    value: bytes
    revision: int


class _Removal(msgspec.Struct, array_like=True):
    """A removed key; ``revision`` is its change number in the era that the body names."""

    key: str
    revision: int


class _MirrorBody(msgspec.Struct, array_like=True):
    """The state of a mirror if ``is_whole``, otherwise the changes since the revision asked for.

    Revisions are change numbers in ``era``. Builds that predate eras do not send it.
    """

    items: list[_Item]
    revision: int
    changed: int
    removed: list[_Removal] = []
    is_whole: bool = True
    era: int = 0


class _CeilingsBody(msgspec.Struct, array_like=True):
    """The ceilings of a session that was closed, in tokens by account."""

    ceilings: dict[str, int]


class PeerServices(Protocol):
    """Interface of the services that a router provides to its peers."""

    def handle_loan_request(
        self, request: LoanRequest, answer: Callable[[LoanReply], None]
    ) -> None:
        """Lend tokens; ``answer`` is called with the reply once the amount is decided."""

    def handle_repayment(self, payment: Repayment) -> bool:
        """Accept repaid tokens; return whether they are credited."""

    def accept_ceilings(self, notice: CeilingNotice) -> bool:
        """Record the maximum use of a session; return False if it cannot be accepted any more."""

    def close_witnessed(self, session: str) -> dict[str, int] | None:
        """Close a session and return its ceilings in tokens by account; None if it is unknown."""

    def handle_grants(self, notice: GrantNotice) -> None:
        """Record what the store granted to another router's session."""

    def handle_placed_request(self, placed: PlacedRequest) -> None:
        """Record a request that another router sent to a replica."""

    def handle_crash_notice(self, notice: CrashNotice) -> None:
        """Record what another router observed of requests that crash replicas."""

    def known_crashes(self) -> CrashNotice | None:
        """Return the recent crashes for a router that may have missed them, or None."""

    def handle_limit_notice(self, notice: LimitNotice, reported_by: str) -> None:
        """Record the limits of replicas that the router at ``reported_by`` reports."""

    def known_limits(self) -> LimitNotice | None:
        """Return the known limits for a router that may have missed them, or None."""

    def handle_permit_request(
        self, request: PermitRequest
    ) -> tuple[PermitReply, LimitNotice | None]:
        """Grant another router a permit if one is free; return newer limits that it lacks too."""

    def handle_rollout_report(self, report: RolloutReport) -> None:
        """Record another router's evidence on a rollout."""

    def handle_rollout_notice(self, notice: RolloutNotice, reported_by: str) -> None:
        """Stop sending to the targets that the router at ``reported_by`` found to be bad."""

    def known_halted_rollouts(self) -> RolloutNotice | None:
        """Return the halted rollouts for a router that may have missed them, or None."""

    def handle_stream_notice(self, notice: StreamNotice) -> None:
        """Remember streams that another router serves."""

    def handle_stream_query(self, query: StreamQuery) -> StreamReply:
        """Return what this router knows of a stream that another router is asked to continue."""

    def handle_permit_use(self, use: PermitUse) -> None:
        """Record whether a permit that another router was granted has been used."""


class PeerApplication:
    """Serves the HTTP calls of other routers as a WSGI application.

    ``mirrors`` are the mirrors of the store by prefix. ``services`` closes witnessed sessions.
    """

    def __init__(self, mirrors: Mapping[str, StoreMirror], services: PeerServices) -> None:
        self._mirrors = mirrors
        self._services = services
        self._encoded: dict[tuple[str, int], tuple[int, bytes]] = {}

    def __call__(self, environ: WsgiEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        """Respond to one call of a peer, with status 404 if what it asks for is unknown."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        try:
            body = self._body(environ["PATH_INFO"], query)
        except (KeyError, ValueError):
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        headers = [("Content-Type", "application/msgpack"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]

    def _body(self, path: str, query: Mapping[str, list[str]]) -> bytes:
        if path == _CEILINGS_PATH:
            ceilings = self._services.close_witnessed(query["session"][0])
            if ceilings is None:
                raise KeyError(path)
            return msgspec.msgpack.encode(_CeilingsBody(ceilings))
        if path != _MIRROR_PATH:
            raise KeyError(path)
        prefix = query["prefix"][0]
        since = query.get("since")
        if since is None:
            # Builds that send no revision cannot read a compressed response either.
            return msgspec.msgpack.encode(_body_for_prefix(self._mirrors, prefix))
        era = query.get("era", ["0"])[0]
        return self._encoded_mirror(prefix, make_revision(int(era), int(since[0])))

    def _encoded_mirror(self, prefix: str, since: int) -> bytes:
        """Return a mirror's encoded body; whole lists are cached, since many peers ask at once."""
        mirror = self._mirrors[prefix]
        cached = self._encoded.get((prefix, since))
        if cached is not None and cached[0] == mirror.state.revision:
            return cached[1]
        body = _mirror_body(mirror, since)
        encoded = zlib.compress(msgspec.msgpack.encode(body), _COMPRESSION_LEVEL)
        if body.is_whole:
            revision = make_revision(body.era, body.revision)
            self._encoded = {(prefix, since): (revision, encoded)}
        return encoded


def _mirror_body(mirror: StoreMirror, since: int) -> _MirrorBody:
    """Return the changes since a revision, or the whole state if they are not known."""
    state = mirror.state
    changes = mirror.changes_since(since)
    if changes is None:
        return _whole_body(state, state.items.values())
    return _MirrorBody(
        _as_items(changes.written),
        number_of(changes.revision),
        number_of(state.changed_revision),
        [_Removal(each.key, number_of(each.revision)) for each in changes.removed],
        is_whole=False,
        era=era_of(changes.revision),
    )


def _whole_body(state: MirrorState, items: Iterable[StoreItem]) -> _MirrorBody:
    return _MirrorBody(
        _as_items(items),
        number_of(state.revision),
        number_of(state.changed_revision),
        era=era_of(state.revision),
    )


def _as_items(items: Iterable[StoreItem]) -> list[_Item]:
    return [_Item(each.key, each.value, number_of(each.revision)) for each in items]


def _body_for_prefix(mirrors: Mapping[str, StoreMirror], prefix: str) -> _MirrorBody:
    """Return all items below a prefix, from the mirror of that prefix or of a shorter one.

    Raises KeyError if there is no such mirror.
    """
    for mirrored, mirror in mirrors.items():
        if prefix.startswith(mirrored):
            state = mirror.state
            items = state.items.values()
            return _whole_body(state, (each for each in items if each.key.startswith(prefix)))
    raise KeyError(prefix)


class PeerClient:
    """Calls other routers; ``timeout_ms`` is the socket timeout of each call in ms.

    ``on_received`` is called with the address, the kind of call and the size of each response.
    """

    def __init__(
        self,
        timeout_ms: float,
        on_received: Callable[[str, str, int], None] = lambda _address, _kind, _size: None,
    ) -> None:
        self.timeout_ms = timeout_ms
        self._on_received = on_received

    def fetch_mirror(self, address: str, prefix: str, since: int = 0) -> Snapshot | Changes:
        """Return the changes of a peer's mirror after the revision ``since``, or its whole state.

        Changes are preferred for their size: a list of 3,000 replicas has 750 KB, a change of one
        replica 250 bytes. Raises STORE_UNAVAILABLE if the peer fails to respond.
        """
        query = urlencode({"prefix": prefix, "since": number_of(since), "era": era_of(since)})
        content = self._request(address, f"{_MIRROR_PATH}?{query}")
        try:
            body = msgspec.msgpack.decode(_decompressed(content), type=_MirrorBody)
        except (*DECODE_ERRORS, zlib.error) as error:
            raise _unavailable(address, error) from error
        items = tuple(
            StoreItem(each.key, each.value, make_revision(body.era, each.revision))
            for each in body.items
        )
        revision = make_revision(body.era, body.revision)
        if body.is_whole:
            return Snapshot(items, revision, make_revision(body.era, body.changed))
        removed = tuple(
            Removal(each.key, make_revision(body.era, each.revision)) for each in body.removed
        )
        return Changes(items, removed, revision)

    def close_witnessed(self, address: str, session: str) -> dict[str, int]:
        """Close a session at the peer that witnesses it, and return the session's ceilings.

        Raises STORE_UNAVAILABLE if the peer fails to respond or has no such session.
        """
        target = f"{_CEILINGS_PATH}?{urlencode({'session': session})}"
        content = self._request(address, target, method="POST")
        try:
            return msgspec.msgpack.decode(content, type=_CeilingsBody).ceilings
        except DECODE_ERRORS as error:
            raise _unavailable(address, error) from error

    def _request(self, address: str, target: str, method: str = "GET") -> bytes:
        connection = StrictHTTPConnection(address, timeout=self.timeout_ms / 1_000)
        try:
            connection.connect()
            with _time_limit(connection.sock, self.timeout_ms * _MAX_TIMEOUTS):
                connection.request(method, target)
                response = connection.getresponse()
                content = response.read(_MAX_RESPONSE_BYTES + 1)
                if len(content) > _MAX_RESPONSE_BYTES or response.length:
                    raise http.client.IncompleteRead(b"", response.length)
        except (OSError, http.client.HTTPException) as error:
            raise _unavailable(address, error) from error
        finally:
            connection.close()
        self._on_received(address, target.partition("?")[0].strip("/"), len(content))
        if response.status != HTTPStatus.OK:
            raise AspengateError(
                ErrorKind.STORE_UNAVAILABLE,
                f"peer responded with status {response.status}",
                where=address,
            )
        return content


@contextlib.contextmanager
def _time_limit(connected: socket.socket, limit_ms: float) -> Iterator[None]:
    """Shut a connection down after ``limit_ms``; raises TimeoutError if that happened.

    The timeout of a socket applies to each read, so that a peer that sends byte by byte would
    never exceed it.
    """
    expired = threading.Event()

    def expire() -> None:
        expired.set()
        with contextlib.suppress(OSError):
            connected.shutdown(socket.SHUT_RDWR)

    timer = threading.Timer(limit_ms / 1_000, expire)
    timer.daemon = True
    timer.start()
    try:
        yield
    finally:
        timer.cancel()
    if expired.is_set():
        raise TimeoutError("the response took too long")


def _decompressed(content: bytes) -> bytes:
    """Return the decompressed content; builds that predate the compression send it plain."""
    return zlib.decompress(content) if content[:1] == _ZLIB_FIRST_BYTE else content


def _unavailable(address: str, cause: Exception) -> AspengateError:
    return AspengateError(ErrorKind.STORE_UNAVAILABLE, repr(cause), where=address)
