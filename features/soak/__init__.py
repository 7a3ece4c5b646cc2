"""A randomized soak test: real gateway processes, injected faults, and invariants to check."""

from soak.invariants import find_violations
from soak.plan import Fault, draw_plan
from soak.run import SoakRun

__all__ = ["Fault", "SoakRun", "draw_plan", "find_violations"]
