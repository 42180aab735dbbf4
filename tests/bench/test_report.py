"""Tests of the report and of the list of sections."""

from msgspec.json import decode

from magnoliaslip.bench.__main__ import SECTIONS, load_section
from magnoliaslip.bench.report import Figure, print_figures


def test_each_figure_is_one_json_line_before_the_table(capsys):
    """Guards against output that scripts cannot parse line by line."""
    figures = [Figure.of("a/1", [1.0, 9.0, 2.0], "s"), Figure.of("b", [4.0], "B")]
    print_figures(figures)
    lines = capsys.readouterr().out.splitlines()
    assert [decode(line)["value"] for line in lines[:2]] == [2.0, 4.0]
    assert decode(lines[0])["low"] == 1.0
    assert decode(lines[0])["high"] == 9.0
    assert not lines[2]
    assert "1.000 to 9.000" in lines[3]


def test_every_section_has_a_measuring_function():
    """Guards against a missing function that a full run reveals only after minutes."""
    for name in SECTIONS:
        assert load_section(name).__name__.startswith("measure_")
