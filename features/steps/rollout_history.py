"""Seeded histories of a rollout's attempts, recorded and judged as routers do it.

Run as a script, it counts the false verdicts on good versions, and the bad responses until a bad
version is judged: ``python features/steps/rollout_history.py HISTORIES PROCESSES``.
"""

import functools
import heapq
import multiprocessing
import random
import statistics
import sys
from dataclasses import dataclass

from aspengate.rollouts import Cohort, EvidenceCollector, EvidenceRecorder, EvidenceWindows

STEP_MS = 500
CANARY = ((0, 0.05),)
LOW_RATE = ((0, 0.2), (25_000, 0.5))
# At 5 requests a second, each of these shares lasts for fewer than 20 baseline results.
CHANGING = tuple((3_000 * number, 0.3 if number % 2 else 0.45) for number in range(8))
CHANGING_TO_ALL = (*CHANGING, (24_000, 1.0))
RAMP = ((0, 0.05), (20_000, 0.25), (30_000, 0.5), (40_000, 1.0))


@dataclass
class Answer:
    """What happens to one attempt; a ``wait_ms`` of None is no response at all."""

    wait_ms: float | None
    pause_ms: float = 5.0
    failed: bool | None = False
    cold: bool = False
    is_slow: bool = False


@dataclass
class World:
    """The service: its load, its replicas, and how it behaves.

    ``behave(source, attempt, answer)`` may change the usual answer of an attempt; ``attempt`` is
    (cohort, replica, route, begun_ms).
    """

    behave: object = None
    per_second: float = 300.0
    duration_ms: float = 60_000.0
    shares: tuple = CANARY
    routes: tuple = ("plain", "stream")
    replicas: int = 4
    routers: int = 4
    sigma: float = 1.0
    failure_rate: float = 0.002
    deadline_ms: float = 10_000.0


@dataclass
class Outcome:
    """The verdict, when it was given, and the target's attempts and bad responses until then."""

    verdict: object = None
    at_ms: float = 0.0
    bad: int = 0
    fiftieth_bad_ms: float = float("inf")
    sent: int = 0


class History:
    """Plays one world with one seed."""

    def __init__(self, world, seed):
        self.world = world
        self.source = random.Random(seed)
        self.credit = {route: self.source.random() for route in world.routes}
        self.recorders = [EvidenceRecorder(1) for _ in range(world.routers)]
        self.events = []
        self.outcome = Outcome()

    def run(self):
        """Judge every 500 ms until a bad verdict or the end."""
        windows, collector = EvidenceWindows(), EvidenceCollector(1)
        steps = int(self.world.duration_ms / STEP_MS)
        for step in range(1, steps + 1):
            now_ms = step * STEP_MS
            self.send_until(now_ms)
            self.play_until(now_ms)
            for number, recorder in enumerate(self.recorders):
                collector.add(f"session-{number}", step, recorder.snapshot(now_ms))
            verdict = windows.add(collector.total(), self.share(now_ms - STEP_MS), now_ms)
            self.outcome.verdict, self.outcome.at_ms = verdict, now_ms
            if verdict.is_bad:
                break
        return self.outcome

    def share(self, now_ms):
        return [share for start_ms, share in self.world.shares if start_ms <= now_ms][-1]

    def send_until(self, now_ms):
        """Send the requests of the last 500 ms."""
        mean = self.world.per_second * STEP_MS / 1_000
        count = int(mean) + (self.source.random() < mean % 1)
        for at_ms in sorted(self.source.uniform(now_ms - STEP_MS, now_ms) for _ in range(count)):
            self.play_until(at_ms)
            self.send(at_ms)

    def send(self, at_ms):
        route = self.source.choice(self.world.routes)
        self.credit[route] += self.share(at_ms)
        cohort = Cohort.BASELINE
        if self.credit[route] >= 1:
            self.credit[route] -= 1
            cohort = Cohort.TARGET
        replica = f"{cohort.value}-{self.source.randrange(self.world.replicas)}"
        usual_ms = self.source.lognormvariate(0, self.world.sigma)
        answer = Answer(60 * usual_ms, 4 * self.source.lognormvariate(0, self.world.sigma))
        answer.failed = self.source.random() < self.world.failure_rate
        if self.world.behave:
            self.world.behave(self.source, (cohort, replica, route, at_ms), answer)
        self.outcome.sent += cohort is Cohort.TARGET
        recorder = self.source.choice(self.recorders)
        attempt = recorder.begin(route, cohort, replica, at_ms, cold=answer.cold)
        self.schedule(at_ms, attempt, cohort, route, answer)

    def schedule(self, at_ms, attempt, cohort, route, answer):
        end_ms = at_ms + self.world.deadline_ms
        if answer.wait_ms is None or answer.wait_ms > self.world.deadline_ms:
            self.at(end_ms, lambda: attempt.end(True))
            if cohort is Cohort.TARGET:
                self.count_bad(at_ms)
        elif route == "stream" and answer.failed is not None:
            first_ms, ratio = at_ms + answer.wait_ms, answer.wait_ms / 60
            end_ms = first_ms + 10 * answer.pause_ms
            latencies = (None, answer.pause_ms)
            self.at(first_ms, lambda: attempt.first_response(ratio, first_ms))
            self.at(
                end_ms, lambda: self.end(end_ms, attempt, cohort, answer, answer.failed, *latencies)
            )
        else:
            end_ms = at_ms + answer.wait_ms
            self.at(
                end_ms,
                lambda: self.end(end_ms, attempt, cohort, answer, answer.failed, answer.wait_ms),
            )

    def at(self, when_ms, action):
        heapq.heappush(self.events, (when_ms, self.source.random(), action))

    def end(self, now_ms, attempt, cohort, answer, failed, *latencies):
        attempt.end(failed, *latencies)
        if cohort is Cohort.TARGET and (failed or answer.is_slow):
            self.count_bad(now_ms)

    def count_bad(self, now_ms):
        self.outcome.bad += 1
        if self.outcome.bad == 50:
            self.outcome.fiftieth_bad_ms = now_ms

    def play_until(self, now_ms):
        while self.events and self.events[0][0] <= now_ms:
            heapq.heappop(self.events)[2]()


