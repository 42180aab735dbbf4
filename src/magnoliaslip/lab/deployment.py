"""Predefined deployments of the lab and the tables published for them."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, replace

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.address import Address
from magnoliaslip.core.group import InstanceEntry

MAX_CONNECTIONS_PER_SERVER = 2000
INSTANCE_COUNT = 7


@dataclass(slots=True, frozen=True)
class ServicePlan:
    """A service of a deployment.

    Attributes:
        name: Name of the service.
        address: Address at which callers reach the service.
        prefix: Prefix of the names of its backend servers.
        server_count: Number of backend servers.
    """

    name: str
    address: Address
    prefix: str
    server_count: int


@dataclass(slots=True, frozen=True)
class Deployment:
    """Availability zones, services and network delays of a deployment.

    Attributes:
        name: Name on the command line.
        zones: Names of the availability zones.
        services: The services.
        slots: Number of requests that each backend server runs at the same time.
        zone_delay_s: One-way delay between two zones, in seconds.
        caller_delay_s: One-way delay between callers and zones, in seconds.
    """

    name: str
    zones: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    slots: int
    zone_delay_s: float
    caller_delay_s: float

    def servers(self, service: ServicePlan) -> list[tuple[str, str]]:
        """Return name and zone of each backend server of a service.

        >>> DEPLOYMENTS["sicily"].servers(DEPLOYMENTS["sicily"].services[1])
        [('ar-1', 'a'), ('ar-2', 'b'), ('ar-3', 'c')]
        """
        return [
            (f"{service.prefix}-{n + 1}", self.zones[n % len(self.zones)])
            for n in range(service.server_count)
        ]

    def instances(self) -> list[tuple[str, str]]:
        """Return identifier and zone of each instance."""
        return [
            (f"i{n + 1}", self.zones[n % len(self.zones)])
            for n in range(INSTANCE_COUNT)
        ]


DEPLOYMENTS: Mapping[str, Deployment] = {
    "karaganda": Deployment(
        name="karaganda",
        zones=("a", "b", "c", "d"),
        services=(
            ServicePlan("kit-desk", Address("198.51.100.10", 443), "kd", 7),
            ServicePlan("spawn-lab", Address("198.51.100.11", 443), "sl", 4),
        ),
        slots=4,
        zone_delay_s=0.003,
        caller_delay_s=0.001,
    ),
    "sicily": Deployment(
        name="sicily",
        zones=("a", "b", "c"),
        services=(
            ServicePlan("rota", Address("198.51.100.20", 443), "ro", 7),
            ServicePlan("archivio", Address("198.51.100.21", 443), "ar", 3),
        ),
        slots=2,
        zone_delay_s=0.005,
        caller_delay_s=0.003,
    ),
}


class Tables:
    """The tables that operators publish, and the list of instances.

    Each new value of a key has a greater version than the last one.

    Args:
        deployment: The deployment.
        servers: Backend servers by service.

    Attributes:
        pools: Current pool entries by service.
        zones_out: Availability zones that are taken out.
        instances: Entries of the list of instances.
    """

    def __init__(
        self, deployment: Deployment, servers: Mapping[str, Collection[BackendServer]]
    ) -> None:
        self.pools = {service: list(pool) for service, pool in servers.items()}
        self._original_entries = {
            server.name: (service, server)
            for service, pool in self.pools.items()
            for server in pool
        }
        self.zones_out: set[str] = set()
        self.instances: list[InstanceEntry] = []
        self._deployment = deployment
        self._version = 0
        self._instances_version = 0
        self._versions: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Version of the last value of ``index``."""
        return self._version

    def next_values(self, *keys: str) -> dict[str, object]:
        """Return new values of the keys, followed by the new value of ``index``.

        The index contains the version of each table published so far.

        Args:
            keys: Any of ``routes/0``, ``pools/0`` and ``zones``; all when empty.
        """
        self._version += 1
        values: dict[str, object] = {}
        for key in keys or ("routes/0", "pools/0", "zones"):
            self._versions[key] = self._version
            values[key] = {"version": self._version, **self._table_content(key)}
        values["index"] = {"version": self._version, "values": dict(self._versions)}
        return values

    def drain_server(self, name: str) -> None:
        """Mark a pool entry as draining."""
        service, entry = self._original_entries[name]
        pool = self.pools[service]
        self.pools[service] = [
            replace(entry, drain=True) if server.name == name else server
            for server in pool
        ]

    def remove_server(self, name: str) -> None:
        """Remove a backend server from its pool."""
        service, _ = self._original_entries[name]
        pool = self.pools[service]
        self.pools[service] = [server for server in pool if server.name != name]

    def restore_server(self, name: str) -> None:
        """Restore the original pool entry, at the end of its pool."""
        self.remove_server(name)
        service, entry = self._original_entries[name]
        self.pools[service].append(entry)

    def next_instance_list(self) -> dict[str, object]:
        """Return the next value of ``instances``, which the platform itself writes."""
        self._instances_version += 1
        entries = [
            {
                "id": entry.id,
                "zone": entry.zone,
                "data": str(entry.data),
                "control": str(entry.control),
                "state": "leaving" if entry.leaving else "live",
            }
            for entry in self.instances
        ]
        return {"version": self._instances_version, "instances": entries}

    def _table_content(self, key: str) -> dict[str, object]:
        if key == "zones":
            out = self.zones_out
            states = {z: "out" if z in out else "in" for z in self._deployment.zones}
            return {"zones": states}
        if key == "pools/0":
            pools = [
                {"service": service, "servers": [_server_entry(s) for s in servers]}
                for service, servers in self.pools.items()
            ]
            return {"pools": pools}
        routes = [
            {
                "address": service.address.host,
                "port": service.address.port,
                "service": service.name,
            }
            for service in self._deployment.services
        ]
        return {"routes": routes}


def _server_entry(server: BackendServer) -> dict[str, object]:
    health = {} if server.health is None else {"health": str(server.health)}
    return health | {
        "name": server.name,
        "address": server.address.host,
        "port": server.address.port,
        "zone": server.zone,
        "slots": server.slots,
        "connections": server.connections,
        "drain": server.drain,
    }
