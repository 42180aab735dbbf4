"""Guards against imports that delay the first packet of an instance."""

from site import getsitepackages
from subprocess import run
from sys import executable

import pytest

from magnoliaslip.bench.start import FIRST_PACKET_MODULES
from magnoliaslip.runtime.deferred_imports import import_event_loop, import_metrics_page

# Each import takes at least a tenth of the time from the start to the first packet.
DEFERRED = ("asyncio", "anyio", "dataclasses", "inspect", "h11", "logging", "msgspec")
CODE = """
import sys
for name in sys.argv[1].split(","):
    __import__(name)
print(*sys.modules)
"""


@pytest.mark.parametrize(
    "modules", [FIRST_PACKET_MODULES, FIRST_PACKET_MODULES + ",fleet_adapter.adapter"]
)
def test_first_packet_needs_no_deferred_module(modules):
    assert not modules_loaded_by(modules) & set(DEFERRED)


def test_sockets_are_opened_before_the_packet_path_is_imported():
    loaded = modules_loaded_by("magnoliaslip.runtime.listeners")
    assert not loaded & {*DEFERRED, "json", "re", "typing", "httptools", "xxhash"}


def modules_loaded_by(modules):
    done = run(
        # -S skips the site module, as in the start command of an instance.
        [executable, "-S", "-c", CODE, modules],
        check=True,
        capture_output=True,
        text=True,
        env={"PYTHONPATH": f"src:platform:{getsitepackages()[0]}"},
    )
    return set(done.stdout.split())


def test_deferred_modules_exist():
    assert len(list(import_event_loop())) > 10
    assert list(import_metrics_page())
