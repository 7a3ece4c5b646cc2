"""The client of the platform's metadata store."""

import base64
import contextlib
import http.client
import re
import socket
import threading
from collections import Counter
from collections.abc import Callable, Mapping
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from aspengate.clock import Clock
from aspengate.connections import detect_silence
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import (
    DECODE_ERRORS,
    AdaptiveTimeout,
    Changes,
    ConditionFailedError,
    HistoryLostError,
    Put,
    Removal,
    SilenceCount,
    Snapshot,
    StoreItem,
)

# A connection comes up within a round trip of a few ms, or after the opening packet was lost; a
# new one is then tried sooner than the system sends it again after 1 s.
_CONNECT_TIMEOUT_S = 0.5
_WATCH_MARGIN_S = 2.0
_IDLE_CONNECTIONS = 4


class _Item(msgspec.Struct):
    key: str = ""
    value: str = ""
    revision: int = 0
    gone: bool = False
    at: int = 0

    def to_item(self) -> StoreItem:
        try:
            value = base64.b64decode(self.value, validate=True)
        except ValueError:
            # Whoever reads the item finds that it can't be read, and tells with its key.
            value = self.value.encode()
        return StoreItem(self.key, value, self.revision)


class _Page(msgspec.Struct):
    items: list[_Item] = []
    more: bool = False
    at: int = 0


class _Events(msgspec.Struct):
    events: list[_Item] = []
    at: int = 0


class _Condition(msgspec.Struct):
    key: str
    revision: int


class _Write(msgspec.Struct):
    key: str
    value: str
    lease: int = 0


class _Transaction(msgspec.Struct, rename="camel"):
    expected_rev: list[_Condition]
    put: list[_Write]
    drop: list[str]


class _Done(msgspec.Struct):
    revision: int = 0


_Body = TypeVar("_Body")


