"""What happens in a run, drawn from its seed alone."""

import random
from dataclasses import dataclass

# How often each kind is drawn, beside the others.
KINDS = {
    "kill": 4,
    "kill all": 1,
    "terminate": 2,
    "stop": 3,
    "hang up": 1,
    "store": 4,
    "store of all": 3,
    "replicas": 6,
    "replica crashes": 2,
    "key": 1,
    "storm": 3,
}
# While routers of two builds run side by side replicas also speak for themselves. The plans of the
# kinds above stay as they are: their seeds are regression cases.
SPEAKING_KINDS = {**KINDS, "leave": 8, "rest": 8, "lapse": 3, "start again": 3}
# While the store comes back from copies not all routers die together: nobody knows then what was
# granted in the lost seconds.
RESTORED_KINDS = {
    **{kind: weight for kind, weight in KINDS.items() if kind not in ("kill all", "storm")},
    "come back": 6,
    "evacuate": 2,
}
STORE_FAULTS = ("busy", "reset", "silent", "mute", "slow", "lose")
REPLICA_FAULTS = ("refuse", "fail", "lose", "stall", "mute", "surplus", "break off")
QUIET_S = 2.0
# An upgrade takes this part of a run, and so does the way back.
UPGRADE_PART = 0.35


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


def draw_upgrade(seed, seconds, routers):
    """Return the faults of a run in which each router is replaced by another build, and back."""
    faults = draw_plan(seed, seconds, routers, SPEAKING_KINDS)
    step_s = seconds * UPGRADE_PART / routers
    for way, begin in (("new", 0.1), ("old", 0.55)):
        for router in range(routers):
            at_s = seconds * begin + router * step_s
            faults.append(Fault(at_s, "replace", router, step_s, way))
    return sorted(faults, key=lambda each: each.at_s)


def draw_restored(seed, seconds, routers):
    """Return the faults of a run in which the store comes back from copies."""
    return draw_plan(seed, seconds, routers, RESTORED_KINDS)


def draw_plan(seed, seconds, routers, kinds=None):
    """Return the faults of a run in order; they overlap, and come in series."""
    kinds = kinds or KINDS
    chance = random.Random(seed)
    faults = []
    at_s = QUIET_S
    while at_s < seconds:
        kind = chance.choices(list(kinds), list(kinds.values()))[0]
        faults += series(chance, kind, at_s, routers)
        at_s += chance.uniform(0.3, 5.0)
    return sorted((each for each in faults if each.at_s < seconds), key=lambda each: each.at_s)


def storm(chance, at_s):
    """Return what strikes all at once: replicas and store fail while all routers start again."""
    # A store that still reads lets routers start: without a configuration they serve nothing.
    how = chance.choice(("lose", "lose", "slow"))
    return [
        Fault(at_s, "storm", 0, 6.0),
        Fault(at_s, "store of all", 0, 6.0, how),
        Fault(at_s, "replicas", 0, 6.0, "refuse"),
        *(Fault(at_s + number * 1.4, "kill all", 0, 0.5) for number in range(4)),
    ]


def series(chance, kind, at_s, routers):
    if kind == "storm":
        return storm(chance, at_s)
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
