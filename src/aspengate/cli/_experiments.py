"""``aspengate bench`` and ``aspengate verify``."""

from dataclasses import dataclass

import cappa


@cappa.command(description="Measure the decisions on seeded workloads.")
@dataclass
class Bench:
    """Not made yet."""


@cappa.command(description="Check the core protocol on a small specification.")
@dataclass
class Verify:
    """Not made yet."""
