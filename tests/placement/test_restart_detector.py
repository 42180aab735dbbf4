"""RestartDetector with stale and wrong reports of health endpoints."""

from magnoliaslip.placement.restart_detector import RESTART_INTERVAL_S, RestartDetector


def test_an_endpoint_that_always_states_a_fresh_start_counts_once():
    """Guards against wrong reports that keep a server cold for good."""
    detector = RestartDetector(slow_start_s=30.0)
    moments = range(1000, 1000 + int(RESTART_INTERVAL_S), 2)
    found = [detector.record_uptime(1, uptime_s=0.0, now=float(now)) for now in moments]
    assert [start for start in found if start is not None] == [1000.0]


def test_stale_report_of_an_older_start_has_no_effect():
    """Guards against stale reports that undo or repeat a slow start."""
    detector = RestartDetector(slow_start_s=30.0)
    assert detector.record_uptime(1, uptime_s=1.0, now=2000.0) == 1999.0
    assert detector.record_uptime(1, uptime_s=900.0, now=2001.0) is None
    assert detector.record_uptime(1, uptime_s=4.0, now=2003.0) is None


def test_a_long_uptime_of_an_unknown_server_is_no_restart():
    """Guards against slow starts of all servers when an instance starts."""
    detector = RestartDetector(slow_start_s=30.0)
    assert detector.record_uptime(1, uptime_s=31.0, now=50.0) is None
