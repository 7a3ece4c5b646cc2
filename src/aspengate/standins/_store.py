"""Stand-in of the platform's key-value service."""

import base64
import json
import threading
import time
from collections import Counter
from collections.abc import Iterable
from typing import Any

from aspengate.adapters import Entry
from aspengate.errors import AspengateError, ErrorKind
from aspengate.serving import StartResponse, WsgiEnvironment
from aspengate.standins._faults import Faults

_MAX_VALUE_BYTES = 1_000_000
_WATCH_POLL_S = 0.2


class MemoryStore:
    """An in-memory key-value store that counts its calls and supports fault injection."""

    def __init__(self, faults: Faults | None = None) -> None:
        self.faults = faults or Faults()
        self.calls: Counter[str] = Counter()
        self._entries: dict[str, Entry] = {}
        self._revision = 0
        self._changed = threading.Condition()

    def get(self, key: str) -> Entry | None:
        """Return the entry of ``key``, or ``None`` if there is none."""
        self._enter("read")
        with self._changed:
            return self._entries.get(key)

    def compare_and_swap(self, key: str, revision: int, value: bytes) -> int | None:
        """Write ``value`` if ``key`` is at ``revision``, which is 0 for an absent key.

        Returns the new revision, or ``None`` if the key is at another revision. Raises
        AspengateError of kind TOO_LARGE, STORE_UNAVAILABLE, or OUTCOME_UNKNOWN if the value
        was written but its response is to be lost.
        """
        self._enter("write")
        if len(value) > _MAX_VALUE_BYTES:
            raise AspengateError(ErrorKind.TOO_LARGE, "value above 1 MB", where=key)
        with self._changed:
            current = self._entries.get(key)
            if (current.revision if current else 0) != revision:
                return None
            self._revision += 1
            self._entries[key] = Entry(value, self._revision)
            self.calls["written_bytes"] += len(value)
            self._changed.notify_all()
            written = self._revision
        if self.faults.consume_lost_answer():
            raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "answer lost", where=key)
        return written

    def watch(self, key: str, after_revision: int, timeout_ms: float) -> Entry | None:
        """Return the entry of ``key`` once it is above ``after_revision``; ``None`` on timeout."""
        self._enter("watch")
        deadline = time.monotonic() + timeout_ms / 1_000
        with self._changed:
            while True:
                if self.faults.down:
                    raise AspengateError(ErrorKind.STORE_UNAVAILABLE, "store is down", where=key)
                entry = self._entries.get(key)
                if entry is not None and entry.revision > after_revision:
                    return entry
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return None
                self._changed.wait(min(remaining, _WATCH_POLL_S))

    def _enter(self, purpose: str) -> None:
        if self.faults.delay_ms:
            time.sleep(self.faults.delay_ms / 1_000)
        self.calls[purpose] += 1
        if self.faults.down:
            self.calls["failed"] += 1
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, "store is down")


class StoreApplication:
    """Serves a MemoryStore over the JSON API of etcd v3, and its faults under ``/faults``."""

    def __init__(self, store: MemoryStore) -> None:
        self.store = store

    def __call__(self, environ: WsgiEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        """Respond to one request."""
        path = environ["PATH_INFO"]
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = json.loads(environ["wsgi.input"].read(length) or b"{}")
        try:
            reply = self._dispatch(path, body)
        except AspengateError as error:
            start_response("503 Service Unavailable", [("Content-Type", "application/json")])
            if error.kind is ErrorKind.OUTCOME_UNKNOWN:
                return _aborted_response()
            return [json.dumps({"error": str(error)}).encode()]
        if reply is None:
            start_response("404 Not Found", [])
            return [b"{}"]
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(reply).encode() + b"\n"]

    def _dispatch(self, path: str, body: dict[str, Any]) -> dict[str, Any] | None:
        if path == "/v3/kv/range":
            return self._range(body)
        if path == "/v3/kv/txn":
            return self._transaction(body)
        if path == "/v3/watch":
            return self._watch(body["create_request"])
        if path == "/faults":
            return self._set_faults(body)
        return None

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        key = base64.b64decode(body["key"]).decode()
        entry = self.store.get(key)
        return {"kvs": [_pair(key, entry)] if entry else []}

    def _transaction(self, body: dict[str, Any]) -> dict[str, Any]:
        compare = body["compare"][0]
        put = body["success"][0]["request_put"]
        key = base64.b64decode(compare["key"]).decode()
        revision = self.store.compare_and_swap(
            key, int(compare["mod_revision"]), base64.b64decode(put["value"])
        )
        return {"succeeded": revision is not None, "header": {"revision": str(revision or 0)}}

    def _watch(self, request: dict[str, Any]) -> dict[str, Any]:
        key = base64.b64decode(request["key"]).decode()
        after = int(request["start_revision"]) - 1
        entry = self.store.watch(key, after, timeout_ms=20_000)
        events = [{"kv": _pair(key, entry)}] if entry else []
        return {"result": {"events": events}}

    def _set_faults(self, body: dict[str, Any]) -> dict[str, Any]:
        faults = self.store.faults
        faults.down = bool(body.get("down", faults.down))
        faults.delay_ms = float(body.get("delay_ms", faults.delay_ms))
        faults.lose_answers = int(body.get("lose_answers", faults.lose_answers))
        return {"calls": dict(self.store.calls)}


def _pair(key: str, entry: Entry) -> dict[str, str]:
    return {
        "key": base64.b64encode(key.encode()).decode(),
        "value": base64.b64encode(entry.value).decode(),
        "mod_revision": str(entry.revision),
    }


def _aborted_response() -> Iterable[bytes]:
    raise ConnectionAbortedError("response dropped by an injected fault")
    yield b""
