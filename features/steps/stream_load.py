"""Callers that break their streams off and take them up at other gateways, under trouble."""

import random
import threading
import time

from stream_callers import EVENTS, begin, take_up

OK = 200
MAX_TAKE_UPS = 6
PAUSE_S = 0.05


class StreamLoad:
    """Callers that each run one stream after another until ``stop``.

    ``streams`` are those that brought a first event, and ``new`` the statuses of all requests for
    a new stream, 0 for those without a response. ``wait_s`` is how long a caller waits before it
    takes its stream up.
    """

    def __init__(self, fleet, callers=8, wait_s=0.0):
        self.fleet = fleet
        self.wait_s = wait_s
        self.streams = []
        self.new = []
        self._numbers = iter(range(1_000_000))
        self._lock = threading.Lock()
        self._closing = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(seed,), daemon=True) for seed in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._closing.set()
        for thread in self._threads:
            thread.join(30)

    def shares(self):
        """Return the shares of streams taken up that went on, and of new ones that began."""
        taken_up = [stream for stream in self.streams if len(stream.statuses) > 1]
        went_on = sum(stream.is_whole for stream in taken_up) / len(taken_up)
        return went_on, self.new.count(OK) / len(self.new)

    def _run(self, seed):
        source = random.Random(seed)
        while not self._closing.is_set():
            stream = self._begin(source)
            if stream is None or not stream.versions:
                time.sleep(PAUSE_S)
                continue
            with self._lock:
                self.streams.append(stream)
            self._take_up(stream, source)

    def _begin(self, source):
        with self._lock:
            number = next(self._numbers)
        try:
            stream = begin(source.choice(self.fleet.routers), number, source.randint(1, 3))
        except (OSError, ValueError):
            stream = None
        with self._lock:
            self.new.append(0 if stream is None else stream.statuses[0])
        return stream

    def _take_up(self, stream, source):
        """Take the stream up until it has ended, at random gateways."""
        time.sleep(self.wait_s)
        for _ in range(MAX_TAKE_UPS):
            if stream.is_whole or stream.last_event_id >= EVENTS:
                return
            try:
                take_up(source.choice(self.fleet.routers), stream)
            except OSError:
                stream.statuses.append(0)
            if not stream.is_whole:
                time.sleep(PAUSE_S)
