"""A client for the HTTP API of the platform's metadata store."""

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
            # Keep the raw text: the decoder of the item rejects it and reports its key.
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
class _Response:
    """A response of the store; ``era`` is the store history that it belongs to."""

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
    revision: int


_Body = TypeVar("_Body")


class PlatformStore:
    """Calls the store at ``address`` over HTTP, on persistent connections.

    The timeout of a call adapts to recent response times, up to ``timeout_ms``. Methods are
    thread-safe. ``calls`` counts calls by kind, also failed ones: the platform charges for each.
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
        """Return the item under ``key``, or None."""
        response = self._call("GET", f"/kv-key?{urlencode({'key': key})}")
        if response.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode(response.body, _Item).to_item(response.era)

    def probe(self) -> None:
        """Make the cheapest call that the store has; raises STORE_UNAVAILABLE if it fails."""
        self._call("GET", _PROBE, kind="probe")

    def list_items(self, prefix: str) -> Snapshot:
        """Return the items whose keys begin with ``prefix``.

        Pages form no snapshot: the result has the first page's revision, so a watch from it misses
        no change. Raises STORE_UNAVAILABLE if the store is restored from a copy between two pages.
        """
        query = {"pathPrefix": prefix}
        first, era = self._page(query)
        pages = [first]
        while pages[-1].more:
            page, page_era = self._page({**query, "sinceRev": pages[-1].items[-1].key})
            if page_era != era:
                raise AspengateError(
                    ErrorKind.STORE_UNAVAILABLE,
                    "restored from a copy between two pages",
                    where=prefix,
                )
            pages.append(page)
        items = tuple(item.to_item(era) for page in pages for item in page.items)
        return Snapshot(items, make_revision(era, first.at))

    def changes(self, prefix: str, since: int, wait_ms: int) -> Changes:
        """Wait up to ``wait_ms`` for changes after revision ``since``.

        Raises HistoryLostError if the store no longer has the changes since then.
        """
        self.era.check_watch(prefix, since)
        query = {"pathPrefix": prefix, "sinceRev": number_of(since), "waitMs": wait_ms}
        response = self._call(
            "GET", f"/kv-watch?{urlencode(query)}", wait_s=wait_ms / 1_000 + _WATCH_MARGIN_S
        )
        # A restored store may reach the same revision number again, and then sends no 410.
        if response.status == HTTPStatus.GONE or response.era != era_of(since):
            raise HistoryLostError(prefix)
        found = _decode(response.body, _Events)
        return Changes(
            tuple(event.to_item(response.era) for event in found.events if not event.gone),
            tuple(event.to_removal(response.era) for event in found.events if event.gone),
            make_revision(response.era, found.at),
        )

    def transact(self, conditions: Mapping[str, int], puts: tuple[Put, ...]) -> int:
        """Write all ``puts`` if each key in ``conditions`` is still at its revision.

        Returns the new revision; raises ConditionFailedError, OUTCOME_UNKNOWN or STORE_UNAVAILABLE.
        """
        return self._transact(conditions, puts, ())

    def remove(self, key: str) -> None:
        """Remove ``key`` if it exists."""
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
        response = self._call("POST", "/kv-txn", msgspec.json.encode(transaction), is_write=True)
        if response.status == HTTPStatus.PRECONDITION_FAILED:
            items = [item.to_item(response.era) for item in _decode(response.body, _Page).items]
            raise ConditionFailedError({item.key: item for item in items})
        check_write_era(conditions.values(), response.era)
        done = _decode(response.body, _Done, ErrorKind.OUTCOME_UNKNOWN)
        return make_revision(response.era, done.revision)

    def _page(self, query: Mapping[str, Any]) -> tuple[_Page, int]:
        """Return one page of a list and the era of the store that sent it."""
        response = self._call("GET", f"/kv-range?{urlencode(query)}")
        return _decode(response.body, _Page), response.era

    def _call(
        self,
        method: str,
        target: str,
        body: bytes | None = None,
        *,
        wait_s: float | None = None,
        is_write: bool = False,
        kind: str = "",
    ) -> _Response:
        is_watch = wait_s is not None
        connection = self._connections.acquire(is_watch=is_watch)
        with self._lock:
            self.calls[kind or _KINDS[target.partition("?")[0]]] += 1
        failure = ErrorKind.OUTCOME_UNKNOWN if is_write else ErrorKind.STORE_UNAVAILABLE
        started_ms = self.clock.monotonic_ms()
        try:
            connection.sock.settimeout(wait_s or self.timeout.value_ms / 1_000)
            headers = {"Content-Type": "application/json"} if body is not None else {}
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException) as error:
            self._connections.discard(connection, is_watch=is_watch)
            if not is_watch and isinstance(error, TimeoutError):
                self.timeout.record_timeout()
            raise AspengateError(failure, repr(error), where=target.partition("?")[0]) from error
        if not is_watch:
            self.timeout.record_answer(self.clock.monotonic_ms() - started_ms)
        self._connections.release(connection)
        era = self._read_era(response)
        self.era.record(era)
        if response.status in _NOT_EXECUTED:
            raise AspengateError(
                ErrorKind.STORE_UNAVAILABLE, f"status {response.status}", where=self.address
            )
        if response.status not in _EXPECTED_STATUSES:
            message = f"status {response.status}"
            raise AspengateError(failure, message, where=target.partition("?")[0])
        self.last_answer_ms = self.clock.monotonic_ms()
        return _Response(response.status, content, era)

    def _read_era(self, response: http.client.HTTPResponse) -> int:
        """Return a response's era; 0 if unreadable or absent, as from a store with one history."""
        text = response.getheader(_ERA_HEADER, "0")
        if _ERA_PATTERN.fullmatch(text) and int(text) <= MAX_ERA:
            return int(text)
        self.era.log_unreadable(text)
        return 0

    def abort_watches(self) -> None:
        """Make the pending watches fail, so that their callers start new ones."""
        self._connections.abort_watches()

    def idle_sockets(self) -> list[socket.socket]:
        """Return the sockets of the idle connections."""
        return self._connections.idle_sockets()


# A key that never exists, for a short 404. A stale read costs a tenth of a current one.
_PROBE = "/kv-key?key=aspengate%2Fprobe&stale=1"
_ERA_HEADER = "Store-Era"
_ERA_PATTERN = re.compile(r"[0-9]{1,19}", re.ASCII)
_KINDS = {"/kv-key": "get", "/kv-range": "list", "/kv-watch": "watch", "/kv-txn": "write"}
_NOT_EXECUTED = frozenset({HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS})
_EXPECTED_STATUSES = frozenset(
    {HTTPStatus.OK, HTTPStatus.NOT_FOUND, HTTPStatus.GONE, HTTPStatus.PRECONDITION_FAILED}
)


def _decode(
    body: bytes, kind: type[_Body], failure: ErrorKind = ErrorKind.STORE_UNAVAILABLE
) -> _Body:
    try:
        return msgspec.json.decode(body, type=kind)
    except DECODE_ERRORS as error:
        raise AspengateError(failure, str(error), where="store response") from error
