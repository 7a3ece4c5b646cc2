"""A load generator for several gateways, and the arrivals of its requests at replicas."""

import itertools
import threading
import time

from gateway_world import TOKENS, start_gateways

# The retry budget of the platform, but in a shorter window.
WINDOW_S = 2
START_MS = 1_000
WARM_UP_S = 1.0

CALLERS = 8
PAUSE_S = 0.01
MAX_SEGMENTS = 40

_numbers = itertools.count(1)


class SentRequest:
    """A request: the gateway it was sent to, when it was sent, and its response.

    ``status`` is 0 without a complete response, and ``ended_s`` is 0 until it has ended.
    """

    def __init__(self, router, path):
        self.router = router
        self.path = path
        self.sent_s = time.monotonic()
        self.status = 0
        self.headers = ()
        self.ended_s = 0.0

    def header(self, name):
        """Return a header of the response, empty if it is missing."""
        found = [value for key, value in self.headers if key.lower() == name.lower()]
        return found[0] if found else ""

    @property
    def gateway_and_kind(self):
        """The gateway, and the kind of request, which determines the service."""
        return self.router.name, self.path.split("/")[1]


class LoadGenerator:
    """Callers that send requests to each gateway in turn, by default for receipts and streams.

    Each caller sends its next request ``pause_s`` after the previous response, until ``end``.
    """

    def __init__(
        self, routers, paths=("/receipt/", "/score/"), *, callers=CALLERS, pause_s=PAUSE_S
    ):
        self.routers = routers
        self.paths = paths
        self.pause_s = pause_s
        self.requests = {}
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._send_requests, args=(offset,), daemon=True)
            for offset in range(callers)
        ]

    def run_for(self, seconds):
        self.begin()
        time.sleep(seconds)
        return self.end()

    def begin(self):
        for thread in self._threads:
            thread.start()
        return self

    def end(self):
        self._stop.set()
        for thread in self._threads:
            thread.join()
        return self

    def _send_requests(self, offset):
        # Spread the first requests, so that callers with long pauses do not send at the same time.
        self._stop.wait(self.pause_s * offset / len(self._threads))
        for number in itertools.count(offset):
            if self._stop.wait(self.pause_s):
                return
            router = self.routers[number % len(self.routers)]
            path = self.paths[(number // len(self.routers)) % len(self.paths)]
            self._send_request(router, f"{path}{next(_numbers)}")

    def _send_request(self, router, path):
        request = SentRequest(router, path)
        identity = path.strip("/").replace("/", "-")
        fields = {}
        if path.startswith("/score"):
            # Different prompt segments, so that each replica is the best choice for some requests.
            segment = f"{sum(identity.encode()) % MAX_SEGMENTS:x}:{TOKENS[0] - 1}"
            fields = {
                "tokens": TOKENS,
                "body": b"essay",
                "parts": f"{segment},{len(self.requests):x}:1",
            }
        self.requests[identity] = request
        try:
            caller = router.call()
            answer = caller.request("POST" if fields else "GET", path, identity=identity, **fields)
            caller.close()
        except OSError:
            return
        request.ended_s = time.monotonic()
        request.status = answer.status if answer.whole else 0
        request.headers = answer.headers


def start_with_load(context, *, routers, replicas, change=None):
    """Start gateways with a retry budget; return the replica per service with the most requests.

    Tests change the behaviour of these replicas, since that of a replica without requests would
    have no effect. ``change`` is applied to the configuration.
    """
    start_gateways(
        context,
        routers=routers,
        replicas=replicas,
        retry_ratio=0.2,
        retry_slack=54,
        retry_window_s=WINDOW_S,
        retry_start_ms=START_MS,
    )
    if change is not None:
        context.fleet.operator.change(change)
    time.sleep(START_MS / 1_000 + 0.5)
    LoadGenerator(context.fleet.routers).run_for(WARM_UP_S)
    return [
        max(context.fleet.of(service), key=lambda each: len(each.requests))
        for service in ("portal", "engine")
    ]


def replica_arrivals(callers, replica):
    """Return the requests of ``callers`` that a replica received, as pairs of id and time."""
    return [
        (each.identity, each.at_s)
        for each in list(replica.requests)
        if each.identity in callers.requests
    ]
