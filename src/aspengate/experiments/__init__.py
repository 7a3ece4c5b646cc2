"""Experiments on the decisions: seeded, on an injected clock, against baselines."""

from aspengate.experiments._budget_report import (
    budget_json,
    budget_rows,
    budget_text,
    plot_budgets,
    run_budget_experiments,
    scaled,
)
from aspengate.experiments._budget_run import (
    BudgetResult,
    BudgetScenario,
    budget_scenarios,
    run_budget_scenario,
)
from aspengate.experiments._capacity import TARGET, TODAY, capacity_lines, capacity_page
from aspengate.experiments._designs import design_names
from aspengate.experiments._gateway_capacity import read_sweeps
from aspengate.experiments._overload import (
    PATTERNS,
    WAYS,
    LoadPattern,
    OverloadResult,
    overload_text,
    run_overload,
)
from aspengate.experiments._routing_report import (
    plot_routing,
    routing_json,
    routing_text,
    run_routing_experiments,
)
from aspengate.experiments._routing_run import (
    RoutingResult,
    RoutingScenario,
    routing_scenarios,
    run_routing_scenario,
)
from aspengate.experiments._slopes import measure_slopes

__all__ = [
    "PATTERNS",
    "TARGET",
    "TODAY",
    "WAYS",
    "BudgetResult",
    "BudgetScenario",
    "LoadPattern",
    "OverloadResult",
    "RoutingResult",
    "RoutingScenario",
    "budget_json",
    "budget_rows",
    "budget_scenarios",
    "budget_text",
    "capacity_lines",
    "capacity_page",
    "design_names",
    "measure_slopes",
    "overload_text",
    "plot_budgets",
    "plot_routing",
    "read_sweeps",
    "routing_json",
    "routing_scenarios",
    "routing_text",
    "run_budget_experiments",
    "run_budget_scenario",
    "run_overload",
    "run_routing_experiments",
    "run_routing_scenario",
    "scaled",
]
