"""Guards against invalid tables that pass the check, and against misleading diffs."""

import pytest

from tests.config.test_settings import VALID_SETTINGS


def test_valid_tables(ops, tables):
    code, output = ops("check", tables)
    assert code == 0
    assert "1 routes, 1 pools, 2 backend servers; zones out: none" in output


@pytest.mark.parametrize(
    ("name", "old", "new", "error"),
    [
        ("pools", '"zone": "b"', '"zone": "x"', "MS213: {}/pools.jsonc:3: pools[0].s"),
        ("pools", '"slots": 4},\n]', '"slot": 4},\n]', "MS203: {}/pools.jsonc:3: "),
        ("routes", "443", '"443"', "MS204: {}/routes.jsonc:2: routes[0].port: "),
        ("routes", "kit-desk", "rota", "MS206: {}/routes.jsonc:2: routes[0].service"),
        ("zones", '"in"}', '"off"}', "MS218: {}/zones.jsonc:1: zones[...]"),
        ("zones", '"b"', '"a"', "MS106: {}/zones.jsonc:1: zones.a: "),
        ("zones", "}}", "}", "MS102: {}/zones.jsonc:1"),
    ],
)
def test_error_names_file_line_and_path(ops, tables, edit, name, old, new, error):
    edit(name, old, new)
    code, output = ops("check", tables)
    assert code == 1
    assert error.format(tables) in output
    assert "Remedy: " in output


def test_missing_zones_file_is_an_error(ops, tables):
    (tables / "zones.jsonc").unlink()
    assert ops("check", tables)[0] == 1


def test_diff_shows_moved_and_least_share(ops, tables, edit, tmp_path):
    assert ops("render", tables, "--to", tmp_path / "out", "--first")[0] == 0
    edit("zones", '"b": "in"', '"b": "out"')
    edit("pools", '"zone": "a", "slots": 4', '"zone": "a", "slots": 8')
    code, output = ops("check", tables, "--in-force", tmp_path / "out")
    assert code == 0
    assert "zone b: out of service" in output
    assert "kd-1: slots 4 -> 8" in output
    row = next(line for line in output.splitlines() if line.startswith("  kit-desk"))
    moves, min_share = row.split()[1:3]
    assert min_share == "50.00%"
    assert 49 < float(moves.rstrip("%")) < 51


def test_drained_pool_is_a_warning(ops, tables, edit):
    """Guards against a valid pool without any server that accepts new flows."""
    edit("pools", '"slots": 4', '"drain": true')
    code, output = ops("check", tables)
    assert code == 0
    assert "warning: service kit-desk: no backend server takes new flows" in output


def test_instances_must_not_share_addresses(ops, tmp_path):
    first, second = tmp_path / "i1.jsonc", tmp_path / "i2.jsonc"
    first.write_text(VALID_SETTINGS)
    second.write_text(VALID_SETTINGS.replace('"i1"', '"i2"'))
    assert ops("check", "--settings", first)[0] == 0
    code, output = ops("check", "--settings", first, "--settings", second)
    assert code == 1
    assert f"MS107: {second}: data" in output


def test_invalid_usage_sets_the_exit_code(ops, tables):
    assert ops("check")[0] == 2
    assert ops("check", tables, "--platform", "localhost:1")[0] == 2


def test_unreachable_platform_sets_the_exit_code(ops, tables, monkeypatch):
    async def refuse(host, port):
        raise ConnectionRefusedError("refused")

    target = "magnoliaslip.config.http_platform.HttpPlatform._request_from"
    monkeypatch.setattr(target, lambda self, address, path: refuse("", 0))
    code, output = ops("check", tables, "--platform", "127.0.0.1:7800")
    assert code == 3
    assert "MS300" in output
