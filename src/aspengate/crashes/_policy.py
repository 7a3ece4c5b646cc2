"""How often a request may end a replica before it is refused."""

import enum
from dataclasses import dataclass


class Verdict(enum.Enum):
    """What may be done with a request now.

    ``SEND`` it as any other; ``TRY`` it once, alone in the fleet, after that was recorded;
    ``WAIT`` since another router tries it; ``REFUSE`` it.
    """

    SEND = "send"
    TRY = "try"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True)
class CrashPolicy:
    """The bounds on requests under which replicas end; durations are in ms.

    After ``suspect_ends`` replicas a request is only tried alone. Up to 64 requests run at a
    replica that ends, and some of them beside the cause again: of 117 requests that had met an end
    and were not the cause, 44 had met two and 11 three (one day without any refusal, 4 routers,
    counted from their lines by account and size). So two ends alone refuse nobody.

    A try that ends its replica is followed by a pause of ``ended_ms``, the next one by one
    ``growth`` times as long, and after ``most_ended`` of them there are no more. A try shows
    nothing where its caller left, or where ``mass_ends`` other replicas ended within ``mass_ms`` of
    its own, as when a rack loses power. It may be made again after ``pause_ms``, from ``few_tries``
    on after ``many_ms``. A try whose router says nothing is over after ``try_ms``, which is longer
    than requests usually last.
    """

    suspect_crashes: int = 2
    max_crashed_trials: int = 3
    crash_pause_ms: float = 60_000.0
    crash_pause_factor: float = 10.0
    mass_crash_replicas: int = 3
    mass_crash_window_ms: float = 100.0
    quick_trials: int = 3
    short_pause_ms: float = 1_000.0
    long_pause_ms: float = 600_000.0
    trial_timeout_ms: float = 20_000.0

    def pause_after(self, tries: int, ended: int, *, has_ended: bool) -> float:
        """Return how long no router tries a request after its last try, in ms."""
        if has_ended:
            return self.crash_pause_ms * self.crash_pause_factor ** max(0, ended - 1)
        return self.short_pause_ms if tries < self.quick_trials else self.long_pause_ms
