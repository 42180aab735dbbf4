"""Assigns numbers to the backend servers of one service."""

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.placement.bucket_table import MAX_SERVERS, server_seed


class ServerTable:
    """Assigns each backend server a 16-bit number that is kept across pool versions.

    A server keeps its number while its name and address stay the same. Servers that
    left the pool stay registered, because established flows still use them.

    Args:
        service: Name of the service.
    """

    __slots__ = ("_by_identity", "_by_name", "_seeds", "_servers", "service")

    def __init__(self, service: str) -> None:
        self.service = service
        self._by_identity: dict[tuple, int] = {}
        self._by_name: dict[str, int] = {}
        self._servers: list[BackendServer] = []
        self._seeds: list[bytes] = []

    def __getitem__(self, number: int) -> BackendServer:
        return self._servers[number]

    def __len__(self) -> int:
        return len(self._servers)

    def register(self, server: BackendServer) -> int:
        """Register a server of a published pool, and return its number."""
        identity = (server.name, server.address)
        number = self._by_identity.pop(identity, None)
        if number is None:
            number = self._new_number()
            self._seeds[number] = server_seed(self.service, server.name)
        self._by_identity[identity] = number  # most recently published servers last
        self._servers[number] = server
        self._by_name[server.name] = number
        return number

    def find(self, name: str) -> int | None:
        """Return the number of the latest server with this name."""
        return self._by_name.get(name)

    def seed(self, number: int) -> bytes:
        """Return the rendezvous seed of a server."""
        return self._seeds[number]

    def _new_number(self) -> int:
        if len(self._servers) < MAX_SERVERS:
            self._servers.append(None)  # type: ignore[arg-type]
            self._seeds.append(b"")
            return len(self._servers) - 1
        # Reuses the number of the least recently published server.
        identity, number = next(iter(self._by_identity.items()))
        del self._by_identity[identity]
        if self._by_name.get(identity[0]) == number:
            del self._by_name[identity[0]]
        return number
