"""Guards against invalid settings that are accepted."""

from json import dumps

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magnoliaslip.config.jsonc import JsoncDocument
from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import SettingsError
from magnoliaslip.runtime.settings import SteeringSettings

SETTINGS = {
    "id": "i1",
    "zone": "a",
    "control": "127.0.0.1:7003",
    "store": "127.0.0.1:7004",
    "seeds": ["127.0.0.2:7003"],
}


def parse(value):
    return SteeringSettings.from_document(JsoncDocument("i.jsonc", dumps(value)))


def test_valid_settings_are_decoded_with_defaults():
    cfg = parse(SETTINGS)
    assert cfg.control == Address("127.0.0.1", 7003)
    assert cfg.seeds == (Address("127.0.0.2", 7003),)
    assert cfg.metrics_port == 9464


@pytest.mark.parametrize(
    ("change", "code", "key"),
    [
        ({"zonee": "a"}, "MS103", "zonee"),
        ({"id": 5}, "MS104", "id"),
        ({"id": ""}, "MS107", "id"),
        ({"control": "nowhere"}, "MS107", "control"),
        ({"seeds": ["127.0.0.1:1", "x"]}, "MS107", "seeds[1]"),
        ({"seeds": [5]}, "MS107", "seeds[0]"),
        ({"seeds": "x"}, "MS104", "seeds"),
        ({"metrics_port": 70000}, "MS107", "metrics_port"),
        ({"metrics_port": True}, "MS107", "metrics_port"),
        ({"log_lines_per_s": 0}, "MS107", "log_lines_per_s"),
        ({"log_level": "LOUD"}, "MS107", "log_level"),
    ],
)
def test_invalid_setting_names_the_key_and_a_remedy(change, code, key):
    with pytest.raises(SettingsError) as caught:
        parse(SETTINGS | change)
    assert caught.value.code == code
    assert key in caught.value.place
    assert caught.value.remedy


@pytest.mark.parametrize("key", ["id", "zone", "control", "store"])
def test_missing_key_is_an_error(key):
    with pytest.raises(SettingsError, match="missing"):
        parse({name: value for name, value in SETTINGS.items() if name != key})


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(list(SETTINGS)), inner, max_size=4)
    ),
    max_leaves=6,
)


@given(JSON)
def test_any_document_is_decoded_or_rejected_with_a_remedy(value):
    document = SETTINGS | value if isinstance(value, dict) else value
    try:
        parse(document)
    except SettingsError as exc:
        assert exc.remedy
