"""Decides from the evidence whether the target version is bad."""

import math
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

from aspengate.rollouts._evidence import (
    CohortEvidence,
    Evidence,
    ReplicaEvidence,
    RouteEvidence,
    merge_cohorts,
    merge_replicas,
)
from aspengate.rollouts._histogram import (
    BUCKETS_PER_OCTAVE,
    MAX_BUCKET,
    Histogram,
    bucket_of,
    lower_bound,
)

# A version is bad if its rate of bad responses is higher than a limit at this significance. The
# limit, at least double the baseline's rate, keeps the many repeated tests from adding up.
_SIGNIFICANCE = 0.001
_MIN_BAD = 4
_MIN_LIMIT = 0.02
_BASELINE_FACTOR = 2.0
# One-sided 90 %. At 5 requests a second, 95 % on both sides (1.96) missed bad versions, and 1.0
# judged up to 7 of 1,000 good ones bad.
_WILSON_Z = 1.28
# A baseline with fewer values is not compared with.
_MIN_BASELINE = 20
# An earlier baseline stands in if the baseline gets at most this part of the target's attempts.
_MAX_BASELINE_PART = 0.5
# The limits against an earlier baseline, for failures and for slow responses: since then, a
# problem of the whole service may have begun.
_MIN_LIMIT_EARLIER = 0.1
_MIN_SLOW_LIMIT_EARLIER = 0.2
# A response is slow in the buckets above double the baseline's 90th percentile, and an attempt
# without a response is late above four times of it and 1 s.
_SLOW_BUCKETS = BUCKETS_PER_OCTAVE
_LATE_BUCKETS = 2 * BUCKETS_PER_OCTAVE
_MIN_LATE_BUCKET = bucket_of(1_000.0)
# If the replicas except the one with most failures have fewer results, they can't show that it
# fails alone. From this number of failures on, the version is then bad anyway: a bad version must
# not get further while its replicas are used unevenly.
_MIN_OTHER_RESULTS = 5
_MAX_FAILURES_OF_ONE = 30
# So many results of the other replicas, with no more failures than the limit, show that one replica
# fails alone: with a quarter of them failing, that happens by chance in 6 % of the cases.
_MIN_CLEARING_RESULTS = 10
# With fewer target results, recent evidence does not clear a version that fails in total.
_MIN_RECENT_RESULTS = 20


# The kinds of latency, with the unit of the values, for the reason. The time to the first response
# in ms covers streams and plain requests together, which helps where responses are few.
_LATENCIES: tuple[tuple[str, str, Callable[[CohortEvidence], Histogram]], ...] = (
    ("first response slow", " times the expected time", lambda each: each.first_ratios),
    ("response slow", " ms", lambda each: each.first_ms),
    ("complete response slow", " ms", lambda each: each.complete_ms),
    ("pauses long", " ms", lambda each: each.pauses_ms),
)


@dataclass(frozen=True)
class Verdict:
    """Whether the target is bad; ``reason`` states counts and thresholds for the log.

    ``route`` is the route on which it is bad, "" if that shows over all routes. It ``is_suspect``
    if its failures are significant and not bad only because one replica might explain them: the
    evidence then justifies neither a rollback nor a larger share.
    """

    is_bad: bool
    reason: str = ""
    route: str = ""
    is_suspect: bool = False


@dataclass(frozen=True)
class _Failures:
    """Significant failures of the target; ``is_bad`` and ``is_suspect`` as in the verdict."""

    reason: str
    is_bad: bool
    is_suspect: bool


@dataclass(frozen=True)
class _Rate:
    """``bad`` results of ``total``."""

    bad: int
    total: int

    def __str__(self) -> str:
        return f"{self.bad} of {self.total}"


@dataclass(frozen=True)
class _Comparison:
    """The target's evidence of some times, and the baseline's of each of them.

    The target's rate over all the times has to be above the limit of each of them. Thus a problem
    of both cohorts during one of them gives no verdict, whatever shares the target had.
    """

    target: CohortEvidence
    baselines: tuple[CohortEvidence, ...]
    is_earlier: bool = False

    def limit(self, rates: Sequence[_Rate], min_limit_earlier: float) -> tuple[float, _Rate]:
        """Return the rate above which the target is bad, and the baseline's rate behind it."""
        upper, worst = max(
            ((wilson_upper(each.bad, each.total), each) for each in rates),
            key=lambda pair: pair[0],
        )
        minimum = min_limit_earlier if self.is_earlier else _MIN_LIMIT
        return max(minimum, _BASELINE_FACTOR * upper), worst

    @property
    def baseline_name(self) -> str:
        """The baseline as the reason names it."""
        return "earlier baseline" if self.is_earlier else "baseline"


