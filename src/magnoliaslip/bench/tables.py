"""Generates published tables of any size."""

from collections.abc import Iterator

from msgspec.json import encode

from magnoliaslip.core.address import Address
from magnoliaslip.core.group import InstanceEntry

# At about 90 bytes per entry, half of the 1 MB limit of a value.
SERVERS_PER_SHARD = 5_500
SERVERS_PER_SERVICE = 110
ROUTES_PER_SHARD = 5_500
ZONES = tuple("abcdefghijklmnopqrstuvwxyz01234")


def zone_names(count: int) -> tuple[str, ...]:
    """Return the names of up to 31 availability zones.

    >>> zone_names(3)
    ('a', 'b', 'c')
    """
    return ZONES[:count]


class PublishedTables:
    """Generated tables in the published form, with a version for each value.

    Args:
        servers: Total number of backend servers.
        per_service: Number of backend servers per service.
        routes: Number of service addresses; one per service by default.
        zones: Number of availability zones.

    >>> tables = PublishedTables(3)
    >>> sorted(tables.values())
    ['index', 'pools/0', 'routes/0', 'zones']
    """

    def __init__(
        self,
        servers: int,
        *,
        per_service: int = SERVERS_PER_SERVICE,
        routes: int = 0,
        zones: int = 3,
    ) -> None:
        self.servers = servers
        self.zones = zone_names(zones)
        self.zones_out: set[str] = set()
        self.version = 0
        self._per_service = per_service
        self._service_count = -(-servers // per_service)
        self._route_count = routes or self._service_count
        self._versions: dict[str, int] = {}
        self._instances_version = 0

    @property
    def service_addresses(self) -> list[Address]:
        """Service addresses; the first ones belong to distinct services."""
        return [self._service_address(n) for n in range(self._route_count)]

    def server_address(self, number: int) -> Address:
        """Return the tunnel address of a backend server."""
        return Address(f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 6080)

    def add_servers(self, count: int) -> None:
        """Add backend servers; only for tables with one service."""
        self.servers += count
        self._per_service += count

    def values(self, *keys: str) -> dict[str, bytes]:
        """Return the values of the keys with increased versions, all by default."""
        self.version += 1
        keys = keys or tuple(self._keys())
        result = {}
        for key in keys:
            self._versions[key] = self.version
            result[key] = self._encode(key)
        index = {"version": self.version, "values": self._versions}
        return {**result, "index": encode(index)}

    def instances(self, entries: list[InstanceEntry]) -> dict[str, bytes]:
        """Return the platform's list of instances with an increased version."""
        self._instances_version += 1
        items = [
            {
                "id": entry.id,
                "zone": entry.zone,
                "data": str(entry.data),
                "control": str(entry.control),
                "state": "live",
            }
            for entry in entries
        ]
        value = {"version": self._instances_version, "instances": items}
        return {"instances": encode(value)}

    def _keys(self) -> Iterator[str]:
        for shard in range(-(-self.servers // SERVERS_PER_SHARD)):
            yield f"pools/{shard}"
        for shard in range(-(-self._route_count // ROUTES_PER_SHARD)):
            yield f"routes/{shard}"
        yield "zones"

    def _encode(self, key: str) -> bytes:
        version = self.version
        if key == "zones":
            states = {z: "out" if z in self.zones_out else "in" for z in self.zones}
            return encode({"version": version, "zones": states})
        kind, shard = key.split("/")
        if kind == "pools":
            return encode(
                {"version": version, "pools": self._pool_documents(int(shard))}
            )
        first = int(shard) * ROUTES_PER_SHARD
        last = min(first + ROUTES_PER_SHARD, self._route_count)
        routes = [
            {
                "address": self._service_address(n).host,
                "port": 443,
                "service": f"service-{n % self._service_count}",
            }
            for n in range(first, last)
        ]
        return encode({"version": version, "routes": routes})

    def _pool_documents(self, shard: int) -> list[dict[str, object]]:
        first = shard * SERVERS_PER_SHARD
        last = min(first + SERVERS_PER_SHARD, self.servers)
        pools: dict[str, list[object]] = {}
        for n in range(first, last):
            service = f"service-{n // self._per_service}"
            address = self.server_address(n)
            pools.setdefault(service, []).append(
                {
                    "name": f"server-{n}",
                    "address": address.host,
                    "port": address.port,
                    "zone": self.zones[n % len(self.zones)],
                    # Each version of a shard changes its first server.
                    "connections": 2000 + (self.version if n == first else 0),
                }
            )
        return [{"service": name, "servers": pool} for name, pool in pools.items()]

    @staticmethod
    def _service_address(number: int) -> Address:
        return Address(
            f"198.{18 + (number >> 16)}.{number >> 8 & 255}.{number & 255}", 443
        )
