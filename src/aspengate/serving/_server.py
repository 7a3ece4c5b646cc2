"""A server that runs a WSGI application in a background thread."""

import contextlib
import logging
import socket
import threading
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.task import ErrorTask

from aspengate.clock import SystemClock
from aspengate.serving._accepting_server import AcceptingServer
from aspengate.serving._close_report import CloseReason, ConnectionReport, has_unread_data
from aspengate.telemetry import NullCounters, supervised_thread

WsgiEnvironment = dict[str, Any]
StartResponse = Callable[..., Any]
WsgiApplication = Callable[[WsgiEnvironment, StartResponse], Iterable[bytes]]

_CHANNEL_TIMEOUT_S = 120
_STOP_TIMEOUT_S = 1
_CLOCK = SystemClock()


@dataclass(frozen=True)
class ListenerLimits:
    """Limits what the callers of an address may hold of the process."""

    max_connections: int = 2_000
    max_header_bytes: int = 256 * 1024


_DEFAULT_LIMITS = ListenerLimits()


class ListenerObserver(Protocol):
    """Is told of connections and requests that a server ends by itself."""

    def handle_close(self, report: ConnectionReport) -> None:
        """Handle the close of a connection."""

    def handle_refusal(self, caller: str, status: int) -> None:
        """Handle a request that got ``status`` in place of the application's response."""


class _ReportedErrorTask(ErrorTask):  # type: ignore[misc]
    """Sends the response to a request that the application did not answer, and reports it."""

    def execute(self) -> None:
        super().execute()
        observer = self.channel.server.observer
        if observer is not None:
            observer.handle_refusal(_caller(self.channel), int(self.request.error.code))


class _LimitedChannel(HTTPChannel):  # type: ignore[misc]
    """Reads one request at a time.

    What follows a request before its response is dropped, and the response closes the connection.
    """

    error_task_class = _ReportedErrorTask
    request: Any

    def received(self, data: bytes) -> bool:
        """Handle data from the caller."""
        with self.requests_lock:
            if not data or self.will_close or self.close_when_flushed or self.requests:
                return False
            while data and not self.requests:
                data = data[self._parse(data) :]
            if data:
                self.requests[0].headers["CONNECTION"] = "close"
            if self.requests:
                self.server.add_task(self)
        return True

    def _parse(self, data: bytes) -> int:
        """Parse up to the end of a request; return how many bytes were used."""
        request = self.request or self.parser_class(self.adj)
        self.request = request
        used = int(request.received(data))
        if request.expect_continue and request.headers_finished and not request.completed:
            self.send_continue()
        if request.completed:
            self.request = None
            self.sent_continue = False
            if not request.empty:
                self.requests.append(request)
        return used


class _LimitedServer(AcceptingServer):
    """Closes the oldest connections without a request when there are too many.

    Those with a response that is not read yet come last.
    """

    channel_class = _LimitedChannel
    max_connections = ListenerLimits.max_connections
    observer: ListenerObserver | None = None

    def handle_accept(self) -> None:
        """Accept a connection, in place of another one if need be."""
        super().handle_accept()
        waiting = [each for each in list(self.active_channels.values()) if not each.requests]
        surplus = max(0, len(self.active_channels) - self.max_connections)
        for channel in sorted(waiting, key=_closing_order)[:surplus]:
            if self.observer is not None:
                self.observer.handle_close(_report_close(channel))
            channel.handle_close()


def _caller(channel: Any) -> str:
    return f"{channel.addr[0]}:{channel.addr[1]}"


def _report_close(channel: Any) -> ConnectionReport:
    return ConnectionReport(
        CloseReason.SURPLUS,
        _caller(channel),
        requests=len(channel.requests),
        is_unread=channel.request is not None or has_unread_data(channel.socket),
        # The library notes the time of day.
        idle_ms=_CLOCK.now_ms() - channel.last_activity * 1_000,
    )


def _closing_order(channel: Any) -> tuple[bool, float]:
    return bool(channel.total_outbufs_len), channel.creation_time


class WsgiServer:
    """A waitress server in its own thread; ``address`` is its ``host:port``.

    The oldest connections beyond ``limits`` are closed if they have no request. ``observer`` is
    told of them, and of requests that are refused.

    The thread is supervised: an exception on it is logged, and it continues.
    """

    def __init__(
        self,
        application: WsgiApplication,
        listen: str,
        threads: int,
        max_body_bytes: int,
        *,
        limits: ListenerLimits = _DEFAULT_LIMITS,
        observer: ListenerObserver | None = None,
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
            connection_limit=limits.max_connections * 2,
            channel_timeout=_CHANNEL_TIMEOUT_S,
            max_request_header_size=limits.max_header_bytes,
            max_request_body_size=max_body_bytes,
            ident="aspengate",
            asyncore_use_poll=True,
            clear_untrusted_proxy_headers=True,
        )
        self._server = _LimitedServer(application, map=self._map, adj=adjustments)
        self._server.max_connections = limits.max_connections
        self._server.observer = observer
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
