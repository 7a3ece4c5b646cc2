"""Stand-ins of the platform for the scripts of the review: store, operator, callers, routers.

They need nothing but Python's own library. The store speaks the calls of PROTOCOL.md that the
router makes: kv-key, kv-range, kv-watch and kv-txn.
"""

import base64
import contextlib
import ctypes
import json
import os
import signal
import socket
import subprocess
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HOST = "board.example"
KEY = "key-one"

# As deploy/settings.ini is filled for a front machine of the site glo-exam.
SETTINGS = """\
[instance]
name = {name}
listen = {host}:{port}
ready_listen = {host}:{ready}
failure_domain = hall-1
region = great-lakes

[peers]
peer_ports = {peer}-{peer}
seeds = {seeds}
regions = hall-1:great-lakes

[store]
store = {store}
writes_per_second = 400

[limits]
memory_mb = 150
descriptors = 4100

[bounds]
stop_s = 8
drain_ms = 2000
configuration_ms = 2000
retry_ratio = 0.2
retry_slack = 54
retry_window_s = 10
settle_ms = 1500

[metrics]
metrics_listen = {host}:{metrics}
"""


def end_with_parent():
    """Have the system end this new process if the one that started it ends in whatever way."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Store:
    """The platform's metadata store, on a loopback address."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.history = []
        self.closing = False
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                length = int(self.headers.get("Content-Length") or 0)
                body = json.loads(self.rfile.read(length) or b"{}")
                url = urlsplit(self.path)
                query = {key: values[0] for key, values in parse_qs(url.query).items()}
                status, answer = store.answer(url.path, query, body)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\n"
                self.wfile.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)

            do_POST = do_DELETE = do_GET

            def log_message(self, *_):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Write a JSON value, as the operator and the replicas do."""
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        with self.changed:
            self._write(key, encoded)
            self.changed.notify_all()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def answer(self, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "at": self.revision}) if item else (404, {})
        if path == "/kv-range":
            with self.changed:
                prefix = query["pathPrefix"]
                found = [item for key, item in sorted(self.items.items()) if key.startswith(prefix)]
                return 200, {"items": found, "more": False, "at": self.revision}
        if path == "/kv-watch":
            return self._watch(query["pathPrefix"], int(query["sinceRev"]), int(query["waitMs"]))
        if path == "/kv-txn":
            return self._transact(body)
        return 404, {}

    def _watch(self, prefix, since, wait_ms):
        last = time.monotonic() + wait_ms / 1_000
        with self.changed:
            while True:
                events = [
                    event
                    for event in self.history
                    if event["revision"] > since and event["key"].startswith(prefix)
                ]
                left = last - time.monotonic()
                if events or left <= 0 or self.closing:
                    return 200, {"events": events, "at": self.revision}
                self.changed.wait(left)

    def _transact(self, body):
        with self.changed:
            expected = body.get("expectedRev", [])
            for row in expected:
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    found = [self.items[row["key"]] for row in expected if row["key"] in self.items]
                    return 412, {"items": found}
            for write in body.get("put", []):
                self._write(write["key"], write["value"])
            for key in body.get("drop", []):
                if self.items.pop(key, None) is not None:
                    self.revision += 1
                    self.history.append({"key": key, "revision": self.revision, "gone": True})
            self.changed.notify_all()
            return 200, {"revision": self.revision}

    def _write(self, key, encoded):
        self.revision += 1
        made = self.items[key]["made"] if key in self.items else self.revision
        item = {"key": key, "value": encoded, "revision": self.revision, "made": made, "lease": 0}
        self.items[key] = item
        self.history.append(item)

    def close(self):
        with self.changed:
            self.closing = True
            self.changed.notify_all()
        self.server.shutdown()


def route(prefix, service, kind, **fields):
    made = {
        "name": f"r-{prefix.strip('/')}",
        "host": HOST,
        "pathPrefix": prefix,
        "kind": kind,
        "timeoutMs": 5_000,
        "targetLatencyMs": 200,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if kind == "idempotent" else 1,
        "public": False,
        "sticky": kind == "streaming",
        "resumable": False,
        "gapAimMs": 400,
    }
    return {**made, **fields}


def configuration(routes, services, tenants=None, version=1):
    return {
        "configVersion": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": tenants or [{"name": "board", "apiKeys": [KEY], "priority": 1}],
    }


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Router:
    """A router, started with the command of deploy/system.toml."""

    def __init__(self, folder, name, host, store, peer, seeds=""):
        self.name = name
        self.address = f"{host}:{free_port(host)}"
        self.ready_address = f"{host}:{free_port(host)}"
        self.path = Path(folder) / f"{name}.ini"
        self.path.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                port=self.address.rpartition(":")[2],
                ready=self.ready_address.rpartition(":")[2],
                metrics=free_port(host),
                peer=peer,
                seeds=seeds or f"{host}:{peer}",
                store=store,
            ),
            encoding="utf-8",
        )
        self.log = open(Path(folder) / f"{name}.log", "ab")
        self.process = None
        self.start()

    def start(self):
        """Start the process, also again after its end."""
        self.process = subprocess.Popen(
            [sys.executable, "deploy/start.py"],
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "ASPENGATE_BOOT": str(self.path),
                # The pages name this variable without its value: the most sparing one.
                "MALLOC_ARENA_MAX": "1",
            },
            stdout=self.log,
            stderr=self.log,
            preexec_fn=end_with_parent,
        )

    def is_ready(self):
        try:
            status, _, _ = Call(self.ready_address, 2.0).send("GET", "/ready").answer()
        except (OSError, ValueError):
            return False
        return status == 200

    def wait_ready(self, within_s=20.0):
        last = time.monotonic() + within_s
        while time.monotonic() < last:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(12)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()


class Call:
    """One connection of a client, for one request."""

    def __init__(self, address, timeout_s=10.0):
        host, _, port = address.rpartition(":")
        self.socket = socket.create_connection((host, int(port)), timeout_s)
        self.reader = self.socket.makefile("rb")

    def send(self, method, path, identity="0", deadline_ms=5_000, headers=(), body=b"", key=KEY):
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {identity}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {key}",
            *headers,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join([*lines, "", ""]).encode() + body)
        return self

    def answer(self):
        """Return the status, the headers and the body; the body is None if it is incomplete."""
        try:
            line = self.reader.readline()
            if not line:
                return 0, {}, None
            status = int(line.split(b" ")[1])
            headers = {}
            while (line := self.reader.readline().strip()) != b"":
                name, _, value = line.decode("latin-1").partition(":")
                headers[name.lower()] = value.strip()
            return status, headers, self.read_body(headers)
        except OSError:
            return 0, {}, None
        finally:
            with contextlib.suppress(OSError):
                self.socket.close()

    def read_body(self, headers):
        if headers.get("transfer-encoding") == "chunked":
            body = b""
            while True:
                line = self.reader.readline()
                if not line.strip():
                    return None
                size = int(line, 16)
                data = self.reader.read(size + 2)
                if len(data) < size + 2:
                    return None
                if not size:
                    return body
                body += data[:-2]
        length = int(headers.get("content-length", "0"))
        body = self.reader.read(length)
        return body if len(body) == length else None
