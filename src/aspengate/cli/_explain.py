"""``aspengate explain``: prints the trace of one request from logs."""

import sys
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa

from aspengate.errors import AspengateError, ErrorKind
from aspengate.explanation import LogLine, read_lines, trace_request
from aspengate.losses import describe_end


@cappa.command(description="Print the trace of one request from the logs of routers.")
@dataclass
class Explain:
    """Print the request's log lines in order, with the state of its routers at that time."""

    request_id: Annotated[str, cappa.Arg(help="id of the request")]
    logs: Annotated[list[Path], cappa.Arg(num_args=-1, help="log files, one for each router")]

    def __call__(self) -> None:
        """Print the trace; raises NOT_FOUND if no log line has the request's id."""
        lines = read_logs(self.logs)
        report = [
            *trace_request(self.request_id, lines).lines(),
            describe_end(self.request_id, lines),
        ]
        sys.stdout.write("\n".join(each for each in report if each) + "\n")


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Return the parsed lines of log files; raises BAD_REQUEST if a file can't be read."""
    lines: list[LogLine] = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as text:
                lines += read_lines(path.stem, text)
        except OSError as error:
            raise AspengateError(ErrorKind.BAD_REQUEST, str(error), where=str(path)) from error
    return lines
