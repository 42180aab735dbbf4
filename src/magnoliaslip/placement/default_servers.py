"""Default backend servers of a service, computed from its pool without a router."""

from collections.abc import Iterable

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.placement.bucket_table import BucketTable, server_seed


class DefaultServers:
    """The default backend server of each bucket of a service.

    Args:
        service: Name of the service.
        servers: Backend servers that accept new flows.

    >>> from magnoliaslip.core.address import Address
    >>> server = BackendServer("kd-1", Address("127.0.0.1", 6080), "a")
    >>> DefaultServers("kit-desk", [server]).winner(7).name
    'kd-1'
    >>> DefaultServers("kit-desk", []).winner(7) is None
    True
    """

    __slots__ = ("_servers", "_table")

    def __init__(self, service: str, servers: Iterable[BackendServer]) -> None:
        self._servers = tuple(servers)
        self._table = BucketTable(
            {
                number: server_seed(service, server.name)
                for number, server in enumerate(self._servers)
            }
        )

    def winner(self, bucket: int) -> BackendServer | None:
        """Return the default backend server of a bucket; None without servers."""
        if not self._servers:
            return None
        return self._servers[self._table.winner(bucket)]
