"""Guards against comparisons that miss or misreport a change."""

from dataclasses import replace

from magnoliaslip.config.snapshot import BackendServer, Pool, Route, Snapshot
from magnoliaslip.core.address import Address
from magnoliaslip.ops.diff import compare_tables

ADDRESS = Address("198.51.100.10", 443)


def snapshot(servers, **parts):
    pool = Pool(
        "rota",
        1,
        tuple(BackendServer(f"ro-{n}", Address("10.0.0.1", n), "a") for n in servers),
    )
    return Snapshot(1, {ADDRESS: Route(ADDRESS, "rota")}, {"rota": pool}, **parts)


def test_equal_tables_have_no_changes():
    diff = compare_tables(snapshot([1, 2]), snapshot([1, 2]))
    assert diff.lines == ()
    assert diff.moves[0].share == diff.moves[0].min_share == 0


def test_added_server_moves_little_more_than_its_share():
    move = compare_tables(snapshot(range(1, 7)), snapshot(range(1, 8))).moves[0]
    assert abs(move.min_share - 1 / 7) < 1e-9
    assert abs(move.share - 1 / 7) < 0.01


def test_large_pools_are_compared_on_fewer_buckets():
    move = compare_tables(snapshot(range(1, 300)), snapshot(range(1, 301))).moves[0]
    assert move.buckets == 4096
    assert move.share < 0.02


def test_added_and_removed_routes_are_listed():
    old = snapshot([1])
    other = Address("198.51.100.10", 80)
    new = replace(old, routes={other: Route(other, "rota")})
    assert compare_tables(old, new).lines == (
        f"route {other}: added, to rota",
        f"route {ADDRESS}: removed, was to rota",
    )


def test_zone_back_in_service_is_reported_as_cold_start():
    old = snapshot([1], zones_out=frozenset("a"))
    diff = compare_tables(old, snapshot([1]))
    assert diff.lines == ("zone a: no longer out; its backend servers start cold",)
    assert diff.moves[0].share == 1
