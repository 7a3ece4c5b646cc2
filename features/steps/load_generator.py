"""Callers that ask several gateways for a while, and what replicas got of their requests."""

import itertools
import threading
import time

from gateway_world import TOKENS, start_gateways

# Repeats as the platform allows them, but in a shorter window.
WINDOW_S = 2
START_MS = 1_000
WARM_UP_S = 1.0

CALLERS = 8
PAUSE_S = 0.01
MOST_PARTS = 40

_numbers = itertools.count(1)


class SentRequest:
    """One request: the gateway that got it, when it was sent, and what came back when."""

    def __init__(self, router, path):
        self.router = router
        self.path = path
        self.sent_s = time.monotonic()
        self.status = 0
        self.headers = ()
        self.ended_s = 0.0

    def header(self, name):
        """Return a header of the answer; empty where there is none."""
        found = [value for key, value in self.headers if key.lower() == name.lower()]
        return found[0] if found else ""

    @property
    def gateway_and_kind(self):
        """The gateway and the kind of request, by which the service is chosen."""
        return self.router.name, self.path.split("/")[1]


class LoadGenerator:
    """Callers that ask each gateway in turn, by default for receipts and for streams.

    Each asks again ``pause_s`` after it has got its answer, until they stop.
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
            threading.Thread(target=self._ask, args=(offset,), daemon=True)
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

    def _ask(self, offset):
        # Those that ask seldom do not all ask at one moment.
        self._stop.wait(self.pause_s * offset / len(self._threads))
        for number in itertools.count(offset):
            if self._stop.wait(self.pause_s):
                return
            router = self.routers[number % len(self.routers)]
            path = self.paths[(number // len(self.routers)) % len(self.paths)]
            self._ask_once(router, f"{path}{next(_numbers)}")

    def _ask_once(self, router, path):
        asked = SentRequest(router, path)
        identity = path.strip("/").replace("/", "-")
        fields = {}
        if path.startswith("/score"):
            # Prompts of many kinds, so that each replica is somebody's first choice.
            part = f"{sum(identity.encode()) % MOST_PARTS:x}:{TOKENS[0] - 1}"
            fields = {
                "tokens": TOKENS,
                "body": b"essay",
                "parts": f"{part},{len(self.requests):x}:1",
            }
        self.requests[identity] = asked
        try:
            caller = router.call()
            answer = caller.request("POST" if fields else "GET", path, identity=identity, **fields)
            caller.close()
        except OSError:
            return
        asked.ended_s = time.monotonic()
        asked.status = answer.status if answer.whole else 0
        asked.headers = answer.headers


def start_with_load(context, *, routers, replicas, change=None):
    """Start gateways that share repeats; return the replica of each service that is asked most.

    These are to speak: what a replica says that nobody would choose puts nothing to the test.
    ``change`` is applied to the configuration.
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
    """Return what a replica got of the callers' requests, as pairs of id and time."""
    return [
        (each.identity, each.at_s)
        for each in list(replica.requests)
        if each.identity in callers.requests
    ]
