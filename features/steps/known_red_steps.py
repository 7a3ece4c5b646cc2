"""Steps for the list of scenarios that are known to fail."""

import importlib.util
import json
import sys
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).resolve().parent.parent.parent
ENTRY = "f.feature: {} | a cause | 1"


def load_verdict():
    spec = importlib.util.spec_from_file_location("verdict", ROOT / ".ci" / "verdict.py")
    module = importlib.util.module_from_spec(spec)
    sys.modules["verdict"] = module
    spec.loader.exec_module(module)
    return module


@given('a run in which "{scenario}" {result}')
def run_with(context, scenario, result):
    context.verdict = load_verdict()
    context.results = {("f.feature", "other"): True}
    if result != "did not run":
        context.results["f.feature", scenario] = result == "passed"
    context.exit_code = int(result == "failed")
    context.listed = ""


@given('the results of a run in which the row "{name}" of an outline failed')
def run_with_row(context, name):
    context.verdict = load_verdict()
    result = {"status": "failed", "error_message": ["a" * 9_000, "ASSERT FAILED: 3 of 2"]}
    step = {"name": "it holds", "location": "f.feature:3", "result": result}
    elements = [
        {"type": "scenario", "name": name, "status": "failed", "steps": [step]},
        {"type": "scenario", "name": "other", "status": "passed", "steps": []},
    ]
    context.results_text = json.dumps([{"location": "f.feature:1", "elements": elements}])
    context.results = context.verdict.read_results(context.results_text)
    context.exit_code = 1


@then("its step is printed with the end of the error message")
def step_printed(context):
    found = list(context.verdict.read_failures(context.results_text))
    assert len(found) == 1, found
    assert found[0].startswith("f.feature:3: it holds: a"), found[0][:80]
    assert found[0].endswith("ASSERT FAILED: 3 of 2") and len(found[0]) < 2_100, len(found[0])


@when('the list contains "{listed}"')
def list_contains(context, listed):
    if listed != "none":
        context.listed = ENTRY.format(listed)


@when("the run itself exits with 1")
def run_exits(context):
    context.exit_code = 1


@then("the verdict is {verdict}, with {failed:d} failed")
def verdict_is(context, verdict, failed):
    known = context.verdict.parse_list(context.listed)
    found = context.verdict.evaluate(context.results, known, context.exit_code)
    assert (not found.problems) == (verdict == "green"), found
    assert found.failed == failed, found


@then("a list of four lines and a list without a cause are rejected")
def bad_lists_rejected(context):
    verdict = load_verdict()
    for text in ("\n".join([ENTRY.format("a")] * 4), "f.feature: a | 1"):
        try:
            verdict.parse_list(text)
        except ValueError:
            continue
        raise AssertionError(text)
