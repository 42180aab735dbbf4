"""Guards against an instance that starts with unintended settings."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaslip.config.jsonc import JsoncDocument
from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import SettingsError

VALID_SETTINGS = """{
  // the first instance
  "id": "i1", "zone": "a",
  "data": "127.0.0.1:7001",
  "control": "127.0.0.1:7101",
  "egress": "127.0.0.1:7900",
  "platform": ["127.0.0.1:7800"],
}"""


def parse(text):
    return InstanceSettings.from_document(JsoncDocument("i1.jsonc", text))


def test_defaults(tmp_path):
    path = tmp_path / "i1.jsonc"
    path.write_text(VALID_SETTINGS)
    cfg = InstanceSettings.load(path)
    assert cfg.platform == (Address("127.0.0.1", 7800),)
    assert (cfg.log_level, cfg.history_window_s, cfg.slow_start_s) == ("INFO", 3600, 30)
    assert (cfg.allowed_networks, cfg.record_to) == ((), None)


@pytest.mark.parametrize(
    ("old", "new", "code", "place"),
    [
        ('"zone": "a"', '"zonne": "a"', "MS103", "i1.jsonc:3: zonne"),
        ('"zone": "a"', '"zone": 1', "MS104", "i1.jsonc:3: zone"),
        ('"zone": "a",', "", "MS105", "i1.jsonc: zone"),
        ('"zone": "a"', '"zone": "a", "id": "i2"', "MS106", "i1.jsonc:3: id"),
        ('"zone": "a"', '"zone": ""', "MS107", "i1.jsonc:3: zone"),
        ("127.0.0.1:7001", "localhost:7001", "MS107", "i1.jsonc:4: data"),
        ("127.0.0.1:7800", "127.0.0.1", "MS107", "i1.jsonc:7: platform[0]"),
        ('["127.0.0.1:7800"]', "[]", "MS107", "i1.jsonc:7: platform"),
        ('"id"', '"log_level": "LOUD", "id"', "MS107", "i1.jsonc:3: log_level"),
        (
            '"id"',
            '"allowed_networks": ["10.0.0.1/8"], "id"',
            "MS107",
            "i1.jsonc:3: allowed_networks[0]",
        ),
        ('"id"', '"slow_start_s": Infinity, "id"', "MS107", "i1.jsonc:3: slow_start_s"),
        ('"id": "i1",', '"id" "i1",', "MS102", "i1.jsonc:3"),
    ],
)
def test_error_has_code_place_and_remedy(old, new, code, place):
    with pytest.raises(SettingsError) as caught:
        parse(VALID_SETTINGS.replace(old, new))
    assert (caught.value.code, caught.value.place) == (code, place)
    assert caught.value.remedy


def test_line_of_key_skips_comments_and_counts_them():
    document = JsoncDocument("x", '{ /* "b": 1,\n */ // b: 2\n "b": 3 }')
    assert document.place("b") == "x:3: b"


def test_unreadable_file(tmp_path):
    with pytest.raises(SettingsError, match="MS101"):
        InstanceSettings.load(tmp_path / "absent.jsonc")


@settings(max_examples=100, deadline=None)
@given(
    cut=st.integers(0, len(VALID_SETTINGS)),
    text=st.text(alphabet='{}[]",:/*\\ \n1a', max_size=12),
)
def test_any_text_is_accepted_or_rejected_with_a_settings_error(cut, text):
    try:
        parse(VALID_SETTINGS[:cut] + text + VALID_SETTINGS[cut:])
    except SettingsError as exc:
        assert exc.place.startswith("i1.jsonc")
