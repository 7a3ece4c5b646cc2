"""Steps that check the source files."""

import ast
import re
from pathlib import Path

from behave import then, when

SOURCE = Path(__file__).resolve().parent.parent.parent / "src" / "aspengate"
PLATFORM = SOURCE / "platform"
PLATFORM_NAMES = (
    "x-expect", "x-server-stamp", "x-not-executed", "x-token-count", "x-prefix-hash",
    "x-deadline", "x-request-priority", "x-tenant", "x-weight", "x-pin", "x-hold", "x-kv",
    "kv-", "pathprefix", "apikeys", "configversion", "sincerev", "servers/", "op/config",
    "timeoutms", "targetlatency", "maxattempts", "gapaim", "healthpath", "maxconns",
    "expectedrev", "waitms", "coldremaining", "tenant", "aspengate_boot.toml",
    "server-leaving", "server-limit", "op/rollout", "status/rollout", "targetversion",
)  # fmt: skip
DEPLOYMENT_NUMBERS = (
    r"(?<![\d_.])(418_?121|515_?867|0\.817|0\.86|13_?300|3_?720|217|190_?000)(?![\d_.])"
)


def sources():
    return [path for path in SOURCE.rglob("*.py") if PLATFORM not in path.parents]


@when("the sources outside the platform package are searched for the platform's names")
def search_names(context):
    context.found = [
        (path.name, number, line.strip())
        for path in sources()
        for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1)
        for name in PLATFORM_NAMES
        if name in line.lower()
    ]


@then("none is found")
def none_found(context):
    assert not context.found, context.found


def imports(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom):
            yield node.module or ""
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


@when("the imports of the platform package are collected")
def collect_imports(context):
    context.importers = {
        path.relative_to(SOURCE).as_posix()
        for path in sources()
        if any(name.startswith("aspengate.platform") for name in imports(path))
    }
    context.used = {name for path in PLATFORM.glob("*.py") for name in imports(path)}


@then("only the module that assembles a gateway imports the package")
def one_importer(context):
    assert context.importers == {"deployed.py"}, context.importers
    lines = sum(len(path.read_text().splitlines()) for path in PLATFORM.glob("*.py"))
    assert lines < 800, lines


@then("it imports no threads, clocks or random numbers")
def no_threads(context):
    assert not context.used & {"time", "random", "concurrent.futures"}, context.used


@when("the sources are searched for the numbers of the deployments")
def search_deployment_numbers(context):
    context.found = [
        (path.name, line.strip())
        for path in sources()
        if "experiments" not in path.parts
        for line in path.read_text(encoding="utf-8").splitlines()
        if re.search(DEPLOYMENT_NUMBERS, line)
    ]


@then("no source file contains one")
def no_deployment_number(context):
    assert not context.found, context.found


ROOT = SOURCE.parent.parent
FILE_REFERENCE = re.compile(
    r"[A-Za-z_][A-Za-z_./-]*\.md\b|(?:bench|features|deploy)/[A-Za-z_/]+\.py"
)


def base_folders(path):
    """Return the folders to which a file reference may be relative."""
    return (path.parent, ROOT, ROOT / "docs", ROOT / "docs" / "operate")


@when("the pages, the deploy files and the sources are searched for file references")
def search_file_references(context):
    pages = [ROOT / "README.md", *(ROOT / "docs").rglob("*.md"), *(ROOT / "deploy").iterdir()]
    texts = [*pages, *SOURCE.rglob("*.py")]
    context.missing = [
        (path.relative_to(ROOT).as_posix(), name)
        for path in texts
        if path.is_file()
        for name in FILE_REFERENCE.findall(path.read_text(encoding="utf-8"))
        if not any((folder / name).exists() for folder in base_folders(path))
    ]


@then("each of those files exists")
def files_exist(context):
    assert not context.missing, context.missing
