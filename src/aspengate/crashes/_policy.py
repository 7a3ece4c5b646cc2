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
    """The bounds on requests under which replicas end.

    After ``suspect_ends`` replicas a request is only tried alone, after ``refused_ends`` it is
    refused. There are at most ``most_tries``; one whose router says nothing is over after
    ``try_ms``, and after a refusal the next one comes ``wait_ms`` later, then four times as late.
    Up to 64 requests run at a replica that ends, and some of them beside the cause again. Of 117
    requests that had met an end and were not the cause, two ends would have refused 44, three 11
    (one day without any refusal, 4 routers, counted from their lines by account and size).
    """

    suspect_ends: int = 2
    refused_ends: int = 3
    most_tries: int = 3
    try_ms: float = 20_000.0
    wait_ms: float = 600_000.0
    wait_growth: float = 4.0
