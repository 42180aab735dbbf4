"""Guards against invalid tables that are accepted, or rejected unclearly."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import encode

from magnoliaslip.config.decoding import MAX_VALUE_BYTES
from magnoliaslip.config.errors import VersionMismatchError
from magnoliaslip.config.tables import TableSet
from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import ConfigError
from tests.config.published import POOL, ROUTE, SERVER, publish

SERVER_2 = SERVER | {"name": "kd-2", "port": 6081}


def build(values):
    return TableSet.parse(values).build_snapshot()


def test_valid_set_builds_snapshot():
    snapshot = build(publish(3, zones={"a": "in", "b": "out"}))
    assert snapshot.routes[Address("198.51.100.10", 443)].service == "kit-desk"
    assert snapshot.pools["kit-desk"].servers[0].slots == 4
    assert snapshot.zones_out == {"b"}
    assert snapshot.values == {"routes/0": 3, "pools/0": 3, "zones": 3}


def servers(*lines):
    return {"pools": [POOL | {"servers": list(lines)}]}


@pytest.mark.parametrize(
    ("parts", "code", "place"),
    [
        (servers(SERVER | {"port": "80"}), "MS204", "pools[0].servers[0].port"),
        (servers(SERVER | {"weight": 1}), "MS203", "pools[0].servers[0].weight"),
        (servers({"name": "x"}), "MS217", "pools[0].servers[0].address"),
        (servers(SERVER | {"port": 0}), "MS218", "pools[0].servers[0].port"),
        (servers(), "MS207", "pools[0].servers"),
        (
            servers(SERVER | {"address": "kd.example"}),
            "MS210",
            "pools[0].servers[0].address",
        ),
        (
            servers(SERVER | {"address": "0.0.0.0"}),
            "MS210",
            "pools[0].servers[0].address",
        ),
        (
            servers(SERVER, SERVER_2 | {"name": "kd-1"}),
            "MS211",
            "pools[0].servers[1].name",
        ),
        (
            servers(SERVER, SERVER_2 | {"port": 6080}),
            "MS212",
            "pools[0].servers[1].address",
        ),
        (
            servers(SERVER, SERVER_2 | {"zone": "z"}),
            "MS213",
            "pools[0].servers[1].zone",
        ),
        ({"pools": [POOL, POOL]}, "MS205", "pools[1].service"),
        ({"routes": [ROUTE, ROUTE]}, "MS208", "routes[1].address"),
        ({"routes": [ROUTE | {"service": "x"}]}, "MS206", "routes[0].service"),
        ({"zones": {"a": "off"}}, "MS218", "zones[...]"),
        ({"zones": {"a": 1}}, "MS204", "zones[...]"),
    ],
)
def test_error_has_code_place_and_remedy(parts, code, place):
    with pytest.raises(ConfigError) as caught:
        build(publish(**parts))
    key = "zones" if "zones" in parts else f"{next(iter(parts))}/0"
    assert (caught.value.code, caught.value.place) == (code, f"{key}: {place}")
    assert caught.value.remedy


@pytest.mark.parametrize(
    ("key", "data", "code"),
    [
        ("pools/0", b" " * (MAX_VALUE_BYTES + 1), "MS209"),
        ("pools/0", b"{", "MS202"),
        ("pools/0", b"\xff\xfe", "MS202"),
        ("pools/0", b"[" * 100_000, "MS204"),
        ("index", b'{"version": 1, "values": {}}', "MS214"),
        ("index", b'{"version": 1, "values": {"zones": 1, "x": 1}}', "MS203"),
        ("index", b'{"version": 1, "values": {"zones": 1, "pools/1": 1}}', "MS214"),
        ("index", b'{"version": 1, "values": {"zones": 2}}', "MS215"),
    ],
)
def test_invalid_value_is_rejected(key, data, code):
    with pytest.raises(ConfigError) as caught:
        build(publish() | {key: data})
    assert caught.value.code == code


def test_services_may_not_repeat_across_shards():
    values = publish() | {
        "index": encode(
            {"version": 1, "values": {"pools/0": 1, "pools/1": 1, "zones": 1}}
        ),
        "pools/1": encode({"version": 1, "pools": [POOL]}),
    }
    with pytest.raises(ConfigError, match=r"MS205: pools/1: pools\[0\].service"):
        build(values)


def test_omitted_tables_come_from_base_set():
    """Guards against a read of every shard when only one changed."""
    base = TableSet.parse(publish(1))
    changed = publish(2, versions={"routes/0": 1, "pools/0": 1})
    tables = TableSet.parse(
        {"index": changed["index"], "zones": changed["zones"]}, base=base
    )
    assert tables.tables["pools/0"] is base.tables["pools/0"]


def test_shard_ahead_of_index_is_a_stale_set():
    values = publish(1) | {"pools/0": publish(2)["pools/0"]}
    with pytest.raises(VersionMismatchError):
        TableSet.parse(values)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(
                [
                    "version",
                    "values",
                    "routes",
                    "pools",
                    "servers",
                    "zones",
                    "zone",
                    "a",
                ]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=20,
)


@settings(max_examples=300, deadline=None)
@given(
    key=st.sampled_from(["index", "routes/0", "pools/0", "zones"]),
    data=st.binary(max_size=200) | json_values.map(encode),
)
def test_any_bytes_are_accepted_or_rejected_with_a_config_error(key, data):
    """Guards against a value that crashes the process with another exception."""
    try:
        build(publish() | {key: data})
    except ConfigError as exc:
        assert exc.place and exc.remedy