def of_target(change):
    """Return a behaviour that changes the target's answers only."""
    return functools.partial(change_target, change)


def change_target(change, source, attempt, answer):
    if attempt[0] is Cohort.TARGET:
        change(source, attempt, answer)


def fail(source, attempt, answer):
    """Fail three answers in ten."""
    answer.failed = answer.failed or source.random() < 0.3


def slow_down(share, pauses, source, attempt, answer):
    """Make a share of the answers 5 times slower, in their pauses or in their first response."""
    if source.random() < share:
        answer.is_slow = not pauses or attempt[2] == "stream"
        if pauses:
            answer.pause_ms *= 5
        else:
            answer.wait_ms *= 5


def slower(share, *, pauses=False):
    """Return a behaviour that makes a share of the target's answers 5 times slower."""
    return of_target(functools.partial(slow_down, share, pauses))


def play(job):
    world, seed = job
    return History(world, seed).run()


def measure(name, world, histories, processes, first_seed):
    jobs = ((world, seed) for seed in range(first_seed, first_seed + histories))
    with multiprocessing.Pool(processes) as pool:
        outcomes = list(pool.imap_unordered(play, jobs, chunksize=5))
    bad = [each for each in outcomes if each.verdict.is_bad]
    print(f"{name}: judged bad {len(bad)} of {histories}", flush=True)
    for each in bad[:3]:
        print("   ", each.at_ms, each.verdict.reason)
    if 2 * len(bad) > histories:
        counts = sorted(each.bad for each in bad)
        late_ms = max(each.at_ms - each.fiftieth_bad_ms for each in bad)
        print(
            f"    bad responses until then: median {statistics.median(counts)}, most {counts[-1]}"
        )
        print(f"    latest verdict after the 50th bad response: {late_ms} ms")


def main(histories, processes, first_seed=1_000_000):
    """Print the measured rates; the seeds differ from those of the scenarios."""
    canary, low = World(), {"per_second": 5, "shares": LOW_RATE}
    bad = of_target(fail)
    for name, world, count in (
        ("good, 5 requests/s", World(**low), histories),
        ("good, 5 requests/s, plain", World(routes=("plain",), **low), histories),
        ("good, 5 requests/s, streams", World(routes=("stream",), **low), histories),
        (
            "good, 5 requests/s, changing shares",
            World(per_second=5, shares=CHANGING_TO_ALL, duration_ms=30_000.0),
            histories,
        ),
        ("30 % fail, 300 requests/s, canary 5 %", World(bad), histories // 4),
        ("30 % fail, 5 requests/s", World(bad, **low), histories // 4),
        ("all 5 times slower, 300 requests/s", World(slower(1.0)), histories // 10),
        ("3 in 10 5 times slower, 300 requests/s", World(slower(0.3)), histories // 10),
        ("3 in 10 pauses 5 times longer", World(slower(0.3, pauses=True)), histories // 10),
        ("all 5 times slower, 5 requests/s", World(slower(1.0), **low), histories // 4),
        ("3 in 10 5 times slower, 5 requests/s", World(slower(0.3), **low), histories // 4),
        ("good, 300 requests/s, canary 5 %", canary, histories),
        ("good, 300 requests/s, ramp", World(shares=RAMP), histories // 2),
        ("good, 300 requests/s, longer tail", World(sigma=1.6), histories // 4),
    ):
        measure(name, world, count, processes, first_seed)


if __name__ == "__main__":
    main(*map(int, sys.argv[1:]))
