"""Tags that identify backend servers."""

from xxhash import xxh32_intdigest

from magnoliaslip.registry.model import RegisteredServer


def server_tag(server: RegisteredServer) -> int:
    """Return the 32-bit tag of one incarnation of a server; never 0.

    Every instance computes the same tag; a restart under the same identifier gets a
    different one.
    """
    return xxh32_intdigest(f"{server.id}\0{server.started_ms}".encode()) or 1