def binomial_tail(bad: int, total: int, rate: float) -> float:
    """Return the probability of at least ``bad`` results of ``total`` at a rate below 1.

    Returns 1 if ``bad`` is not above the expected number.
    """
    if bad <= total * rate:
        return 1.0
    log_term = (
        math.lgamma(total + 1)
        - math.lgamma(bad + 1)
        - math.lgamma(total - bad + 1)
        + bad * math.log(rate)
        + (total - bad) * math.log1p(-rate)
    )
    term = tail = math.exp(log_term)
    for number in range(bad, total):
        term *= (total - number) / (number + 1) * rate / (1 - rate)
        tail += term
        if term < tail * 1e-9:
            break
    return tail


def wilson_upper(bad: int, total: int) -> float:
    """Return the upper Wilson bound of a rate, 1 without results."""
    if not total:
        return 1.0
    rate, z2 = bad / total, _WILSON_Z**2
    spread = _WILSON_Z * math.sqrt(rate * (1 - rate) / total + z2 / (4 * total**2))
    return (rate + z2 / (2 * total) + spread) / (1 + z2 / total)


def judge(
    total: Evidence,
    recent: Evidence | None = None,
    *,
    earlier: Sequence[Evidence] = (),
) -> Verdict:
    """Compare both cohorts in ``recent``, in ``total``, and in ``earlier`` and ``total`` together.

    The target's share of the requests must have been constant during each of them: otherwise a
    problem of both cohorts weighs more in the cohort that had more requests at that time. See
    ``EvidenceWindows``, which selects them. Where ``total`` has hardly any baseline attempts, as
    the target gets them all, the baseline of the last ``earlier`` evidence that has enough stands
    in, with wider limits.
    """
    windows = [] if recent is None else [("recently", [recent])]
    windows += [("at this share", [total])]
    windows += [("in total", [*earlier, total])] if earlier else []
    for window, evidence in windows:
        for route, parts in _by_route(evidence):
            for comparison in _comparisons(route, parts, earlier):
                failures = _find_failures(comparison)
                is_bad = failures is not None and failures.is_bad
                found = failures.reason if failures and is_bad else _find_slow(comparison)
                if found:
                    return Verdict(True, f"{found}, {window} {_describe_route(route)}", route)
    suspicion = _find_suspicion(recent, [*earlier, total])
    if suspicion is not None:
        return suspicion
    return Verdict(
        False,
        f"not bad: target {total.target.failed} of {total.target.answered} failed, "
        f"baseline {total.baseline.failed} of {total.baseline.answered}",
    )


def _find_suspicion(recent: Evidence | None, everything: Sequence[Evidence]) -> Verdict | None:
    """Return the verdict on a suspect version, None if it is not suspect.

    On each route, the recent evidence counts if there is enough of it, otherwise all evidence.
    """
    recent_parts = {} if recent is None else dict(_by_route([recent]))
    for route, parts in _by_route(everything):
        latest = recent_parts.get(route, [])
        if sum(each.target.answered for each in latest) < _MIN_RECENT_RESULTS:
            latest = []
        comparisons = list(_comparisons(route, latest)) or list(_comparisons(route, parts))
        for failures in map(_find_failures, comparisons):
            if failures is not None and failures.is_suspect:
                reason = f"suspect: {failures.reason} {_describe_route(route)}"
                return Verdict(False, reason, route, is_suspect=True)
    return None


def _describe_route(route: str) -> str:
    return f"on route {route}" if route else "over all routes"


def _by_route(evidence: Sequence[Evidence]) -> Iterator[tuple[str, list[RouteEvidence]]]:
    """Yield each route's parts of the evidence, and those of all routes together under ""."""
    none = RouteEvidence()
    for route in sorted({name for each in evidence for name in each.routes if name}):
        yield route, [each.routes.get(route, none) for each in evidence]
    yield "", [RouteEvidence(each.target, each.baseline) for each in evidence]


def _comparisons(
    route: str, parts: list[RouteEvidence], earlier: Sequence[Evidence] = ()
) -> Iterator[_Comparison]:
    """Yield the comparisons that the parts have enough baseline for.

    Parts with too little of the baseline are merged into one: at 5 requests a second, shares that
    changed every few seconds would otherwise leave nothing to compare. The comparison without
    them comes first, as they may have too few values of a latency.
    """
    usable = [each for each in parts if each.baseline.answered >= _MIN_BASELINE]
    if usable:
        yield _compare(usable)
    elif len(parts) == 1:
        comparison = _compare_earlier(route, parts[0], earlier)
        if comparison:
            yield comparison
    # A part with hardly any baseline would be compared with the baseline of other times.
    small = [
        each
        for each in parts
        if each.baseline.answered < _MIN_BASELINE and not _is_mostly_target(each)
    ]
    if sum(each.baseline.answered for each in small) >= _MIN_BASELINE:
        merged = RouteEvidence(
            merge_cohorts([each.target for each in small]),
            merge_cohorts([each.baseline for each in small]),
        )
        yield _compare([*usable, merged])


def _compare(parts: list[RouteEvidence]) -> _Comparison:
    return _Comparison(
        merge_cohorts([each.target for each in parts]), tuple(each.baseline for each in parts)
    )


