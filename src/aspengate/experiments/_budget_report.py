"""The report of the budget experiments, as text, JSON and a plot."""

from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, replace
from pathlib import Path
from typing import Any

import msgspec

from aspengate.experiments._budget_run import (
    BudgetResult,
    BudgetScenario,
    budget_scenarios,
    run_budget_scenario,
)
from aspengate.experiments._designs import design_names

# The brief says which error each user weighs more heavily, not by how much; ten to one is ours.
LETTERWERF_WEIGHTS = (10.0, 1.0)
COUNCIL_WEIGHTS = (1.0, 10.0)
_WORKERS = 4


def run_budget_experiments(
    seed: int, seconds: int | None, names: Iterable[str] = ()
) -> list[BudgetResult]:
    """Run every design on every scenario, or on those named, in a few processes."""
    wanted = frozenset(names)
    scenarios = [
        scenario if seconds is None else scaled(scenario, seconds)
        for scenario in budget_scenarios()
        if not wanted or scenario.name in wanted
    ]
    jobs = [(scenario, design, seed) for scenario in scenarios for design in design_names()]
    with ProcessPoolExecutor(_WORKERS) as pool:
        return list(pool.map(_run_job, jobs))


def scaled(scenario: BudgetScenario, seconds: int) -> BudgetScenario:
    """Return a scenario shortened to ``seconds``, its faults in proportion."""
    factor = seconds / scenario.seconds
    faults = tuple(
        replace(fault, start_s=fault.start_s * factor, end_s=fault.end_s * factor)
        for fault in scenario.faults
    )
    return replace(scenario, seconds=seconds, faults=faults)


def budget_rows(results: Iterable[BudgetResult]) -> list[dict[str, Any]]:
    """Return the results as flat rows with the two users' weighed losses."""
    return [
        {
            **asdict(result),
            "false_refusal_fraction": result.false_refusal_fraction,
            "early_fraction": result.early_fraction,
            "loss_letterwerf": result.loss(*LETTERWERF_WEIGHTS),
            "loss_council": result.loss(*COUNCIL_WEIGHTS),
        }
        for result in results
    ]


def budget_json(results: Iterable[BudgetResult]) -> str:
    """Return the rows as JSON."""
    return msgspec.json.format(msgspec.json.encode(budget_rows(results))).decode() + "\n"


def budget_text(results: Iterable[BudgetResult]) -> str:
    """Return the rows as a Markdown table."""
    lines = [
        "| scenario | design | requests | refused | false | before 98% spent | overspend "
        "| writes/s | store B/s | message B/s | loss Letterwerf | loss Council |",
        "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|",
    ]
    for row in budget_rows(results):
        lines.append(
            f"| {row['scenario']} | {row['design']} | {row['requests']} | {row['refused']} "
            f"| {row['false_refusals']} | {row['early_fraction']:.2%} | {row['overspend']} "
            f"| {row['store_writes_per_s']:.2f} | {row['store_bytes_per_s']:.0f} "
            f"| {row['message_bytes_per_s']:.0f} | {row['loss_letterwerf']:.4f} "
            f"| {row['loss_council']:.4f} |"
        )
    return "\n".join(lines) + "\n"


def plot_budgets(results: list[BudgetResult], path: Path) -> None:
    """Draw the false refusals before 98% spent, by scenario and design."""
    from aspengate.experiments._plots import bars

    bars(
        path,
        groups=list(dict.fromkeys(result.scenario for result in results)),
        series=list(dict.fromkeys(result.design for result in results)),
        value={(each.scenario, each.design): 100 * each.early_fraction for each in results},
        label="false refusals before 98% spent, %",
    )


def _run_job(job: tuple[BudgetScenario, str, int]) -> BudgetResult:
    return run_budget_scenario(*job)
