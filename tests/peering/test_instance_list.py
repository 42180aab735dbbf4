"""Guards against a faulty list of instances that ends the process."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import encode

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import ConfigError
from magnoliaslip.peering.instance_list import InstanceList

LINE = {"id": "i1", "zone": "a", "data": "127.0.0.1:7001", "control": "127.0.0.1:7101"}
texts = st.text(max_size=8) | st.sampled_from(["i1", "a", "127.0.0.1:70", "live"])


def test_entries():
    lines = [LINE | {"state": "live"}, LINE | {"id": "i2", "state": "leaving"}]
    entries = InstanceList.parse(encode({"version": 3, "instances": lines})).entries
    assert entries[0].control == Address("127.0.0.1", 7101)
    assert [entry.leaving for entry in entries] == [False, True]


def test_host_name_is_refused():
    lines = [LINE | {"data": "host:1"}]
    with pytest.raises(ConfigError):
        InstanceList.parse(encode({"version": 3, "instances": lines}))


@pytest.mark.parametrize(
    "data",
    [
        b'{"version": 1, "instances": [{"id": "i1"}]}',
        encode({"version": 1, "instances": [LINE | {"data": "x"}]}),
        b'{"version": 1.5, "instances": []}',
    ],
)
def test_incomplete_lists_are_refused(data):
    with pytest.raises(ConfigError):
        InstanceList.parse(data)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.dictionaries(st.sampled_from([*LINE, "state"]), texts), max_size=3)
    .map(lambda lines: encode({"version": 1, "instances": lines}))
    .flatmap(lambda data: st.sampled_from([data, data[:-1], data + b"]"]))
    | st.binary(max_size=40)
)
def test_any_bytes_are_accepted_or_refused_with_a_config_error(data):
    with suppress(ConfigError):
        InstanceList.parse(data)