class PlatformStore:
    """Calls the store at ``address`` over HTTP, on connections that are kept for more calls.

    ``timeout_ms`` bounds the wait for one answer; the wait follows the time that answers take.
    It may be called from any thread. ``calls`` counts the calls made, by what they do; each has
    a price, also one that fails.

    ``era`` is the highest history that an answer has named: it rises by one each time the store
    comes back from an older copy of itself. ``on_era`` is called with the one before where it
    rises, on the thread whose call was answered.
    """

    def __init__(self, address: str, timeout_ms: float, clock: Clock) -> None:
        self.address = address
        self.timeout = AdaptiveTimeout(timeout_ms)
        self.clock = clock
        self.answered_ms = float("-inf")
        self.calls: Counter[str] = Counter()
        self.era = 0
        self.on_era: Callable[[int], None] = lambda _: None
        self._idle: list[http.client.HTTPConnection] = []
        self._silence = SilenceCount()
        self._watches: set[http.client.HTTPConnection] = set()
        self._lock = threading.Lock()

    def get(self, key: str) -> StoreItem | None:
        """Return the item under ``key``, if any."""
        status, body = self._call("GET", f"/kv-key?{urlencode({'key': key})}")
        if status == HTTPStatus.NOT_FOUND:
            return None
        return _decode(body, _Item).to_item()

    def probe(self) -> None:
        """Ask for the cheapest answer there is; raises STORE_UNAVAILABLE where none comes."""
        self._call("GET", _PROBE, kind="probe")

    def list_items(self, prefix: str) -> Snapshot:
        """Return the items whose keys begin with ``prefix``.

        Pages form no snapshot, so the first page's revision is the one that holds for all.
        """
        query = {"pathPrefix": prefix}
        pages = [self._page(query)]
        while pages[-1].more:
            pages.append(self._page({**query, "sinceRev": pages[-1].items[-1].key}))
        items = tuple(item.to_item() for page in pages for item in page.items)
        return Snapshot(items, pages[0].at)

    def changes(self, prefix: str, since: int, wait_ms: int) -> Changes:
        """Wait up to ``wait_ms`` for changes after revision ``since``."""
        query = {"pathPrefix": prefix, "sinceRev": since, "waitMs": wait_ms}
        status, body = self._call(
            "GET", f"/kv-watch?{urlencode(query)}", wait_s=wait_ms / 1_000 + _WATCH_MARGIN_S
        )
        if status == HTTPStatus.GONE:
            raise HistoryLostError(prefix)
        answer = _decode(body, _Events)
        return Changes(
            tuple(event.to_item() for event in answer.events if not event.gone),
            tuple(Removal(event.key, event.revision) for event in answer.events if event.gone),
            answer.at,
        )

    def transact(self, conditions: Mapping[str, int], puts: tuple[Put, ...]) -> int:
        """Write all ``puts`` if each key in ``conditions`` is still at its revision."""
        return self._transact(conditions, puts, ())

    def remove(self, key: str) -> None:
        """Remove ``key`` where it is there."""
        self._transact({}, (), (key,))

    def _transact(
        self, conditions: Mapping[str, int], puts: tuple[Put, ...], drops: tuple[str, ...]
    ) -> int:
        transaction = _Transaction(
            [_Condition(key, revision) for key, revision in conditions.items()],
            [_Write(put.key, base64.b64encode(put.value).decode()) for put in puts],
            list(drops),
        )
        status, body = self._call(
            "POST", "/kv-txn", msgspec.json.encode(transaction), is_write=True
        )
        if status == HTTPStatus.PRECONDITION_FAILED:
            present = (item.to_item() for item in _decode(body, _Page).items)
            raise ConditionFailedError({item.key: item for item in present})
        return _decode(body, _Done).revision

    def _page(self, query: Mapping[str, Any]) -> _Page:
        _, body = self._call("GET", f"/kv-range?{urlencode(query)}")
        return _decode(body, _Page)

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        *,
        wait_s: float | None = None,
        is_write: bool = False,
        kind: str = "",
    ) -> tuple[int, bytes]:
        is_watch = wait_s is not None
        connection = self._take(is_watch=is_watch)
        with self._lock:
            self.calls[kind or _KINDS[target.partition("?")[0]]] += 1
        unknown = ErrorKind.OUTCOME_UNKNOWN if is_write else ErrorKind.STORE_UNAVAILABLE
        begun_ms = self.clock.monotonic_ms()
        try:
            connection.sock.settimeout(wait_s or self.timeout.value_ms / 1_000)
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, target, body, headers)
            answer = connection.getresponse()
            content = answer.read()
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            self._drop_idle()
            if not is_watch:
                self._note_unanswered()
            if not is_watch and isinstance(error, TimeoutError):
                self.timeout.missed()
            raise AspengateError(unknown, repr(error), where=target.partition("?")[0]) from error
        finally:
            with self._lock:
                self._watches.discard(connection)
        self._silence.answered()
        if not is_watch:
            self.timeout.answered(self.clock.monotonic_ms() - begun_ms)
        self._give_back(connection)
        self._note_era(_era_of(answer))
        if answer.status in _NOTHING_DONE:
            raise AspengateError(
                ErrorKind.STORE_UNAVAILABLE, f"status {answer.status}", where=self.address
            )
        if answer.status not in _EXPECTED:
            message = f"status {answer.status}"
            raise AspengateError(unknown, message, where=target.partition("?")[0])
        self.answered_ms = self.clock.monotonic_ms()
        return answer.status, content

    def _note_era(self, era: int) -> None:
        with self._lock:
            before = self.era
            self.era = max(era, before)
        if era > before:
            self.on_era(before)

    def _take(self, *, is_watch: bool) -> http.client.HTTPConnection:
        with self._lock:
            idle = self._idle.pop() if self._idle else None
        connection = idle or self._open()
        if is_watch:
            with self._lock:
                self._watches.add(connection)
        return connection

    def _open(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(self.address, timeout=_CONNECT_TIMEOUT_S)
        try:
            connection.connect()
            detect_silence(connection.sock)
        except OSError as error:
            connection.close()
            self._note_unanswered()
            raise AspengateError(
                ErrorKind.STORE_UNAVAILABLE, repr(error), where=self.address
            ) from error
        return connection

    def _note_unanswered(self) -> None:
        """Note a call without an answer, and end the watches that wait where these are in doubt."""
        with self._lock:
            if not self._silence.unanswered():
                return
        self.end_watches()

    def end_watches(self) -> None:
        """Have the watches that wait fail, so that they are made anew."""
        with self._lock:
            watches, self._watches = self._watches, set()
        for sock in [connection.sock for connection in watches]:
            # A watch that has just ended by itself has no socket any more.
            if sock is not None:
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)

    def idle_sockets(self) -> list[socket.socket]:
        """Return the sockets of the connections that wait for a call."""
        with self._lock:
            return [connection.sock for connection in self._idle]

    def _drop_idle(self) -> None:
        """Close what waits for a call, since it probably failed along with another one."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _give_back(self, connection: http.client.HTTPConnection) -> None:
        with self._lock:
            if connection.sock is not None and len(self._idle) < _IDLE_CONNECTIONS:
                self._idle.append(connection)
                return
        connection.close()


# A key that is never there: nothing but a short 404 comes. A read that may be old costs a tenth.
_PROBE = "/kv-key?key=aspengate%2Fprobe&stale=1"
_ERA_HEADER = "Store-Era"
_ERA_PATTERN = re.compile(r"[0-9]{1,6}", re.ASCII)
_KINDS = {"/kv-key": "get", "/kv-range": "list", "/kv-watch": "watch", "/kv-txn": "write"}
_NOTHING_DONE = frozenset({HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS})
_EXPECTED = frozenset(
    {HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.GONE, HTTPStatus.PRECONDITION_FAILED}
)


def _era_of(answer: http.client.HTTPResponse) -> int:
    """Return the history that an answer names; a store that names none has only one, 0."""
    named = answer.getheader(_ERA_HEADER, "")
    return int(named) if _ERA_PATTERN.fullmatch(named) else 0


def _decode(body: bytes, kind: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        raise AspengateError(
            ErrorKind.STORE_UNAVAILABLE, str(error), where="the store's answer"
        ) from error
