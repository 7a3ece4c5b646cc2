"""Socket options that close connections to peers that have become unreachable."""

import socket

_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# How long the kernel retransmits data that the peer does not acknowledge, also after the
# connection was closed.
TCP_USER_TIMEOUT_MS = 2_000


def detect_dead_peer(connected: socket.socket) -> None:
    """Make the kernel close a connection within seconds after its peer becomes unreachable.

    A machine that lost power or its network sends neither FIN nor RST. Unlike a slow peer it
    acknowledges neither data nor, on an idle connection, keepalive probes.
    """
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    connected.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
