"""``aspengate bench`` and ``aspengate verify``."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

_Seed = Annotated[int, cappa.Arg(long="--seed", help="seed of the workload")]
_Json = Annotated[bool, cappa.Arg(long="--json", help="print JSON")]
_Scenarios = Annotated[
    str, cappa.Arg(long="--scenario", help="only these scenarios, separated by commas")
]
_Plot = Annotated[Path | None, cappa.Arg(long="--plot", help="write a plot to this file")]


@cappa.command(description="Compare overspend and false refusals with the baselines.")
@dataclass
class Budgets:
    """Run the budget experiments."""

    seed: _Seed = 1
    seconds: Annotated[
        int | None,
        cappa.Arg(long="--seconds", help="length of each run in seconds; default 20 minutes"),
    ] = None
    as_json: _Json = False
    plot: _Plot = None
    scenario: _Scenarios = ""

    def __call__(self) -> None:
        """Run the experiments and print the results."""
        from aspengate import experiments

        results = experiments.run_budget_experiments(
            self.seed, self.seconds, _split_names(self.scenario)
        )
        write = experiments.budget_json if self.as_json else experiments.budget_text
        sys.stdout.write(write(results))
        if self.plot is not None:
            experiments.plot_budgets(results, self.plot)


@cappa.command(description="Compare first-token times, goodput and cache hits with the baselines.")
@dataclass
class Routing:
    """Run the routing experiments."""

    seed: _Seed = 1
    as_json: _Json = False
    plot: _Plot = None
    scenario: _Scenarios = ""

    def __call__(self) -> None:
        """Run the experiments and print the results."""
        from aspengate import experiments

        results = experiments.run_routing_experiments(self.seed, _split_names(self.scenario))
        write = experiments.routing_json if self.as_json else experiments.routing_text
        sys.stdout.write(write(results))
        if self.plot is not None:
            experiments.plot_routing(results, self.plot)


@cappa.command(description="Compare the placement policies for prompts under overload.")
@dataclass
class Overload:
    """Replay the load patterns with each placement policy."""

    seed: _Seed = 1
    scenario: _Scenarios = ""

    def __call__(self) -> None:
        """Run the experiments and print the results."""
        from aspengate import experiments

        results = experiments.run_overload(self.seed, _split_names(self.scenario))
        sys.stdout.write(experiments.overload_text(results))


@cappa.command(description="Measure the slopes that docs/CAPACITY.md is computed from.")
@dataclass
class Capacity:
    """Measure the slopes (cost per unit of load) and print them as JSON."""

    def __call__(self) -> None:
        """Measure and print the slopes."""
        from aspengate import experiments

        slopes = msgspec.json.encode(experiments.measure_slopes())
        sys.stdout.write(msgspec.json.format(slopes).decode() + "\n")


@cappa.command(description="Run the experiments on seeded workloads.")
@dataclass
class Bench:
    """Groups the experiment subcommands."""

    command: cappa.Subcommands[Budgets | Routing | Overload | Capacity]


@cappa.command(description="Check the core protocol on a small specification.")
@dataclass
class Verify:
    """Prove every property, and find a counterexample without each protective rule."""

    as_json: _Json = False
    traces: Annotated[bool, cappa.Arg(long="--traces", help="print the counterexamples")] = False

    def __call__(self) -> None:
        """Check every model; exit with 1 if a property fails or a rule is redundant."""
        from aspengate import verification

        findings = [
            finding for make in verification.MODELS for finding in verification.check_model(make)
        ]
        if self.as_json:
            sys.stdout.write(msgspec.json.encode(findings).decode() + "\n")
        else:
            sys.stdout.write(verification.findings_text(findings, traces=self.traces))
        if not all(finding.as_expected for finding in findings):
            raise cappa.Exit("a property fails, or a rule is redundant", code=1)


def _split_names(text: str) -> list[str]:
    return [name for name in text.split(",") if name]
