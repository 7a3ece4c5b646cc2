"""Plays cases of rollouts with gateways as processes, and measures each against its bounds.

Run from the root of the repository with ``src`` on the PYTHONPATH:

    python features/steps/rollout_cases.py all
    python features/steps/rollout_cases.py "silence" "slow first token"
    python features/steps/rollout_cases.py --without-rollout "good under a burst"
"""

import contextlib
import subprocess
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from platform_standins import Fleet, SteadyLoad, VersionFault
from platform_standins.fleet import eventually
from platform_standins.operator import route

SERVICE = "engine"
# The bounds of docs/design/rollouts-and-regions.md.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0
SETTINGS = {
    "exposure_share": EXPOSURE_SHARE,
    "exposure_slack": EXPOSURE_SLACK,
    "rollback_ms": ROLLBACK_S * 1_000,
}
ENDED = ("completed", "rolled_back")
# Plain, non-repeatable, resumable and not resumable streaming requests of the one service.
KINDS = (("GET", "/grade/"), ("POST", "/score/"), ("GET", "/mark/"), ("POST", "/review/"))
REPLICAS = 4
WARM_UP_S = 2.0
POLL_S = 0.02
# Requests are observed for this time after the deadline, so that late ones are seen.
OBSERVED_S = 4.0
# A request ends at its deadline of 4 s at the latest.
DRAIN_S = 5.0
# A killed router stays away for longer than a takeover may take: one that is back at once tells the
# others itself that its earlier session is over.
AWAY_S = 2.0
# The page gives no time for the end state after a store outage.
END_AFTER_OUTAGE_S = 10.0
AWAY_AFTER_DEADLINE_S = 2.0


@dataclass(frozen=True)
class Case:
    """One case: the expected end state, the fault of the new version, and what else happens.

    ``act`` runs in a thread from just before the order on. The end state may come ``late_s``
    after the deadline.
    """

    end: str
    fault: dict | None = None
    act: Callable = lambda play: None
    duration_s: int = 15
    per_second: float = 100.0
    routers: int = 4
    late_s: float = 0.0


@dataclass(frozen=True)
class Figures:
    """What was measured in a play.

    ``after_bad_s`` is the time from the arrival of the request that got the 50th bad response to
    the last arrival at the new version; None if there were fewer. ``statuses`` counts the
    responses to callers since the order, with 0 for none or an incomplete one.
    """

    exposed: int
    limit: float
    requests: int
    bad: int
    after_bad_s: float | None
    end: str
    end_s: float
    deadline_s: float
    statuses: Counter = field(default_factory=Counter)

    @property
    def lost(self):
        return sum(count for status, count in self.statuses.items() if status != 200)

    def broken(self, case):
        """Return the bounds that were not kept, as texts."""
        found = []
        if self.end != case.end:
            found.append(f"the end state is {self.end or 'missing'}, not {case.end}")
        if self.end_s > self.deadline_s + case.late_s:
            found.append(f"it ended {self.end_s:.1f} s after the order")
        if case.end == "rolled_back" and self.exposed > self.limit:
            found.append(f"{self.exposed} attempts at the bad version, limit {self.limit:.0f}")
        if self.after_bad_s is not None and self.after_bad_s > ROLLBACK_S:
            found.append(f"an attempt {self.after_bad_s:.1f} s after the 50th bad response")
        return found


