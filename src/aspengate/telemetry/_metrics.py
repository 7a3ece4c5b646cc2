"""Metrics in the Prometheus text format."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from prometheus_client import CollectorRegistry, Counter, Histogram, generate_latest
from prometheus_client.core import GaugeMetricFamily

_BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800)
_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

GaugeSource = Callable[[], Mapping[str, float]]


class PrometheusCounters:
    """Holds the counters and histograms of this process and renders them for Prometheus.

    Events are counted under ``aspengate_events_total`` and durations, in milliseconds, under
    ``aspengate_duration_milliseconds``, each with its name as a label. ``gauge_source`` is called
    at each scrape and returns the current gauges, which are exported as ``aspengate_state``.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.gauge_source: GaugeSource = dict
        self._events = Counter(
            "aspengate_events", "Events by name", ["event"], registry=self.registry
        )
        self._durations = Histogram(
            "aspengate_duration_milliseconds",
            "Durations by name",
            ["what"],
            buckets=_BUCKETS_MS,
            registry=self.registry,
        )
        self.registry.register(_StateCollector(self))

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to the counter ``name``."""
        self._events.labels(name).inc(amount)

    def timing(self, name: str, duration_ms: float) -> None:
        """Record a duration, in milliseconds, under ``name``."""
        self._durations.labels(name).observe(duration_ms)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class _StateCollector:
    """Reads the gauges at each scrape."""

    def __init__(self, counters: PrometheusCounters) -> None:
        self._counters = counters

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """Yield the current values of the gauges."""
        family = GaugeMetricFamily("aspengate_state", "What holds now, by name", labels=["what"])
        for name, value in sorted(self._counters.gauge_source().items()):
            family.add_metric([name], value)
        yield family


class MetricsApplication:
    """A WSGI application that returns the metrics for every path."""

    def __init__(self, counters: PrometheusCounters) -> None:
        self._counters = counters

    def __call__(self, environ: Mapping[str, Any], start_response: Any) -> Iterable[bytes]:
        """Handle one scrape."""
        page = self._counters.render()
        headers = [("Content-Type", _CONTENT_TYPE), ("Content-Length", str(len(page)))]
        start_response("200 OK", headers)
        return [page]
