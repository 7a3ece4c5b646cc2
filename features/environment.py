"""Sets up and tears down the scenarios, and saves the routers' logs of failed steps."""

import contextlib
import json
import os
import sys
from pathlib import Path

from hypothesis import HealthCheck, settings

sys.path.insert(0, str(Path(__file__).resolve().parent))

settings.register_profile(
    "aspengate",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=100,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("aspengate")


def before_scenario(context, scenario):
    context.cleanup = contextlib.ExitStack()


def after_scenario(context, scenario):
    context.cleanup.close()


def router_processes(context):
    """Return the routers of a scenario that run as processes; others have no log lines."""
    return [each for each in getattr(context.fleet, "routers", ()) if hasattr(each, "lines")]


def save_router_logs(context, step):
    """Write the routers' log lines to ASPENGATE_FAILURES, a folder that CI keeps, if it is set."""
    folder = os.environ.get("ASPENGATE_FAILURES")
    if not folder:
        return
    target = Path(folder) / str(step.location).replace("/", "_").replace(":", "-")
    target.mkdir(parents=True, exist_ok=True)
    for number, router in enumerate(router_processes(context), 1):
        lines = "\n".join(json.dumps(line) for line in router.lines)
        (target / f"{number}-{router.name}.log").write_text(lines, encoding="utf-8")


def after_step(context, step):
    if step.status in ("failed", "error") and hasattr(context, "fleet"):
        save_router_logs(context, step)
        for router in router_processes(context):
            print(router.name)
            for line in router.lines:
                print("   ", line)
