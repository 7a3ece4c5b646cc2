"""Runs one design on one budget scenario and compares its refusals with an oracle."""

import functools
import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass

from aspengate.experiments._designs import Design, Hold, Links, open_design

_SECOND_MS = 1_000.0
_NEARLY_SPENT = 0.98


@dataclass(frozen=True)
class Fault:
    """Something that begins at ``start_s`` and ends at ``end_s``: a cut region or the store."""

    kind: str
    start_s: float
    end_s: float
    region: int = 0


@dataclass(frozen=True)
class BudgetScenario:
    """One workload with its faults.

    ``sizing`` is how much of the demand the budgets can pay: 2 is twice as much as is asked
    for, 0.6 runs out at 60% of the time. ``hot_share`` is the part of the requests that draws
    on the first budget. ``home_share`` of a budget's requests come to its home region, the rest
    to any; 0 spreads them evenly, which suits a static split best.
    """

    name: str
    seconds: int = 1_200
    regions: int = 4
    routers_per_region: int = 4
    budgets: int = 20
    requests_per_s: float = 30.0
    sizing: float = 2.0
    hot_share: float = 0.0
    home_share: float = 0.0
    faults: tuple[Fault, ...] = ()
    kill_every_s: float = 0.0


@dataclass(frozen=True)
class BudgetResult:
    """What one design did on one scenario.

    ``overspend`` is in credits above the limits. A refusal is false where the oracle, which
    knows the true costs of everything that runs, would have let the request run;
    ``false_refusals_early`` are those before 98% of the budget was spent.
    """

    scenario: str
    design: str
    requests: int
    refused: int
    false_refusals: int
    false_refusals_early: int
    requests_early: int
    overspend: int
    spent: int
    limit: int
    store_writes_per_s: float
    store_bytes_per_s: float
    message_bytes_per_s: float

    @property
    def false_refusal_fraction(self) -> float:
        """False refusals among all requests."""
        return self.false_refusals / max(1, self.requests)

    @property
    def early_fraction(self) -> float:
        """False refusals among the requests before 98% of their budget was spent."""
        return self.false_refusals_early / max(1, self.requests_early)

    def loss(self, overspend_weight: float, refusal_weight: float) -> float:
        """Return a weighed loss; lower is better."""
        overspent = self.overspend / max(1, self.limit)
        return overspend_weight * overspent + refusal_weight * self.false_refusal_fraction


def budget_scenarios() -> tuple[BudgetScenario, ...]:
    """Return the scenarios of the report."""
    cut = Fault("region", 300, 900, region=1)
    down = Fault("store", 300, 900)
    return (
        BudgetScenario("quiet"),
        BudgetScenario("near_exhausted", sizing=0.6),
        BudgetScenario("hot_budget", sizing=0.8, hot_share=0.9),
        BudgetScenario("region_cut", sizing=1.2, home_share=0.7, faults=(cut,)),
        BudgetScenario("region_cut_even", sizing=1.2, faults=(cut,)),
        BudgetScenario("region_cut_exhausted", sizing=0.7, home_share=0.7, faults=(cut,)),
        BudgetScenario("store_down", sizing=1.2, home_share=0.7, faults=(down,)),
        BudgetScenario("routers_killed", sizing=0.8, kill_every_s=30.0),
    )


def run_budget_scenario(scenario: BudgetScenario, design: str, seed: int) -> BudgetResult:
    """Run a design on a scenario; the same seed gives the same requests to every design."""
    return _Run(scenario, design, seed).result()


class _Oracle:
    """Knows the true cost of everything that ran or runs."""

    def __init__(self, limits: dict[str, int]) -> None:
        self.limits = limits
        self.committed = dict.fromkeys(limits, 0)

    def admits(self, budget: str, cost: int) -> bool:
        return self.committed[budget] + cost <= self.limits[budget]

    def is_early(self, budget: str) -> bool:
        return self.committed[budget] < _NEARLY_SPENT * self.limits[budget]


