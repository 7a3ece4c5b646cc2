"""Splits the body of an event stream into whole events."""

from dataclasses import dataclass

_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
_ID_FIELD = b"id:"


@dataclass(frozen=True)
class StreamEvent:
    """One whole event as its bytes, with its id, empty where it has none."""

    data: bytes
    event_id: str


class EventSplitter:
    """Takes bytes as they come and gives back the events that are whole.

    ``rest`` are bytes of an event whose end has not come yet.
    """

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Return the events that are whole with ``data``."""
        self.remainder += data
        events = []
        while (end := _end_of_event(self.remainder)) > 0:
            events.append(_event(self.remainder[:end]))
            self.remainder = self.remainder[end:]
        return events


def _end_of_event(data: bytes) -> int:
    """Return where the first event ends; 0 where none is whole."""
    ends = [at + len(mark) for mark in _ENDS if (at := data.find(mark)) >= 0]
    return min(ends, default=0)


def _event(data: bytes) -> StreamEvent:
    identity = ""
    for line in data.splitlines():
        if line.startswith(_ID_FIELD):
            identity = line[len(_ID_FIELD) :].strip().decode("latin-1")
    return StreamEvent(data, identity)
