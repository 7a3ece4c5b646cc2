"""A fleet of routers as plain objects, for the exposure and the outcome of rollouts.

Each router has a ``VersionGate`` and cumulative evidence; documents, notices and reports arrive
late, or not at all. Time passes in ticks of 100 ms, and an attempt is answered after 100 ms.
"""

import random
from collections import deque
from dataclasses import dataclass, field

from aspengate.replicas import Replica
from aspengate.rollouts import (
    Cohort,
    CohortCapacity,
    CohortEvidence,
    CohortSlots,
    DecisionTime,
    Evidence,
    EvidenceWindows,
    FleetEvidence,
    ReplicaEvidence,
    RolloutDecider,
    RolloutOrder,
    RolloutPolicy,
    RolloutState,
    RouteEvidence,
    VersionGate,
    merge_evidence,
)

POLICY = RolloutPolicy(0.1, 50.0, 5_000.0)
TICK_MS = 100
CONFIRM_MS = 500
RECENT_MS = 5_000
REPORT_MS = 500
START_MS = 100_000
START_UNIX_MS = 1_700_000_000_000
CONFIGURATION_MS = 10_000.0


@dataclass(frozen=True)
class View:
    replica: Replica


OLD = [View(Replica(f"old-{number}", "portal", "", slots=64, version="v1")) for number in range(4)]
NEW = [View(Replica(f"new-{number}", "portal", "", slots=64, version="v2")) for number in range(4)]


@dataclass
class Fault:
    """A time in which a router has a fault.

    Dead: it restarts afterwards. Cut off: it neither receives nor sends messages. Uninformed: it
    receives the list of replicas, but no order, document or other change.
    """

    kind: str
    router: int
    from_ms: float
    until_ms: float

    def holds(self, kind, router, now_ms):
        is_same = kind == self.kind and router == self.router
        return is_same and self.from_ms <= now_ms < self.until_ms


@dataclass
class Case:
    """One run; its times count from the order, and ``bad_from_ms`` is None for a good version.

    From ``factor_from_ms`` on, the rate is multiplied by ``rate_factor``.
    """

    routers: int
    rate: float
    duration_ms: float
    bad_from_ms: float | None = None
    bad_share: float = 0.5
    faults: list = field(default_factory=list)
    store_down: tuple = (0.0, 0.0)
    seed: int = 0
    target_ready_ms: float = 0.0
    rate_factor: float = 1.0
    factor_from_ms: float = 0.0


class Router:
    def __init__(self, number, draw, start=0):
        self.number = number
        self.start = start
        self.session = f"session-{number}-{start}"
        self.gate = VersionGate(POLICY, CONFIGURATION_MS, draw)
        self.inbox = []
        self.windows = EvidenceWindows()
        self.is_restarting = False
        self.reset(0)

    def reset(self, generation):
        self.generation = generation
        self.sent = {Cohort.TARGET: 0, Cohort.BASELINE: 0}
        self.completed = {Cohort.TARGET: [0] * 4, Cohort.BASELINE: [0] * 4}
        self.failed = {Cohort.TARGET: [0] * 4, Cohort.BASELINE: [0] * 4}
        self.is_halted = False
        self.has_changed = True

    def evidence(self):
        cohorts = []
        for cohort in Cohort:
            completed, failed = self.completed[cohort], self.failed[cohort]
            answered = sum(completed) + sum(failed)
            sent = self.sent[cohort]
            replicas = {
                str(number): ReplicaEvidence(completed[number], failed[number])
                for number in range(4)
            }
            cohorts.append(CohortEvidence(sent, answered, sent - answered, replicas=replicas))
        return Evidence(self.generation, {"/": RouteEvidence(*cohorts)})


