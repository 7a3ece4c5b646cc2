"""Fault schedules of soak runs, derived from the seed alone."""

import random
from dataclasses import dataclass

# Fault kinds with their relative frequencies. Recorded seeds are regression cases: the order and
# the weights of all kinds in this module must not change.
FAULT_WEIGHTS = {
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
# Runs with routers of two builds also draw faults in which replicas report their own state. These
# kinds are kept apart so that the schedules drawn from ``FAULT_WEIGHTS`` stay the same.
UPGRADE_FAULT_WEIGHTS = {**FAULT_WEIGHTS, "leave": 8, "rest": 8, "lapse": 3, "start again": 3}
# Runs in which the store is restored from copies never kill all routers together: no process would
# be left that has a record of the tokens granted in the lost seconds.
RESTORE_FAULT_WEIGHTS = {
    **{kind: weight for kind, weight in FAULT_WEIGHTS.items() if kind not in ("kill all", "storm")},
    "come back": 6,
    "evacuate": 2,
}
# Runs with a crashing prompt segment need the store to be reachable for most of the time.
CRASHING_FAULT_WEIGHTS = {
    kind: weight for kind, weight in FAULT_WEIGHTS.items() if kind not in ("replicas", "storm")
}
STORE_FAULTS = ("busy", "reset", "silent", "mute", "slow", "lose")
REPLICA_FAULTS = ("refuse", "fail", "lose", "stall", "mute", "surplus", "break off")
# Time without faults at the start of a run.
FIRST_FAULT_S = 2.0
# The upgrade of all routers takes this fraction of a run, and so does the rollback.
UPGRADE_FRACTION = 0.35


@dataclass(frozen=True)
class Fault:
    """A fault that is injected ``start_s`` into the run and lasts ``duration_s``.

    ``router`` is the index of the affected router. Kinds that concern replicas use it to choose the
    service. ``variant`` selects the form of the fault, for kinds that have several.
    """

    start_s: float
    kind: str
    router: int
    duration_s: float
    variant: str = ""

    def describe(self):
        """Return the fault as one line of a report."""
        return (
            f"{self.start_s:6.2f} s  {self.kind} {self.variant} router {self.router}, "
            f"{self.duration_s:.1f} s"
        )


def draw_upgrade(seed, seconds, routers):
    """Return the faults of a run that replaces each router by another build and rolls back."""
    faults = draw_plan(seed, seconds, routers, UPGRADE_FAULT_WEIGHTS)
    step_s = seconds * UPGRADE_FRACTION / routers
    for build, first_at in (("new", 0.1), ("old", 0.55)):
        for router in range(routers):
            start_s = seconds * first_at + router * step_s
            faults.append(Fault(start_s, "replace", router, step_s, build))
    return sorted(faults, key=lambda fault: fault.start_s)


def draw_restored(seed, seconds, routers):
    """Return the faults of a run in which the store is restored from earlier copies."""
    return draw_plan(seed, seconds, routers, RESTORE_FAULT_WEIGHTS)


def draw_crashing(seed, seconds, routers):
    """Return the faults of a run in which a prompt segment crashes engine replicas."""
    return draw_plan(seed, seconds, routers, CRASHING_FAULT_WEIGHTS)


def draw_plan(seed, seconds, routers, weights=None):
    """Return the faults of a run, sorted by start time. Faults may overlap and come in series."""
    weights = weights or FAULT_WEIGHTS
    rng = random.Random(seed)
    faults = []
    start_s = FIRST_FAULT_S
    while start_s < seconds:
        kind = rng.choices(list(weights), list(weights.values()))[0]
        faults += draw_series(rng, kind, start_s, routers)
        start_s += rng.uniform(0.3, 5.0)
    return sorted(
        (fault for fault in faults if fault.start_s < seconds), key=lambda fault: fault.start_s
    )


def draw_storm(rng, start_s):
    """Return simultaneous faults: replicas and store fail while all routers keep restarting."""
    # These store faults still answer reads. A router that starts without reading a configuration
    # serves no requests, so the storm would test nothing.
    variant = rng.choice(("lose", "lose", "slow"))
    return [
        Fault(start_s, "storm", 0, 6.0),
        Fault(start_s, "store of all", 0, 6.0, variant),
        Fault(start_s, "replicas", 0, 6.0, "refuse"),
        *(Fault(start_s + number * 1.4, "kill all", 0, 0.5) for number in range(4)),
    ]


def draw_series(rng, kind, start_s, routers):
    """Return one or more faults of a kind; only kills are repeated."""
    if kind == "storm":
        return draw_storm(rng, start_s)
    variant, max_duration_s = "", 6.0
    if kind.startswith("store"):
        variant, max_duration_s = rng.choice(STORE_FAULTS), 12.0
    elif kind == "replicas":
        variant = rng.choice(REPLICA_FAULTS)
    count = rng.choice((1, 1, 2, 4)) if kind.startswith("kill") else 1
    gap_s = rng.uniform(0.8, 2.0)
    router = rng.randrange(routers)
    return [
        Fault(start_s + number * gap_s, kind, router, rng.uniform(0.5, max_duration_s), variant)
        for number in range(count)
    ]
