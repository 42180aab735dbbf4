"""Tags of backend servers, and the servers that tags stand for."""

from xxhash import xxh32_intdigest

from magnoliaslip.registry.model import RegisteredServer


def server_tag(server: RegisteredServer) -> int:
    """Return the 32-bit tag of one start of a server; never 0.

    Every instance computes the same tag, and a restart under the same identifier
    gets another one.
    """
    return xxh32_intdigest(f"{server.id}\0{server.started_ms}".encode()) or 1
