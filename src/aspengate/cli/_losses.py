"""The subcommand that tells from logs what requests lost their worth by."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from aspengate.cli._explain import read_logs
from aspengate.errors import AspengateError, ErrorKind
from aspengate.losses import report_losses


@cappa.command(
    description="Tell from routers' logs which requests lost what, and where tokens went."
)
@dataclass
class Losses:
    """Print lost requests by reason, time, service, account, replica; and where tokens went."""

    logs: Annotated[list[Path], cappa.Arg(num_args=-1, help="log files of routers")]
    step_s: Annotated[float, cappa.Arg(long="--step", help="seconds between two rows")] = 2.0

    def __call__(self) -> None:
        """Print the report; raises BAD_REQUEST for a log without lines or a wrong step."""
        if self.step_s <= 0:
            raise AspengateError(ErrorKind.BAD_REQUEST, "must be above 0", where="--step")
        lines = read_logs(self.logs)
        if not lines:
            raise AspengateError(ErrorKind.BAD_REQUEST, "no line of a router's log in the files")
        sys.stdout.write("\n".join(report_losses(lines, self.step_s).lines()) + "\n")
