"""Guards against a faulty list of instances that ends the process."""

from contextlib import suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import encode

from magnoliaslip.config.instances import parse_instances
from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import ConfigError

LINE = {"id": "i1", "zone": "a", "data": "127.0.0.1:7001", "control": "127.0.0.1:7101"}


def test_entries():
    lines = [LINE | {"state": "live"}, LINE | {"id": "i2", "state": "leaving"}]
    listed = parse_instances(encode({"version": 3, "instances": lines})).instances
    assert listed[0].control == Address("127.0.0.1", 7101)
    assert [entry.leaving for entry in listed] == [False, True]


@pytest.mark.parametrize(
    ("lines", "code"),
    [
        ([LINE, LINE], "MS211"),
        ([LINE | {"data": "host:1"}], "MS210"),
        ([LINE | {"state": "gone"}], "MS218"),
    ],
)
def test_faults(lines, code):
    with pytest.raises(ConfigError, match=code):
        parse_instances(encode({"version": 3, "instances": lines}))


texts = st.text(max_size=8) | st.sampled_from(["i1", "a", "127.0.0.1:70", "live"])


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.dictionaries(st.sampled_from([*LINE, "state"]), texts), max_size=3)
    .map(lambda lines: encode({"version": 1, "instances": lines}))
    .flatmap(lambda data: st.sampled_from([data, data[:-1], data + b"]"]))
    | st.binary(max_size=40)
)
def test_any_bytes_are_accepted_or_refused_with_a_config_error(data):
    with suppress(ConfigError):
        parse_instances(data)
