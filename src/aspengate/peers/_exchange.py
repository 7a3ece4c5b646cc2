"""Hands a mirror of the store from one router to another, for when the store refuses one."""

import http.client
from collections.abc import Iterable, Mapping
from http import HTTPStatus
from urllib.parse import parse_qs, urlencode

import msgspec

from aspengate.errors import AspengateError, ErrorKind
from aspengate.serving import StartResponse, WsgiEnvironment
from aspengate.store import Snapshot, StoreItem, StoreMirror

MIRROR_PATH = "/mirror"


class _Item(msgspec.Struct, array_like=True):
    key: str
    value: bytes
    revision: int


class _MirrorBody(msgspec.Struct, array_like=True):
    items: list[_Item]
    revision: int
    changed: int


class MirrorServer:
    """A WSGI application that answers with the present state of a mirror."""

    def __init__(self, mirrors: Mapping[str, StoreMirror]) -> None:
        self._mirrors = mirrors

    def __call__(self, environ: WsgiEnvironment, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one peer."""
        prefix = parse_qs(environ.get("QUERY_STRING", "")).get("prefix", [""])[0]
        mirror = self._mirrors.get(prefix)
        if environ["PATH_INFO"] != MIRROR_PATH or mirror is None:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        state = mirror.state
        items = [_Item(item.key, item.value, item.revision) for item in state.items.values()]
        body = msgspec.msgpack.encode(_MirrorBody(items, state.revision, state.changed))
        headers = [("Content-Type", "application/msgpack"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]


class MirrorClient:
    """Asks another router for its mirror; ``timeout_ms`` bounds the call."""

    def __init__(self, timeout_ms: float) -> None:
        self.timeout_ms = timeout_ms

    def fetch(self, address: str, prefix: str) -> Snapshot:
        """Return the state of a peer's mirror; raises STORE_UNAVAILABLE."""
        connection = http.client.HTTPConnection(address, timeout=self.timeout_ms / 1_000)
        try:
            connection.request("GET", f"{MIRROR_PATH}?{urlencode({'prefix': prefix})}")
            answer = connection.getresponse()
            content = answer.read()
            if answer.status != HTTPStatus.OK:
                raise AspengateError(
                    ErrorKind.STORE_UNAVAILABLE, f"status {answer.status}", where=address
                )
            body = msgspec.msgpack.decode(content, type=_MirrorBody)
        except (OSError, http.client.HTTPException, msgspec.MsgspecError) as error:
            raise AspengateError(ErrorKind.STORE_UNAVAILABLE, repr(error), where=address) from error
        finally:
            connection.close()
        items = tuple(StoreItem(each.key, each.value, each.revision) for each in body.items)
        return Snapshot(items, body.revision, body.changed)
