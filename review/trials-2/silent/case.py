"""All open connections to the store go silent; five seconds later a route is dropped."""

import os
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent / "standins-2"))

from kit import CALLER_LIMITS, TROUBLE, ZONES, Caller, CannotRunError, SilencingProxy, play  # noqa: E402
from platform_standins.operator import HOST, KEY, Operator, route  # noqa: E402
from platform_standins.replica import ReplicaStandIn  # noqa: E402
from platform_standins.store import StoreStandIn  # noqa: E402

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0
# The change comes this long after the silence, so that all machines are in touch again.
CHANGE_AFTER_S = CONTACT_S + 2.0
WATCHED_S = float(os.environ.get("WATCHED", "24"))
# With KEEP_ALIVE=1 silent connections end as the routers' keep-alive would end them (1 s + 2 x 1 s).
KEEP_ALIVE_S = 3.0
PAUSE_S = 0.1


class Traffic:
    """A client of one router, which asks for the dropped route ten times a second."""

    def __init__(self, router, record):
        self.router = router
        self.record = record
        self.sent = {}
        self.closing = threading.Event()
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self):
        caller = None
        number = 0
        while not self.closing.wait(PAUSE_S):
            number += 1
            identity = f"{self.router.name}-{number:04d}"
            try:
                caller = caller or Caller(self.router.address, 5.0)
                at_s = time.monotonic()
                self.sent[identity] = at_s
                self.record.line(f"sent {identity}")
                caller.send("POST", "/dropped/1", identity=identity, body=b"work", deadline_ms=1500)
                answer = caller.read()
                self.record.line(f"answered {identity} {answer.status}")
                if answer.header("Connection") == "close":
                    caller.close()
                    caller = None
            except OSError as error:
                self.record.line(f"failed {identity} {error!r}")
                caller = None


def case(bench, record):
    store = StoreStandIn()
    bench.cleanup.callback(store.close)
    operator = Operator(store)
    operator.configuration = {
        "configVersion": 1,
        "routes": [
            route("/dropped/", "portal", "non_idempotent", maxAttempts=1, timeoutMs=1500),
            route("/kept/", "portal", "non_idempotent", maxAttempts=1, timeoutMs=1500),
        ],
        "services": [{"name": "portal", "healthPath": "/health", "maxConns": 110}],
        "limits": CALLER_LIMITS,
        "tenants": [{"name": "board", "apiKeys": [KEY], "priority": 1, "prepaid": 1_000_000}],
    }
    operator.write()
    replicas = [ReplicaStandIn(store, "portal", domain=zone, work_s=0.01) for zone in ZONES]
    for replica in replicas:
        bench.cleanup.callback(replica.close)
        replica.list()
    proxies = []
    for zone in ZONES:
        proxies.append(SilencingProxy(store.open_endpoint().address))
        bench.start_router(zone, proxies[-1].address)
    bench.await_ready()
    traffic = [Traffic(router, record) for router in bench.routers]
    time.sleep(4.0)

    if TROUBLE:
        for router, proxy in zip(bench.routers, proxies, strict=True):
            record.say(f"{proxy.silence()} connections of {router.name} to the store go silent")
    if TROUBLE and os.environ.get("KEEP_ALIVE") == "1":
        for proxy in proxies:
            threading.Timer(KEEP_ALIVE_S, proxy.end_silent).start()
    time.sleep(CHANGE_AFTER_S)

    def drop(configuration):
        configuration["routes"] = [
            each for each in configuration["routes"] if each["pathPrefix"] != "/dropped/"
        ]

    version = operator.change(drop)
    acked_s = time.monotonic()
    record.say(f"the store has acknowledged version {version}, which drops the route /dropped/")
    time.sleep(WATCHED_S)
    for each in traffic:
        each.closing.set()
        each.thread.join(6.0)

    sent = {identity: at_s for each in traffic for identity, at_s in each.sent.items()}
    runs = {request.identity: request.at_s for replica in replicas for request in replica.requests}
    for identity, at_s in sorted(runs.items(), key=lambda each: each[1]):
        record.line(f"run {identity}, sent {sent[identity] - acked_s:+.3f} s after the version")
    if not any(at_s < acked_s for at_s in runs.values()):
        raise CannotRunError("no request ran before the change")
    late = [
        sent[identity] - acked_s for identity in runs if sent[identity] > acked_s + CONFIG_APPLY_S
    ]
    for router in bench.routers:
        own = [
            sent[identity] - acked_s
            for identity in runs
            if identity.startswith(router.name) and sent[identity] > acked_s
        ]
        last = f"{max(own):.1f} s after the version" if own else "before the version"
        record.say(f"{router.name}: the last request that ran on the dropped route was sent {last}")
    record.say(
        f"{len(late)} requests that were sent later than {CONFIG_APPLY_S:.0f} s after the "
        "acknowledgement ran on the dropped route"
    )
    return not late


play(HERE, case)
