"""Tests of the formulas that scale measured costs up."""

from pytest import approx, mark

from magnoliaslip.bench.formulas import (
    HeartbeatCost,
    burst_seconds,
    platform_reads_per_s,
    versions_in_window,
)


def test_largest_group_is_the_last_one_within_the_limit():
    """Guards against a documented group size beyond the limit."""
    cost = HeartbeatCost(base_bytes=50.0, name_bytes=6.0)
    members = cost.largest_group(4_000.0)
    assert cost.bytes_per_s(members) <= 4_000.0 < cost.bytes_per_s(members + 1)


def test_fit_gives_back_both_measured_points():
    """Guards against a fit that does not pass through both measured points."""
    points = (7, 687.0), (50, 27_000.0)
    cost = HeartbeatCost.fit(*points)
    for members, rate in points:
        assert cost.bytes_per_s(members) == approx(rate)


@mark.parametrize(("instances", "zones"), [(7, 4), (20, 4), (12_000, 31)])
def test_reads_count_at_most_one_watcher_per_instance(instances, zones):
    """Guards against more watchers than instances in a small fleet."""
    watchers = min(instances, 2 * zones)
    expected = watchers + instances / 15
    assert platform_reads_per_s(instances, zones) == approx(expected)


def test_history_and_burst_scale_linearly():
    """Guards against a unit conversion that is applied twice."""
    assert versions_in_window(86_400, 60.0) == approx(60.0)
    assert burst_seconds(200, 40.0) == approx(2 * burst_seconds(100, 40.0))
