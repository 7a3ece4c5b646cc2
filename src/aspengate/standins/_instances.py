"""Stand-in of the platform's instance list."""

import threading
import time
from collections.abc import Iterable

import msgspec

from aspengate.adapters import Instance
from aspengate.serving import StartResponse, WsgiEnvironment


class StandInInstanceList:
    """A list of instances whose changes become visible after ``lag_ms`` milliseconds."""

    def __init__(self, lag_ms: float = 0.0) -> None:
        self.lag_ms = lag_ms
        self._history: list[tuple[float, dict[str, Instance]]] = [(0.0, {})]
        self._lock = threading.Lock()

    def put(self, instance: Instance) -> None:
        """Add an instance, or replace its entry."""
        with self._lock:
            self._append_state({**self._history[-1][1], instance.name: instance})

    def remove(self, name: str) -> None:
        """Remove an instance from the list."""
        with self._lock:
            latest = self._history[-1][1]
            self._append_state({key: value for key, value in latest.items() if key != name})

    def instances(self) -> tuple[Instance, ...]:
        """Return the list as it was ``lag_ms`` ago."""
        visible = time.monotonic() - self.lag_ms / 1_000
        with self._lock:
            shown = [state for changed, state in self._history if changed <= visible]
        return tuple(shown[-1].values()) if shown else ()

    def _append_state(self, state: dict[str, Instance]) -> None:
        self._history = [*self._history[-100:], (time.monotonic(), state)]


class InstanceApplication:
    """Serves the list as JSON; ``PUT`` and ``DELETE /instances/NAME`` change it."""

    def __init__(self, listed: StandInInstanceList) -> None:
        self.listed = listed

    def __call__(self, environ: WsgiEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        """Respond to one request."""
        method = environ["REQUEST_METHOD"]
        if method == "PUT":
            length = int(environ.get("CONTENT_LENGTH") or 0)
            body = environ["wsgi.input"].read(length)
            self.listed.put(msgspec.json.decode(body, type=Instance))
        elif method == "DELETE":
            self.listed.remove(environ["PATH_INFO"].rpartition("/")[2])
        start_response("200 OK", [("Content-Type", "application/json")])
        return [msgspec.json.encode(self.listed.instances())]
