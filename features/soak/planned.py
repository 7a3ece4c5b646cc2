"""Planned work on gateways under callers that keep their connections.

python -m soak.planned --seeds 1-50 --seconds 24 --callers 20
"""

import argparse
import contextlib
import dataclasses
import json
import random
import signal
import subprocess
import sys
import threading
import time
from collections import Counter, defaultdict
from pathlib import Path

from platform_standins import Fleet
from platform_standins.fleet import eventually
from platform_standins.operator import HOST, KEY, route

from soak.callers import SILENCE_S, CallRecord
from soak.lost import DEADLINE_S, GRACE_S, Arrival, Stop, find_failed, find_lost, judge

FEATURES = Path(__file__).resolve().parent.parent
# The callers' processes end this long after a run at the latest: no request of theirs waits longer.
CALLERS_END_S = SILENCE_S + 10.0
# A replica that leaves says so in its responses first and in its record later, and ends only when
# no router sends to it any more and it has answered everything.
RECORD_DELAY_S = 2.0
DRAIN_S = 2.0
SERVICES = ("portal", "engine")
WEIGHTS = {
    "terminate": 4,
    "hang up": 3,
    "change": 3,
    "terminate twice": 1,
    "all at once": 1,
    "leave": 2,
}


@dataclasses.dataclass(frozen=True)
class PlannedWork:
    """One action of the operator, ``start_s`` after the start of the run, on one router."""

    start_s: float
    kind: str
    router: int

    def describe(self):
        return f"{self.start_s:6.2f} s  {self.kind} router {self.router}"


def draw_planned(seed, seconds, routers):
    """Return the planned work of a run, by start time; it comes in series and overlaps."""
    rng = random.Random(f"planned/{seed}")
    work = []
    start_s = 2.0
    while start_s < seconds - 2.0:
        kind = rng.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        router = rng.randrange(routers)
        if kind == "all at once":
            work += [PlannedWork(start_s, each, router) for each in ("change", "hang up")]
            work.append(PlannedWork(start_s + rng.uniform(0.0, 0.002), "terminate", router))
        elif kind == "terminate twice":
            gaps = (0.0, 0.5, 2.0)
            work += [PlannedWork(start_s + gap_s, "terminate", router) for gap_s in gaps]
        else:
            work.append(PlannedWork(start_s, kind, router))
        start_s += rng.uniform(0.1, 2.5)
    return sorted(work, key=lambda each: each.start_s)


class PlannedRun:
    """Runs planned work against gateways and records all requests.

    ``routers`` are all processes that were started, ``stopping`` those that got a SIGTERM.
    ``stops`` are their stops. ``arrivals`` are the arrivals of each request at replicas, by its id.
    ``failed`` are the gateways that ended without a SIGTERM or did not start again. ``late_s`` is
    by how much the times in ``calls`` may be late.
    """

    def __init__(self, seed, seconds, routers=4, callers=20, *, work_s=0.02, max_pause_s=0.12):
        self.seed, self.seconds = seed, seconds
        self.router_count, self.caller_count = routers, callers
        self.work_s, self.max_pause_s = work_s, max_pause_s
        self.plan = draw_planned(seed, seconds, routers)
        self.calls, self.stops, self.figures = [], [], {}
        self.routers, self.stopping, self.failed = [], [], []
        self.arrivals = defaultdict(list)
        self.late_s = 0.0
        self._stop_threads = []
        self._ended = threading.Event()

    def run(self):
        with contextlib.ExitStack() as cleanup:
            self.fleet = Fleet(cleanup)
            self._start()
            self.started_s = time.monotonic()
            ends_s = self.started_s + self.seconds
            processes = [self._start_callers(number, ends_s) for number in range(self.router_count)]
            for process, _ in processes:
                cleanup.callback(process.kill)
            self._do_planned_work()
            time.sleep(max(0.0, ends_s - time.monotonic()))
            self._ended.set()
            for process, records in processes:
                output, _ = process.communicate(timeout=CALLERS_END_S)
                assert process.returncode == 0, "callers have failed, so that records are missing"
                self.late_s = max(self.late_s, float(output))
                lines = records.read_text(encoding="utf-8").splitlines()
                self.calls += [CallRecord(**json.loads(line)) for line in lines]
            # The clean-up kills all gateways, which would pass for the end of their stops.
            for thread in self._stop_threads:
                thread.join()
            for router in self.routers:
                if router.has_ended and not self.is_stopping(router):
                    self.failed.append(f"{router.name} ended without a SIGTERM")
        self._count()
        return self

    def _start(self):
        self.fleet.operator.change(_allow_second_replica)
        self.fleet.operator.set_prepaid("board", 500_000_000)
        for service in SERVICES:
            for _ in range(3):
                self.add_replica(service)
        for _ in range(self.router_count):
            self.fleet.add_router(ready=False, stop_s=GRACE_S)
        assert eventually(lambda: all(each.is_ready() for each in self.fleet.routers))
        self.addresses = [each.address for each in self.fleet.routers]
        self.routers = list(self.fleet.routers)

    def add_replica(self, service):
        return self.fleet.add_replica(service, work_s=self.work_s, pause_s=0.02)

    def has_ended(self, wait_s):
        """Wait for the end of the run at most ``wait_s``; return whether it has ended."""
        return self._ended.wait(wait_s)

    def _start_callers(self, number, ends_s):
        folder = Path(self.fleet.folder)
        plan, records = folder / f"callers-{number}.json", folder / f"calls-{number}.jsonl"
        fields = {
            "addresses": self.addresses,
            "first": number,
            "callers": self.caller_count,
            "seed": self.seed,
            "ends_s": ends_s,
            "max_pause_s": self.max_pause_s,
            "deadline_ms": int(DEADLINE_S * 1_000),
            "host": HOST,
            "key": KEY,
        }
        plan.write_text(json.dumps(fields), encoding="utf-8")
        command = [sys.executable, "-m", "soak.callers", str(plan), str(records)]
        return subprocess.Popen(command, cwd=FEATURES, stdout=subprocess.PIPE, text=True), records

    def _do_planned_work(self):
        for work in self.plan:
            time.sleep(max(0.0, self.started_s + work.start_s - time.monotonic()))
            ACTIONS[work.kind](self, work.router)

    def follow_stop(self, router):
        """Record a stop that begins now, and restart the router once its process has ended."""
        asked_s = time.monotonic()

        def wait():
            try:
                code = router.process.wait(GRACE_S)
            except subprocess.TimeoutExpired:
                router.kill()
                code = None
            self.stops.append(Stop(router.name, router.address, asked_s, time.monotonic(), code))
            if not self._ended.is_set():
                try:
                    again = self.fleet.start_again(router, ready=False, same_port=True)
                    self.routers.append(again)
                except AssertionError:
                    self.failed.append(f"{router.name} did not start again")

        thread = threading.Thread(target=wait, daemon=True)
        self._stop_threads.append(thread)
        thread.start()

    def is_stopping(self, router):
        return any(each is router for each in self.stopping)

    def _count(self):
        for replica in self.fleet.replicas:
            for each in list(replica.requests):
                self.arrivals[each.identity].append(Arrival(each.at_s, each.ended_s))
        self.figures["calls"] = len(self.calls)
        self.figures["answered"] = sum(
            call.is_complete and call.status == 200 for call in self.calls
        )
        self.figures["refused"] = sum(
            call.is_complete and call.status == 503 for call in self.calls
        )
        judged = Counter(judge(self, call) for call in self.calls)
        del judged["answered"]
        self.figures["unanswered"] = dict(judged)
        self.figures["stops"] = len(self.stops)
        self.figures["slowest stop"] = round(
            max((each.ended_s - each.asked_s for each in self.stops), default=0), 1
        )
        self.figures["killed"] = sum(each.exit_code is None for each in self.stops)
        stopped = [line for each in self.routers for line in each.find_all("gateway.stopped")]
        for count in ("requests_cut", "closed_unread"):
            self.figures[count] = sum(line[count] for line in stopped)
        self.figures["late s"] = self.late_s


