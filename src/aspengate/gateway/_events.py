"""Splits the body of an event stream (server-sent events) into complete events."""

from dataclasses import dataclass

_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n", b"\r\r")
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
        self.remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that ``data`` completes."""
        self.remainder += data
        events = []
        while (end := _end_of_event(self.remainder)) > 0:
            events.append(_parse_event(self.remainder[:end]))
            self.remainder = self.remainder[end:]
        return events


def _end_of_event(data: bytes) -> int:
    """Return the offset of the first event's end, or 0 if no event is complete."""
    ends = [at + len(mark) for mark in _EVENT_TERMINATORS if (at := data.find(mark)) >= 0]
    return min(ends, default=0)


def _parse_event(data: bytes) -> StreamEvent:
    event_id = ""
    for line in data.splitlines():
        if line.startswith(_ID_FIELD):
            event_id = line[len(_ID_FIELD) :].strip().decode("latin-1")
    return StreamEvent(data, event_id)
