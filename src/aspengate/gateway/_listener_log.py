"""Counts and logs what the servers of the gateway's other addresses close and refuse."""

from aspengate.serving import ConnectionReport
from aspengate.telemetry import Counters, log_change


class ListenerLog:
    """Observes the server at the address ``listener``: ``ready``, ``metrics`` or ``peer``."""

    def __init__(self, listener: str, counters: Counters) -> None:
        self.listener = listener
        self.counters = counters

    def handle_close(self, report: ConnectionReport) -> None:
        """Count a closed connection; log it if its caller may have sent a request."""
        self.counters.count(f"listeners.closed.{self.listener}")
        if report.is_lossy:
            log_change(
                "listener.connection_closed",
                listener=self.listener,
                reason=report.reason.value,
                caller=report.caller,
                idle_ms=round(report.idle_ms),
            )

    def handle_refusal(self, caller: str, status: int) -> None:
        """Count and log a request that got ``status`` in place of its response."""
        self.counters.count(f"listeners.refused.{self.listener}")
        log_change("listener.request_refused", listener=self.listener, caller=caller, status=status)
