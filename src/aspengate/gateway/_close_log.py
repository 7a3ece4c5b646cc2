"""Counts the connections that the gateway closes, and logs those closed under a request."""

from aspengate.serving import ConnectionReport
from aspengate.telemetry import Counters, log_change


class CloseLog:
    """Observes the connections that a relay server closes by itself.

    ``cut`` is the number of connections that were closed with a request in progress, ``unread`` of
    those closed with unread data.
    """

    def __init__(self, counters: Counters) -> None:
        self.counters = counters
        self.cut = 0
        self.unread = 0

    def __call__(self, report: ConnectionReport) -> None:
        """Count a connection; log it if its caller may have sent a request without a response."""
        self.counters.count(f"connections.closed.{report.reason}")
        if not report.is_lossy:
            return
        self.cut += bool(report.requests)
        self.unread += report.is_unread
        self.counters.count(f"connections.closed_under_request.{report.reason}")
        log_change(
            "connection.closed_under_request",
            reason=report.reason.value,
            caller=report.caller,
            requests=report.requests,
            unread=report.is_unread,
            idle_ms=round(report.idle_ms),
        )
