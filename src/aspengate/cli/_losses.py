"""``aspengate losses``: reports from logs why requests failed or were late."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from aspengate.cli._explain import read_logs
from aspengate.errors import AspengateError, ErrorKind
from aspengate.losses import report_losses


@cappa.command(
    description="Report from routers' logs why requests failed or were late, and the use of tokens."
)
@dataclass
class Losses:
    """Print failed and late requests by reason and property, and the use of tokens over time."""

    logs: Annotated[list[Path], cappa.Arg(num_args=-1, help="log files of routers")]
    step_s: Annotated[float, cappa.Arg(long="--step", help="seconds per row")] = 2.0

    def __call__(self) -> None:
        """Print the report.

        Raises BAD_REQUEST if the files have no line of a router or the step is not above 0.
        """
        if self.step_s <= 0:
            raise AspengateError(ErrorKind.BAD_REQUEST, "must be above 0", where="--step")
        lines = read_logs(self.logs)
        if not lines:
            raise AspengateError(ErrorKind.BAD_REQUEST, "no line of a router's log in the files")
        sys.stdout.write("\n".join(report_losses(lines, self.step_s).lines()) + "\n")
