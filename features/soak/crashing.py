"""A caller whose prompts have a segment that crashes each engine replica."""

import contextlib
import threading
import time

from platform_standins import Caller

SEGMENT = "dead"
# Tokens of the shared segments of prompts, by their ids.
SOUND_PROMPT = {"f1": 200}
CRASHING_PROMPT = {**SOUND_PROMPT, SEGMENT: 100}
STREAM = ("POST", "/score", "engine")
ENGINES = 8
INTERVAL_S = 0.25
REPLACEMENT_S = 1.5
# Routers stop the segment after this many crashes, and run this many trials within ten minutes.
CRASHES = 5
TRIALS = 3
# How many crashes a fault may hide from the routers: one that the affected router alone has seen,
# or what all of them knew but for the record in the store. While routers lack the store, one of
# them runs a trial without a record.
HIDDEN_CRASHES = {
    "kill": 1,
    "kill all": 3,
    "terminate": 1,
    "stop": 1,
    "store": 1,
    "store of all": 1,
}
# How long a router may take to send sound streams again after the last fault: a trial of a router
# that does not report an outcome expires after 20 s.
SOUND_TIMEOUT_S = 30.0


class CrashingCaller:
    """Sends streams with the crashing segment to the routers in turn, while a run lasts.

    ``crash_times`` are the times at which replicas crashed. Each is replaced after a while.
    """

    def __init__(self, soak):
        self.soak = soak
        self.crash_times = []
        self.lock = threading.Lock()

    def arm(self, replica):
        """Have a replica crash on the segment, and its replacements too."""
        replica.crash_on_segment, replica.on_crash = SEGMENT, self.record_crash
        replica.crash_after_s = 0.05

    def record_crash(self, replica):
        with self.lock:
            self.crash_times.append(time.monotonic())
        replica.unlist()
        self.soak.schedule(REPLACEMENT_S, lambda: self.soak.add_replica("engine"))

    def run(self):
        """Send a stream at each interval until the run has ended."""
        router = 0
        while not self.soak.has_ended(INTERVAL_S):
            router = (router + 1) % self.soak.router_count
            threading.Thread(target=self.send, args=(router,), daemon=True).start()

    def send(self, router):
        send_stream(self.soak, self.soak.fleet.routers[router], CRASHING_PROMPT)


def send_stream(soak, router, prompt):
    """Send a stream on a new connection; return whether it is answered completely."""
    with contextlib.suppress(OSError), contextlib.closing(Caller(router.address, 6.0)) as caller:
        caller.router = router
        call, _ = soak.send_request(caller, *STREAM, prompt)
        return call.status == 200 and call.is_complete
    return False


def serves_sound_streams(soak, router):
    """Return whether a router answers a stream that shares the other segment."""
    return send_stream(soak, router, SOUND_PROMPT)


def excess_crashes(soak):
    """Check that the segment crashes no more replicas than its trials and hidden crashes allow."""
    crashes = len(soak.crashing.crash_times)
    hidden = sum(HIDDEN_CRASHES.get(fault.kind, 0) for fault in soak.injected)
    soak.figures["crashes"], soak.figures["hidden"] = crashes, hidden
    if crashes > CRASHES + TRIALS + hidden:
        moment = soak.describe_moment(soak.crashing.crash_times[-1])
        yield f"crashing: {crashes} replicas, {hidden} may be hidden, {moment}"
