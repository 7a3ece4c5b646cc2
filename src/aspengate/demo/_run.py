"""The demonstration: workload, faults on a schedule, and the check of every rule."""

import sys
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from aspengate.adapters import Instance, InstanceState
from aspengate.budgets import Budget
from aspengate.demo._callers import Caller, Tally
from aspengate.demo._fleet import LocalFleet
from aspengate.demo._report import BudgetReport, Report, Rule
from aspengate.demo._tables import SERVICES, demonstration_rows
from aspengate.standins import EngineApplication, ServiceApplication
from aspengate.table import RowChange, ServiceRow

_CALLERS = 12
_PAUSE_MS = 60.0
_WARM_UP_S = 1.5
_QUIET_S = 30.0
_EDIT_LIMIT_MS = 7_000.0
_LEAVING_GRACE_S = 3.0
_DRAIN_MS = 30_000.0


@dataclass
class _Schedule:
    """What the faults did, for the report."""

    edits_ms: list[float] = field(default_factory=list)
    reverted: list[str] = field(default_factory=list)
    stopped_whole: bool = True
    late_work: int = 0


def run_demonstration(seconds: int, seed: int, *, progress: bool = False) -> Report:
    """Run the fleet for ``seconds`` seconds with failures, and check every rule."""
    fleet = LocalFleet(
        demonstration_rows(), SERVICES, regions=("region-1", "region-2"), routers_per_region=3
    )
    fleet.start()
    try:
        return _Demonstration(fleet, seconds, seed, progress).run()
    finally:
        fleet.close()


