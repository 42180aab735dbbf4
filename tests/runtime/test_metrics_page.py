"""Guards against metrics that are missing from the page or from the catalogue."""

from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from magnoliaslip.core.metrics import Metrics
from magnoliaslip.runtime.metrics_page import (
    COUNTERS,
    GAUGES,
    HISTOGRAMS,
    PREFIX,
    MetricsPage,
)

CATALOGUE = Path(__file__).parents[2] / "docs/metrics.md"


def render_families(metrics):
    def read():
        counters = {name: {"forwarded": 5, "drop_no_route": 2} for name in COUNTERS}
        return counters | dict.fromkeys(GAUGES, 7)

    text = MetricsPage(read, metrics).render().decode()
    return {family.name: family for family in text_string_to_metric_families(text)}


def test_all_metrics_are_on_the_page():
    families = render_families(Metrics())
    assert set(families) == {PREFIX + n for n in [*COUNTERS, *GAUGES, *HISTOGRAMS]}


def test_counters_are_split_by_outcome():
    samples = render_families(Metrics())[PREFIX + "packets"].samples
    assert {(s.labels["outcome"], s.value) for s in samples} == {
        ("forwarded", 5.0),
        ("drop_no_route", 2.0),
    }


def test_histogram_counts_are_cumulative_and_in_seconds():
    metrics = Metrics()
    for seconds in (0.004, 0.03, 0.03, 9.0):
        metrics.observe_us("answer_seconds", seconds * 1e6)
    samples = render_families(metrics)[PREFIX + "answer_seconds"].samples
    buckets = {s.labels["le"]: s.value for s in samples if "le" in s.labels}
    assert buckets["0.005"] == 1
    assert buckets["0.05"] == 3
    assert buckets["5.0"] == 3
    assert buckets["+Inf"] == 4


def test_catalogue_lists_all_metrics_with_their_help_texts():
    rows = {}
    for line in CATALOGUE.read_text().splitlines():
        if line.startswith("| `"):
            name, _, meaning, *_ = [cell.strip() for cell in line.strip("|").split("|")]
            rows[name.strip("`")] = meaning
    expected = COUNTERS | GAUGES | HISTOGRAMS
    assert rows == {PREFIX + name: text for name, text in expected.items()}
