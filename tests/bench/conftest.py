"""Undoes changes that the benchmarks make to the process."""

from logging import NOTSET, disable

from pytest import fixture


@fixture(autouse=True)
def restore_logging():
    """Enable logging again after a benchmark has disabled it."""
    yield
    disable(NOTSET)
