"""The report of the routing experiments, as text, JSON and a plot."""

from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict
from pathlib import Path

import msgspec

from aspengate.experiments._routing_run import (
    RoutingResult,
    RoutingScenario,
    routing_scenarios,
    run_routing_scenario,
)
from aspengate.routing import policy_names

_WORKERS = 4


def run_routing_experiments(seed: int, names: Iterable[str] = ()) -> list[RoutingResult]:
    """Run every policy on every scenario, or on those named, in a few processes."""
    wanted = frozenset(names)
    jobs = [
        (scenario, policy, seed)
        for scenario in routing_scenarios()
        if not wanted or scenario.name in wanted
        for policy in policy_names()
    ]
    with ProcessPoolExecutor(_WORKERS) as pool:
        return list(pool.map(_run_job, jobs))


def routing_json(results: Iterable[RoutingResult]) -> str:
    """Return the results as JSON."""
    rows = [asdict(result) for result in results]
    return msgspec.json.format(msgspec.json.encode(rows)).decode() + "\n"


def routing_text(results: Iterable[RoutingResult]) -> str:
    """Return the results as a Markdown table."""
    lines = [
        "| scenario | policy | requests | refused | may wait | failed | late | goodput "
        "| first token p50/p95/p99, ms | between p95, ms | hits | spread |",
        "|---|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|",
    ]
    lines += [
        f"| {each.scenario} | {each.policy} | {each.requests} | {each.refused} "
        f"| {each.refused_may_wait} | {each.failed} | {each.late:.1%} | {each.goodput:.3f} "
        f"| {each.first_p50:.0f} / {each.first_p95:.0f} / {each.first_p99:.0f} "
        f"| {each.between_p95:.0f} | {each.hit_rate:.2f} | {each.spread:.2f} |"
        for each in results
    ]
    return "\n".join(lines) + "\n"


def plot_routing(results: list[RoutingResult], path: Path) -> None:
    """Draw the first token's p95 by scenario and policy."""
    from aspengate.experiments._plots import bars

    bars(
        path,
        groups=list(dict.fromkeys(result.scenario for result in results)),
        series=list(dict.fromkeys(result.policy for result in results)),
        value={(each.scenario, each.policy): each.first_p95 for each in results},
        label="first token p95, ms",
    )


def _run_job(job: tuple[RoutingScenario, str, int]) -> RoutingResult:
    return run_routing_scenario(*job)
