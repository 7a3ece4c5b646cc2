"""Splits the body of an event stream (server-sent events) into complete events."""

import re
from dataclasses import dataclass

_EVENT_END = re.compile(rb"\n\n|\r\n\r\n|\r\r")
_MAX_END_BYTES = 4
_ID_FIELD = b"id:"


@dataclass(frozen=True)
class StreamEvent:
    """The bytes of one complete event, and its id, which is empty if it has none."""

    data: bytes
    event_id: str


class EventSplitter:
    """Splits received bytes into complete events.

    ``remainder`` holds the bytes of the last event while it is incomplete.
    """

    def __init__(self) -> None:
        # Bytes would be copied for each piece of a long event.
        self.remainder = bytearray()

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
        scanned = max(0, len(self.remainder) - _MAX_END_BYTES + 1)
        self.remainder += data
        events = []
        start = 0
        for end in _EVENT_END.finditer(self.remainder, scanned):
            events.append(_parse_event(bytes(self.remainder[start : end.end()])))
            start = end.end()
        del self.remainder[:start]
        return events


def _parse_event(data: bytes) -> StreamEvent:
    event_id = ""
    for line in data.splitlines():
        if line.startswith(_ID_FIELD):
            event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
    return StreamEvent(data, event_id)
