"""Stand-in of a plain service: font files, exam status, receipts."""

import threading
import time
from collections import Counter
from collections.abc import Iterable

import xxhash

from aspengate.serving import StartResponse, WsgiEnvironment

_FILE_BYTES = 20_000


class ServiceApplication:
    """Responds to ``GET`` with bytes that depend on the path, else with a new receipt.

    ``runs`` counts the calls by idempotency key, which reveals a call that ran twice.
    """

    def __init__(self, work_ms: float = 5.0) -> None:
        self.work_ms = work_ms
        self.runs: Counter[str] = Counter()
        self._lock = threading.Lock()

    def __call__(self, environ: WsgiEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        """Respond to one request."""
        time.sleep(self.work_ms / 1_000)
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] == "GET":
            body = file_bytes(path)
            content_type = "font/woff2"
        else:
            length = int(environ.get("CONTENT_LENGTH") or 0)
            sent = environ["wsgi.input"].read(length)
            key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
            with self._lock:
                self.runs[key] += 1
                number = self.runs[key]
            body = b"receipt %s run %d of %d bytes" % (key.encode(), number, len(sent))
            content_type = "text/plain"
        start_response(
            "200 OK", [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        )
        return [body]


def file_bytes(path: str) -> bytes:
    """Return the file that the service serves under a path, to verify responses with."""
    seed = xxhash.xxh64_digest(path.encode())
    return (seed * (_FILE_BYTES // len(seed) + 1))[:_FILE_BYTES]
