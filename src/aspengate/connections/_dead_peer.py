"""Has the system end connections whose other side is gone without a word."""

import socket

_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# How long the system sends again what the other side does not acknowledge, in ms, also after the
# connection was closed.
TCP_USER_TIMEOUT_MS = 2_000


def detect_dead_peer(connected: socket.socket) -> None:
    """Set a connection up to end within seconds of the other side's last sign of life.

    A machine without power and one behind a cut send nothing, not even an end: what is under
    way and is not acknowledged in time, and probes while nothing is, tell them from a slow one.
    """
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
