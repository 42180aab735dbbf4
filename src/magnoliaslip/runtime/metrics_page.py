"""The metrics of an instance in the Prometheus text format.

``prometheus_client`` is imported on the first scrape, by which time the start of an
instance is usually complete. `import_metrics_page` does so in steps before the page is
rendered.
"""

from collections.abc import Callable, Iterator
from typing import Any

from hdrh.histogram import HdrHistogram

from magnoliaslip.core.metrics import Metrics

PREFIX = "magnoliaslip_"
# Upper bounds of the histogram buckets in seconds, from a round trip to the deadline of
# a caller.
BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)

COUNTERS = {
    "packets": "Packets of callers by outcome.",
    "log_lines": "Log lines by outcome.",
    "digests_rejected": "Datagrams of other instances that can't be read.",
}
GAUGES = {
    "directory_era": "Era of the store that the directory has.",
    "directory_revision": "Revision of the store that the directory has.",
    "routes_version": "Version of the routes in force.",
    "servers": "Registered backend servers.",
    "suspect_servers": "Backend servers that new flows avoid.",
    "live_instances": "Other instances that are heard.",
    "fleet_size": "Instances that may be running, this one included.",
    "flows": "Flows of which something is remembered.",
    "ready": "Whether the instance is ready, 1 or 0.",
    "watches_store": "Whether the instance watches the store for its zone, 1 or 0.",
    "store_answers": "Whether the store answers, 1 or 0.",
}
HISTOGRAMS = {
    "open_seconds": "From an opening packet to the caller's answer to the handshake.",
    "answer_seconds": "From a request to the caller's first sign of an answer.",
}

MetricValues = dict[str, float | dict[str, float]]


class MetricsPage:
    """Renders the metrics of an instance.

    Args:
        read: Returns the values of `COUNTERS` and `GAUGES` by name; a counter has a
            value per outcome, or one number for all outcomes.
        metrics: Holds the histograms, in microseconds; the page shows seconds.
    """

    __slots__ = ("_metrics", "_read")

    def __init__(self, read: Callable[[], MetricValues], metrics: Metrics) -> None:
        self._read = read
        self._metrics = metrics

    def render(self) -> bytes:
        """Render the page; imports the library on first use."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry(auto_describe=False)
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> Iterator[Any]:
        """Yield all metric families; called by the library."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        values = self._read()
        for name, text in COUNTERS.items():
            family = CounterMetricFamily(PREFIX + name, text, labels=["outcome"])
            value = values[name]
            outcomes = value if isinstance(value, dict) else {"all": value}
            for outcome, count in sorted(outcomes.items()):
                family.add_metric([outcome], count)
            yield family
        for name, text in GAUGES.items():
            yield GaugeMetricFamily(PREFIX + name, text, value=values[name])
        for name, text in HISTOGRAMS.items():
            family = HistogramMetricFamily(PREFIX + name, text)
            histogram = self._metrics.histograms.get(name)
            family.add_metric([], *_buckets_and_sum(histogram))
            yield family


def _buckets_and_sum(
    histogram: HdrHistogram | None,
) -> tuple[list[tuple[str, float]], float]:
    """Return cumulative counts by upper bound in seconds, and the sum in seconds."""
    if histogram is None:
        return [*((str(bound), 0.0) for bound in BUCKETS_S), ("+Inf", 0.0)], 0.0
    total_count = histogram.get_total_count()
    counts = dict.fromkeys(BUCKETS_S, 0)
    sum_s = 0.0
    for item in histogram.get_recorded_iterator():
        value_s = item.value_iterated_to / 1e6
        sum_s += value_s * item.count_at_value_iterated_to
        for bound in BUCKETS_S:
            if value_s <= bound:
                counts[bound] += item.count_at_value_iterated_to
    buckets = [(str(bound), float(count)) for bound, count in counts.items()]
    return [*buckets, ("+Inf", float(total_count))], sum_s
