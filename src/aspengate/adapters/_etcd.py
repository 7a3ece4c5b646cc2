"""Store client for the JSON gateway of etcd v3."""

import base64
import http.client
import json
import socket
from typing import Any

from aspengate.adapters._store import Entry
from aspengate.clock import SystemClock
from aspengate.connections import StrictHTTPConnection
from aspengate.errors import AspengateError, ErrorKind

_CALL_TIMEOUT_S = 3.0

_CLOCK = SystemClock()


class EtcdStore:
    """Calls one address of the store over HTTP.

    ``address`` is ``host:port``. Each call opens a connection, since the fleet makes few calls.
    """

    def __init__(self, address: str, call_timeout_s: float = _CALL_TIMEOUT_S) -> None:
        self.address = address
        self.call_timeout_s = call_timeout_s

    def get(self, key: str) -> Entry | None:
        """Return the entry under ``key``, or ``None`` if the key does not exist."""
        reply = self._call("/v3/kv/range", {"key": _encode(key.encode())})
        pairs = reply.get("kvs", [])
        if not pairs:
            return None
        return Entry(base64.b64decode(pairs[0]["value"]), int(pairs[0]["mod_revision"]))

    def compare_and_swap(self, key: str, revision: int, value: bytes) -> int | None:
        """Write ``value`` if the key is still at ``revision``; return the new revision.

        Return ``None`` if another write came first.
        """
        encoded = _encode(key.encode())
        reply = self._call(
            "/v3/kv/txn",
            {
                "compare": [
                    {
                        "key": encoded,
                        "target": "MOD",
                        "result": "EQUAL",
                        "mod_revision": str(revision),
                    }
                ],
                "success": [{"request_put": {"key": encoded, "value": _encode(value)}}],
            },
            writes=True,
        )
        if not reply.get("succeeded", False):
            return None
        try:
            return int(reply["header"]["revision"])
        except (KeyError, TypeError, ValueError) as error:
            raise AspengateError(
                ErrorKind.OUTCOME_UNKNOWN, "unreadable answer", where=f"store {self.address}"
            ) from error

    def watch(self, key: str, after_revision: int, timeout_ms: float) -> Entry | None:
        """Wait for a revision of ``key`` above ``after_revision``; ``None`` on a timeout."""
        body = {
            "create_request": {
                "key": _encode(key.encode()),
                "start_revision": str(after_revision + 1),
            }
        }
        connection = StrictHTTPConnection(self.address, timeout=timeout_ms / 1_000)
        deadline_ms = _CLOCK.monotonic_ms() + timeout_ms
        try:
            connection.request("POST", "/v3/watch", json.dumps(body))
            response = connection.getresponse()
            if response.status != http.HTTPStatus.OK:
                raise AspengateError(
                    ErrorKind.STORE_UNAVAILABLE, f"watch answered {response.status}", where=key
                )
            return _first_event(response, deadline_ms)
        except TimeoutError:
            return None
        except (OSError, http.client.HTTPException) as error:
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, repr(error), where=key) from error
        finally:
            connection.close()

    def _call(self, path: str, body: dict[str, Any], *, writes: bool = False) -> dict[str, Any]:
        connection = StrictHTTPConnection(self.address, timeout=self.call_timeout_s)
        failure = ErrorKind.OUTCOME_UNKNOWN if writes else ErrorKind.STORE_UNAVAILABLE
        sent = False
        try:
            connection.connect()
            if connection.sock is not None:
                connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sent = True
            connection.request("POST", path, json.dumps(body))
            response = connection.getresponse()
            data = response.read()
        except (OSError, http.client.HTTPException) as error:
            kind = failure if sent else ErrorKind.STORE_UNAVAILABLE
            raise AspengateError(kind, repr(error), where=f"store {self.address}") from error
        finally:
            connection.close()
        if response.status != http.HTTPStatus.OK:
            raise AspengateError(
                ErrorKind.STORE_UNAVAILABLE,
                f"answered {response.status}",
                where=f"store {self.address}",
            )
        return _decode_reply(data, failure)


def _first_event(response: http.client.HTTPResponse, deadline_ms: float) -> Entry | None:
    while _CLOCK.monotonic_ms() < deadline_ms:
        line = response.readline()
        if not line:
            return None
        events = _decode_reply(line).get("result", {}).get("events", [])
        if events:
            pair = events[-1]["kv"]
            return Entry(base64.b64decode(pair["value"]), int(pair["mod_revision"]))
    return None


def _decode_reply(data: bytes, failure: ErrorKind = ErrorKind.STORE_UNAVAILABLE) -> dict[str, Any]:
    """Decode a JSON object; raises an error of kind ``failure`` if the data is none."""
    try:
        reply = json.loads(data)
    except ValueError as error:
        raise AspengateError(failure, "unreadable answer") from error
    if not isinstance(reply, dict):
        raise AspengateError(failure, "unreadable answer")
    return reply


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode("ascii")