class _Run:
    def __init__(self, scenario: BudgetScenario, design: str, seed: int) -> None:
        self.scenario = scenario
        self.design_name = design
        self.random = random.Random(seed)
        self.limits = _limits(scenario)
        self.links = Links(scenario.regions, scenario.routers_per_region)
        self.design: Design = open_design(design, self.limits, self.links)
        self.oracle = _Oracle(self.limits)
        self.requests = self.refused = self.false = self.early = self.early_requests = 0
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._number = 0

    def result(self) -> BudgetResult:
        self._schedule()
        while self._events:
            now, _, action = heapq.heappop(self._events)
            action(now)
        seconds = self.scenario.seconds
        over = sum(
            max(0, self.oracle.committed[name] - limit) for name, limit in self.limits.items()
        )
        return BudgetResult(
            scenario=self.scenario.name,
            design=self.design_name,
            requests=self.requests,
            refused=self.refused,
            false_refusals=self.false,
            false_refusals_early=self.early,
            requests_early=self.early_requests,
            overspend=over,
            spent=sum(self.oracle.committed.values()),
            limit=sum(self.limits.values()),
            store_writes_per_s=self.links.store_writes / seconds,
            store_bytes_per_s=self.links.store_bytes / seconds,
            message_bytes_per_s=self.links.message_bytes / seconds,
        )

    def _schedule(self) -> None:
        end = self.scenario.seconds * _SECOND_MS
        self._at(0.0, self._arrive)
        for second in range(1, self.scenario.seconds + 60):
            self._at(second * _SECOND_MS, self.design.tick)
        for fault in self.scenario.faults:
            self._at(fault.start_s * _SECOND_MS, functools.partial(self._set, fault, True))
            self._at(fault.end_s * _SECOND_MS, functools.partial(self._set, fault, False))
        if self.scenario.kill_every_s:
            step = self.scenario.kill_every_s * _SECOND_MS
            for number in range(1, int(end / step)):
                self._at(number * step, self._kill)

    def _set(self, fault: Fault, active: bool, _: float) -> None:
        if fault.kind == "store":
            self.links.store_down = active
        elif active:
            self.links.cut.add(fault.region)
        else:
            self.links.cut.discard(fault.region)

    def _kill(self, now: float) -> None:
        region = self.random.randrange(self.scenario.regions)
        router = self.random.randrange(self.scenario.routers_per_region)
        self.design.kill_router(region, router, now)

    def _arrive(self, now: float) -> None:
        if now >= self.scenario.seconds * _SECOND_MS:
            return
        gap = self.random.expovariate(self.scenario.requests_per_s) * _SECOND_MS
        self._at(now + gap, self._arrive)
        budget = self._budget()
        region = self._region(budget)
        router = self.random.randrange(self.scenario.routers_per_region)
        cost = max(1, int(self.random.lognormvariate(5.5, 0.8)))
        bound = cost * self.random.randint(2, 6)
        duration = self.random.uniform(0.2, 8.0) * _SECOND_MS
        self._request(budget, region, router, cost, bound, duration, now)

    def _request(
        self,
        budget: str,
        region: int,
        router: int,
        cost: int,
        bound: int,
        duration: float,
        now: float,
    ) -> None:
        self.requests += 1
        early = self.oracle.is_early(budget)
        self.early_requests += early
        hold = self.design.reserve(budget, region, router, bound, now)
        if hold is None:
            self.refused += 1
            if self.oracle.admits(budget, cost):
                self.false += 1
                self.early += early
            return
        self.oracle.committed[budget] += cost
        self._at(now + duration, lambda ended: self._settle(hold, cost, ended))

    def _settle(self, hold: Hold, cost: int, now: float) -> None:
        self.design.settle(hold, cost, now)

    def _budget(self) -> str:
        if self.random.random() < self.scenario.hot_share:
            return "budget-0"
        return f"budget-{self.random.randrange(self.scenario.budgets)}"

    def _region(self, budget: str) -> int:
        if self.random.random() < self.scenario.home_share:
            return int(budget.rpartition("-")[2]) % self.scenario.regions
        return self.random.randrange(self.scenario.regions)

    def _at(self, time_ms: float, action: Callable[[float], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (time_ms, self._number, action))


_MEAN_COST = 336.0


def _limits(scenario: BudgetScenario) -> dict[str, int]:
    """Return the limits: ``sizing`` times the demand expected of each budget."""
    total = scenario.requests_per_s * scenario.seconds * _MEAN_COST * scenario.sizing
    even = (1 - scenario.hot_share) / scenario.budgets
    return {
        f"budget-{number}": int(total * (even + (scenario.hot_share if number == 0 else 0)))
        for number in range(scenario.budgets)
    }