def _allow_second_replica(configuration):
    for each in configuration["routes"]:
        if each["pathPrefix"] == "/status/":
            each["maxAttempts"] = 2


ACTIONS = {}


def action(kind):
    """Register the decorated function as the action of a kind of planned work."""

    def register(function):
        ACTIONS[kind] = function
        return function

    return register


@action("terminate")
def terminate(run, number):
    router = run.fleet.routers[number]
    if not run.is_stopping(router):
        if router.has_ended:
            run.failed.append(f"{router.name} ended without a SIGTERM")
        run.stopping.append(router)
        run.follow_stop(router)
    router.terminate()


@action("hang up")
def hang_up(run, number):
    router = run.fleet.routers[number]
    if not router.has_ended:
        router.process.send_signal(signal.SIGHUP)


@action("change")
def change(run, number):
    version = run.fleet.operator.configuration["configVersion"]
    run.fleet.operator.add_route(route(f"/added{version}/", "portal"))


@action("leave")
def leave(run, number):
    """Have the oldest replica of a service leave in an orderly way; another one starts at once."""
    service = SERVICES[number % len(SERVICES)]
    replica = next(each for each in run.fleet.of(service) if not each.leaving)
    run.add_replica(service)
    replica.leaving = True

    def end():
        if run.has_ended(RECORD_DELAY_S):
            return
        replica.list("draining")
        if run.has_ended(DRAIN_S):
            return
        replica.unlist()
        run.has_ended(DRAIN_S)
        # A replica that breaks off would excuse what its routers do.
        if eventually(lambda: not replica.in_flight):
            replica.crash()

    threading.Thread(target=end, daemon=True).start()


def main():
    parser = argparse.ArgumentParser(prog="soak.planned")
    parser.add_argument("--seeds", default="1-1", help="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=24.0)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--callers", type=int, default=20, help="for each router")
    parser.add_argument("--work", type=float, default=0.02, help="seconds")
    parser.add_argument("--logs", type=Path)
    options = parser.parse_args()
    first, _, last = options.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        run = PlannedRun(
            seed, options.seconds, options.routers, options.callers, work_s=options.work
        ).run()
        lost = [*find_failed(run), *find_lost(run)]
        failed += bool(lost)
        print(seed, "BROKEN" if lost else "kept", json.dumps(run.figures), flush=True)
        for line in lost[:8]:
            print("   ", line, flush=True)
        if lost and options.logs:
            folder = options.logs / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            text = "\n".join([*(each.describe() for each in run.plan), *lost])
            (folder / "plan.txt").write_text(text, encoding="utf-8")
            for number, router in enumerate(run.routers):
                text = "\n".join(json.dumps(line) for line in router.lines)
                (folder / f"{number}-{router.name}.log").write_text(text, encoding="utf-8")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
