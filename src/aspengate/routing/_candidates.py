"""Defines the state of an upstream and the candidate that a policy scores."""

from dataclasses import dataclass, field

import msgspec

from aspengate.adapters import Instance
from aspengate.limits import AdaptiveLimit
from aspengate.transport import LoadReport


@dataclass
class UpstreamState:
    """Holds this router's view of one upstream; it is modified on the request path.

    ``in_flight`` is the number of this router's own requests at the upstream,
    ``others_in_flight`` that of the other routers, smoothed over the agent's load reports.
    ``last_activity_ms`` is when this router last received something from the agent.
    ``joined_ms`` is when the upstream was added, and ``failures`` the number of failed requests
    in a row. All times are monotonic, in ms.
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
    """Holds an upstream that may be chosen, with the figures that a policy compares.

    ``expected_wait`` is the number of requests queued ahead per unit of weight. ``prefix_hits`` is
    the number of leading prompt blocks that the upstream probably has cached. ``distance`` is 0 in
    the router's failure domain, 1 elsewhere in its region and 2 in other regions.
    """

    state: UpstreamState
    expected_wait: float
    prefix_hits: int
    distance: int
