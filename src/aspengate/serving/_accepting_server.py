"""A waitress server that continues to accept connections after an exception."""

from typing import Any

from waitress.server import TcpWSGIServer

from aspengate.telemetry import Counters, NullCounters, log_change


class AcceptingServer(TcpWSGIServer):  # type: ignore[misc]
    """A TCP server; ``counters`` count the connections whose acceptance raised an exception.

    waitress closes the listening socket, and the trigger, when ``handle_accept`` raises.
    """

    def __init__(self, *args: Any, counters: Counters | None = None, **kwargs: Any) -> None:
        self.counters = counters or NullCounters()
        super().__init__(*args, **kwargs)

    def handle_accept(self) -> None:
        """Accept a connection; an exception fails that one alone."""
        try:
            super().handle_accept()
        except Exception as error:
            self.counters.count("connections.not_accepted")
            log_change("connection.not_accepted", error=repr(error))
