"""A randomized run of real gateways under faults from outside, with what must hold checked."""

from soak.plan import Fault, draw_plan
from soak.promises import broken_promises
from soak.run import Soak

__all__ = ["Fault", "Soak", "broken_promises", "draw_plan"]
