"""Guards against logging that blocks, floods or crashes an instance."""

from contextlib import contextmanager
from fcntl import F_GETFL, fcntl
from json import loads
from logging import INFO, getLogger
from os import O_NONBLOCK, close, pipe, read
from signal import SIGALRM, alarm, signal

import pytest

from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.json_log import MAX_LINE_BYTES, JsonLineHandler, LineRateLimiter


@pytest.fixture
def logging_setup():
    """A logger that writes to a pipe, its handler, the read end and the clock."""
    read_fd, write_fd = pipe()
    clock = ManualClock(start=10.0)
    handler = JsonLineHandler(write_fd, rate_limiter=LineRateLimiter(10, clock=clock))
    logger = getLogger("tests.json_log")
    logger.propagate = False
    logger.setLevel(INFO)
    logger.addHandler(handler)
    module_logger = getLogger("magnoliaslip.core.json_log")
    module_logger.addHandler(handler)
    yield logger, handler, read_fd, clock
    logger.removeHandler(handler)
    module_logger.removeHandler(handler)
    close(read_fd)
    close(write_fd)


@contextmanager
def timer_that_ends_the_test(seconds):
    def end_test(signum, frame):
        raise AssertionError("no end after the time limit")

    former = signal(SIGALRM, end_test)
    alarm(seconds)
    try:
        yield
    finally:
        alarm(0)
        signal(SIGALRM, former)


def lines(read_fd):
    return [loads(line) for line in read(read_fd, 1 << 20).splitlines()]


def test_line_has_the_event_and_its_fields(logging_setup):
    logger, _, read_fd, _ = logging_setup
    log_event(logger, Event.SERVER_SUSPECT, server="i-1", tried=["i-2"])
    [line] = lines(read_fd)
    assert (line["code"], line["event"]) == ("MS704", "SERVER_SUSPECT")
    assert (line["server"], line["tried"]) == ("i-1", ["i-2"])


def test_rate_is_limited_and_suppressed_lines_are_counted(logging_setup):
    logger, handler, read_fd, clock = logging_setup
    for _ in range(100):
        log_event(logger, Event.FLOW_PLACED, server="i-1")
    assert len(lines(read_fd)) == 20
    clock.advance(1.0)
    handler.report_suppressed()
    [line] = lines(read_fd)
    assert line["event"] == "LOG_LIMITED"
    assert line["left_out"] == {"FLOW_PLACED": 80}
    assert not handler._rate_limiter.suppressed


def test_errors_bypass_the_rate_limit(logging_setup):
    logger, _, read_fd, _ = logging_setup
    for _ in range(30):
        log_event(logger, Event.SETTINGS_KEPT, error="x")
    assert len(lines(read_fd)) == 30


def test_full_pipe_drops_lines_without_blocking(logging_setup):
    logger, handler, _, clock = logging_setup
    for _ in range(3000):
        clock.advance(1.0)
        log_event(logger, Event.FLOW_PLACED, server="i" * 100)
    assert handler.dropped > 0
    assert handler.written + handler.dropped == 3000


def test_descriptor_never_blocks(logging_setup):
    _, handler, _, _ = logging_setup
    assert fcntl(handler._fd, F_GETFL) & O_NONBLOCK


@pytest.mark.parametrize(
    "fields",
    [
        {"server": "i" * 10_000},
        {"server": '"' * 10_000},
        {"tried": [f"i-{n}" for n in range(3_000)], "server": "i" * 5_000},
    ],
)
def test_long_line_is_cut_and_still_json(logging_setup, fields):
    # Guards against a line that no reader can decode.
    logger, _, read_fd, _ = logging_setup
    log_event(logger, Event.FLOW_PLACED, zone="a", **fields)
    data = read(read_fd, 1 << 20)
    assert MAX_LINE_BYTES / 4 < len(data) <= MAX_LINE_BYTES
    line = loads(data)
    assert (line["event"], line["zone"]) == ("FLOW_PLACED", "a")
    assert fields["server"][0] in line["server"]


def test_line_of_too_many_short_fields_is_shortened_and_still_json(logging_setup):
    # Guards against a loop without end: such fields get no shorter when they are cut.
    logger, _, read_fd, _ = logging_setup
    fields = {f"field{n}": "abc" for n in range(600)}
    with timer_that_ends_the_test(5):
        log_event(logger, Event.FLOW_PLACED, **fields)
    data = read(read_fd, 1 << 20)
    assert MAX_LINE_BYTES / 4 < len(data) <= MAX_LINE_BYTES
    line = loads(data)
    assert (line["event"], line["field0"]) == ("FLOW_PLACED", "abc")


@pytest.mark.parametrize(
    "value",
    ["half a pair \ud800", ["\udfff"], {"\ud800": 1}, {(1, 2): "x"}],
    ids=["text", "list", "key", "tuple"],
)
def test_field_that_json_cannot_represent_does_not_raise(logging_setup, value):
    # Guards against received text that raises where it is logged.
    logger, handler, read_fd, _ = logging_setup
    # Not through the logger: pytest captures what it logs, and can't pass it on.
    extra = {"event": Event.ENTRY_UNREADABLE, "fields": {"key": value, "reason": "y"}}
    handler.emit(logger.makeRecord("x", INFO, "x.py", 1, "", (), None, extra=extra))
    [line] = lines(read_fd)
    assert line["reason"] == "y" and line["key"]
    assert handler.written == 1


def test_line_has_the_time_of_an_earlier_event(logging_setup):
    # Guards against events from before the event loop that are all logged with the
    # time at which the loop starts, seconds later.
    logger, _, read_fd, _ = logging_setup
    log_event(logger, Event.FLOW_PLACED, at=1781829614.25, server="i-1")
    assert lines(read_fd)[0]["t"] == 1781829614.25
