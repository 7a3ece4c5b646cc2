"""Plays days of the users' bench and prints a table: worth, and the rules that a day broke.

    python bench/play_days.py BENCH --site SITE [--site SITE] --why "..." [--jobs N] DAY...

BENCH is the users' bench program and SITE a site file of theirs. DAY is a day file, such as
those in ``deploy/days``, or the name of a standard day. Exits with 1 where a rule was broken or a
day could not be played; the whole report of such a day is printed.
"""

import argparse
import re
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

_WORTH = re.compile(r"^worth (-?[\d.]+) = ", re.MULTILINE)
_ROW = re.compile(r"^\S+ +\d+/\d+ .*$", re.MULTILINE)
_RULES = [
    "MIXED",
    "UNASKED",
    "TWICE",
    "REFUSED",
    "DENIED",
    "BUDGET",
    "GONE",
    "LOST",
    "CONFIG",
    "ROUTE",
    "DRAIN",
    "ORDER",
    "RECOVER",
    "EVAC",
    "FAILBACK",
    "HOME",
]


@dataclass(frozen=True)
class Played:
    """One day on one site, with the bench's report."""

    site: str
    day: str
    report: str

    @property
    def worth(self) -> str:
        """The day's worth as the bench prints it; empty where it was not played to its end."""
        found = _WORTH.search(self.report)
        return found.group(1) if found else ""

    @property
    def broken(self) -> list[str]:
        """The rules that the report names as broken."""
        lines = [line for line in self.report.splitlines() if not line.startswith("  -")]
        return [rule for rule in _RULES if any(rule in line for line in lines)]

    @property
    def is_clean(self) -> bool:
        """Whether the day was played to its end and broke nothing."""
        return bool(self.worth) and not self.broken and "fault" not in self.headline

    @property
    def headline(self) -> str:
        """The bench's row for the day."""
        found = _ROW.search(self.report)
        return found.group(0) if found else ""


def play(bench: str, site: str, day: str, why: str) -> Played:
    """Play one day."""
    command = [bench, "run", site, day, "--jobs", "1", "--why", why]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    return Played(Path(site).stem, Path(day).stem, done.stdout + done.stderr)


def main() -> int:
    """Play all days on all sites."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("bench")
    parser.add_argument("days", nargs="+")
    parser.add_argument("--site", action="append", required=True)
    parser.add_argument("--why", required=True)
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    pairs = [(site, day) for day in options.days for site in options.site]
    clean = 0
    with ThreadPoolExecutor(options.jobs) as pool:
        jobs = [pool.submit(play, options.bench, *pair, options.why) for pair in pairs]
        for job in jobs:
            played = job.result()
            clean += played.is_clean
            verdict = "clean" if played.is_clean else ", ".join(played.broken) or "not played"
            print(f"{played.day:34} {played.site:22} {played.worth:>7} {verdict}", flush=True)
            if not played.is_clean:
                print(played.report, flush=True)
    print(f"{clean} of {len(pairs)} days clean")
    return 0 if clean == len(pairs) else 1


if __name__ == "__main__":
    sys.exit(main())