def _is_mostly_target(part: RouteEvidence) -> bool:
    """Return whether the target got nearly all attempts."""
    return part.baseline.sent <= _MAX_BASELINE_PART * part.target.sent


def _compare_earlier(
    route: str, part: RouteEvidence, earlier: Sequence[Evidence]
) -> _Comparison | None:
    """Return the comparison with an earlier baseline if the target gets nearly all attempts."""
    if not _is_mostly_target(part):
        return None
    for evidence in reversed(earlier):
        cohorts = evidence.routes.get(route, RouteEvidence()) if route else evidence
        if cohorts.baseline.answered >= _MIN_BASELINE:
            return _Comparison(part.target, (cohorts.baseline,), is_earlier=True)
    return None


def _find_failures(comparison: _Comparison) -> _Failures | None:
    """Return the target's failures if they are significant, None otherwise."""
    buckets = [_late_bucket(each) for each in comparison.baselines]
    limit, other = comparison.limit(
        [
            _failure_rate(list(each.replicas.values()), bucket)
            for each, bucket in zip(comparison.baselines, buckets, strict=True)
        ],
        _MIN_LIMIT_EARLIER,
    )
    rates = sorted(
        (_failure_rate([each], max(buckets)) for each in comparison.target.replicas.values()),
        key=lambda rate: (rate.bad, rate.total),
    )
    everything = _Rate(sum(each.bad for each in rates), sum(each.total for each in rates))
    tail = _significant_tail(everything, limit)
    if tail is None:
        return None
    reason = (
        f"failed: target {everything}, {comparison.baseline_name} {other}, "
        f"limit {limit:.3f}, probability {tail:.1g} < {_SIGNIFICANCE}"
    )
    if len(rates) == 1:
        return _Failures(reason, is_bad=True, is_suspect=False)
    worst = rates[-1]
    rest = _Rate(everything.bad - worst.bad, everything.total - worst.total)
    is_undecided = rest.total < _MIN_OTHER_RESULTS and worst.bad >= _MAX_FAILURES_OF_ONE
    is_bad = is_undecided or _significant_tail(rest, limit) is not None
    is_cleared = rest.total >= _MIN_CLEARING_RESULTS and rest.bad <= rest.total * limit
    return _Failures(reason, is_bad, is_suspect=not is_bad and not is_cleared)


def _late_bucket(baseline: CohortEvidence) -> int:
    """Return the bucket above which an attempt without a response is late."""
    percentile = baseline.first_ms.quantile_bucket(0.9)
    if percentile is None or baseline.first_ms.total < _MIN_BASELINE:
        return MAX_BUCKET
    return max(_MIN_LATE_BUCKET, percentile + _LATE_BUCKETS)


def _failure_rate(replicas: list[ReplicaEvidence], late_bucket: int) -> _Rate:
    """Return the failures, with the late attempts, of the results of some replicas."""
    merged = merge_replicas(replicas)
    late = merged.waiting_ms.count_above(late_bucket)
    return _Rate(merged.failed + late, merged.completed + merged.failed + late)


def _find_slow(comparison: _Comparison) -> str:
    """Return why the target's latencies make it bad, "" if they do not."""
    for name, unit, of in _LATENCIES:
        theirs = [of(each) for each in comparison.baselines]
        found = _find_slow_values(name, unit, comparison, of(comparison.target), theirs)
        if found:
            return found
    return ""


def _find_slow_values(
    name: str, unit: str, comparison: _Comparison, ours: Histogram, theirs: list[Histogram]
) -> str:
    """Return why one kind of latency makes the target bad, "" if it does not."""
    percentiles = [each.quantile_bucket(0.9) for each in theirs if each.total >= _MIN_BASELINE]
    if len(percentiles) < len(theirs):
        return ""
    bucket = max(each for each in percentiles if each is not None) + _SLOW_BUCKETS
    rate = _slow_rate(ours, bucket)
    limit, other = comparison.limit(
        [_slow_rate(each, bucket) for each in theirs], _MIN_SLOW_LIMIT_EARLIER
    )
    tail = _significant_tail(rate, limit)
    if tail is None:
        return ""
    return (
        f"{name}: target {rate} over {lower_bound(bucket + 1):.3g}{unit}, "
        f"{comparison.baseline_name} {other}, limit {limit:.3f}, "
        f"probability {tail:.1g} < {_SIGNIFICANCE}"
    )


def _slow_rate(histogram: Histogram, bucket: int) -> _Rate:
    return _Rate(histogram.count_above(bucket), histogram.total)


def _significant_tail(rate: _Rate, limit: float) -> float | None:
    """Return the probability of a rate at the limit, None if the rate is not above it for sure."""
    if rate.bad < _MIN_BAD or limit >= 1:
        return None
    tail = binomial_tail(rate.bad, rate.total, limit)
    return tail if tail < _SIGNIFICANCE else None
