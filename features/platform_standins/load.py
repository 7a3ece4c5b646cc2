"""Sends requests to routers at a steady rate and collects the responses."""

import itertools
import threading
import time

from platform_standins.client import Caller

_TOKENS = (200, 60)


class SteadyLoad:
    """Sends ``per_second`` requests in total, in turn to each router and of each kind.

    ``kinds`` are pairs of a method and a path prefix; POST requests are streams of an engine's
    route. Each request has its own connection and thread, so that slow responses do not lower the
    rate. ``statuses`` holds the status of each response, 0 if there was none, and ``sent`` the
    number of requests sent.
    """

    def __init__(self, routers, per_second, kinds=(("GET", "/receipt/"),)):
        self.routers = routers
        self.interval_s = 1.0 / per_second
        self.kinds = kinds
        self.sent = 0
        self.statuses = []
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        self._thread.start()
        return self

    def stop(self):
        self._stopping.set()
        self._thread.join()

    def _run(self):
        due_s = time.monotonic()
        pairs = itertools.cycle(itertools.product(self.kinds, range(len(self.routers))))
        while not self._stopping.wait(max(0.0, due_s - time.monotonic())):
            due_s += self.interval_s
            self.sent += 1
            arguments = (*next(pairs), self.sent)
            threading.Thread(target=self._send, args=arguments, daemon=True).start()

    def _send(self, kind, index, number):
        method, prefix = kind
        fields = {"body": b"x", "tokens": _TOKENS} if method == "POST" else {}
        try:
            caller = Caller(self.routers[index].address)
            answer = caller.request(method, f"{prefix}{number}", **fields)
            self.statuses.append(answer.status if answer.whole else 0)
            caller.close()
        except OSError:
            self.statuses.append(0)
