"""Helpers of the gateway steps: a fleet of gateways with stand-ins for the platform."""

import threading
import time
import urllib.request

from platform_standins import Fleet
from platform_standins.fleet import eventually

# Allows as many retries as a scenario needs, as soon as a router has known the router count for a
# tenth of a second.
GENEROUS_RETRIES = {
    "retry_slack": 400,
    "retry_ratio": 0.2,
    "retry_window_s": 0.1,
    "retry_start_ms": 0,
}
TOKENS = (1_000, 60)


def start_gateways(context, routers=1, replicas=1, fields=None, **bounds):
    """Start gateways and, per service, replicas with ``fields``; ``bounds`` are settings."""
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    for _ in range(replicas):
        context.fleet.add_replica("portal", **(fields or {}))
        context.fleet.add_replica("engine", **(fields or {}))
    for _ in range(routers):
        context.fleet.add_router(**bounds)
    context.router = context.fleet.routers[0]
    if "retry_window_s" in bounds and not bounds.get("unread"):
        wait_for_retries(context)


def wait_for_retries(context):
    """Wait until each router has known the router count for one window."""
    for router in context.fleet.routers:
        assert eventually(lambda: router.find("retry.routers")), router.lines  # noqa: B023
    time.sleep(context.router.bounds["retry_window_s"] + 0.05)


def in_background(action):
    """Run an action in a thread; return a function that waits for its result."""
    results = []

    def run():
        try:
            results.append(action())
        except Exception as error:
            results.append(error)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()

    def wait():
        thread.join(60)
        return results[0]

    return wait


def metrics_page(router):
    """Return the text of a router's metrics page."""
    with urllib.request.urlopen(f"http://{router.metrics_address}/metrics", timeout=5) as answer:
        return answer.read().decode()