class _Demonstration:
    def __init__(self, fleet: LocalFleet, seconds: int, seed: int, progress: bool) -> None:
        self.fleet = fleet
        self.seconds = seconds
        self.seed = seed
        self.progress = progress
        self.tally = Tally()
        self.schedule = _Schedule()
        self.stopped = threading.Event()
        self.ended = threading.Event()

    def run(self) -> Report:
        time.sleep(_WARM_UP_S)
        watcher = threading.Thread(target=self._watch_versions, daemon=True)
        watcher.start()
        callers = [
            threading.Thread(
                target=Caller(self.tally, self._addresses, self.seed * 1_000 + number).run,
                args=(self.stopped, _PAUSE_MS),
                daemon=True,
            )
            for number in range(_CALLERS)
        ]
        for caller in callers:
            caller.start()
        self._run_schedule()
        self.stopped.set()
        for caller in callers:
            caller.join(_QUIET_S)
        self._say("settling")
        self._wait_settled()
        self.ended.set()
        return self._report()

    def _run_schedule(self) -> None:
        steps: list[tuple[float, str, Callable[[], None]]] = [
            (0.10, "editing the table", self._edit),
            (0.20, "the store goes down", lambda: self._store_down(True)),
            (0.35, "the store is back, losing an answer", lambda: self._store_down(False)),
            (0.40, "a router is killed", self._kill_router),
            (0.50, "a region is cut off", lambda: self.fleet.network.cut.add("region-2")),
            (0.65, "the region is back", lambda: self.fleet.network.cut.discard("region-2")),
            (0.70, "an upstream leaves", self._agent_leaves),
            (0.85, "a router is stopped as planned", self._stop_router),
            (0.90, "editing the table again", self._edit),
        ]
        began = time.monotonic()
        for at, words, step in steps:
            time.sleep(max(0.0, began + at * self.seconds - time.monotonic()))
            self._say(words)
            step()
        time.sleep(max(0.0, began + self.seconds - time.monotonic()))

    def _addresses(self) -> list[str]:
        return [router.address for router in self.fleet.routers.values() if not router.leaving]

    def _edit(self) -> None:
        editor = next(iter(self.fleet.routers.values())).editor
        before = next(
            row for row in editor.rows() if isinstance(row, ServiceRow) and row.name == "font-files"
        )
        after = ServiceRow(
            name=before.name,
            protocol=before.protocol,
            price_call=before.price_call,
            priority=before.priority + 1,
        )
        accepted = time.monotonic()
        version = editor.change((RowChange(before, after),), "demonstration")
        while any(router.table.view.version < version for router in self.fleet.routers.values()):
            if (time.monotonic() - accepted) * 1_000 > 2 * _EDIT_LIMIT_MS:
                break
            time.sleep(0.005)
        self.schedule.edits_ms.append((time.monotonic() - accepted) * 1_000)

    def _store_down(self, down: bool) -> None:
        self.fleet.store.faults.down = down
        if not down:
            self.fleet.store.faults.lose_answers = 2

    def _kill_router(self) -> None:
        self.fleet.kill_router("region-1-router-0")

    def _agent_leaves(self) -> None:
        name = "region-1-essay-scoring-0"
        agent = self.fleet.agents[name]
        self.fleet.listed.put(
            Instance(
                name,
                "agent",
                agent.address,
                agent.settings.region,
                agent.settings.failure_domain,
                agent.settings.service,
                state=InstanceState.LEAVING,
            )
        )
        threading.Thread(target=self._count_late_work, args=(name,), daemon=True).start()

    def _count_late_work(self, name: str) -> None:
        time.sleep(_LEAVING_GRACE_S)
        before = self._runs_at(name)
        self.ended.wait()
        self.schedule.late_work = self._runs_at(name) - before

    def _runs_at(self, name: str) -> int:
        return sum(
            sum(upstream.application.runs.values())
            for upstream in self.fleet.upstreams
            if upstream.agent == name
        )

    def _stop_router(self) -> None:
        name = "region-1-router-1"
        router = self.fleet.routers[name]

        def stop() -> None:
            self.schedule.stopped_whole = router.leave(_DRAIN_MS)
            self.fleet.routers.pop(name, None)
            self.fleet.listed.remove(name)

        self._stopping = threading.Thread(target=stop, daemon=True)
        self._stopping.start()

    def _watch_versions(self) -> None:
        seen: dict[str, int] = {}
        while not self.ended.wait(0.02):
            for name, router in list(self.fleet.routers.items()):
                version = router.table.view.version
                if version < seen.get(name, 0):
                    self.schedule.reverted.append(name)
                seen[name] = version

    def _wait_settled(self) -> None:
        """Wait until every budget's bill covers the delivered answers and nothing is open."""
        self._stopping.join(_QUIET_S)
        deadline = time.monotonic() + _QUIET_S
        while time.monotonic() < deadline:
            routers = self.fleet.routers.values()
            quiet = all(not router.money.ledger.closing for router in routers)
            owed = all(budget.billed >= budget.delivered for budget in self._budget_reports())
            if quiet and owed:
                return
            time.sleep(0.2)

    def _budgets(self) -> dict[str, Budget]:
        editor = next(iter(self.fleet.routers.values())).editor
        return {name: budget for shard in editor.shards() for name, budget in shard.budgets.items()}

    def _budget_reports(self) -> list[BudgetReport]:
        return [
            BudgetReport(
                name,
                budget.limit,
                budget.spent,
                self.tally.certain_cost[name],
                self.tally.uncertain_cost[name],
            )
            for name, budget in sorted(self._budgets().items())
        ]

    def _report(self) -> Report:
        tally = self.tally
        budgets = self._budget_reports()
        return Report(
            seconds=self.seconds,
            seed=self.seed,
            requests=tally.requests,
            whole_answers=tally.whole,
            broken_connections=tally.broken,
            refusals=dict(tally.refusals),
            first_token_ms=_percentiles(tally.first_token),
            between_tokens_ms=_percentiles(tally.between_tokens),
            edits_in_force_ms=self.schedule.edits_ms,
            budgets=budgets,
            store_calls=dict(self.fleet.store.calls),
            rules=self._rules(budgets),
        )

    def _rules(self, budgets: list[BudgetReport]) -> list[Rule]:
        tally = self.tally
        over = [each for each in budgets if each.billed > each.limit]
        true_over = [each for each in budgets if each.delivered > each.limit]
        misbilled = [
            each
            for each in budgets
            if not each.delivered <= each.billed <= each.delivered + each.uncertain
        ]
        ran = self._runs_by_id()
        lied = [request_id for request_id in tally.not_run_ids if ran.get(request_id)]
        keys = self._runs_by_key()
        doubled = [key for key, runs in keys.items() if runs > 1]
        lied += [key for key in tally.not_run_keys if keys.get(key)]
        slow = [edit for edit in self.schedule.edits_ms if edit > _EDIT_LIMIT_MS]
        return [
            Rule("no budget overspent", not over and not true_over, _names(over + true_over)),
            Rule("each answer billed exactly once", not misbilled, _names(misbilled)),
            Rule(
                "whole answers to the right caller",
                not tally.wrong,
                "; ".join(tally.wrong[:3]) or "ok",
            ),
            Rule("a refusal 'not run' is true", not lied, f"{len(lied)} ran"),
            Rule("at most one run", not doubled, f"{len(doubled)} of {len(keys)} ran twice"),
            Rule(
                "a leaving upstream gets no new work",
                self.schedule.late_work == 0,
                f"{self.schedule.late_work} requests after {_LEAVING_GRACE_S:.0f} s",
            ),
            Rule(
                "a planned stop finishes everything",
                self.schedule.stopped_whole,
                "finished" if self.schedule.stopped_whole else "gave up",
            ),
            Rule(
                "edits in force within 7 s, never reverting",
                not slow and not self.schedule.reverted,
                f"{len(self.schedule.edits_ms)} edits, {len(self.schedule.reverted)} reverted",
            ),
        ]

    def _runs_by_id(self) -> dict[str, int]:
        return {
            request_id: runs
            for upstream in self.fleet.upstreams
            if isinstance(upstream.application, EngineApplication)
            for request_id, runs in upstream.application.runs.items()
        }

    def _runs_by_key(self) -> dict[str, int]:
        runs: dict[str, int] = {}
        for upstream in self.fleet.upstreams:
            if isinstance(upstream.application, ServiceApplication):
                for key, count in upstream.application.runs.items():
                    if key:
                        runs[key] = runs.get(key, 0) + count
        return runs

    def _say(self, words: str) -> None:
        if self.progress:
            sys.stderr.write(f"  {words}\n")


def _names(budgets: list[BudgetReport]) -> str:
    return ", ".join(each.name for each in budgets) or "ok"


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    return {f"p{share}": histogram.get_value_at_percentile(share) / 1_000 for share in (50, 95)}
