"""A trial, not a case: an account's tokens under random kills, stops, freezes and store troubles.

``python3 review/trials-2/prepaid.py SEED [SECONDS] [FOLDER]``; prints what was granted and what ran,
and exits with 1 if more than ``prepaid`` ran. With FOLDER the routers' logs are kept there. Threads
draw from one generator, so that a seed repeats the plan, but not its moments.
"""

import contextlib
import os
import random
import shutil
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins-2"))

import kit  # noqa: E402
from platform_standins.operator import KEY, Operator, route  # noqa: E402
from platform_standins.replica import ReplicaStandIn  # noqa: E402
from platform_standins.store import StoreStandIn  # noqa: E402

ACTIONS = "kill kill term stop lose late down slow up up all none".split()
ROUTER_ZONES = (kit.ZONES[0], kit.ZONES[0], kit.ZONES[1], kit.ZONES[2])
EVENTS = 12
EVENT_TOKENS = 3
PROMPT_TOKENS = 100


def start_again(bench, router):
    """Start a router that has ended, with the settings that it had."""
    if router.process.poll() is None:
        return
    environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
    environment["PYTHONPATH"] = str(kit.ROOT / "target" / "deps")
    environment["ASPENGATE_BOOT"] = str(router.settings)
    router.process = subprocess.Popen(
        ["python3", "deploy/start.py"],
        cwd=kit.ROOT,
        env=environment,
        stdout=router.log,
        stderr=router.log,
    )
    bench.cleanup.callback(bench.stop, router.process)


def act(name, number, bench, endpoints, rng, record, stopping):
    """Bring one trouble about, at one router or its way to the store."""
    router, endpoint = bench.routers[number], endpoints[number]
    record.line(f"{name} {number}")
    if name in ("kill", "term"):
        process = router.process
        process.send_signal(signal.SIGKILL if name == "kill" else signal.SIGTERM)

        def restart():
            process.wait()
            time.sleep(rng.choice([0.05, 0.5, 1.5]))
            if not stopping.is_set():
                start_again(bench, router)

        threading.Thread(target=restart, daemon=True).start()
    elif name == "stop":
        process = router.process
        process.send_signal(signal.SIGSTOP)
        threading.Timer(
            rng.choice([0.3, 1, 3]), lambda: process.poll() or process.send_signal(signal.SIGCONT)
        ).start()
    elif name in ("lose", "late"):
        endpoint.late_s = rng.choice([0.3, 1, 2, 5]) if name == "late" else 0.0
        endpoint.lose_writes = rng.choice([1, 2, 5])
    elif name == "down":
        endpoint.fault = rng.choice(["busy", "reset", "silent", "mute"])
    elif name == "slow":
        endpoint.slow_s = rng.choice([0.05, 0.24])
    elif name == "up":
        for each in endpoints:
            each.fault, each.slow_s = "", 0
    elif name == "all" and rng.random() < 0.3:
        fault = rng.choice(["silent", "busy"])
        for each in endpoints:
            each.fault = fault


def call(bench, seed, client, stopping, answers):
    """Send requests to routers at random until the end."""
    rng = random.Random(seed * 100 + client)
    number = 0
    while not stopping.is_set():
        number += 1
        try:
            caller = kit.Caller(rng.choice(bench.routers).address, 2)
            caller.send(
                "POST",
                rng.choice(["/s/1", "/r/1"]),
                identity=f"{client:04d}{number:012d}",
                body=b"x",
                deadline_ms=3000,
                tokens=(PROMPT_TOKENS, rng.choice([36, 36, 90, 600])),
            )
            if rng.random() < 0.05:
                caller.close()
                continue
            status = caller.read().status
            caller.close()
        except OSError:
            status = 0
            time.sleep(0.02)
        answers.append(status)
        if status in (402, 503):
            time.sleep(0.05)


def main():
    """Play one plan; return the tokens that were prepaid and those that ran."""
    seed = int(sys.argv[1])
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 15.0
    rng = random.Random(seed)
    prepaid = rng.choice([40_000, 80_000, 160_000])
    store = StoreStandIn()
    operator = Operator(store)
    engine = {"slots": 64, "kvCapacity": 400_000, "stride": EVENT_TOKENS}
    operator.configuration = {
        "configVersion": 1,
        "routes": [
            route("/s/", "llm", "streaming", maxAttempts=1, timeoutMs=4000),
            route("/r/", "llm", "streaming", resumable=True, timeoutMs=4000),
        ],
        "services": [{"name": "llm", "healthPath": "/health", "maxConns": 300, "engine": engine}],
        "limits": kit.CALLER_LIMITS,
        "tenants": [{"name": "board", "apiKeys": [KEY], "priority": 1, "prepaid": prepaid}],
    }
    operator.write()
    replicas = [
        ReplicaStandIn(store, "llm", domain=zone, work_s=0.01, events=EVENTS, pause_s=0.002).list()
        for zone in kit.ZONES
    ]
    endpoints = [store.open_endpoint() for _ in ROUTER_ZONES]
    folder = Path(sys.argv[3]) if len(sys.argv) > 3 else None
    if folder is not None:
        folder.mkdir(parents=True, exist_ok=True)
    record = kit.Record(folder or "/tmp")
    bench = kit.Bench(record)
    stopping, answers = threading.Event(), []
    with bench.cleanup:
        for zone, endpoint in zip(ROUTER_ZONES, endpoints, strict=True):
            bench.start_router(zone, endpoint.address)
        bench.await_ready()
        time.sleep(1)
        for client in range(10):
            arguments = (bench, seed, client, stopping, answers)
            threading.Thread(target=call, args=arguments, daemon=True).start()
        ends_s = time.monotonic() + seconds
        while time.monotonic() < ends_s:
            time.sleep(rng.choice([0.1, 0.3, 0.8]))
            number, name = rng.randrange(len(endpoints)), rng.choice(ACTIONS)
            with contextlib.suppress(ProcessLookupError):
                act(name, number, bench, endpoints, rng, record, stopping)
        stopping.set()
        time.sleep(0.5)
        ran = {
            request.identity
            for replica in replicas
            for request in replica.requests
            if replica.runs[request.identity]
        }
        events = sum(replica.sent_events[identity] for replica in replicas for identity in ran)
        if folder is not None:
            for router in bench.routers:
                shutil.copy(router.log.name, folder)
    return prepaid, len(ran) * PROMPT_TOKENS + events * EVENT_TOKENS, answers


if __name__ == "__main__":
    granted, used, statuses = main()
    counts = {status: statuses.count(status) for status in sorted(set(statuses))}
    print(f"seed {sys.argv[1]}: prepaid {granted}, ran {used}, answers {counts}", flush=True)
    os._exit(used > granted)
