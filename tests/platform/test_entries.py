"""Guards against store entries that are decoded wrongly or crash the process."""

from base64 import b64encode
from json import dumps

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.json import encode

from fleet_adapter.entries import decode_item
from fleet_adapter.packets import encode_server_id
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import (
    RegisteredServer,
    ServiceLimits,
    ServiceRoute,
    WeightedService,
)
from magnoliaslip.registry.snapshot import decode_snapshot, encode_snapshot
from magnoliaslip.registry.store_client import (
    ChangeBatch,
    RoutesChange,
    ServerChange,
    UnreadableEntry,
    ZoneChange,
)
from magnoliaslip.steering.servers import ServerSet

SERVER_ENTRY = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup_remaining_ms": 250,
    "sequence": 4,
    "born": 1700000000000,
}
ROUTES_ENTRY = {
    "version": 7,
    "routes": [
        {
            "host": "198.18.0.1",
            "prefix": "/8080/",
            "type": "idempotent",
            "service": "d",
        },
        {
            "host": "198.18.0.2",
            "prefix": "/443/",
            "type": "upload",
            "traffic_split": [
                {"service": "d", "weight": 90},
                {"service": "e", "weight": 10},
            ],
        },
    ],
    "services": [{"name": "d", "max_connections": 2000, "warmup_per_s": 12.5}],
    "limits": {"idle_timeout_ms": 15000},
}


def encode_item(key, value):
    data = value if isinstance(value, bytes) else dumps(value).encode()
    return {"key": key, "value": b64encode(data).decode(), "revision": 4}


def removed_item(key):
    return {"key": key, "revision": 5, "removed": True}


def test_decodes_a_registration():
    assert decode_item(encode_item("servers/i-0a", SERVER_ENTRY)) == ServerChange(
        "i-0a",
        RegisteredServer(
            "i-0a",
            1700000000000,
            "desk",
            ("10.128.0.9", 8080),
            "a",
            4,
            draining=False,
            cold_ms=250,
        ),
    )


def test_decodes_routes():
    change = decode_item(encode_item("op/config", ROUTES_ENTRY))
    assert isinstance(change, RoutesChange)
    assert change.table.version == 7
    assert change.table.idle_timeout_s == 15
    assert change.table.services == {
        "d": ServiceLimits("d", cold_opens_per_s=12.5, max_connections=2000)
    }
    assert list(change.table.routes.values()) == [
        ServiceRoute((0xC6120001, 8080), (WeightedService("d", 1.0),), idempotent=True),
        ServiceRoute(
            (0xC6120002, 443), (WeightedService("d", 90), WeightedService("e", 10))
        ),
    ]


def test_decodes_zones_out_of_and_back_in_service():
    assert decode_item(encode_item("op/evacuate/a", {})) == ZoneChange("a", out=True)
    assert decode_item(removed_item("op/evacuate/a")) == ZoneChange("a", out=False)


def test_decodes_the_removal_of_a_registration():
    assert decode_item(removed_item("servers/i-0a")) == ServerChange("i-0a", None)


@pytest.mark.parametrize(
    "fault",
    [
        {"state": "asleep"},
        {"slots": "4"},
        {"slots": 0},
        {"address": "nowhere"},
        {"warmup_remaining_ms": None},
        {"version": 1},
        {"sequence": "4"},
        {"sequence": None},
    ],
)
def test_invalid_registration_is_an_unreadable_entry(fault):
    change = decode_item(encode_item("servers/i-0a", SERVER_ENTRY | fault))
    assert isinstance(change, UnreadableEntry)
    assert change.server_id == "i-0a"


@pytest.mark.parametrize("missing", sorted(SERVER_ENTRY.keys() - {"born"}))
def test_registration_with_a_missing_field_is_an_unreadable_entry(missing):
    entry = {key: value for key, value in SERVER_ENTRY.items() if key != missing}
    change = decode_item(encode_item("servers/i-0a", entry))
    assert isinstance(change, UnreadableEntry)
    assert change.reason == f"field {missing!r} is missing"


def test_identifier_without_hex_digits_is_an_unreadable_entry():
    change = decode_item(encode_item("servers/nobody", SERVER_ENTRY))
    assert isinstance(change, UnreadableEntry)


def test_invalid_routes_are_an_unreadable_entry():
    for fault in (b"\xff{", b"[]", b"[" * 100_000, ROUTES_ENTRY | {"version": "7"}):
        change = decode_item(encode_item("op/config", fault))
        assert isinstance(change, UnreadableEntry)
        assert change.server_id is None


