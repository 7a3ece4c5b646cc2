"""Sparse histograms whose buckets grow by half an octave."""

import math
from collections.abc import Iterable

import msgspec

BUCKETS_PER_OCTAVE = 2
# 1/8 to 2^17 (131 s in ms, or that ratio). Values outside count in the outermost buckets, which
# bounds the size of a histogram in a datagram.
_MIN_BUCKET = -3 * BUCKETS_PER_OCTAVE
MAX_BUCKET = 17 * BUCKETS_PER_OCTAVE


def bucket_of(value: float) -> int:
    """Return the bucket of a value: 0 holds 1 up to the square root of 2."""
    if value <= 0:
        return _MIN_BUCKET
    bucket = math.floor(BUCKETS_PER_OCTAVE * math.log2(value))
    return min(max(bucket, _MIN_BUCKET), MAX_BUCKET)


def lower_bound(bucket: int) -> float:
    """Return the smallest value that counts in a bucket."""
    return float(2 ** (bucket / BUCKETS_PER_OCTAVE))


class Histogram(msgspec.Struct, frozen=True, array_like=True):
    """Counts of values by bucket; empty buckets are absent."""

    counts: dict[int, int] = {}

    @property
    def total(self) -> int:
        """The number of values."""
        return sum(self.counts.values())

    def quantile_bucket(self, quantile: float) -> int | None:
        """Return the bucket in which a quantile lies, None without values."""
        remaining = quantile * self.total
        for bucket in sorted(self.counts):
            remaining -= self.counts[bucket]
            if remaining <= 0:
                return bucket
        return max(self.counts, default=None)

    def count_above(self, bucket: int) -> int:
        """Return the number of values in the buckets above ``bucket``."""
        return sum(count for each, count in self.counts.items() if each > bucket)

    def subtract(self, earlier: "Histogram") -> "Histogram":
        """Return the values that were added since an earlier copy of this histogram."""
        added = {each: count - earlier.counts.get(each, 0) for each, count in self.counts.items()}
        return Histogram({each: count for each, count in added.items() if count > 0})


def merge_histograms(histograms: Iterable[Histogram]) -> Histogram:
    """Return the values of all histograms in one."""
    counts: dict[int, int] = {}
    for histogram in histograms:
        for bucket, count in histogram.counts.items():
            counts[bucket] = counts.get(bucket, 0) + count
    return Histogram(counts)
