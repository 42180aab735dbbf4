"""Guards against modules that delay the first packet of an instance."""

from subprocess import run
from sys import executable

import pytest

from magnoliaslip.bench.start import FIRST_PACKET
from magnoliaslip.runtime.late_imports import import_event_loop, import_metrics_page

# Each takes at least a tenth of the time from the start to the first packet.
LATE = ("asyncio", "anyio", "dataclasses", "inspect", "h11", "logging", "msgspec")
CODE = """
import sys
for name in sys.argv[1].split(","):
    __import__(name)
print(*sys.modules)
"""


@pytest.mark.parametrize(
    "modules", [FIRST_PACKET, FIRST_PACKET + ",fleet_adapter.adapter"]
)
def test_first_packet_needs_no_late_module(modules):
    done = run(
        [executable, "-c", CODE, modules],
        check=True,
        capture_output=True,
        text=True,
        env={"PYTHONPATH": "src:platform"},
    )
    loaded = set(done.stdout.split())
    assert not loaded & set(LATE)


def test_late_modules_exist():
    assert len(list(import_event_loop())) > 10
    assert list(import_metrics_page())
