"""``aspengate demo``: runs the whole fleet in one process and injects failures."""

import sys
from dataclasses import dataclass
from typing import Annotated

import cappa


@cappa.command(description="Run every role and the stand-ins in this process, with failures.")
@dataclass
class Demo:
    """Run the workloads for ``seconds`` and print a report; exit with 1 if a rule was violated."""

    seconds: Annotated[int, cappa.Arg(long="--seconds", help="how long to send requests")] = 20
    seed: Annotated[int, cappa.Arg(long="--seed", help="seed of the workload")] = 1
    as_json: Annotated[bool, cappa.Arg(long="--json", help="print JSON")] = False

    def __call__(self) -> None:
        """Run the demonstration."""
        from aspengate.demo import run_demonstration

        progress = sys.stderr.isatty()
        report = run_demonstration(self.seconds, self.seed, progress=progress)
        sys.stdout.write(report.to_json() if self.as_json else report.to_text())
        if not report.all_held:
            raise cappa.Exit("a rule was violated", code=1)
