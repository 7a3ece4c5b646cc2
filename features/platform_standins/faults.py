"""Faults of a bad version: which requests of a replica get which behaviour."""

import random
import time
from dataclasses import dataclass, field


@dataclass
class VersionFault:
    """Replaces the behaviour of the ``fraction`` of requests that a replica receives.

    Only requests whose target begins with ``prefix`` are concerned, from ``after_s`` seconds after
    ``started_s`` (monotonic) on, and only while more than ``over_in_flight`` requests are in
    progress at the replica. One object may be shared by all replicas of a version. ``hits`` holds
    the time at which each concerned request was received.
    """

    behaviour: str
    fraction: float = 1.0
    prefix: str = "/"
    after_s: float = 0.0
    over_in_flight: int = 0
    seed: int = 1
    started_s: float = field(default_factory=time.monotonic)
    hits: list[float] = field(default_factory=list)

    def __post_init__(self):
        self._random = random.Random(self.seed)

    def applies(self, request, in_flight):
        """Return whether a request gets the behaviour; ``in_flight`` includes the request."""
        if not request.target.startswith(self.prefix) or in_flight <= self.over_in_flight:
            return False
        if request.at_s < self.started_s + self.after_s or self._random.random() >= self.fraction:
            return False
        self.hits.append(request.at_s)
        return True
