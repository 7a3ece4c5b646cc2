"""A test double of the metadata store: revisions, prefix watches, conditional writes."""

import base64
import copy
import json
import socket
import struct
import threading
import time
from collections import Counter
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

WATCH_STEP_S = 0.05
UNRESPONSIVE = ("silent", "mute")
# Keys that the gateways write; the others are written by the operator and the replicas.
SYSTEM_PREFIXES = ("aspengate/", "status/")
RESET = struct.pack("ii", 1, 0)


class StoreEndpoint:
    """An address of the store with its own faults: ``busy``, ``reset``, ``silent``, ``mute``.

    Both ``silent`` and ``mute`` leave calls unanswered: the former ends pending watches, the
    latter keeps them open without events. The next ``lose_writes`` writes are executed, after
    ``late_s``, but not answered. ``rewrite_head`` is applied to the heads of responses, after which
    the connection is closed; None leaves them as they are.
    """

    def __init__(self, store, host="127.0.0.1"):
        self.store = store
        self.fault = ""
        self.slow_s = 0.0
        self.lose_writes = 0
        self.late_s = 0.0
        self.rewrite_head = None
        self.calls = Counter()
        endpoint = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                endpoint.serve(self)

            do_POST = do_DELETE = do_GET

            def log_message(self, *_):
                pass

        self.server = ThreadingHTTPServer((host, 0), Handler)
        self.server.daemon_threads = True
        self.address = f"{host}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def serve(self, handler):
        length = int(handler.headers.get("Content-Length") or 0)
        body = json.loads(handler.rfile.read(length) or b"{}")
        url = urlsplit(handler.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        self.calls[f"{handler.command} {url.path}"] += 1
        if self._inject_fault(handler):
            return
        time.sleep(self.slow_s)
        if url.path == "/kv-txn" and self.lose_writes > 0:
            self.lose_writes -= 1
            self._lose(handler, body)
            return
        status, answer = self.store.answer(handler.command, url.path, query, body, self)
        if status is None or self._inject_fault(handler):
            handler.close_connection = True
            return
        data = json.dumps(answer).encode()
        head = f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
        if self.store.era is not None:
            head += f"Store-Era: {self.store.era}\r\n"
        head += f"Content-Length: {len(data)}\r\n\r\n"
        encoded = head.encode()
        if self.rewrite_head is not None:
            encoded = self.rewrite_head(encoded)
            handler.close_connection = True
        handler.wfile.write(encoded + data)

    def _lose(self, handler, body):
        """Execute a write now or later, without ever responding on its connection."""
        if self.late_s:
            threading.Timer(self.late_s, self.store.transact, [body]).start()
        else:
            self.store.transact(body)
        self._leave_unanswered(handler)

    def _inject_fault(self, handler):
        if self.fault == "busy":
            handler.send_response(503)
            if self.store.era is not None:
                handler.send_header("Store-Era", str(self.store.era))
            handler.send_header("Content-Length", "0")
            handler.end_headers()
        elif self.fault == "reset":
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            handler.connection.close()
            handler.close_connection = True
        elif self.fault in UNRESPONSIVE:
            self._leave_unanswered(handler)
        return bool(self.fault)

    def _leave_unanswered(self, handler):
        while not self.store.closing.wait(0.05):
            if self.fault not in UNRESPONSIVE and not self.lose_writes:
                break
        handler.close_connection = True

    def clear_faults(self):
        """End all faults of this endpoint."""
        self.fault, self.slow_s, self.lose_writes = "", 0.0, 0
        self.rewrite_head = None

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class StoreStandIn:
    """The data behind all endpoints; ``era`` is sent in responses unless it is None."""

    def __init__(self):
        self.era = 1
        self.items = {}
        self.revision = 0
        self.history = []
        self.compacted_revision = 0
        # The time that listing the items below a prefix takes, by prefix.
        self.list_delays_s = {}
        self.closing = threading.Event()
        self.changed = threading.Condition()
        self.endpoints = []

    def open_endpoint(self):
        endpoint = StoreEndpoint(self)
        self.endpoints.append(endpoint)
        return endpoint

    def close(self):
        self.closing.set()
        for endpoint in self.endpoints:
            endpoint.close()

    def put(self, key, value):
        """Write a JSON value, as the operator and the replicas do."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self._write(key, encoded)
            self.changed.notify_all()
            return self.revision

    def remove(self, key):
        with self.changed:
            self._remove(key)
            self.changed.notify_all()

    def value(self, key):
        """Return the JSON value of a key, or None."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def compact_history(self):
        with self.changed:
            self.history.clear()
            self.compacted_revision = self.revision
            self.changed.notify_all()

    def copy(self):
        """Return a copy of the store's data, for ``restore_copy``."""
        with self.changed:
            return copy.deepcopy((self.items, self.revision, self.history, self.compacted_revision))

    def restore_copy(self, earlier):
        """Replace the data by a copy and raise the era; return the lost writes of other writers.

        These are the writes of the operator and the replicas since the copy was made, as encoded
        values by key, with None for a removed key.
        """
        with self.changed:
            before = self.items
            self.items, self.revision, self.history, self.compacted_revision = copy.deepcopy(
                earlier
            )
            if self.era is not None:
                self.era += 1
            keys = {*before, *self.items}
            lost = {key: before[key]["value"] if key in before else None for key in keys}
            held = {key: item["value"] for key, item in self.items.items()}
            self.changed.notify_all()
        return {
            key: value
            for key, value in lost.items()
            if held.get(key) != value and not key.startswith(SYSTEM_PREFIXES)
        }

    def rewrite_lost(self, lost):
        """Repeat the lost writes, as the operator and the replicas do."""
        with self.changed:
            for key, encoded in lost.items():
                if encoded is None:
                    self._remove(key)
                else:
                    self._write(key, encoded)
            self.changed.notify_all()

    def answer(self, method, path, query, body, endpoint):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            prefix = query["pathPrefix"]
            time.sleep(self.list_delays_s.get(prefix, 0.0))
            with self.changed:
                found = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
                return 200, {"items": found, "more": False, "at": self.revision}
        if path == "/kv-watch":
            return self._watch(query, endpoint)
        if path == "/kv-txn":
            return self.transact(body)
        return 404, {}

    def transact(self, body):
        with self.changed:
            expected = body.get("expectedRev", [])
            for condition in expected:
                item = self.items.get(condition["key"])
                if (item["revision"] if item else 0) != condition["revision"]:
                    present = [self.items[c["key"]] for c in expected if c["key"] in self.items]
                    return 412, {"items": present}
            for write in body.get("put", []):
                self._write(write["key"], write["value"])
            for key in body.get("drop", []):
                self._remove(key)
            self.changed.notify_all()
            return 200, {"revision": self.revision}

    def _watch(self, query, endpoint):
        prefix, since = query["pathPrefix"], int(query["sinceRev"])
        last = time.monotonic() + int(query["waitMs"]) / 1_000
        with self.changed:
            while True:
                if endpoint.fault == "mute" and not self.closing.is_set():
                    self.changed.wait(WATCH_STEP_S)
                    continue
                if since < self.compacted_revision or since > self.revision:
                    return 410, {}
                events = [
                    event
                    for event in self.history
                    if event["revision"] > since and event["key"].startswith(prefix)
                ]
                remaining = last - time.monotonic()
                if events or remaining <= 0:
                    return 200, {"events": events, "at": self.revision}
                if endpoint.fault or self.closing.is_set():
                    return None, None
                self.changed.wait(min(remaining, WATCH_STEP_S))

    def _write(self, key, encoded):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"key": key, "value": encoded, "revision": self.revision, "made": made, "lease": 0}
        self.items[key] = item
        self.history.append(item)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append({"key": key, "revision": self.revision, "gone": True})
