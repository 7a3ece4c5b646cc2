"""HTTP servers based on waitress: for WSGI applications, and for relaying requests and streams."""

from aspengate.serving._close_report import CloseReason, ConnectionReport
from aspengate.serving._free_memory import FreeMemory
from aspengate.serving._relay_server import RelayHandler, RelayServer
from aspengate.serving._relay_task import CallerConnection, ReceivedRequest
from aspengate.serving._server import (
    ListenerLimits,
    ListenerObserver,
    StartResponse,
    WsgiApplication,
    WsgiEnvironment,
    WsgiServer,
)

__all__ = [
    "CallerConnection",
    "CloseReason",
    "ConnectionReport",
    "FreeMemory",
    "ListenerLimits",
    "ListenerObserver",
    "ReceivedRequest",
    "RelayHandler",
    "RelayServer",
    "StartResponse",
    "WsgiApplication",
    "WsgiEnvironment",
    "WsgiServer",
]
