"""HTTP connections to replicas, whose every answer is bound to its request."""

from aspengate.connections._answer import ReplicaAnswer
from aspengate.connections._connection import (
    BrokenAnswerError,
    ReplicaConnection,
    RequestHead,
    refuses_connections,
)
from aspengate.connections._decimal import decimal_number
from aspengate.connections._pool import ConnectionPool
from aspengate.connections._silence import UNACKNOWLEDGED_MS, detect_silence
from aspengate.connections._waiter import CallerGoneError, Waiter

__all__ = [
    "UNACKNOWLEDGED_MS",
    "BrokenAnswerError",
    "CallerGoneError",
    "ConnectionPool",
    "ReplicaAnswer",
    "ReplicaConnection",
    "RequestHead",
    "Waiter",
    "decimal_number",
    "detect_silence",
    "refuses_connections",
]
