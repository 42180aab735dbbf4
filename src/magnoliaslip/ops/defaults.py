"""Default backend servers by name, as instances compute them."""

from collections.abc import Iterable

from magnoliaslip.config.snapshot import BackendServer, Snapshot
from magnoliaslip.placement.bucket_table import NO_SERVER, BucketTable, server_seed


class DefaultServers:
    """The default of each bucket of one service.

    Args:
        service: Name of the service.
        servers: Backend servers that take new flows.

    >>> DefaultServers("rota", []).winner(7) is None
    True
    """

    __slots__ = ("_names", "_table")

    def __init__(self, service: str, servers: Iterable[BackendServer]) -> None:
        self._names = [server.name for server in servers]
        self._table = BucketTable(
            {
                number: server_seed(service, name)
                for number, name in enumerate(self._names)
            }
        )

    def winner(self, bucket: int) -> str | None:
        """Return the name of the bucket's server; None when no server is in."""
        number = self._table.winner(bucket)
        return None if number == NO_SERVER else self._names[number]


def eligible_servers(snapshot: Snapshot, service: str) -> list[BackendServer]:
    """Return the backend servers of a service that take new flows."""
    return [
        server
        for server in snapshot.pools[service].servers
        if not server.drain and server.zone not in snapshot.zones_out
    ]
