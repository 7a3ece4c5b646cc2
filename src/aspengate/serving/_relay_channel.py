"""A caller's connection: it reads requests and sends the responses."""

from typing import Any

from waitress.channel import HTTPChannel

from aspengate.clock import SystemClock
from aspengate.serving._close_report import CloseReason, has_unread_data
from aspengate.serving._relay_task import RelayTask
from aspengate.serving._request_parser import StrictRequestParser

_CLOCK = SystemClock()


class RelayChannel(HTTPChannel):  # type: ignore[misc]
    """A caller's connection; ``last_used_ms`` is the monotonic time of its last activity.

    Both reading and sending are activity: a response may take longer than the idle timeout, and
    its last bytes may leave long after its request has been handled.
    """

    task_class = RelayTask
    parser_class = StrictRequestParser

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.last_used_ms = _CLOCK.monotonic_ms()

    def received(self, data: bytes) -> bool:
        """Handle data from the caller."""
        self.last_used_ms = _CLOCK.monotonic_ms()
        return bool(super().received(data))

    def send(self, data: bytes, do_close: bool = True) -> int:
        """Send response data, on the thread of the request or on the reading thread."""
        sent = int(super().send(data, do_close))
        if sent:
            self.last_used_ms = _CLOCK.monotonic_ms()
        return sent

    @property
    def is_idle(self) -> bool:
        """Whether no request is in progress or partly read, and all responses are written."""
        return not self.requests and self.request is None and not self.total_outbufs_len

    def close_unless_unread(self, reason: CloseReason) -> bool:
        """Close the connection unless data has arrived that is read next; return whether it did.

        Only the reading thread may call it: otherwise a request could be read in between.
        """
        if self.readable() and has_unread_data(self.socket):
            return False
        self.server.report_close(self, reason)
        self.handle_close()
        return True
