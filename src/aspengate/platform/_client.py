"""The client of the platform's metadata store."""

import base64
import http.client
import re
import socket
import threading
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import urlencode

import msgspec

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.store import (
    DECODE_ERRORS,
    MAX_ERA,
    AdaptiveTimeout,
    Changes,
    ConditionFailedError,
    HistoryLostError,
    Put,
    Removal,
    Snapshot,
    StoreConnections,
    StoreEra,
    StoreItem,
    check_write_era,
    era_of,
    make_revision,
    number_of,
)

_WATCH_MARGIN_S = 2.0


class _Item(msgspec.Struct):
    key: str = ""
    value: str = ""
    revision: int = 0
    gone: bool = False
    at: int = 0

    def to_item(self, era: int) -> StoreItem:
        try:
            value = base64.b64decode(self.value, validate=True)
        except ValueError:
            # Whoever reads the item finds that it can't be read, and tells with its key.
            value = self.value.encode()
        return StoreItem(self.key, value, make_revision(era, self.revision))

    def to_removal(self, era: int) -> Removal:
        return Removal(self.key, make_revision(era, self.revision))


class _Page(msgspec.Struct):
    items: list[_Item] = []
    more: bool = False
    at: int = 0


class _Events(msgspec.Struct):
    events: list[_Item] = []
    at: int = 0


@dataclass(frozen=True)
class _Answer:
    """An answer of the store, as of the history ``era``."""

    status: int
    body: bytes
    era: int


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
    """

    def __init__(self, address: str, timeout_ms: float, clock: Clock) -> None:
        self.address = address
        self.timeout = AdaptiveTimeout(timeout_ms)
        self.clock = clock
        self.last_answer_ms = float("-inf")
        self.calls: Counter[str] = Counter()
        self.era = StoreEra()
        self._connections = StoreConnections(address)
        self._lock = threading.Lock()

    def get(self, key: str) -> StoreItem | None:
        """Return the item under ``key``, if any."""
        answer = self._call("GET", f"/kv-key?{urlencode({'key': key})}")
        if answer.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode(answer.body, _Item).to_item(answer.era)

    def probe(self) -> None:
        """Ask for the cheapest answer there is; raises STORE_UNAVAILABLE where none comes."""
        self._call("GET", _PROBE, kind="probe")

    def list_items(self, prefix: str) -> Snapshot:
        """Return the items whose keys begin with ``prefix``.

        Pages form no snapshot, so the first page's revision is the one that holds for all.
        """
        query = {"pathPrefix": prefix}
        first, era = self._page(query)
        pages = [first]
        while pages[-1].more:
            page, page_era = self._page({**query, "sinceRev": pages[-1].items[-1].key})
            if page_era != era:
                raise AspengateError(
                    ErrorKind.STORE_UNAVAILABLE, "came back from a copy between pages", where=prefix
                )
            pages.append(page)
        items = tuple(item.to_item(era) for page in pages for item in page.items)
        return Snapshot(items, make_revision(era, first.at))

    def changes(self, prefix: str, since: int, wait_ms: int) -> Changes:
        """Wait up to ``wait_ms`` for changes after revision ``since``."""
        self.era.check_watch(prefix, since)
        query = {"pathPrefix": prefix, "sinceRev": number_of(since), "waitMs": wait_ms}
        answer = self._call(
            "GET", f"/kv-watch?{urlencode(query)}", wait_s=wait_ms / 1_000 + _WATCH_MARGIN_S
        )
        # The number of an earlier history may exist again, and then no 410 comes.
        if answer.status == HTTPStatus.GONE or answer.era != era_of(since):
            raise HistoryLostError(prefix)
        found = _decode(answer.body, _Events)
        return Changes(
            tuple(event.to_item(answer.era) for event in found.events if not event.gone),
            tuple(event.to_removal(answer.era) for event in found.events if event.gone),
            make_revision(answer.era, found.at),
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
        self.era.check_conditions(conditions.values())
        transaction = _Transaction(
            [_Condition(key, number_of(revision)) for key, revision in conditions.items()],
            [_Write(put.key, base64.b64encode(put.value).decode()) for put in puts],
            list(drops),
        )
        answer = self._call("POST", "/kv-txn", msgspec.json.encode(transaction), is_write=True)
        if answer.status == HTTPStatus.PRECONDITION_FAILED:
            items = [item.to_item(answer.era) for item in _decode(answer.body, _Page).items]
            raise ConditionFailedError({item.key: item for item in items})
        check_write_era(conditions.values(), answer.era)
        return make_revision(answer.era, _decode(answer.body, _Done).revision)

    def _page(self, query: Mapping[str, Any]) -> tuple[_Page, int]:
        """Return a page of a list and the history that it is of."""
        answer = self._call("GET", f"/kv-range?{urlencode(query)}")
        return _decode(answer.body, _Page), answer.era

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        *,
        wait_s: float | None = None,
        is_write: bool = False,
        kind: str = "",
    ) -> _Answer:
        is_watch = wait_s is not None
        connection = self._connections.acquire(is_watch=is_watch)
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
            self._connections.discard(connection, is_watch=is_watch)
            if not is_watch and isinstance(error, TimeoutError):
                self.timeout.record_timeout()
            raise AspengateError(unknown, repr(error), where=target.partition("?")[0]) from error
        if not is_watch:
            self.timeout.record_answer(self.clock.monotonic_ms() - begun_ms)
        self._connections.release(connection)
        era = self._read_era(answer)
        self.era.record(era)
        if answer.status in _NOTHING_DONE:
            raise AspengateError(
                ErrorKind.STORE_UNAVAILABLE, f"status {answer.status}", where=self.address
            )
        if answer.status not in _EXPECTED:
            message = f"status {answer.status}"
            raise AspengateError(unknown, message, where=target.partition("?")[0])
        self.last_answer_ms = self.clock.monotonic_ms()
        return _Answer(answer.status, content, era)

    def _read_era(self, answer: http.client.HTTPResponse) -> int:
        """Return the history that an answer names; a store that names none has only one, 0."""
        named = answer.getheader(_ERA_HEADER, "0")
        if _ERA_PATTERN.fullmatch(named) and int(named) <= MAX_ERA:
            return int(named)
        self.era.log_unreadable(named)
        return 0

    def abort_watches(self) -> None:
        """Have the watches that wait fail, so that they are made anew."""
        self._connections.abort_watches()

    def idle_sockets(self) -> list[socket.socket]:
        """Return the sockets of the connections that wait for a call."""
        return self._connections.idle_sockets()


# A key that is never there: nothing but a short 404 comes. A read that may be old costs a tenth.
_PROBE = "/kv-key?key=aspengate%2Fprobe&stale=1"
_ERA_HEADER = "Store-Era"
_ERA_PATTERN = re.compile(r"[0-9]{1,19}", re.ASCII)
_KINDS = {"/kv-key": "get", "/kv-range": "list", "/kv-watch": "watch", "/kv-txn": "write"}
_NOTHING_DONE = frozenset({HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS})
_EXPECTED = frozenset(
    {HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.GONE, HTTPStatus.PRECONDITION_FAILED}
)


def _decode(body: bytes, kind: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        raise AspengateError(
            ErrorKind.STORE_UNAVAILABLE, str(error), where="the store's answer"
        ) from error
