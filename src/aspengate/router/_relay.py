"""The way of an answer's body from its agent to the caller."""

import threading
from collections.abc import Callable, Iterator

from aspengate.clock import Clock
from aspengate.errors import AspengateError, ErrorKind
from aspengate.router._exchange import Exchange, Filter, Outcome, Write
from aspengate.router._streams import AnswerStream, Frame, wait_in_steps
from aspengate.telemetry import Counters
from aspengate.transport import Chunk, Done, UsageRecord

ANSWER_MARGIN_MS = 1_000

Cancellation = Callable[[AnswerStream], None]


class Relay:
    """The body of an answer as it comes from the agent; iterate over it or pump it, once.

    However it ends, the request is settled then. A caller that goes away closes the iteration,
    or makes the write fail, which cancels the run.
    """

    def __init__(
        self,
        exchange: Exchange,
        stream: AnswerStream,
        clock: Clock,
        counters: Counters,
        cancel: Cancellation,
        is_lost: Callable[[], bool],
    ) -> None:
        self.exchange = exchange
        self.stream = stream
        self.clock = clock
        self.counters = counters
        self.usage: UsageRecord | None = None
        self._cancel = cancel
        self._is_lost = is_lost

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body; what has come meanwhile is yielded in one piece."""
        outcome = Outcome(error=ErrorKind.OUTCOME_UNKNOWN.value)
        try:
            while True:
                remaining = self.exchange.request.deadline_ms - self.clock.now_ms()
                frames = [
                    self.stream.next(remaining + ANSWER_MARGIN_MS, self._is_lost),
                    *self.stream.ready(),
                ]
                data = b"".join(frame.data for frame in frames if isinstance(frame, Chunk))
                if data:
                    yield data
                done = frames[-1]
                if isinstance(done, Done):
                    outcome = Outcome(usage=done.usage, error=done.error)
                    self.usage = done.usage
                    if done.error:
                        raise AspengateError(ErrorKind(done.error), "the answer broke off")
                    return
        finally:
            self._end(outcome)

    def pump(self, write: Write) -> None:
        """Write each piece of the body as it arrives, on the thread that receives it.

        Raises AspengateError where the answer broke off.
        """
        pump = _Pump(self.stream, write, self.clock)
        self.stream.attach(pump.take)
        deadline_ms = self.exchange.request.deadline_ms + ANSWER_MARGIN_MS
        for seconds in wait_in_steps(deadline_ms - self.clock.now_ms(), self._is_lost):
            if pump.ended.wait(seconds):
                break
        pump.ended.set()
        self.usage = pump.done.usage if pump.done else None
        error = pump.done.error if pump.done else ErrorKind.OUTCOME_UNKNOWN.value
        first = pump.first_ms
        delay = None if first is None else first - self.exchange.request.received_ms
        self._end(Outcome(usage=self.usage, error=error, first_answer_ms=delay))
        if error:
            raise AspengateError(ErrorKind(error), "the answer broke off")

    def _end(self, outcome: Outcome) -> None:
        if outcome.usage is None:
            self._cancel(self.stream)
            self.counters.count("router.broken_off")
        finish_filters(self.exchange, outcome)


class _Pump:
    """Writes frames until the end of the answer, or until the caller is gone."""

    def __init__(self, stream: AnswerStream, write: Write, clock: Clock) -> None:
        self.stream = stream
        self.clock = clock
        self.first_ms: int | None = None
        self.done: Done | None = None
        self.ended = threading.Event()
        self._write = write

    def take(self, frame: Frame) -> None:
        """Write one frame; whatever goes wrong ends the pump, since this must not raise."""
        if self.ended.is_set():
            return
        try:
            self.stream.check(frame)
            if isinstance(frame, Chunk):
                if self.first_ms is None:
                    self.first_ms = self.clock.now_ms()
                self._write(frame.data)
            elif isinstance(frame, Done):
                self.done = frame
                self.ended.set()
        except Exception:
            self.ended.set()


def finish_filters(exchange: Exchange, outcome: Outcome, keep: tuple[Filter, ...] = ()) -> None:
    for each in reversed(exchange.passed[len(keep) :]):
        each.finish(exchange, outcome)
