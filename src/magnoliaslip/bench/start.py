"""Imports of an instance that steers by server tags, in both phases of its start."""

from magnoliaslip.bench.child import import_in_child
from magnoliaslip.bench.report import Figure

REPETITIONS = 5
MIB = 1 << 20
# Loaded when the first packet is forwarded; an adapter loads its own code in addition.
FIRST_PACKET_MODULES = "magnoliaslip.runtime.start,magnoliaslip.core.http_blocking,json"
# Loaded once the event loop runs.
EVENT_LOOP_MODULES = FIRST_PACKET_MODULES + (
    ",anyio,anyio._backends._asyncio,h11,hdrh.histogram,magnoliaslip.runtime.process"
)


def measure_start() -> list[Figure]:
    """Measure CPU time and memory beyond those of the bare interpreter."""
    figures = []
    for name, modules in (
        ("first_packet", FIRST_PACKET_MODULES),
        ("event_loop", EVENT_LOOP_MODULES),
    ):
        runs = [import_in_child(modules) for _ in range(REPETITIONS)]
        cpu_ms = [seconds * 1e3 for *_, seconds in runs]
        figures.append(Figure.of(f"start_cpu/{name}", cpu_ms, "ms"))
        added = [(after - before) / MIB for before, after, _ in runs]
        figures.append(Figure.of(f"start_memory/{name}", added, "MiB"))
    return figures
