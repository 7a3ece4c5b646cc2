"""A server that runs a WSGI application in a background thread."""

import contextlib
import logging
import socket
import threading
from collections.abc import Callable, Iterable
from typing import Any

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel

from aspengate.serving._accepting_server import AcceptingServer
from aspengate.telemetry import NullCounters, supervised_thread

WsgiEnvironment = dict[str, Any]
StartResponse = Callable[..., Any]
WsgiApplication = Callable[[WsgiEnvironment, StartResponse], Iterable[bytes]]

_CHANNEL_TIMEOUT_S = 120
_MAX_CONNECTIONS = 2_000
_MAX_HEADER_BYTES = 256 * 1024
_STOP_TIMEOUT_S = 1


class _LimitedServer(AcceptingServer):
    """Closes the oldest connections without a request when there are too many.

    Those with a response that is not read yet come last.
    """

    max_connections = _MAX_CONNECTIONS

    def handle_accept(self) -> None:
        """Accept a connection, in place of another one if need be."""
        super().handle_accept()
        waiting = [each for each in list(self.active_channels.values()) if not each.requests]
        surplus = max(0, len(self.active_channels) - self.max_connections)
        for channel in sorted(waiting, key=_closing_order)[:surplus]:
            channel.handle_close()


def _closing_order(channel: Any) -> tuple[bool, float]:
    return bool(channel.total_outbufs_len), channel.creation_time


class WsgiServer:
    """A waitress server in its own thread; ``address`` is its ``host:port``.

    The oldest connections beyond ``max_connections`` are closed if they have no request.

    The thread is supervised: an exception on it is logged, and it continues.
    """

    def __init__(
        self,
        application: WsgiApplication,
        listen: str,
        threads: int,
        max_body_bytes: int,
        *,
        max_header_bytes: int = _MAX_HEADER_BYTES,
        max_connections: int = _MAX_CONNECTIONS,
    ) -> None:
        # The only way to abort a response after its headers is to raise. Such responses are
        # counted, so that the traceback in the log is not needed.
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        host, _, port = listen.rpartition(":")
        self._map: dict[int, Any] = {}
        adjustments = Adjustments(
            host=host,
            port=int(port),
            threads=threads,
            connection_limit=max_connections * 2,
            channel_timeout=_CHANNEL_TIMEOUT_S,
            max_request_header_size=max_header_bytes,
            max_request_body_size=max_body_bytes,
            ident="aspengate",
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
        )
        self._server = _LimitedServer(application, map=self._map, adj=adjustments)
        self._server.max_connections = max_connections
        self.address = f"{host}:{self._server.effective_port}"
        self._closing = threading.Event()
        self._thread = supervised_thread(self._run, "http", NullCounters())

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def close(self) -> None:
        """Stop serving and close all connections.

        Requests in progress are aborted unless the server was drained before.
        """
        self._closing.set()
        for channel in self._channels():
            with contextlib.suppress(OSError, AttributeError):
                channel.socket.shutdown(socket.SHUT_RDWR)
        self._server.task_dispatcher.shutdown(timeout=_STOP_TIMEOUT_S)
        self._server.close()
        for channel in list(self._map.values()):
            channel.close()

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and all responses are written."""
        return not any(
            channel.requests or channel.total_outbufs_len for channel in self._channels()
        )

    def _channels(self) -> list[Any]:
        return [each for each in list(self._map.values()) if isinstance(each, HTTPChannel)]

    def _run(self) -> None:
        try:
            self._server.run()
        except Exception:
            if not self._closing.is_set():
                raise
