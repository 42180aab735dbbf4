"""Keeps what the bench changes in the process to its own tests."""

from logging import NOTSET, disable

from pytest import fixture


@fixture(autouse=True)
def restore_logging():
    """Undo the bench's silencing of log lines."""
    yield
    disable(NOTSET)
