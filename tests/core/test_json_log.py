"""Guards against logging that blocks, floods or ends an instance."""

from fcntl import F_GETFL, fcntl
from json import loads
from logging import INFO, getLogger
from os import O_NONBLOCK, close, pipe, read

import pytest

from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.json_log import MAX_LINE_BYTES, JsonLineHandler, LineRateLimiter


@pytest.fixture
def rig():
    """A logger that writes to a pipe, its handler and the reading end."""
    source, target = pipe()
    clock = ManualClock(start=10.0)
    handler = JsonLineHandler(target, rate_limiter=LineRateLimiter(10, clock=clock))
    logger = getLogger("tests.json_log")
    logger.propagate = False
    logger.setLevel(INFO)
    logger.addHandler(handler)
    root = getLogger("magnoliaslip.core.json_log")
    root.addHandler(handler)
    yield logger, handler, source, clock
    logger.removeHandler(handler)
    root.removeHandler(handler)
    close(source)
    close(target)


def lines(source):
    return [loads(line) for line in read(source, 1 << 20).splitlines()]


def test_line_has_the_event_and_its_fields(rig):
    logger, _, source, _ = rig
    log_event(logger, Event.SERVER_SUSPECT, server="i-1", tried=["i-2"])
    [line] = lines(source)
    assert (line["code"], line["event"]) == ("MS704", "SERVER_SUSPECT")
    assert (line["server"], line["tried"]) == ("i-1", ["i-2"])


def test_volume_is_bounded_and_the_rest_is_summed_up(rig):
    logger, handler, source, clock = rig
    for _ in range(100):
        log_event(logger, Event.FLOW_PLACED, server="i-1")
    assert len(lines(source)) == 20
    clock.advance(1.0)
    handler.report_suppressed()
    [line] = lines(source)
    assert line["event"] == "LOG_LIMITED"
    assert line["left_out"] == {"FLOW_PLACED": 80}
    assert not handler._rate_limiter.suppressed


def test_errors_are_written_beyond_the_budget(rig):
    logger, _, source, _ = rig
    for _ in range(30):
        log_event(logger, Event.SETTINGS_KEPT, error="x")
    assert len(lines(source)) == 30


def test_reader_that_does_not_read_costs_lines_and_no_time(rig):
    logger, handler, _, clock = rig
    for _ in range(3000):
        clock.advance(1.0)
        log_event(logger, Event.FLOW_PLACED, server="i" * 100)
    assert handler.dropped > 0
    assert handler.written + handler.dropped == 3000


def test_descriptor_never_blocks(rig):
    _, handler, _, _ = rig
    assert fcntl(handler._fd, F_GETFL) & O_NONBLOCK


def test_long_line_is_cut(rig):
    logger, _, source, _ = rig
    log_event(logger, Event.FLOW_PLACED, server="i" * 10_000)
    assert len(read(source, 1 << 20)) == MAX_LINE_BYTES


def test_line_of_an_earlier_decision_has_its_time(rig):
    # Guards against decisions of the start that all seem to be made when the event
    # loop takes over, seconds later.
    logger, _, source, _ = rig
    log_event(logger, Event.FLOW_PLACED, at=1781829614.25, server="i-1")
    assert lines(source)[0]["t"] == 1781829614.25
