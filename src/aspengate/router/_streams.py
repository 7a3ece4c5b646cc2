"""The answers that a router is waiting for, each bound to its own request."""

import itertools
import queue
import threading
from collections.abc import Callable, Iterator

from aspengate.errors import AspengateError, ErrorKind
from aspengate.telemetry import Counters
from aspengate.transport import Chunk, Chunks, Done, Message, Refused, Started

_LOOK_MS = 250.0

Frame = Started | Chunk | Done | Refused
Sink = Callable[[Frame], None]


def wait_in_steps(timeout_ms: float, is_lost: Callable[[], bool]) -> Iterator[float]:
    """Yield short waits, in seconds, until ``timeout_ms`` has passed or ``is_lost`` says so."""
    left = timeout_ms
    while True:
        yield max(0.0, min(left, _LOOK_MS)) / 1_000
        left -= _LOOK_MS
        if left <= 0 or is_lost():
            return


class AnswerStream:
    """The frames of one dispatch, in the order in which they came."""

    def __init__(self, number: int, agent: str) -> None:
        self.number = number
        self.agent = agent
        self.position = 0
        self._sink: Sink | None = None
        self._lock = threading.Lock()
        self._frames: queue.SimpleQueue[Frame] = queue.SimpleQueue()

    def put(self, frame: Frame) -> None:
        """Take a frame from the agent; with a sink it is handed on at once."""
        with self._lock:
            if self._sink is None:
                self._frames.put(frame)
            else:
                self._sink(frame)

    def attach(self, sink: Sink) -> None:
        """Hand all frames, those that are here first, to ``sink``, on the receiving thread.

        It must not raise or block: it holds up the frames of all streams. Positions are not
        checked for it; call ``check``.
        """
        with self._lock:
            while not self._frames.empty():
                sink(self._frames.get_nowait())
            self._sink = sink

    def next(self, timeout_ms: float, is_lost: Callable[[], bool]) -> Frame:
        """Return the next frame; raises OUTCOME_UNKNOWN where none came in time.

        It gives up early once ``is_lost`` says that the agent is gone. A piece that does not
        start where the last one ended is an error of the same kind: a caller never gets an
        answer with a hole.
        """
        for seconds in wait_in_steps(timeout_ms, is_lost):
            try:
                frame = self._frames.get(timeout=seconds)
            except queue.Empty:
                continue
            self.check(frame)
            return frame
        raise AspengateError(ErrorKind.OUTCOME_UNKNOWN, "no word from the agent", where=self.agent)

    def ready(self) -> list[Frame]:
        """Return the frames that are already there."""
        frames: list[Frame] = []
        while True:
            try:
                frame = self._frames.get_nowait()
            except queue.Empty:
                return frames
            self.check(frame)
            frames.append(frame)

    def check(self, frame: Frame) -> None:
        """Raise OUTCOME_UNKNOWN where a frame does not follow the one before it."""
        if isinstance(frame, Chunk):
            if frame.position != self.position:
                raise AspengateError(
                    ErrorKind.OUTCOME_UNKNOWN, "a piece of the answer is missing", where=self.agent
                )
            self.position += len(frame.data)
        elif isinstance(frame, Done) and not frame.error and frame.length != self.position:
            raise AspengateError(
                ErrorKind.OUTCOME_UNKNOWN, "the answer's end is missing", where=self.agent
            )


class StreamTable:
    """Gives each dispatch a number that is never used again, and hands frames to its stream.

    Frames for another session or for a stream that is closed are dropped and counted.
    """

    def __init__(self, session: str, counters: Counters) -> None:
        self.session = session
        self.counters = counters
        self._numbers = itertools.count(1)
        self._streams: dict[int, AnswerStream] = {}
        self._lock = threading.Lock()

    @property
    def open_count(self) -> int:
        """How many streams are open."""
        return len(self._streams)

    def open(self, agent: str) -> AnswerStream:
        """Return a new stream for a dispatch to an agent."""
        stream = AnswerStream(next(self._numbers), agent)
        with self._lock:
            self._streams[stream.number] = stream
        return stream

    def agent_of(self, session: str, number: int) -> str | None:
        """Return the address of the agent that answers a stream, if it is open."""
        stream = self._streams.get(number) if session == self.session else None
        return stream.agent if stream else None

    def close(self, number: int) -> None:
        """Drop whatever still comes for a stream."""
        with self._lock:
            self._streams.pop(number, None)

    def accept(self, message: Message) -> None:
        """Hand a message from an agent to the stream that it belongs to."""
        if isinstance(message, Chunks):
            for chunk in message.chunks:
                self._put(message.router_session, chunk.stream, chunk)
        elif isinstance(message, Started | Done | Refused):
            self._put(message.router_session, message.stream, message)

    def _put(self, session: str, number: int, frame: Frame) -> None:
        stream = self._streams.get(number) if session == self.session else None
        if stream is None:
            self.counters.count("router.late_frame")
            return
        stream.put(frame)
