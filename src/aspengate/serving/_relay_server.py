"""The server for callers: waitress reads the requests, a thread pool handles them."""

import contextlib
import logging
import socket
import threading
from collections import deque
from collections.abc import Callable

from waitress.adjustments import Adjustments

from aspengate.clock import SystemClock
from aspengate.errors import AspengateError
from aspengate.serving._accepting_server import AcceptingServer
from aspengate.serving._close_report import CloseReason, ConnectionReport, has_unread_data
from aspengate.serving._memory_budget import MemoryBudget
from aspengate.serving._pool_dispatcher import PoolDispatcher
from aspengate.serving._relay_channel import RelayChannel
from aspengate.serving._relay_task import CallerConnection, reason_phrase
from aspengate.serving._slow_callers import MemorySearch, slow_callers
from aspengate.telemetry import Counters, NullCounters, supervised_thread

RelayHandler = Callable[[CallerConnection], None]
RefusalHandler = Callable[[CallerConnection, AspengateError], None]
CloseObserver = Callable[[ConnectionReport], None]

_LISTEN_BACKLOG = 1_024
_LOOP_TIMEOUT_S = 0.5
_IDLE_CHECK_MS = 500.0
# How long a stop waits for the reading thread, whose turn may take longer than the stop has left.
_STOP_TIMEOUT_S = 0.2
# Threads that handle the requests which wait or arrive during a drain.
_DRAIN_THREADS = 8
_DEFAULT_BUFFER_BYTES = 64 * 1024 * 1024
_DEFAULT_SOCKET_BUFFER_BYTES = 32 * 1024
# Up to this part of the maximum of connections more are accepted before others are closed.
_SURPLUS_DIVISOR = 4
# A request that has waited this long for a thread gets one from a caller that reads slowly.
_MAX_THREAD_WAIT_MS = 500.0
# A request that is not read within this multiple of its timeout is cut off also if data arrives.
_MAX_TIMEOUTS = 2.0
_NEVER = float("inf")

_CLOCK = SystemClock()


