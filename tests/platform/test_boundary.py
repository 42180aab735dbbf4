"""Guards against wire names of the platform outside the adapter."""

from pathlib import Path
from re import compile as compile_pattern

ROOT = Path(__file__).parents[2]
MAX_ADAPTER_LINES = 600
WIRE_NAMES = compile_pattern(
    r"servers/|op/evacuate|op/config|kv-(range|watch|key)|warmup_remaining_ms|"
    r"heartbeat_ms|datagram_listener|readiness_address|warmup_per_s|stale_ok|as_of|"
    r"has_more|traffic_split|idle_timeout_ms|v1/readiness|internal_port_range"
)


def source_files(folder):
    return list((ROOT / folder).rglob("*.py"))


def test_no_platform_wire_name_outside_the_adapter():
    found = [
        (path.name, match.group())
        for path in source_files("src")
        for match in WIRE_NAMES.finditer(path.read_text())
    ]
    assert not found


def test_product_does_not_import_the_adapter():
    assert not [
        path.name for path in source_files("src") if "fleet_adapter" in path.read_text()
    ]


def test_adapter_stays_below_its_line_limit():
    assert (
        sum(len(p.read_text().splitlines()) for p in source_files("platform"))
        < MAX_ADAPTER_LINES
    )
