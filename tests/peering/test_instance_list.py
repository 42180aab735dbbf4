"""Guards against an invalid list of instances that ends the process."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import encode

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import ConfigError
from magnoliaslip.peering.instance_list import InstanceList

INSTANCE = {
    "id": "i1",
    "zone": "a",
    "data": "127.0.0.1:7001",
    "control": "127.0.0.1:7101",
}
texts = st.text(max_size=8) | st.sampled_from(["i1", "a", "127.0.0.1:70", "live"])


def test_entries_are_parsed():
    instances = [
        INSTANCE | {"state": "live"},
        INSTANCE | {"id": "i2", "state": "leaving"},
    ]
    entries = InstanceList.parse(encode({"version": 3, "instances": instances})).entries
    assert entries[0].control == Address("127.0.0.1", 7101)
    assert [entry.leaving for entry in entries] == [False, True]


def test_host_name_is_rejected():
    instances = [INSTANCE | {"data": "host:1"}]
    with pytest.raises(ConfigError):
        InstanceList.parse(encode({"version": 3, "instances": instances}))


@pytest.mark.parametrize(
    "data",
    [
        b'{"version": 1, "instances": [{"id": "i1"}]}',
        encode({"version": 1, "instances": [INSTANCE | {"data": "x"}]}),
        b'{"version": 1.5, "instances": []}',
    ],
)
def test_invalid_lists_are_rejected(data):
    with pytest.raises(ConfigError):
        InstanceList.parse(data)


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.dictionaries(st.sampled_from([*INSTANCE, "state"]), texts), max_size=3)
    .map(lambda instances: encode({"version": 1, "instances": instances}))
    .flatmap(lambda data: st.sampled_from([data, data[:-1], data + b"]"]))
    | st.binary(max_size=40)
)
def test_any_bytes_are_parsed_or_raise_config_error(data):
    with suppress(ConfigError):
        InstanceList.parse(data)
