"""The command ``aspengate`` and its subcommands."""

import sys
from dataclasses import dataclass

import cappa

from aspengate import __version__
from aspengate.cli._daemons import Agent, Check, Gateway, Router, StandIn
from aspengate.cli._demo import Demo
from aspengate.cli._experiments import Bench, Verify
from aspengate.cli._explain import Explain
from aspengate.cli._invoice import Invoice
from aspengate.cli._losses import Losses
from aspengate.cli._pages import Pages
from aspengate.cli._table import Table
from aspengate.errors import AspengateError, ErrorKind

_USAGE_EXIT = 2
_FAILURE_EXIT = 1
# Optional libraries, with the extra of this package that installs each of them.
_EXTRA_BY_LIBRARY = {"z3": "verify", "matplotlib": "plot"}


@cappa.command(
    name="aspengate", description="Route requests of many small services within budgets."
)
@dataclass
class Aspengate:
    """Groups all subcommands."""

    command: cappa.Subcommands[
        Router
        | Gateway
        | Agent
        | StandIn
        | Check
        | Table
        | Invoice
        | Demo
        | Bench
        | Verify
        | Explain
        | Losses
        | Pages
    ]


def main() -> None:
    """Run the command line.

    Exits with 2 on bad input, bad settings or a missing library, and with 1 on other errors.
    """
    try:
        cappa.invoke(Aspengate, version=__version__)
    except AspengateError as error:
        sys.stderr.write(f"aspengate: {error.kind.value}: {error}\n")
        is_usage_error = error.kind in {ErrorKind.BAD_REQUEST, ErrorKind.TOO_LARGE}
        sys.exit(_USAGE_EXIT if is_usage_error else _FAILURE_EXIT)
    except ModuleNotFoundError as error:
        extra = _EXTRA_BY_LIBRARY.get(error.name or "")
        if extra is None:
            raise
        sys.stderr.write(
            f"aspengate: {error.name} is not installed; it comes with the extra {extra}: "
            f"pip install 'aspengate[{extra}]'\n"
        )
        sys.exit(_USAGE_EXIT)
