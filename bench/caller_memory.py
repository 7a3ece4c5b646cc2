"""Measures what crowds of clients make a gateway hold: python bench/caller_memory.py [CROWD...].

A gateway with 150 MB of memory serves 64 clients of each kind for 10 s. Needs Linux.
"""

import contextlib
import sys
import time
from pathlib import Path
from types import SimpleNamespace

FEATURES = Path(__file__).resolve().parent.parent / "features"
sys.path[:0] = [str(FEATURES), str(FEATURES / "steps")]

from platform_standins.crowd import CLIENTS, Crowd  # noqa: E402

import untrusted_clients_steps as steps  # noqa: E402

MEMORY_MB = 150
CLIENT_COUNT = 64
STAY_S = 10.0
PAUSE_S = 0.5
SETTLE_S = 3.0
LATER_REQUESTS = 10
MB = 2**20


def measure(crowd_name: str) -> str:
    """Return a table row on one kind of crowd."""
    with contextlib.ExitStack() as cleanup:
        context = SimpleNamespace(cleanup=cleanup)
        steps.start(context, memory_mb=MEMORY_MB)
        router = context.router
        crowd = Crowd(router.address, crowd_name, CLIENT_COUNT)
        answered, queued, descriptors = [], [], []
        until_s = time.monotonic() + STAY_S
        while time.monotonic() < until_s:
            answered.append(steps.ask_ordinary(router))
            queued.append(steps.queued_bytes(router.address))
            descriptors.append(steps.descriptor_count(router))
            time.sleep(PAUSE_S)
        peak = steps.memory_bytes(router, "VmHWM")
        crowd.leave()
        time.sleep(SETTLE_S)
        later = sum(steps.ask_ordinary(router) for _ in range(LATER_REQUESTS))
        after = steps.memory_bytes(router, "VmRSS")
        return (
            f"| {crowd_name} | {peak / MB:.0f} | {after / MB:.0f} | {max(queued) / MB:.1f} "
            f"| {max(descriptors)} | {sum(answered)} of {len(answered)} "
            f"| {later} of {LATER_REQUESTS} |"
        )


if __name__ == "__main__":
    for name in sys.argv[1:] or CLIENTS:
        print(measure(name), flush=True)
