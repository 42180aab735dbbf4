"""Guards against errors that state the wrong line of a file."""

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaslip.config.line_map import LineMap

TEXT = """{
  // "pools": wrong
  pools: [
    {"service": "a", "servers": [{"zone": "x"},
      {"zone": 'y'}]},
    /* { */
    {"service": "b", // c
     "servers": [{"zone": "}"}]}],
  "empty": "", "last": {
    "k": 1}
}"""


def test_line_numbers_of_nested_paths():
    lines = LineMap(TEXT)
    assert lines.line("pools") == 3
    assert lines.line("pools[0].servers[1].zone") == 5
    assert lines.line("pools[1]") == 7
    assert lines.line("pools[1].servers[0].zone") == 8
    assert lines.line("last.k") == 10


def test_missing_key_gets_line_of_its_container():
    assert LineMap(TEXT).line("pools[1].servers[0].port") == 8
    assert LineMap(TEXT).line("absent") is None


@settings(max_examples=100, deadline=None)
@given(st.text(alphabet="{}[]:,\"'/*\\ \na1", max_size=40))
def test_any_text_is_scanned(text):
    LineMap(text).line("a[0].a")
