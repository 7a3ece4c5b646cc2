"""Set-up and tear-down of the scenarios."""

import contextlib
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


def after_step(context, step):
    if step.status == "failed" and hasattr(context, "fleet"):
        for router in getattr(context.fleet, "routers", ()):
            print(router.name)
            for line in router.lines:
                print("   ", line)
