"""The server that callers reach: waitress reads requests, a pool of threads answers them."""

import contextlib
import logging
import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from waitress.adjustments import Adjustments
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer

from aspengate.clock import SystemClock
from aspengate.serving._relay_task import CallerConnection, RelayTask
from aspengate.serving._request_parser import StrictRequestParser

RelayHandler = Callable[[CallerConnection], None]

_BACKLOG = 1_024
_LOOP_SECONDS = 0.5
_IDLE_CHECK_MS = 500.0
_BUFFER_BYTES = 1024 * 1024
_NEVER = float("inf")

_CLOCK = SystemClock()


class RelayChannel(HTTPChannel):  # type: ignore[misc]
    """A caller's connection; ``used_ms`` is monotonic time of its last activity."""

    task_class = RelayTask
    parser_class = StrictRequestParser

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.used_ms = _CLOCK.monotonic_ms()

    def received(self, data: bytes) -> bool:
        """Take bytes from the caller."""
        self.used_ms = _CLOCK.monotonic_ms()
        return bool(super().received(data))

    def service(self) -> None:
        """Answer the request that is due; called on a thread of the pool."""
        super().service()
        self.used_ms = _CLOCK.monotonic_ms()

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly read, and all answers are written."""
        return not self.requests and self.request is None and not self.total_outbufs_len


class _PoolDispatcher:
    """Runs waitress tasks on a pool of threads that grows as it is needed."""

    def __init__(self, threads: int) -> None:
        self._pool = ThreadPoolExecutor(threads, thread_name_prefix="request")

    def add_task(self, task: Any) -> None:
        """Run a task as soon as a thread is free."""
        self._pool.submit(task.service)

    def shutdown(self, *_: Any, **__: Any) -> None:
        """Drop what has not begun."""
        self._pool.shutdown(wait=False, cancel_futures=True)


class RelayServer(TcpWSGIServer):  # type: ignore[misc]
    """Serves ``handler`` at ``listen``, which is ``host:port``.

    ``idle_timeout_ms`` and ``header_timeout_ms`` may be changed while it runs. Once ``leaving``
    is set, every answer tells its caller to use another connection next time.
    """

    channel_class = RelayChannel

    def __init__(
        self,
        handler: RelayHandler,
        listen: str,
        *,
        threads: int,
        max_connections: int,
        max_header_bytes: int,
        max_body_bytes: int,
    ) -> None:
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self.handler = handler
        self.leaving = False
        self.idle_timeout_ms = 15_000.0
        self.header_timeout_ms = 3_000.0
        self.max_connections = max_connections
        self._checked_ms = 0.0
        self._closing = threading.Event()
        adjustments = Adjustments(
            listen=listen,
            backlog=_BACKLOG,
            send_bytes=1,
            connection_limit=max_connections * 2,
            asyncore_loop_timeout=_LOOP_SECONDS,
            asyncore_use_poll=True,
            max_request_header_size=max_header_bytes,
            max_request_body_size=max_body_bytes + 1,
            inbuf_overflow=max_body_bytes + 1,
            outbuf_overflow=_BUFFER_BYTES,
            outbuf_high_watermark=_BUFFER_BYTES * 4,
            ident="aspengate",
        )
        super().__init__(handler, map={}, dispatcher=_PoolDispatcher(threads), adj=adjustments)
        self.next_channel_cleanup = _NEVER
        self._thread = threading.Thread(target=self._serve, daemon=True, name="callers")

    @property
    def address(self) -> str:
        """Where callers reach this server, as ``host:port``."""
        return f"{self.effective_host}:{self.effective_port}"

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and every answer is written out."""
        return all(channel.is_idle for channel in list(self.active_channels.values()))

    @property
    def in_progress(self) -> int:
        """How many requests are being answered, or wait for a thread."""
        return sum(1 for channel in list(self.active_channels.values()) if channel.requests)

    def start(self) -> None:
        """Begin to serve."""
        self._thread.start()

    def stop(self) -> None:
        """Stop serving, and cut what is still open."""
        self._closing.set()
        self.pull_trigger()
        self._thread.join(timeout=1.0)
        self.task_dispatcher.shutdown()
        for channel in list(self.active_channels.values()):
            with contextlib.suppress(OSError):
                channel.socket.close()
        with contextlib.suppress(OSError):
            self.close()

    def close_idle(self) -> None:
        """Close the connections on which nothing happens."""
        for channel in list(self.active_channels.values()):
            if channel.is_idle:
                channel.will_close = True
        self.pull_trigger()

    def readable(self) -> bool:
        """Return whether to accept callers; looks after idle connections on the way."""
        now = _CLOCK.monotonic_ms()
        if now - self._checked_ms >= _IDLE_CHECK_MS:
            self._checked_ms = now
            self._close_stale(now)
        return bool(super().readable())

    def _close_stale(self, now: float) -> None:
        channels = list(self.active_channels.values())
        spare = len(channels) - self.max_connections
        if spare > 0:
            idle = sorted((each for each in channels if each.is_idle), key=_used)
            for channel in idle[:spare]:
                channel.will_close = True
        for channel in channels:
            if channel.requests:
                continue
            allowed_ms = self.idle_timeout_ms if channel.request is None else self.header_timeout_ms
            if now - channel.used_ms > allowed_ms:
                channel.will_close = True

    def _serve(self) -> None:
        while not self._closing.is_set():
            try:
                self.asyncore.loop(timeout=_LOOP_SECONDS, map=self._map, use_poll=True, count=1)
            except OSError:
                if self._closing.is_set():
                    return


def _used(channel: RelayChannel) -> float:
    return channel.used_ms
