"""Guards against values that instances would reject or whose versions go back."""

from pathlib import Path

import pytest
from msgspec.json import decode

from magnoliaslip.config.decoding import MAX_VALUE_BYTES
from magnoliaslip.config.errors import OversizeValueError
from magnoliaslip.config.snapshot import BackendServer, Pool, Route, Snapshot
from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.config.tables import TableSet
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.ops.published import load_published
from magnoliaslip.ops.rendering import render_tables
from magnoliaslip.ops.source import SourceTables


def source(services, servers=2):
    names = [f"service-{n}" for n in range(services)]
    pools = tuple(
        Pool(
            name,
            1,
            tuple(
                BackendServer(f"server-{n}", Address("10.0.0.1", n + 1), "a")
                for n in range(servers)
            ),
        )
        for name in names
    )
    routes = tuple(
        Route(Address("198.51.100.1", n + 1), name) for n, name in enumerate(names)
    )
    return SourceTables(routes, pools, (("a", True),), Snapshot(1))


def test_store_accepts_each_rendered_set(ops, tables, edit, tmp_path):
    store = SnapshotStore(clock=ManualClock())
    output = tmp_path / "out"
    assert ops("render", tables, "--to", output, "--first")[0] == 0
    assert store.offer(load_published(output).values).version == 1
    edit("zones", '"b": "in"', '"b": "out"')
    _, printed = ops("render", tables, "--to", output, "--in-force", output)
    assert printed == "version 2; publish in this order:\n  zones\n  index\n"
    assert store.offer(load_published(output).values).zones_out == {"b"}
    assert store.snapshot.values == {"pools/0": 1, "routes/0": 1, "zones": 2}
    _, printed = ops("render", tables, "--to", output, "--in-force", output)
    assert "nothing to publish" in printed


def test_new_version_is_above_all_in_force():
    previous = render_tables(source(2), None).tables
    in_force = TableSet.parse(
        {
            **previous.values,
            "index": b'{"version":3,"values":{"zones":9,"pools/0":1}}',
            "zones": b'{"version":9,"zones":{"a":"out"}}',
        }
    )
    rendered = render_tables(source(2), in_force).tables
    assert rendered.version == 10
    assert rendered.tables["zones"].version == rendered.tables["routes/0"].version == 10
    assert rendered.tables["pools/0"].data == previous.tables["pools/0"].data


def test_large_tables_are_sharded_and_shard_count_never_falls():
    """Guards against table growth that moves most services to other shards."""
    small = render_tables(source(300, servers=30), None).tables
    large = render_tables(source(600, servers=30), small).tables
    shards = [key for key in large.tables if key.startswith("pools/")]
    assert len(shards) in (2, 4)
    assert all(len(data) <= MAX_VALUE_BYTES for data in large.values.values())
    assert len(large.build_snapshot().pools) == 600
    shrunk = render_tables(source(10), large).tables
    assert sum(key.startswith("pools/") for key in shrunk.tables) == len(shards)


def test_service_above_the_size_limit_is_rejected():
    with pytest.raises(OversizeValueError):
        render_tables(source(1, servers=9500), None)


@pytest.mark.parametrize("deployment", ["karaganda", "sicily"])
def test_examples_are_valid(ops, deployment, tmp_path):
    example = Path(__file__).parents[2] / "examples" / deployment
    settings = sorted((example / "settings").iterdir())
    assert len(settings) == 7
    arguments = [part for path in settings for part in ("--settings", path)]
    code, output = ops("check", example / "tables", *arguments)
    assert (code, "warning" in output) == (0, False)
    assert ops("render", example / "tables", "--to", tmp_path, "--first")[0] == 0
    assert decode((tmp_path / "index.json").read_bytes())["version"] == 1


def test_rendered_pool_keeps_the_health_addresses():
    # Guards against health checks that end with the next publication.
    health = Address("10.0.0.1", 9000)
    server = BackendServer("server-0", Address("10.0.0.1", 1), "a", health=health)
    tables = SourceTables(
        (Route(Address("198.51.100.1", 1), "service-0"),),
        (Pool("service-0", 1, (server,)),),
        (("a", True),),
        Snapshot(1),
    )
    snapshot = render_tables(tables, None).tables.build_snapshot()
    assert snapshot.pools["service-0"].servers[0].health == health
