"""CPU time of a log line of an instance."""

from collections.abc import Iterator
from contextlib import contextmanager
from logging import INFO, NOTSET, Logger, disable, getLogger, root
from os import O_WRONLY, close, devnull
from os import open as open_fd
from time import process_time

from magnoliaslip.bench.report import Figure
from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.json_log import JsonLineHandler, LineRateLimiter

LINES_PER_REPETITION = 5_000
REPETITIONS = 5
# Keys and values of a typical FLOW_PLACED line.
FLOW_PLACED_FIELDS = {
    "flow": "100.64.0.7:40001>198.18.0.1:443",
    "service": "kit-desk",
    "server": "i-7f3a91c2",
    "server_zone": "a",
    "load": 1.25,
    "suspect": False,
    "cold": False,
    "copy": 0,
    "tried": [],
    "revision": 4711,
}


def measure_log_lines() -> list[Figure]:
    """Measure a written line and one that the rate limiter suppresses."""
    return [
        _measure("written", lines_per_s=10**9),
        _measure("left_out", lines_per_s=1),
    ]


def _measure(case: str, *, lines_per_s: int) -> Figure:
    values = []
    with _null_logger(lines_per_s) as logger:
        for _ in range(REPETITIONS):
            started = process_time()
            for _ in range(LINES_PER_REPETITION):
                log_event(logger, Event.FLOW_PLACED, **FLOW_PLACED_FIELDS)
            values.append((process_time() - started) / LINES_PER_REPETITION * 1e6)
    return Figure.of(f"log_line_cpu/{case}", values, "us")


@contextmanager
def _null_logger(lines_per_s: int) -> Iterator[Logger]:
    fd = open_fd(devnull, O_WRONLY)
    rate_limiter = LineRateLimiter(lines_per_s, clock=SystemClock())
    handler = JsonLineHandler(fd, rate_limiter=rate_limiter)
    logger = getLogger(__name__)
    logger.setLevel(INFO)
    logger.propagate = False
    logger.addHandler(handler)
    disabled_level = root.manager.disable
    disable(NOTSET)  # the benchmarks run with logging disabled
    try:
        yield logger
    finally:
        disable(disabled_level)
        logger.removeHandler(handler)
        close(fd)
