"""Resident memory of each command and library, and CPU time of a command's imports."""

from magnoliaslip.bench.child import import_in_child
from magnoliaslip.bench.report import Figure

REPETITIONS = 3
MIB = 1 << 20
# Modules that each command has loaded when it starts its work.
COMMANDS = {
    "instance": "magnoliaslip.instance.__main__,magnoliaslip.instance.process",
    "ops": "magnoliaslip.ops.__main__",
    "ops_status": "magnoliaslip.ops.__main__,magnoliaslip.ops.admin_client",
    "lab": "magnoliaslip.lab.__main__",
}
# Each is imported alone in a new interpreter; shared modules such as ``typing`` are
# counted for each.
LIBRARIES = (
    "asyncio",
    "anyio,anyio._backends._asyncio",
    "dpkt",
    "click",
    "hdrh.histogram",
    "msgspec.json",
    "json5",
    "google.protobuf.message",
    "grpclib.client,grpclib.server",
    "h11",
    "xxhash",
    "magnoliaslip.peering.proto.peer_pb2",
    "magnoliaslip.placement.router",
)


def measure_resident() -> list[Figure]:
    """Measure the imports of each command and of each library.

    Resident memory of a command includes that of the interpreter; a library's does not.
    """
    figures = []
    interpreter_mib = [import_in_child("sys")[0] / MIB for _ in range(REPETITIONS)]
    figures.append(Figure.of("resident/interpreter", interpreter_mib, "MiB"))
    for name, modules in COMMANDS.items():
        runs = [import_in_child(modules) for _ in range(REPETITIONS)]
        resident = [after / MIB for _, after, _ in runs]
        figures.append(Figure.of(f"resident/{name}", resident, "MiB"))
        cpu_ms = [seconds * 1e3 for *_, seconds in runs]
        figures.append(Figure.of(f"import_cpu/{name}", cpu_ms, "ms"))
    for modules in LIBRARIES:
        runs = [import_in_child(modules) for _ in range(REPETITIONS)]
        added = [(after - before) / MIB for before, after, _ in runs]
        name = modules.split(",")[0]
        figures.append(Figure.of(f"import/{name}", added, "MiB"))
    return figures
