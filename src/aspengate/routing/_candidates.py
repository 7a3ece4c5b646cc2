"""What a router knows of one upstream."""

from dataclasses import dataclass, field

import msgspec

from aspengate.adapters import Instance
from aspengate.limits import AdaptiveLimit
from aspengate.transport import LoadReport


@dataclass
class UpstreamState:
    """One upstream as this router sees it; it is changed on the request path.

    ``in_flight`` counts this router's own requests there, ``others_in_flight`` those of other
    routers, smoothed over its reports. ``last_activity_ms`` is when its agent last spoke to us.
    """

    instance: Instance
    weight: float = 1.0
    max_concurrency: int = 0
    in_flight: int = 0
    report: LoadReport = field(default_factory=LoadReport)
    report_received_ms: float = 0.0
    others_in_flight: float = 0.0
    last_activity_ms: float = 0.0
    joined_ms: float = 0.0
    failures: int = 0
    ejected_until_ms: float = 0.0
    leaving: bool = False
    limit: AdaptiveLimit = field(default_factory=AdaptiveLimit)


class Candidate(msgspec.Struct, frozen=True):
    """An upstream that may be chosen, with the figures that a policy weighs.

    ``expected_wait`` is in requests ahead per unit of weight; ``prefix_hits`` in prompt blocks
    that it probably holds; ``distance`` is 0 in our failure domain, 1 in our region, 2 beyond.
    """

    state: UpstreamState
    expected_wait: float
    prefix_hits: int
    distance: int