@given(
    st.sampled_from(["servers/i-1", "servers/", "op/config", "op/evacuate/", "x"]),
    st.binary(max_size=200) | st.text(max_size=200),
    st.booleans(),
)
def test_any_item_is_decoded_or_ignored(key, value, removed):
    text = value if isinstance(value, str) else b64encode(value).decode()
    decode_item({"key": key, "value": text, "removed": removed})


@pytest.mark.parametrize(
    ("kind", "idempotent"),
    [
        ("idempotent", True),
        ("download", True),
        ("non_idempotent", False),
        ("upload", False),
        ("unheard-of", False),
    ],
)
def test_type_of_a_route_states_whether_callers_may_repeat_requests(kind, idempotent):
    # A download that can't be completed is repeated elsewhere; an upload never is.
    route = ROUTES_ENTRY["routes"][0] | {"type": kind}
    change = decode_item(encode_item("op/config", ROUTES_ENTRY | {"routes": [route]}))
    (decoded,) = change.table.routes.values()
    assert decoded.idempotent is idempotent


ODD_NUMBERS = st.one_of(
    st.sampled_from([float("inf"), float("-inf"), float("nan"), 1e300, -1, 0, True]),
    st.integers(-(2**70), 2**70),
    st.floats(),
)
# JSON may contain halves of surrogate pairs.
ODD_TEXTS = st.text(max_size=5) | st.sampled_from(["\ud800", "a\udfff"])
ODD_VALUES = st.one_of(
    ODD_NUMBERS, st.none(), ODD_TEXTS, st.lists(ODD_NUMBERS, max_size=2)
)


def use(change):
    """Use a decoded change as an instance does, and pass it on to another."""
    if isinstance(change, UnreadableEntry):
        encode((change.key, change.reason, change.server_id))
    directory = Directory()
    directory.apply(ChangeBatch(1, (change,)))
    servers = ServerSet(retention_s=60)
    servers.apply(directory, 100.0)
    for tracked in servers:
        assert len(encode_server_id(tracked.server.id)) == 8
        tracked.record_placement(100.0)
        assert tracked.load(100.5) >= 0
    snapshot = decode_snapshot(encode_snapshot(directory))
    copy = Directory()
    copy.replace(snapshot.batch)
    assert copy.servers == directory.servers


@given(
    st.sampled_from(["servers/", "op/config", "op/evacuate/", ""]),
    ODD_TEXTS,
    st.booleans(),
)
def test_any_key_is_used_or_unreadable(prefix, name, removed):
    # Guards against a zone or identifier that no digest and no snapshot can contain.
    item = encode_item(prefix + name, SERVER_ENTRY) | {"removed": removed}
    change = decode_item(item)
    if change is not None:
        use(change)


@given(
    st.sampled_from(sorted(SERVER_ENTRY)),
    ODD_VALUES,
    st.sampled_from(
        ["i-0a", "i-" + "f" * 16, "i-" + "f" * 17, "i-", "x", "i--1", "-f"]
    ),
)
def test_any_registration_is_used_or_unreadable(name, value, identifier):
    # Guards against a value that decodes and then ends the process where it is used.
    use(decode_item(encode_item(f"servers/{identifier}", SERVER_ENTRY | {name: value})))


@pytest.mark.parametrize("value", [float("inf"), float("nan"), 1e300, 2**70, -1])
def test_time_until_a_server_is_warm_is_finite(value):
    change = decode_item(
        encode_item("servers/i-0a", SERVER_ENTRY | {"warmup_remaining_ms": value})
    )
    if isinstance(change, ServerChange):
        assert 0 <= change.server.cold_ms <= 3_600_000
    else:
        assert isinstance(change, UnreadableEntry)


def test_identifier_of_more_than_16_hex_digits_registers_no_server():
    # It does not fit the eight bytes before a packet that name the server.
    change = decode_item(encode_item("servers/i-" + "f" * 17, SERVER_ENTRY))
    assert isinstance(change, UnreadableEntry)


@given(
    st.sampled_from(["version", "routes", "services", "limits"]),
    st.sampled_from(["host", "prefix", "type", "service", "weight", "name", "idle"]),
    ODD_VALUES,
)
def test_any_routes_are_used_or_unreadable(part, name, value):
    entry = dict(ROUTES_ENTRY)
    if part in ("routes", "services"):
        entry[part] = [item | {name: value} for item in entry[part]]
        if name == "weight" and part == "routes":
            entry[part][1]["traffic_split"] = [{"service": "d", "weight": value}]
    elif part == "limits":
        entry[part] = {"idle_timeout_ms": value}
    else:
        entry[part] = value
    use(decode_item(encode_item("op/config", entry)))
