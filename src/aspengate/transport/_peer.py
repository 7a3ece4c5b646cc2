"""The sockets through which a process exchanges messages with the rest of the fleet."""

import contextlib
import itertools
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import TypeVar

import pynng

from aspengate.errors import AspengateError, ErrorKind
from aspengate.telemetry import Counters, log_change
from aspengate.transport._messages import (
    ClaimReply,
    DrawReply,
    FenceAck,
    Message,
    decode_message,
    encode_message,
)
from aspengate.transport._seal import Sealer

PeerHandler = Callable[[Message], None]
_REPLY_TYPES = (DrawReply, ClaimReply, FenceAck)
_SEND_TIMEOUT_MS = 2_000
_RECEIVE_TIMEOUT_MS = 200
_MAX_QUEUED_MESSAGES = 1_024
_MAX_MESSAGE_BYTES = 16 * 1024 * 1024
_BACKGROUND_THREADS = 8

_Reply = TypeVar("_Reply", bound=Message)


class Peer:
    """Sends messages to other processes by address and passes received ones to a handler.

    Each process listens on one pull socket and keeps one push socket for each address that it
    sends to. Messages from one sender arrive in order. The handler is called on the receiving
    thread and must not block; work that does I/O is submitted to ``background``.
    """

    def __init__(self, listen: str, sealer: Sealer, counters: Counters) -> None:
        self.counters = counters
        self.background = ThreadPoolExecutor(_BACKGROUND_THREADS, thread_name_prefix="peer")
        self._sealer = sealer
        self._handler: PeerHandler = _ignore_message
        self._sockets: dict[str, pynng.Push0] = {}
        self._pending_calls: dict[int, Future[Message]] = {}
        self._call_numbers = itertools.count(1)
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._receiver = pynng.Pull0(recv_timeout=_RECEIVE_TIMEOUT_MS)
        self._receiver.recv_max_size = _MAX_MESSAGE_BYTES
        self._receiver.recv_buffer_size = _MAX_QUEUED_MESSAGES
        self._receiver.listen(f"tcp://{listen}")
        host = listen.rpartition(":")[0]
        port = str(self._receiver.listeners[0].local_address).rpartition(":")[2]
        self.address = f"{host}:{port}"
        self._thread = threading.Thread(target=self._receive_loop, daemon=True, name="peer-receive")

    def start(self, handler: PeerHandler) -> None:
        """Start to receive messages and pass them to ``handler``."""
        self._handler = handler
        self._thread.start()

    def send(self, address: str, message: Message) -> bool:
        """Send a message; return whether the socket accepted it, not whether it arrived."""
        sealed = self._sealer.seal(encode_message(message))
        try:
            self._socket_for(address).send(sealed)
        except pynng.NNGException:
            self.counters.count("peer.send_failed")
            return False
        self.counters.count("peer.sent")
        self.counters.count("peer.sent_bytes", len(sealed))
        return True

    def call(
        self,
        address: str,
        build_request: Callable[[int], Message],
        reply_type: type[_Reply],
        timeout_ms: float,
    ) -> _Reply:
        """Send the message that ``build_request`` returns for a call number; return its reply.

        Raises AspengateError of kind OUTCOME_UNKNOWN if the message can't be sent or no reply
        arrives within ``timeout_ms``, and of kind INTERNAL if the reply is not a ``reply_type``.
        """
        number = next(self._call_numbers)
        future: Future[Message] = Future()
        with self._lock:
            self._pending_calls[number] = future
        try:
            if not self.send(address, build_request(number)):
                raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "can't be reached", where=address)
            reply = future.result(timeout_ms / 1_000)
        except FutureTimeoutError:
            raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "no reply", where=address) from None
        finally:
            with self._lock:
                self._pending_calls.pop(number, None)
        if not isinstance(reply, reply_type):
            raise AspengateError(ErrorKind.INTERNAL, "reply of another type", where=address)
        return reply

    def close(self) -> None:
        """Stop receiving, cancel background work that has not started, and close the sockets."""
        self._closing.set()
        if self._thread.is_alive():
            self._thread.join()
        self.background.shutdown(wait=False, cancel_futures=True)
        with self._lock:
            sockets = list(self._sockets.values())
            self._sockets.clear()
        for socket in (*sockets, self._receiver):
            with contextlib.suppress(pynng.NNGException):
                socket.close()

    def _socket_for(self, address: str) -> pynng.Push0:
        with self._lock:
            socket = self._sockets.get(address)
            if socket is None:
                socket = pynng.Push0(send_timeout=_SEND_TIMEOUT_MS)
                socket.send_buffer_size = _MAX_QUEUED_MESSAGES
                socket.dial(f"tcp://{address}", block=False)
                self._sockets[address] = socket
            return socket

    def _receive_loop(self) -> None:
        while not self._closing.is_set():
            try:
                sealed = self._receiver.recv()
            except pynng.Timeout:
                continue
            except pynng.NNGException:
                return
            self._handle_sealed(sealed)

    def _handle_sealed(self, sealed: bytes) -> None:
        try:
            message = decode_message(self._sealer.open(sealed))
        except AspengateError as error:
            self.counters.count(f"peer.rejected.{error.kind.value}")
            return
        self.counters.count("peer.received")
        if isinstance(message, _REPLY_TYPES):
            self._complete_call(message.call, message)
            return
        try:
            self._handler(message)
        except Exception as error:
            self.counters.count("peer.handler_failed")
            log_change("peer.handler_failed", message=type(message).__name__, error=repr(error))

    def _complete_call(self, number: int, message: Message) -> None:
        with self._lock:
            future = self._pending_calls.pop(number, None)
        if future is None:
            self.counters.count("peer.late_reply")
            return
        future.set_result(message)


def _ignore_message(message: Message) -> None:
    del message
