"""What happens in a run, drawn from its seed alone."""

import random
from dataclasses import dataclass

# How often each kind is drawn, beside the others.
KINDS = {
    "kill": 4,
    "kill all": 4,
    "terminate": 2,
    "stop": 3,
    "hang up": 1,
    "store": 4,
    "store of all": 5,
    "replicas": 6,
    "replica crashes": 2,
    "key": 1,
}
STORE_FAULTS = ("busy", "reset", "silent", "mute", "slow", "lose")
REPLICA_FAULTS = ("refuse", "fail", "lose", "stall", "mute", "surplus", "break off")
QUIET_S = 2.0


@dataclass(frozen=True)
class Fault:
    """One thing that goes wrong at ``at_s`` for ``for_s``; ``how`` tells in which way."""

    at_s: float
    kind: str
    router: int
    for_s: float
    how: str = ""

    def told(self):
        return (
            f"{self.at_s:6.2f} s  {self.kind} {self.how} router {self.router}, {self.for_s:.1f} s"
        )


def draw_plan(seed, seconds, routers):
    """Return the faults of a run in order; they overlap, and come in series."""
    chance = random.Random(seed)
    faults = []
    at_s = QUIET_S
    while at_s < seconds:
        kind = chance.choices(list(KINDS), list(KINDS.values()))[0]
        faults += series(chance, kind, at_s, routers)
        at_s += chance.uniform(0.2, 2.5)
    return sorted((each for each in faults if each.at_s < seconds), key=lambda each: each.at_s)


def series(chance, kind, at_s, routers):
    how, longest_s = "", 6.0
    if kind.startswith("store"):
        how, longest_s = chance.choice(STORE_FAULTS), 12.0
    elif kind == "replicas":
        how = chance.choice(REPLICA_FAULTS)
    times = chance.choice((1, 1, 2, 4)) if kind.startswith("kill") else 1
    gap_s = chance.uniform(0.8, 2.0)
    first = chance.randrange(routers)
    return [
        Fault(at_s + number * gap_s, kind, first, chance.uniform(0.5, longest_s), how)
        for number in range(times)
    ]
