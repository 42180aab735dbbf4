"""Counters and latency histograms that can be read while a process runs."""

from collections import Counter

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50, 90, 99, 99.9, 100)


class Metrics:
    """The counters and histograms of one process.

    >>> metrics = Metrics()
    >>> metrics.counters["packets"] += 1
    >>> metrics.observe_us("decision", 250)
    >>> metrics.summary()["histograms"]["decision"]["count"]
    1
    """

    __slots__ = ("counters", "histograms")

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.histograms: dict[str, HdrHistogram] = {}

    def observe_us(self, name: str, value: float) -> None:
        """Add a value in microseconds to a histogram, created on first use.

        Values outside `LOWEST_US` to `HIGHEST_US` count as the nearest bound.
        """
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms[name] = histogram
        histogram.record_value(max(LOWEST_US, min(HIGHEST_US, int(value))))

    def summary(self) -> dict[str, dict]:
        """Return counters, and counts and percentiles in microseconds."""
        return {
            "counters": dict(sorted(self.counters.items())),
            "histograms": {
                name: {
                    "count": histogram.get_total_count(),
                    **{
                        f"p{percentile:g}": histogram.get_value_at_percentile(
                            percentile
                        )
                        for percentile in PERCENTILES
                    },
                }
                for name, histogram in sorted(self.histograms.items())
            },
        }
