"""Pages of the documentation that are made from the code."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from aspengate.agent import AgentSettings
from aspengate.errors import ERROR_RESPONSES, ErrorKind
from aspengate.experiments import capacity_page, read_sweeps
from aspengate.gateway import GatewaySettings
from aspengate.router import RouterSettings
from aspengate.settings import settings_page
from aspengate.standins import StandInSettings

SLOPES_FILE = Path("measurements") / "capacity-slopes.json"
SWEEPS_FILE = Path("measurements") / "sweeps.json"


def documentation_pages(folder: Path) -> dict[Path, str]:
    """Return the text of each generated page by its path below the documentation's folder.

    The capacity page follows from the slopes and sweeps that are committed there.
    """
    slopes = msgspec.json.decode((folder / SLOPES_FILE).read_bytes(), type=dict[str, float])
    sweeps = read_sweeps((folder / SWEEPS_FILE).read_bytes())
    sections = [
        settings_page("Router", RouterSettings),
        settings_page("Gateway", GatewaySettings),
        settings_page("Agent", AgentSettings),
        settings_page("Stand-ins", StandInSettings),
    ]
    settings = (
        "# Settings\n\nEach process reads one INI file. This page is made by `aspengate docs`.\n\n"
        + "\n".join(sections)
    )
    return {
        Path("operate") / "settings.md": settings,
        Path("operate") / "errors.md": _errors_page(),
        Path("CAPACITY.md"): capacity_page(slopes, sweeps),
    }


@cappa.command(name="docs", description="Write the documentation pages made from the code.")
@dataclass
class Pages:
    """Write the pages into a folder."""

    folder: Annotated[Path, cappa.Arg(help="the documentation's folder, docs")]

    def __call__(self) -> None:
        """Write the pages."""
        for name, text in documentation_pages(self.folder).items():
            (self.folder / name).write_text(text, encoding="utf-8")


_MEANINGS: dict[ErrorKind, str] = {
    ErrorKind.BAD_REQUEST: "the request can't be read; the message names the place",
    ErrorKind.UNAUTHENTICATED: "no key, or one that the table does not know",
    ErrorKind.FORBIDDEN: "the operator may read but not edit",
    ErrorKind.NOT_FOUND: "no such service, budget or page",
    ErrorKind.TOO_LARGE: "the body or the table is above its bound",
    ErrorKind.CONFLICT: "someone else changed the row or table first",
    ErrorKind.RATE_LIMITED: "above the account's or the service's limit in the table",
    ErrorKind.BUDGET_EXHAUSTED: "the budget can't pay the request's upper bound",
    ErrorKind.BUDGET_UNAVAILABLE: "the budget has money, but it can't be had here now",
    ErrorKind.NOT_CONFIGURED: "this router knows no configuration yet",
    ErrorKind.NO_UPSTREAM: "no upstream of the service is live",
    ErrorKind.OVERLOADED: "every upstream of the service is at its limit",
    ErrorKind.WARMING_UP: "every upstream of the service may be cold and has got its share",
    ErrorKind.RESTING: "every replica of the service that may be used asked for rest",
    ErrorKind.AT_LIMIT: "every usable replica of the service has got what its limit allows",
    ErrorKind.SUSPECTED: "replicas ended under this request; another router tries it now",
    ErrorKind.QUARANTINED: "too many replicas ended under this request; it is not sent on",
    ErrorKind.DEADLINE_EXCEEDED: "the deadline passed before the request started",
    ErrorKind.LEAVING: "this router or agent is being stopped",
    ErrorKind.FENCED: "the money or claim of the request had lapsed; the router was told to stop",
    ErrorKind.UPSTREAM_FAILED: "the upstream failed during the run; nothing is billed",
    ErrorKind.CLAIM_UNAVAILABLE: "nobody can say now whether the key was used; retry with it",
    ErrorKind.OUTCOME_UNKNOWN: "the request may have run; with a key, a retry tells",
    ErrorKind.STORE_UNAVAILABLE: "the platform's store does not answer",
    ErrorKind.CALLER_GONE: "the caller closed its connection; nobody gets this answer",
    ErrorKind.INTERNAL: "a fault of the fleet's own",
}


def _errors_page() -> str:
    lines = [
        "# What each refusal means",
        "",
        'Every error is a JSON object `{"error": {code, message, run_state, request_id}}`. A',
        "`run_state` of `not_run` is a promise that the request did not run and will not. With an",
        "`Idempotency-Key`, errors that come before the key's owner has decided say `unknown`,",
        "since an earlier attempt with it may have run. This page is made by `aspengate docs`.",
        "",
        "| code | HTTP status | run_state | Retry-After, s | meaning |",
        "|---|--:|---|--:|---|",
    ]
    for kind, answer in ERROR_RESPONSES.items():
        retry = "-" if answer.retry_after_s is None else str(answer.retry_after_s)
        lines.append(
            f"| {kind.value} | {answer.status} | {answer.run_state.value} | {retry} "
            f"| {_MEANINGS[kind]} |"
        )
    return "\n".join(lines) + "\n"
