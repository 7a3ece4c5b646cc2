"""The subcommand that explains one request from logs."""

import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from aspengate.errors import AspengateError, ErrorKind
from aspengate.explanation import LogLine, read_lines, trace_request
from aspengate.losses import describe_end


@cappa.command(description="Tell what happened to one request, from the logs of routers.")
@dataclass
class Explain:
    """Print the request's ends in order, with what its routers believed at that time."""

    request_id: Annotated[str, cappa.Arg(help="the request's id")]
    logs: Annotated[list[Path], cappa.Arg(num_args=-1, help="log files, one for each router")]

    def __call__(self) -> None:
        """Print the story; exit 1 where no log speaks of the request."""
        lines = read_logs(self.logs)
        told = [
            *trace_request(self.request_id, lines).lines(),
            describe_end(self.request_id, lines),
        ]
        sys.stdout.write("\n".join(each for each in told if each) + "\n")


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the lines of log files; raises BAD_REQUEST for one that can't be read."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as text:
                lines += read_lines(path.stem, text)
        except OSError as error:
            raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where=str(path)) from error
    return lines
