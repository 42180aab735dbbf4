"""Guards against a faulty list of instances that ends the process."""

import pytest
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
