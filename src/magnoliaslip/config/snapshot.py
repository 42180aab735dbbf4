"""The configuration in force: routes, pools and availability zones."""

from dataclasses import dataclass, field

from magnoliaslip.core.address import Address


@dataclass(slots=True, frozen=True)
class Route:
    """Assigns the traffic to one service address to a service."""

    address: Address
    service: str


@dataclass(slots=True, frozen=True)
class BackendServer:
    """A backend server of a pool.

    Attributes:
        name: Unique within the pool.
        address: Where its operating system terminates the tunnel.
        zone: Its availability zone.
        slots: Requests that it handles concurrently; 0 if not stated.
        connections: Open flows that it can hold; 0 if not stated.
        drain: Whether it is excluded from new flows.
        health: Address of its endpoint ``GET /v1/health``; None if it has none.
    """

    name: str
    address: Address
    zone: str
    slots: int = 0
    connections: int = 0
    drain: bool = False
    health: Address | None = None


@dataclass(slots=True, frozen=True)
class Pool:
    """The backend servers of one service.

    Attributes:
        service: Name that routes refer to.
        version: Version of the table shard that holds the pool.
        servers: The backend servers, in published order.
    """

    service: str
    version: int
    servers: tuple[BackendServer, ...]


@dataclass(slots=True, frozen=True)
class Snapshot:
    """One consistent, validated set of tables.

    Attributes:
        version: Version of the ``index`` value that names the set.
        routes: Routes by service address.
        pools: Pools by service name.
        zones_out: Availability zones that are out of service.
        values: Version of each value in the set, by key.
    """

    version: int
    routes: dict[Address, Route] = field(default_factory=dict)
    pools: dict[str, Pool] = field(default_factory=dict)
    zones_out: frozenset[str] = frozenset()
    values: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True, frozen=True)
class HistoryEntry:
    """A snapshot that is or was in force.

    Attributes:
        snapshot: The tables.
        since: Monotonic time in seconds at which it came into force here; for an
            entry received from a peer, when it came into force at that peer.
    """

    snapshot: Snapshot
    since: float
