"""What the attempts of a rollout have shown, by route and cohort, in a form that can be summed."""

from collections.abc import Collection, Iterable

import msgspec

from aspengate.rollouts._cohort import Cohort
from aspengate.rollouts._histogram import Histogram, merge_histograms


class ReplicaEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Attempts at one replica: ``completed`` and ``failed`` ones, and those without a response.

    ``waiting_ms`` holds the ages, at the time of the snapshot, of the attempts in flight that have
    not been answered. It is a current state, not a cumulative count.
    """

    completed: int = 0
    failed: int = 0
    waiting_ms: Histogram = Histogram()

    def subtract(self, earlier: "ReplicaEvidence") -> "ReplicaEvidence":
        """Return the evidence since an earlier copy; the state is the current one."""
        return ReplicaEvidence(
            max(0, self.completed - earlier.completed),
            max(0, self.failed - earlier.failed),
            self.waiting_ms,
        )


class CohortEvidence(msgspec.Struct, frozen=True, array_like=True):
    """The attempts at one cohort's replicas.

    ``sent`` counts all attempts, ``answered`` those with a result: a first response, a complete
    response or a failure. ``first_ratios`` are times to the first response over the expected ones
    (engines), ``first_ms`` the same times in ms, ``complete_ms`` times to complete responses
    (plain requests) and ``pauses_ms`` the longest pauses of streams. ``in_flight`` is the number of
    attempts in flight at the time of the snapshot. ``replicas`` holds the target's replicas by
    name; those beyond a bounded number, and all of the baseline's, are under "".
    """

    sent: int = 0
    answered: int = 0
    in_flight: int = 0
    first_ratios: Histogram = Histogram()
    first_ms: Histogram = Histogram()
    complete_ms: Histogram = Histogram()
    pauses_ms: Histogram = Histogram()
    replicas: dict[str, ReplicaEvidence] = {}

    @property
    def completed(self) -> int:
        """The number of attempts that ended with a complete and correct response."""
        return sum(each.completed for each in self.replicas.values())

    @property
    def failed(self) -> int:
        """The number of attempts that failed, without those that are only late."""
        return sum(each.failed for each in self.replicas.values())

    def subtract(self, earlier: "CohortEvidence") -> "CohortEvidence":
        """Return the evidence since an earlier copy; states are the current ones."""
        none = ReplicaEvidence()
        return CohortEvidence(
            max(0, self.sent - earlier.sent),
            max(0, self.answered - earlier.answered),
            self.in_flight,
            self.first_ratios.subtract(earlier.first_ratios),
            self.first_ms.subtract(earlier.first_ms),
            self.complete_ms.subtract(earlier.complete_ms),
            self.pauses_ms.subtract(earlier.pauses_ms),
            {
                name: each.subtract(earlier.replicas.get(name, none))
                for name, each in self.replicas.items()
            },
        )

    def without_states(self) -> "CohortEvidence":
        """Return the cumulative counts only, as they stay valid when the router has stopped."""
        replicas = {
            name: ReplicaEvidence(each.completed, each.failed)
            for name, each in self.replicas.items()
        }
        return msgspec.structs.replace(self, in_flight=0, replicas=replicas)


class RouteEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Both cohorts' attempts of one route."""

    target: CohortEvidence = CohortEvidence()
    baseline: CohortEvidence = CohortEvidence()

    def subtract(self, earlier: "RouteEvidence") -> "RouteEvidence":
        """Return the evidence since an earlier copy; states are the current ones."""
        return RouteEvidence(
            self.target.subtract(earlier.target), self.baseline.subtract(earlier.baseline)
        )

    def without_states(self) -> "RouteEvidence":
        """Return the cumulative counts only."""
        return RouteEvidence(self.target.without_states(), self.baseline.without_states())


class Evidence(msgspec.Struct, frozen=True):
    """The evidence of one attempt to roll out, ``generation``, since it began.

    A recorder keeps a bounded number of ``routes`` by name and the rest under "".
    """

    generation: int = 0
    routes: dict[str, RouteEvidence] = {}

    @property
    def target(self) -> CohortEvidence:
        """The target's evidence over all routes."""
        return merge_cohorts([each.target for each in self.routes.values()])

    @property
    def baseline(self) -> CohortEvidence:
        """The baseline's evidence over all routes."""
        return merge_cohorts([each.baseline for each in self.routes.values()])

    @property
    def in_flight(self) -> int:
        """The number of attempts in flight, of both cohorts."""
        return sum(each.target.in_flight + each.baseline.in_flight for each in self.routes.values())

    def cohort(self, cohort: Cohort) -> CohortEvidence:
        """Return a cohort's evidence over all routes."""
        return self.target if cohort is Cohort.TARGET else self.baseline

    def subtract(self, earlier: "Evidence") -> "Evidence":
        """Return the evidence since an earlier snapshot; states are the current ones.

        An earlier snapshot of another generation is ignored.
        """
        if earlier.generation != self.generation:
            return self
        none = RouteEvidence()
        return Evidence(
            self.generation,
            {
                name: each.subtract(earlier.routes.get(name, none))
                for name, each in self.routes.items()
            },
        )

    def without_states(self) -> "Evidence":
        """Return the cumulative counts only, as they stay valid when the router has stopped."""
        routes = {name: each.without_states() for name, each in self.routes.items()}
        return Evidence(self.generation, routes)


def merge_evidence(evidence: Iterable[Evidence]) -> Evidence:
    """Return the sum of the evidence of the highest generation; older generations are ignored."""
    parts = list(evidence)
    generation = max((each.generation for each in parts), default=0)
    routes: dict[str, list[RouteEvidence]] = {}
    for part in parts:
        if part.generation == generation:
            for name, each in part.routes.items():
                routes.setdefault(name, []).append(each)
    return Evidence(generation, {name: _merge_routes(each) for name, each in routes.items()})


def _merge_routes(routes: Collection[RouteEvidence]) -> RouteEvidence:
    return RouteEvidence(
        merge_cohorts([each.target for each in routes]),
        merge_cohorts([each.baseline for each in routes]),
    )


def merge_cohorts(cohorts: Collection[CohortEvidence]) -> CohortEvidence:
    """Return the sum of the evidence of several routes, or of one route's parts."""
    replicas: dict[str, list[ReplicaEvidence]] = {}
    for cohort in cohorts:
        for name, each in cohort.replicas.items():
            replicas.setdefault(name, []).append(each)
    return CohortEvidence(
        sum(each.sent for each in cohorts),
        sum(each.answered for each in cohorts),
        sum(each.in_flight for each in cohorts),
        merge_histograms(each.first_ratios for each in cohorts),
        merge_histograms(each.first_ms for each in cohorts),
        merge_histograms(each.complete_ms for each in cohorts),
        merge_histograms(each.pauses_ms for each in cohorts),
        {name: merge_replicas(each) for name, each in replicas.items()},
    )


def merge_replicas(replicas: Collection[ReplicaEvidence]) -> ReplicaEvidence:
    """Return the sum of the evidence of several replicas, or of one replica's parts."""
    return ReplicaEvidence(
        sum(each.completed for each in replicas),
        sum(each.failed for each in replicas),
        merge_histograms(each.waiting_ms for each in replicas),
    )
