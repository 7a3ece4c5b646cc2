"""What steps of the gateway share: a fleet against the stand-ins."""

import threading

from platform_standins import Fleet

REPEATS = {"retry_slack": 400, "retry_ratio": 0.2}
TOKENS = (1_000, 60)


def start(context, routers=1, replicas=1, fields=None, **bounds):
    context.fleet = Fleet(context.cleanup)
    context.fleet.operator.write()
    for _ in range(replicas):
        context.fleet.add_replica("portal", **(fields or {}))
        context.fleet.add_replica("engine", **(fields or {}))
    for _ in range(routers):
        context.fleet.add_router(**bounds)
    context.router = context.fleet.routers[0]


def in_background(action):
    """Run an action on a thread; return a function that waits for its result."""
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
