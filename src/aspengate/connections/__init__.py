"""HTTP connections to replicas, on which each response is matched to its request."""

from aspengate.connections._connect_times import ConnectTimes
from aspengate.connections._connection import (
    BrokenResponseError,
    ReplicaConnection,
    RequestHead,
)
from aspengate.connections._dead_peer import TCP_USER_TIMEOUT_MS, detect_dead_peer
from aspengate.connections._decimal import parse_decimal
from aspengate.connections._endpoint import is_ipv4_endpoint
from aspengate.connections._headers import (
    HOP_BY_HOP_HEADERS,
    Headers,
    connection_options,
    header_values,
    number_header,
    parse_whole_number,
    single_header,
)
from aspengate.connections._listener_probe import ListenerProbe, ListenerState
from aspengate.connections._pool import ConnectionPool
from aspengate.connections._response import ReplicaResponse
from aspengate.connections._strict_client import MalformedHeadError, StrictHTTPConnection
from aspengate.connections._waiter import CallerGoneError, Waiter

__all__ = [
    "HOP_BY_HOP_HEADERS",
    "TCP_USER_TIMEOUT_MS",
    "BrokenResponseError",
    "CallerGoneError",
    "ConnectTimes",
    "ConnectionPool",
    "Headers",
    "ListenerProbe",
    "ListenerState",
    "MalformedHeadError",
    "ReplicaConnection",
    "ReplicaResponse",
    "RequestHead",
    "StrictHTTPConnection",
    "Waiter",
    "connection_options",
    "detect_dead_peer",
    "header_values",
    "is_ipv4_endpoint",
    "number_header",
    "parse_decimal",
    "parse_whole_number",
    "single_header",
]