class Play:
    """The fleet, the load and the course of one case."""

    def __init__(self, case, cleanup, *, with_rollout=True):
        self.case = case
        self.with_rollout = with_rollout
        self.fleet = Fleet(cleanup)
        self.operator = self.fleet.operator
        self.operator.configuration["routes"] += [
            route("/grade/", SERVICE),
            route("/mark/", SERVICE, "non_idempotent", maxAttempts=1),
        ]
        self.operator.configuration["tenants"][0]["prepaid"] = 100_000_000
        self.operator.write()
        self.old = [self._add_replica(number, "v1") for number in range(REPLICAS)]
        self.new = []
        self._start_routers()
        self.load = SteadyLoad(list(self.fleet.routers), case.per_second, KINDS)
        self.loads = [self.load]
        cleanup.callback(self._stop_loads)
        self.ordered_s = 0.0
        self.ended = threading.Event()

    def _add_replica(self, number, version, fault=None):
        replica = self.fleet.add_replica(
            SERVICE,
            version=version,
            fault=fault,
            domain=f"hall-{number % 2 + 1}",
            events=10,
            pause_s=0.03,
            work_s=0.05,
            slots=64,
        )
        replica.slow_factor = 5.0
        return replica

    def _start_routers(self):
        # Two failure domains, so that another leader can decide.
        first = self.fleet.add_router(domain="hall-1", **SETTINGS)
        for number in range(1, self.case.routers):
            domain = f"hall-{number % 2 + 1}"
            self.fleet.add_router(seeds=first.peer_address, domain=domain, **SETTINGS)
        others = self.case.routers - 1
        for router in self.fleet.routers:
            assert eventually(lambda: len(router.find_all("member.heard")) >= others)  # noqa: B023

    def _stop_loads(self):
        for load in self.loads:
            load.stop()

    def add_load(self, per_second):
        self.loads.append(SteadyLoad(self.load.routers, per_second, KINDS).start())
        return self.loads[-1]

    def sent(self):
        return sum(load.sent for load in self.loads)

    def statuses(self):
        return Counter(status for load in self.loads for status in list(load.statuses))

    def state(self):
        return self.operator.rollout_state(SERVICE)

    def wait_until(self, seconds):
        """Wait until this time after the order."""
        time.sleep(max(0.0, self.ordered_s + seconds - time.monotonic()))

    def run(self):
        """Play the case; return its figures."""
        self.load.start()
        time.sleep(WARM_UP_S)
        fault = VersionFault(**self.case.fault) if self.case.fault else None
        statuses_before, sent_before = self.statuses(), self.sent()
        self.ordered_s = time.monotonic()
        if fault:
            fault.started_s = self.ordered_s
        acting = threading.Thread(target=self.case.act, args=(self,), daemon=True)
        acting.start()
        if self.with_rollout:
            self.operator.order_rollout(SERVICE, "v2", self.case.duration_s)
            self.new = [self._add_replica(number, "v2", fault) for number in range(REPLICAS)]
        requests, exposed, end, end_s = self._observe(sent_before)
        self.ended.set()
        acting.join()
        self._stop_loads()
        time.sleep(DRAIN_S)
        arrivals = [each.at_s for replica in self.new for each in list(replica.requests)]
        hits = sorted(fault.hits) if fault else []
        after_bad_s = None
        if len(hits) >= EXPOSURE_SLACK:
            after_bad_s = max(arrivals) - hits[EXPOSURE_SLACK - 1]
        return Figures(
            # A bad version must get nothing after the deadline either.
            exposed=len(arrivals) if end != "completed" else exposed,
            limit=EXPOSURE_SHARE * requests + EXPOSURE_SLACK,
            requests=requests,
            bad=len(hits),
            after_bad_s=after_bad_s,
            end=end,
            end_s=end_s,
            deadline_s=self.case.duration_s,
            statuses=self.statuses() - statuses_before,
        )

    def _observe(self, sent_before):
        """Return the requests and the attempts at the new version until the deadline, and the end.

        The end state may come up to ``late_s`` later. At a completion the old replicas stop at
        once, as on the platform.
        """
        end, end_s, requests, exposed = "", float("inf"), None, 0
        last_s = self.case.duration_s + max(OBSERVED_S, self.case.late_s)
        while (passed_s := time.monotonic() - self.ordered_s) < last_s:
            if not end and self.state() in ENDED:
                end, end_s = self.state(), passed_s
                if end == "completed":
                    for replica in self.old:
                        replica.unlist()
                        replica.crash()
            if requests is None and passed_s >= self.case.duration_s:
                requests = self.sent() - sent_before
                exposed = sum(len(replica.requests) for replica in self.new)
            time.sleep(POLL_S)
        return requests, exposed, end, end_s


def burst(play):
    """Triple the rate for 3 s."""
    play.wait_until(4.0)
    load = play.add_load(2 * play.case.per_second)
    time.sleep(3.0)
    load.stop()


def trouble_old_replicas(play):
    """Let two old replicas fail a tenth of their requests, and a third one respond slowly."""
    for replica in play.old[:2]:
        replica.fault = VersionFault("fail", fraction=0.1)
    play.old[2].behaviour = "slow first"


def kill_deciders(play):
    """Kill the deciding router after each step, and start it again after ``AWAY_S``."""
    key = f"aspengate/rollouts/{SERVICE}"
    seen = 0
    restarts = []
    while not play.ended.wait(POLL_S):
        document = play.fleet.store.value(key) or {}
        if document.get("step", 0) <= seen or document["state"] in ENDED:
            continue
        seen = document["step"]
        decider = next(r for r in play.fleet.routers if document["decider"].startswith(r.name))
        if decider.has_ended:
            continue
        index = play.fleet.routers.index(decider)
        # Callers go to another router meanwhile.
        running = next(r for r in play.fleet.routers if r is not decider and not r.has_ended)
        targets = play.load.routers
        targets[:] = [running if each is decider else each for each in targets]
        decider.kill()
        restarts.append(threading.Thread(target=start_again_later, args=(play, index, decider)))
        restarts[-1].start()
    for restart in restarts:
        restart.join()


