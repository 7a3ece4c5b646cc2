"""Compares the results of a test run with the list of scenarios that are known to fail.

    python .ci/verdict.py RESULTS.json KNOWN-RED.txt EXIT-CODE-OF-THE-RUN

A line of the list is ``FEATURE-FILE: SCENARIO | CAUSE | ISSUE``. Prints the listed scenarios that
failed and a closing line. Exits with 1 if a scenario failed that is not listed, a listed scenario
passed or did not run, no scenario ran, or the run itself failed although no scenario did.
"""

import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

MAX_ENTRIES = 3
# Only the end of a failed step's message is printed: the assertion and the values found, without
# the log lines of all routers before it.
MAX_MESSAGE_CHARS = 2_000
_FAILED = frozenset({"failed", "error"})


@dataclass(frozen=True)
class KnownRed:
    """Holds one entry of the list of known failures."""

    feature: str
    scenario: str
    cause: str
    issue: str

    @classmethod
    def parse(cls, line: str) -> "KnownRed":
        """Parse one line of the list; raises ValueError if it has another format."""
        scenario, cause, issue = (part.strip() for part in line.split(" | "))
        feature, _, name = scenario.partition(": ")
        if not (name and cause and issue):
            raise ValueError(f"not FEATURE-FILE: SCENARIO | CAUSE | ISSUE: {line}")
        return cls(feature, name, cause, issue)


@dataclass(frozen=True)
class Verdict:
    """Holds the result of a run; ``problems`` is empty if the run counts as passed."""

    passed: int
    failed: int
    red: tuple[KnownRed, ...]
    problems: tuple[str, ...]


def parse_list(text: str) -> list[KnownRed]:
    """Return the entries of a list; raises ValueError if one is malformed or there are too many."""
    found = [KnownRed.parse(line) for line in text.splitlines() if line.strip()]
    if len(found) > MAX_ENTRIES:
        raise ValueError(f"{len(found)} lines, {MAX_ENTRIES} at most")
    return found


def evaluate(
    results: dict[tuple[str, str], bool], listed: Iterable[KnownRed], exit_code: int
) -> Verdict:
    """Return the verdict on a test run.

    ``results`` maps feature file and scenario to whether it passed; ``exit_code`` is the exit code
    of the run.
    """
    listed = tuple(listed)
    names = {(each.feature, each.scenario) for each in listed}
    failed = [name for name, is_passed in results.items() if not is_passed and name not in names]
    problems = [f"failed: {feature}: {name}" for feature, name in failed]
    for each in listed:
        is_passed = results.get((each.feature, each.scenario))
        if is_passed is not False:
            state = "did not run" if is_passed is None else "passes"
            problems.append(f"listed as red, but {state}: {each.feature}: {each.scenario}")
    if not results:
        problems.append("no scenario ran")
    if exit_code and all(results.values()):
        problems.append(f"the run ended with {exit_code}, though no scenario failed")
    red = tuple(each for each in listed if results.get((each.feature, each.scenario)) is False)
    passed = sum(1 for is_passed in results.values() if is_passed)
    return Verdict(passed, len(failed), red, tuple(problems))


def read_results(text: str) -> dict[tuple[str, str], bool]:
    """Return whether each scenario passed, by file and scenario, from the JSON report of behave."""
    results = {}
    for feature in json.loads(text):
        path = feature["location"].rpartition(":")[0]
        for element in feature.get("elements", ()):
            if element["type"] == "background" or element.get("status") == "skipped":
                continue
            # behave ends the name of an outline's row with a blank; list entries are stripped.
            results[path, element["name"].strip()] = element.get("status") == "passed"
    return results


def read_failures(text: str) -> Iterator[str]:
    """Yield a line with the error message for each failed step in the JSON report of behave."""
    for feature in json.loads(text):
        for element in feature.get("elements", ()):
            for step in element.get("steps", ()):
                result = step.get("result", {})
                if result.get("status") not in _FAILED:
                    continue
                message = result.get("error_message", "")
                error = "\n".join(message) if isinstance(message, list) else str(message)
                yield f"{step['location']}: {step['name']}: {error[-MAX_MESSAGE_CHARS:].strip()}"


def main(results_path: str, list_path: str, exit_code: str) -> int:
    """Print the verdict and return the exit code."""
    listed = Path(list_path)
    known = parse_list(listed.read_text(encoding="utf-8")) if listed.exists() else []
    results = read_results(Path(results_path).read_text(encoding="utf-8"))
    verdict = evaluate(results, known, int(exit_code))
    for failure in read_failures(Path(results_path).read_text(encoding="utf-8")):
        print(failure)
    for each in verdict.red:
        print(f"known red: {each.feature}: {each.scenario} | {each.cause} | issue {each.issue}")
    for problem in verdict.problems:
        print(problem)
    print(f"{verdict.passed} passed, {verdict.failed} failed")
    return 1 if verdict.problems else 0


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
