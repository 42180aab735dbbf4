"""Fixtures for the tests of ``magnoliaslip-ops``."""

import pytest
from click.testing import CliRunner

from magnoliaslip.ops.__main__ import main

ZONES = '{"zones": {"a": "in", "b": "in"}} // both'
ROUTES = """{"routes": [
  {"address": "198.51.100.10", "port": 443, "service": "kit-desk"},
]}"""
POOLS = """{"pools": [{"service": "kit-desk", "servers": [
  {"name": "kd-1", "address": "127.0.0.1", "port": 6080, "zone": "a", "slots": 4},
  {"name": "kd-2", "address": "127.0.0.1", "port": 6081, "zone": "b", "slots": 4},
]}]}"""


@pytest.fixture
def tables(tmp_path):
    directory = tmp_path / "tables"
    directory.mkdir()
    (directory / "zones.jsonc").write_text(ZONES)
    (directory / "routes.jsonc").write_text(ROUTES)
    (directory / "pools.jsonc").write_text(POOLS)
    return directory


@pytest.fixture
def edit(tables):
    def replace(name, old, new):
        path = tables / f"{name}.jsonc"
        text = path.read_text()
        assert old in text
        path.write_text(text.replace(old, new))

    return replace


@pytest.fixture
def ops():
    """A function that runs a command and returns its exit code and output."""

    def invoke(*args):
        result = CliRunner().invoke(main, [str(arg) for arg in args])
        assert result.exception is None or isinstance(result.exception, SystemExit)
        return result.exit_code, result.output

    return invoke