def start_again_later(play, index, router):
    time.sleep(AWAY_S)
    play.load.routers[index] = play.fleet.start_again(router)


def take_store_away(play):
    """Take the store away once all routers have read the order, until after the deadline."""
    endpoints = [router.endpoint for router in play.fleet.routers]
    if play.with_rollout:
        for router in play.fleet.routers:
            assert eventually(lambda: router.find("rollout.ordered"), 5.0)  # noqa: B023
    for endpoint in endpoints:
        endpoint.fault = "reset"
    play.wait_until(play.case.duration_s + AWAY_AFTER_DEADLINE_S)
    for endpoint in endpoints:
        endpoint.clear_faults()


def cut_off_third(play):
    """Cut a third of the routers off the store from the order until the end."""
    for router in play.fleet.routers[::3]:
        router.endpoint.fault = "silent"


CASES = {
    "good": Case("completed"),
    "good under a burst": Case("completed", act=burst),
    "good with trouble on the old replicas": Case("completed", act=trouble_old_replicas),
    "500s": Case("rolled_back", {"behaviour": "fail"}, duration_s=12),
    "resets": Case("rolled_back", {"behaviour": "lose"}),
    "silence": Case("rolled_back", {"behaviour": "mute"}, duration_s=12),
    "wrong bytes": Case("rolled_back", {"behaviour": "garbage"}),
    "slow first token": Case("rolled_back", {"behaviour": "slow first"}, duration_s=12),
    "slow pauses": Case("rolled_back", {"behaviour": "slow pauses"}),
    "one route": Case("rolled_back", {"behaviour": "fail", "prefix": "/review/"}, duration_s=12),
    "after half of the way": Case(
        "rolled_back", {"behaviour": "fail", "after_s": 10.0}, duration_s=20
    ),
    "under load only": Case(
        "rolled_back", {"behaviour": "fail", "over_in_flight": 2}, duration_s=20
    ),
    "decider killed at each step": Case("completed", act=kill_deciders),
    "store away": Case(
        "rolled_back",
        {"behaviour": "fail"},
        act=take_store_away,
        duration_s=12,
        late_s=AWAY_AFTER_DEADLINE_S + END_AFTER_OUTAGE_S,
    ),
    "a third cut off": Case("rolled_back", {"behaviour": "fail"}, act=cut_off_third, routers=6),
    "a third cut off, good": Case("completed", act=cut_off_third, routers=6),
    "5 requests a second": Case("rolled_back", {"behaviour": "fail"}, per_second=5, duration_s=12),
    "5 requests a second, good": Case("completed", per_second=5, duration_s=12),
}


def play_case(name, *, with_rollout=True, logs=None):
    """Play a case of ``CASES``; return its figures. ``logs`` is a folder for the routers' lines."""
    with contextlib.ExitStack() as cleanup:
        play = Play(CASES[name], cleanup, with_rollout=with_rollout)
        figures = play.run()
        if logs:
            folder = Path(logs) / name.replace(" ", "-")
            folder.mkdir(parents=True, exist_ok=True)
            for router in play.fleet.routers:
                text = "\n".join(str(line) for line in router.lines)
                (folder / f"{router.name}.log").write_text(text, encoding="utf-8")
        return figures


HEADER = (
    "| case | attempts / limit | requests | bad | after the 50th bad | end | ended / deadline "
    "| lost | statuses |\n|---|--:|--:|--:|--:|---|--:|--:|---|"
)


def as_row(name, figures):
    """Return the row of a table for a case."""
    after = "none" if figures.after_bad_s is None else f"{figures.after_bad_s:.2f} s"
    statuses = ", ".join(f"{s}: {n}" for s, n in sorted(figures.statuses.items()))
    return (
        f"| {name} | {figures.exposed} / {figures.limit:.0f} | {figures.requests} "
        f"| {figures.bad} | {after} | {figures.end or 'none'} "
        f"| {figures.end_s:.1f} / {figures.deadline_s} s | {figures.lost} | {statuses} |"
    )


def main(arguments):
    """Play the named cases one after the other, print a table; return 1 if a bound was broken."""
    with_rollout = "--without-rollout" not in arguments
    logs = next((a.partition("=")[2] for a in arguments if a.startswith("--logs=")), None)
    names = [each for each in arguments if not each.startswith("--")]
    commit = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=False
    ).stdout.strip()
    print(f"commit {commit}\n{HEADER}", flush=True)
    status = 0
    for name in CASES if names == ["all"] else names:
        figures = play_case(name, with_rollout=with_rollout, logs=logs)
        print(as_row(name, figures), flush=True)
        if with_rollout and (broken := figures.broken(CASES[name])):
            status = 1
            print(f"BROKEN {name}: {'; '.join(broken)}", file=sys.stderr, flush=True)
    return status


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