class RelayServer(AcceptingServer):
    """Serves ``handler`` at ``listen``, which is ``host:port``.

    ``idle_timeout_ms`` and ``header_timeout_ms`` may be changed while it runs. While ``leaving``
    is set, every response closes its connection, so that callers reconnect elsewhere.
    ``on_close`` gets a report on each connection that the server closes by itself. ``counters``
    count exceptions on the reading thread and of single connections, after which the thread
    continues, and threads that the system refuses to start.

    Requests and responses together occupy at most ``buffer_bytes``, which ``memory`` counts. A
    request beyond it is passed to ``on_refused``, on the reading thread, which sends the refusal.
    A body that arrives at less than ``min_body_rate`` bytes per second times out, and one with a
    chunk whose size takes a line of over ``max_chunk_line_bytes`` is refused. When memory,
    threads or connections run short, callers that send or read slowly give way. The kernel buffers
    about ``socket_buffer_bytes`` of each connection in either direction.
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
        buffer_bytes: int = _DEFAULT_BUFFER_BYTES,
        min_body_rate: float = 1_000.0,
        max_chunk_line_bytes: int = 1_024,
        socket_buffer_bytes: int = _DEFAULT_SOCKET_BUFFER_BYTES,
        on_refused: RefusalHandler = lambda caller, error: _respond_briefly(caller, error),
        on_close: CloseObserver = lambda _report: None,
        counters: Counters | None = None,
    ) -> None:
        logging.getLogger("waitress").setLevel(logging.CRITICAL)
        self.memory = MemoryBudget(buffer_bytes)
        self.min_body_rate = min_body_rate
        self.max_chunk_line_bytes = max_chunk_line_bytes
        self.handler = handler
        self.on_refused = on_refused
        self.on_close = on_close
        self.leaving = False
        self.idle_timeout_ms = 15_000.0
        self.header_timeout_ms = 3_000.0
        self.max_connections = max_connections
        self._last_check_ms = 0.0
        self._memory_search = MemorySearch()
        self._closing = threading.Event()
        self._must_close_idle = threading.Event()
        self._must_drain = threading.Event()
        self._drained = threading.Event()
        self._is_listening = True
        # The connections that a drain waits for before it stops to accept, None before its start.
        self._awaited: set[RelayChannel] | None = None
        self._pending: deque[RelayChannel] = deque()
        adjustments = Adjustments(
            listen=listen,
            backlog=_LISTEN_BACKLOG,
            send_bytes=1,
            connection_limit=max_connections + max_connections // _SURPLUS_DIVISOR,
            asyncore_loop_timeout=_LOOP_TIMEOUT_S,
            asyncore_use_poll=True,
            max_request_header_size=max_header_bytes,
            max_request_body_size=max_body_bytes + 1,
            ident="aspengate",
        )
        counters = counters or NullCounters()
        super().__init__(
            handler,
            map={},
            dispatcher=PoolDispatcher(threads, counters),
            adj=adjustments,
            counters=counters,
        )
        self.next_channel_cleanup = _NEVER
        _limit_kernel_buffers(self.socket, socket_buffer_bytes)
        self._thread = supervised_thread(self._serve, "callers", counters)

    @property
    def address(self) -> str:
        """The address that the server listens on, as ``host:port``."""
        return f"{self.effective_host}:{self.effective_port}"

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress and all responses are written."""
        return all(channel.is_idle for channel in list(self.active_channels.values()))

    @property
    def in_progress(self) -> int:
        """The number of requests that are being handled or wait for a thread."""
        return sum(1 for channel in list(self.active_channels.values()) if channel.requests)

    def start(self) -> None:
        """Start serving."""
        self._thread.start()

    def drain(self, deadline_ms: float) -> bool:
        """Answer all requests that have arrived, then stop; return whether all were answered.

        Requests that wait for a thread get further ones, as the handler refuses them at once.
        New connections are accepted until the requests in progress at the call have ended.
        ``deadline_ms`` is a monotonic time, after which the remaining requests are cut off.
        """
        self.leaving = True
        self.task_dispatcher.add_threads(_DRAIN_THREADS)
        self._must_drain.set()
        self.pull_trigger()
        finished = self._drained.wait(max(0.0, deadline_ms - _CLOCK.monotonic_ms()) / 1_000)
        self.stop()
        return finished

    def stop(self) -> None:
        """Stop serving and close all connections, also those with a request in progress."""
        if self._closing.is_set():
            return
        self._closing.set()
        self.pull_trigger()
        self._thread.join(_STOP_TIMEOUT_S)
        self.task_dispatcher.shutdown()
        for channel in list(self.active_channels.values()):
            self.report_close(channel, CloseReason.STOPPED)
            # A reading thread that is still in its turn may close the connection meanwhile.
            caller = channel.socket
            if caller is not None:
                with contextlib.suppress(OSError):
                    caller.close()
        # The trigger stays open until the process ends: a request that is still in progress pulls
        # it, and by then the number of its descriptor may belong to another connection.
        with contextlib.suppress(OSError):
            self.asyncore.dispatcher.close(self)

    def close_idle(self) -> None:
        """Have the reading thread close the connections that are idle."""
        self._must_close_idle.set()
        self.pull_trigger()

    def parse_later(self, channel: RelayChannel) -> None:
        """Have the reading thread parse what a caller sent together with its previous request."""
        self._pending.append(channel)
        self.pull_trigger()

    def make_room(self, missing_bytes: int, needing: RelayChannel) -> None:
        """Release memory for the request on a connection, if slow callers hold enough of it."""
        others = (each for each in list(self.active_channels.values()) if each is not needing)
        for channel in self._memory_search.find(others, missing_bytes, _CLOCK.monotonic_ms()):
            channel.give_up(CloseReason.MEMORY)

    def report_close(self, channel: RelayChannel, reason: CloseReason) -> None:
        """Report the state of a connection that is about to be closed."""
        self.on_close(
            ConnectionReport(
                reason,
                caller=f"{channel.addr[0]}:{channel.addr[1]}",
                requests=len(channel.requests),
                is_unread=has_unread_data(channel.socket),
                idle_ms=_CLOCK.monotonic_ms() - channel.last_used_ms,
            )
        )

    def _close_connections(self) -> None:
        """Close connections that are idle or stale; the reading thread calls it in each turn."""
        if self._must_close_idle.is_set():
            self._must_close_idle.clear()
            self._close_idle()
        if self._must_drain.is_set():
            self._advance_drain()
        now = _CLOCK.monotonic_ms()
        if self.in_connection_overflow:
            self._close_surplus(now)
        since_check_ms = now - self._last_check_ms
        if since_check_ms >= _IDLE_CHECK_MS:
            self._last_check_ms = now
            self._close_expired(now, since_check_ms)
            self._close_surplus(now)
            self._release_memory(now)
            self._release_threads(now)

    def _advance_drain(self) -> None:
        """Close the listening socket once it is not needed, and end when no connection is left.

        Closing it would reset the connections that wait to be accepted.
        """
        if self._is_listening:
            self._accept_waiting()
            channels = set(self.active_channels.values())
            if self._awaited is None:
                self._awaited = {each for each in channels if not each.is_idle}
            self._awaited = {each for each in self._awaited & channels if not each.is_idle}
            if not self._awaited:
                self._is_listening = False
                self.asyncore.dispatcher.close(self)
        self._close_idle()
        if not self._is_listening and not self.active_channels:
            self._drained.set()

    def _accept_waiting(self) -> None:
        """Accept all connections in the listen queue."""
        accepted = -1
        while accepted != len(self.active_channels):
            accepted = len(self.active_channels)
            self.handle_accept()

    def _close_idle(self) -> None:
        now = _CLOCK.monotonic_ms()
        for channel in list(self.active_channels.values()):
            if channel.is_dropping:
                channel.handle_close()
            elif channel.is_idle and not channel.awaits_first_request(now):
                channel.close_unless_unread(CloseReason.LEAVING)

    def _close_expired(self, now: float, since_check_ms: float) -> None:
        # If this thread was held up or suspended, what arrived meanwhile is read first.
        is_prompt = since_check_ms <= max(self.header_timeout_ms, 2 * _IDLE_CHECK_MS)
        for channel in list(self.active_channels.values()):
            if not channel.has_expired(now):
                continue
            is_overdue = is_prompt and channel.has_expired(now, timeouts=_MAX_TIMEOUTS)
            if channel.is_dropping or (is_overdue and not channel.is_idle):
                channel.give_up(CloseReason.TIMED_OUT)
            else:
                channel.close_unless_unread(CloseReason.TIMED_OUT)

    def _close_surplus(self, now: float) -> None:
        """Close connections beyond the maximum: those of slow callers first, then idle ones."""
        channels = list(self.active_channels.values())
        surplus = len(channels) - self.max_connections
        if surplus <= 0:
            return
        for channel in slow_callers(channels, now)[:surplus]:
            channel.give_up(CloseReason.SURPLUS)
            surplus -= 1
        idle = sorted((each for each in channels if each.is_idle), key=_last_used_ms)
        for channel in idle:
            if not surplus:
                break
            surplus -= channel.close_unless_unread(CloseReason.SURPLUS)

    def _release_memory(self, now: float) -> None:
        """Close connections of slow callers while more memory is in use than there should be."""
        for channel in slow_callers(list(self.active_channels.values()), now):
            if not self.memory.is_exceeded:
                break
            if channel.slow_bytes:
                channel.give_up(CloseReason.MEMORY)

    def _release_threads(self, now: float) -> None:
        """Cut off responses that are read slowly while other requests wait for their threads."""
        waiting = self.task_dispatcher.count_waiting(_MAX_THREAD_WAIT_MS)
        running = [each for each in list(self.active_channels.values()) if each.requests]
        for channel in slow_callers(running, now)[:waiting]:
            channel.give_up(CloseReason.THREADS)

    def _serve(self) -> None:
        while not self._closing.is_set():
            self._close_connections()
            self._parse_pending()
            self.asyncore.loop(timeout=_LOOP_TIMEOUT_S, map=self._map, use_poll=True, count=1)

    def _parse_pending(self) -> None:
        while self._pending:
            self._pending.popleft().parse_pending()


def _limit_kernel_buffers(listening: socket.socket, size: int) -> None:
    """Keep the kernel from growing the buffers of accepted connections to several MB each."""
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        listening.setsockopt(socket.SOL_SOCKET, option, size)


def _respond_briefly(caller: CallerConnection, error: AspengateError) -> None:
    status = error.response.status
    caller.respond(status, reason_phrase(status), [], str(error).encode())


def _last_used_ms(channel: RelayChannel) -> float:
    return channel.last_used_ms