class Fleet:
    """Runs one case; ``run`` returns when the deadline has passed."""

    def __init__(self, case):
        self.case = case
        self.random = random.Random(case.seed)
        self.routers = [Router(number, self.random.random) for number in range(case.routers)]
        self.decider = RolloutDecider(POLICY)
        self.order = RolloutOrder("portal", "v2", case.duration_ms, 1)
        self.document = None
        self.history = []
        self.step_seen_ms = 0.0
        self.windows = EvidenceWindows()
        self.reports = {}
        self.totals = deque()
        self.halted = set()
        self.last_report_ms = START_MS
        self.decide_ms = START_MS
        self.pending = []
        self.requests = 0
        self.target_sent = []
        self.bad_ms = []
        self.now_ms = START_MS
        self.deadline_requests = 0

    @property
    def elapsed_ms(self):
        return self.now_ms - START_MS

    def is_faulty(self, kind, router):
        return bool(self.case.faults) and any(
            each.holds(kind, router.number, self.elapsed_ms) for each in self.case.faults
        )

    def is_dead(self, router):
        return self.is_faulty("dead", router)

    def is_cut_off(self, router):
        return any(self.is_faulty(kind, router) for kind in ("cut off", "uninformed", "dead"))

    @property
    def rate(self):
        case = self.case
        return case.rate * (case.rate_factor if self.elapsed_ms >= case.factor_from_ms else 1.0)

    def is_store_down(self):
        begin, end = self.case.store_down
        return begin <= self.elapsed_ms < end

    def run(self, extra_ms=2_000):
        for router in self.routers:
            router.gate.set_versions("portal", {"v1"}, self.now_ms, is_first=True)
        end_ms = START_MS + self.case.duration_ms + extra_ms
        credit = 0.0
        while self.now_ms < end_ms:
            self.deliver()
            self.answer()
            if self.elapsed_ms % REPORT_MS == 0:
                self.report()
            if self.now_ms >= self.decide_ms:
                self.decide()
            credit += self.rate * TICK_MS / 1_000
            while credit >= 1:
                credit -= 1
                self.send_request()
            self.now_ms += TICK_MS
        return self

    def deliver(self):
        """Hand documents, orders and confirmations to the routers."""
        is_confirming = self.elapsed_ms % CONFIRM_MS == 0
        for number, router in enumerate(self.routers):
            if not is_confirming and not router.inbox:
                continue
            if self.is_dead(router):
                router.is_restarting = True
                continue
            if router.is_restarting:
                router = self.routers[number] = self.restart(router)
            if self.is_faulty("cut off", router):
                continue
            if is_confirming:
                router.gate.set_versions("portal", {"v1", "v2"}, self.now_ms)
            if self.is_cut_off(router):
                continue
            if is_confirming and not self.is_store_down():
                router.gate.set_order("portal", self.order)
                router.gate.record_contact(self.now_ms)
                if self.document is not None:
                    self.adopt(router, self.document)
            due = [each for each in router.inbox if each[0] <= self.now_ms]
            router.inbox = [each for each in router.inbox if each[0] > self.now_ms]
            for _, document in due:
                self.adopt(router, document)

    def restart(self, router):
        """Return a new router that has read the list and the document before it is ready."""
        started = Router(router.number, self.random.random, router.start + 1)
        started.gate.set_versions("portal", {"v1", "v2"}, self.now_ms, is_first=True)
        started.gate.set_order("portal", self.order)
        if self.document is not None:
            self.adopt(started, self.document)
        return started

    def adopt(self, router, document):
        router.gate.set("portal", document, self.now_ms, self.now_ms)
        if document.generation > router.generation:
            router.reset(document.generation)

    def send_request(self):
        router = self.random.choice(self.routers)
        if self.is_dead(router) or router.is_restarting:
            return
        self.requests += 1
        if self.elapsed_ms < self.case.duration_ms:
            self.deadline_requests += 1
        self.attempt(router, retries=1)

    def attempt(self, router, retries):
        is_ready = self.elapsed_ms >= self.case.target_ready_ms
        views = router.gate.select("portal", "/", OLD + NEW if is_ready else OLD, self.now_ms)
        view = self.random.choice(views)
        assert router.gate.allows(view, self.now_ms)
        cohort = router.gate.cohort_of("portal", view.replica.version)
        is_target = view.replica.version == "v2"
        if is_target:
            self.target_sent.append((self.elapsed_ms, router.number))
        if cohort is not None:
            router.sent[cohort] += 1
            router.has_changed = True
        case = self.case
        is_bad = (
            is_target
            and case.bad_from_ms is not None
            and self.elapsed_ms >= case.bad_from_ms
            and self.random.random() < case.bad_share
        )
        self.pending.append((router, router.generation, cohort, view, is_bad, retries))

    def answer(self):
        answered, self.pending = self.pending, []
        for router, generation, cohort, view, is_bad, retries in answered:
            if is_bad:
                self.bad_ms.append(self.elapsed_ms)
            if cohort is not None and generation == router.generation:
                counts = router.failed if is_bad else router.completed
                counts[cohort][int(view.replica.identity[-1])] += 1
                router.has_changed = True
            if is_bad and retries and not self.is_dead(router):
                self.attempt(router, retries - 1)

    def report(self):
        """Send each router's evidence to the deciders; one in ten datagrams is lost."""
        for router in self.routers:
            if not router.generation or not router.has_changed or self.is_dead(router):
                continue
            evidence = router.evidence()
            document = self.document
            if sum(router.failed[Cohort.TARGET]) >= 4 and not router.is_halted:
                verdict = router.windows.add(evidence, document.share, self.now_ms)
                if verdict.is_bad:
                    router.is_halted = True
                    router.gate.halt("portal", router.generation)
            if self.is_cut_off(router) or self.random.random() < 0.1:
                continue
            router.has_changed = False
            self.reports[router.session] = evidence
            self.last_report_ms = self.now_ms
            if router.is_halted:
                self.halted.add(router.session)

    def decide(self):
        """Let the first router that lives and is connected decide."""
        decider = next((each for each in self.routers if not self.is_cut_off(each)), None)
        if decider is None:
            return
        share = self.document.share if self.document else 0.0
        total = merge_evidence(self.reports.values())
        is_ready = self.elapsed_ms >= self.case.target_ready_ms
        ready = CohortSlots(4, 4, 4) if is_ready else CohortSlots()
        capacity = CohortCapacity(ready, CohortSlots(4, 4, 4), frozenset(("v1", "v2")))
        time = DecisionTime(
            self.now_ms, START_UNIX_MS + int(self.elapsed_ms), START_MS, self.step_seen_ms
        )
        self.totals.append((self.now_ms, total))
        while self.totals[0][0] < self.now_ms - RECENT_MS:
            self.totals.popleft()
        evidence = FleetEvidence(
            total,
            total.subtract(self.totals[0][1]),
            self.windows.add(total, share, self.now_ms),
            self.now_ms - self.last_report_ms,
            frozenset(self.halted),
        )
        following = self.decider.decide(
            "portal", self.order, 1, self.document, evidence, capacity, time, decider.session
        )
        self.decide_ms = self.now_ms + self.decider.pause_ms(self.document, time)
        if following is None:
            return
        if following.has_ended and following.state is RolloutState.ROLLED_BACK:
            self.notify(decider, following.generation)
        if self.is_store_down():
            return
        if self.document is None or following.step != self.document.step:
            self.step_seen_ms = self.now_ms
        self.document = following
        self.history.append((self.elapsed_ms, following))
        for router in self.routers:
            delay_ms = self.random.choice((0, 0, 100, 200, 300, 2_000))
            router.inbox.append((self.now_ms + delay_ms, following))

    def notify(self, decider, generation):
        for router in self.routers:
            if not self.is_cut_off(router):
                router.gate.halt("portal", generation)

    @property
    def target_attempts(self):
        """The attempts at the target before the deadline."""
        return sum(1 for sent_ms, _ in self.target_sent if sent_ms < self.case.duration_ms)

    @property
    def limit(self):
        return POLICY.exposure_share * self.deadline_requests + POLICY.exposure_slack

    def late_attempts(self):
        """Return attempts of informed routers later than allowed after the 50th bad response."""
        is_completed = self.document and self.document.state is RolloutState.COMPLETED
        if len(self.bad_ms) < 50 or is_completed:
            return []
        uninformed = {each.router for each in self.case.faults if each.kind == "uninformed"}
        last_ms = self.bad_ms[49] + POLICY.rollback_ms
        return [
            each for each in self.target_sent if each[0] > last_ms and each[1] not in uninformed
        ]
