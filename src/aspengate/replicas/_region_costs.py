"""The cost of sending a request to another failure domain or region."""

import threading
from dataclasses import dataclass

from aspengate.topology import Distance, Topology

# Cost of another failure domain: a round trip of a few ms, and traffic that is charged for.
_OTHER_DOMAIN_COST_MS = 2.0
# Cost of the traffic to another region, beside its round trip: bytes between regions are charged
# four times as much as those between failure domains.
_REGION_TRAFFIC_COST_MS = 4 * _OTHER_DOMAIN_COST_MS
# The round trip that is assumed before the first observation. Too high a value only keeps requests
# in their region until they gain more than it by leaving.
_ASSUMED_ROUND_TRIP_MS = 30.0
# Connecting takes longer than a round trip if a packet is lost or this process waits for the
# processor, and never less: lower samples count more. Higher ones than the limit are lost packets.
_LOWER_WEIGHT = 0.5
_HIGHER_WEIGHT = 0.1
_MAX_ROUND_TRIP_MS = 250.0
# Without observations, what an estimate exceeds the assumed value by halves in this time. Otherwise
# a link that was congested once would never be tried again.
_EXCESS_HALF_LIFE_MS = 10_000.0


@dataclass(frozen=True)
class DistanceCost:
    """The cost of a distance, and the part of it that is the round trip to another region."""

    total_ms: float
    round_trip_ms: float = 0.0


@dataclass(frozen=True)
class _RoundTrip:
    """An estimate of a round trip, last observed at ``observed_ms`` in monotonic time."""

    estimate_ms: float
    observed_ms: float

    def at(self, now_ms: float) -> float:
        excess_ms = max(0.0, self.estimate_ms - _ASSUMED_ROUND_TRIP_MS)
        age_ms = max(0.0, now_ms - self.observed_ms)
        aged_ms: float = excess_ms * 0.5 ** (age_ms / _EXCESS_HALF_LIFE_MS)
        return self.estimate_ms - excess_ms + aged_ms


class RegionCosts:
    """Estimates the round trip to each other region from the time that connecting to it takes."""

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        # The costs of the failure domains of this region; looked up for each replica of a choice.
        self._near: dict[str, DistanceCost] = {}
        self._round_trips: dict[str, _RoundTrip] = {}
        self._lock = threading.Lock()

    def is_other_region(self, failure_domain: str) -> bool:
        """Return whether a failure domain is in another region."""
        return self.topology.distance(failure_domain) is Distance.OTHER_REGION

    def record_connect(self, failure_domain: str, connect_ms: float, now_ms: float) -> None:
        """Record how long it took to connect to a replica; only other regions are tracked."""
        if not self.is_other_region(failure_domain):
            return
        region = self.topology.region_of(failure_domain)
        sample_ms = min(connect_ms, _MAX_ROUND_TRIP_MS)
        with self._lock:
            known = self._round_trips.get(region)
            before_ms = sample_ms if known is None else known.at(now_ms)
            weight = _LOWER_WEIGHT if sample_ms < before_ms else _HIGHER_WEIGHT
            estimate_ms = before_ms + weight * (sample_ms - before_ms)
            self._round_trips[region] = _RoundTrip(estimate_ms, now_ms)

    def cost(self, failure_domain: str, now_ms: float) -> DistanceCost:
        """Return the cost of sending a request to a failure domain, without the replica's own."""
        near = self._near.get(failure_domain)
        if near is not None:
            return near
        distance = self.topology.distance(failure_domain)
        if distance is Distance.OTHER_REGION:
            known = self._round_trips.get(self.topology.region_of(failure_domain))
            round_trip_ms = _ASSUMED_ROUND_TRIP_MS if known is None else known.at(now_ms)
            return DistanceCost(_REGION_TRAFFIC_COST_MS + round_trip_ms, round_trip_ms)
        is_own = distance is Distance.OWN_DOMAIN
        return self._near.setdefault(
            failure_domain, DistanceCost(0.0 if is_own else _OTHER_DOMAIN_COST_MS)
        )

    def gauges(self, now_ms: float) -> dict[str, float]:
        """Return the expected round trip to each region that was observed, in ms."""
        with self._lock:
            known = dict(self._round_trips)
        return {f"region_round_trip_ms_{name}": each.at(now_ms) for name, each in known.items()}
