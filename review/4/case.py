"""A replica breaks off some answers that come early and have no length, with a reset."""

import json
import queue
import subprocess
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))
sys.path.insert(0, str(HERE))

from kit import CALLER_LIMITS, TROUBLE, ZONES, Caller, CannotRunError, play  # noqa: E402
from platform_standins.operator import KEY, Operator, route  # noqa: E402
from platform_standins.store import StoreStandIn  # noqa: E402
from replica import body_of  # noqa: E402

# The dose of the site's days: `garble`, `how = "unframed"`, x = 0.05, for 5 s. Its share is half of
# the replicas if none is given; here it is one of three, the one with the most requests so far. It
# strikes three times.
BROKEN_ONE_IN = 20
BREAKS_S = 5.0
STRIKES = 3
PAUSE_S = 1.0
PLAYED_S = PAUSE_S + STRIKES * (BREAKS_S + PAUSE_S)
BODY = b"x" * 100_000  # The longest request of the sheet.
CLIENTS = 3


class ReplicaProcess:
    """A replica in a process of its own; ``runs`` says of each request whether it was broken."""

    def __init__(self, bench, store, name, zone, runs, record):
        self.process = bench.start_process(
            HERE / "replica.py",
            name,
            BROKEN_ONE_IN,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.name = name
        self.run_count = 0
        self.early_count = 0
        address = json.loads(self.process.stdout.readline())["address"]
        threading.Thread(target=self._read, args=(runs, record), daemon=True).start()
        store.put(
            f"servers/{name}",
            {
                "service": "fonts",
                "address": address,
                "zone": zone,
                "configVersion": "v1",
                "slots": 6,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": 1,
            },
        )

    def _read(self, runs, record):
        for line in self.process.stdout:
            told = json.loads(line)
            runs[told["run"]] = told["broken"]
            self.run_count += 1
            self.early_count += told["early"]
            when = "answers early and without a length" if told["early"] else "answers"
            end = ", and resets the connection half-way" if told["broken"] else ""
            record.line(f"run {told['run']} at {told['replica']}: {when}{end}")

    def break_off(self, seconds, breaks):
        self.process.stdin.write(f"{seconds} {int(breaks)}\n")
        self.process.stdin.flush()


def send(router, identity, answers, record):
    """Send one request and judge its answer."""
    try:
        caller = Caller(router.address, 5.0)
        record.line(f"sent {identity} to {router.name}, {len(BODY)} bytes")
        caller.send("POST", "/fonts/1", identity=identity, body=BODY, deadline_ms=1500)
        answer = caller.read()
        caller.close()
    except OSError as error:
        record.line(f"failed {identity}: {error!r}")
        answers[identity] = "no answer"
        return
    is_success = 200 <= answer.status < 300 and answer.whole
    if not is_success:
        verdict = f"{answer.status}, {'whole' if answer.whole else 'cut'}"
    elif answer.body == body_of(identity):
        verdict = "200 with the whole body"
    else:
        verdict = "200 with a part of the body"
    answers[identity] = verdict
    record.line(
        f"answered {identity}: {answer.status}, Content-Length "
        f"{answer.header('Content-Length') or 'none'}, {len(answer.body)} of "
        f"{len(body_of(identity))} bytes, stamp {answer.header('X-Server-Stamp') or 'none'}"
    )


def case(bench, record):
    store = StoreStandIn()
    bench.cleanup.callback(store.close)
    operator = Operator(store)
    operator.configuration = {
        "configVersion": 1,
        "routes": [
            route("/fonts/", "fonts", "non_idempotent", maxAttempts=1, timeoutMs=1500),
        ],
        "services": [{"name": "fonts", "healthPath": "/health", "maxConns": 110}],
        "limits": CALLER_LIMITS,
        "tenants": [{"name": "board", "apiKeys": [KEY], "priority": 1, "prepaid": 1_000_000}],
    }
    operator.write()
    runs, answers = {}, {}
    replicas = [
        ReplicaProcess(bench, store, f"i-{number:08x}", zone, runs, record)
        for number, zone in enumerate(ZONES, 1)
    ]
    for zone in ZONES[:2]:
        bench.start_router(zone, store.open_endpoint().address)
    bench.await_ready()
    due = queue.SimpleQueue()
    ends_s = time.monotonic() + PLAYED_S

    def work(number):
        count = 0
        while time.monotonic() < ends_s:
            count += 1
            router = bench.routers[(number + count) % len(bench.routers)]
            send(router, f"{number:02d}{count:014x}", answers, record)
            time.sleep(0.02)
        due.put(number)

    clients = [
        threading.Thread(target=work, args=(number,), daemon=True) for number in range(CLIENTS)
    ]
    for client in clients:
        client.start()
    for _ in range(STRIKES):
        time.sleep(PAUSE_S)
        busiest = max(replicas, key=lambda each: each.run_count)
        how = "breaks off" if TROUBLE else "sends early and without a length, but whole,"
        record.say(f"{busiest.name} {how} 1 in {BROKEN_ONE_IN} of its answers for 5 s")
        busiest.break_off(BREAKS_S, TROUBLE)
        time.sleep(BREAKS_S)
    for client in clients:
        client.join(PLAYED_S + 10.0)
    time.sleep(0.2)

    broken = [identity for identity, is_broken in runs.items() if is_broken]
    if not answers or (TROUBLE and not broken):
        raise CannotRunError("no answer was broken off")
    wrong = [each for each, verdict in answers.items() if verdict == "200 with a part of the body"]
    counts = {verdict: list(answers.values()).count(verdict) for verdict in set(answers.values())}
    record.say(f"{len(answers)} requests: {counts}")
    record.say(f"{sum(each.early_count for each in replicas)} answers came early, without a length")
    record.say(f"{len(broken)} answers were broken off by a reset, of {len(runs)} that were run")
    for identity in wrong:
        record.say(f"MIXED: {identity} got a success with half of the replica's body")
    return not wrong


play(HERE, case)
