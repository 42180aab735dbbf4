"""Published tables: the format of each value and the checks across values.

>>> values = {
...     "index": b'{"version": 1, "values": {"zones": 1}}',
...     "zones": b'{"version": 1, "zones": {"a": "in", "b": "out"}}',
... }
>>> TableSet.parse(values).build_snapshot().zones_out
frozenset({'b'})
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from ipaddress import AddressValueError, IPv4Address
from re import compile as compile_pattern
from typing import Annotated, Literal, Self

from msgspec import Meta, Struct
from msgspec.json import Decoder

from magnoliaslip.config.decoding import decode_value
from magnoliaslip.config.errors import (
    BadAddressError,
    DanglingServiceError,
    DuplicateServerAddressError,
    DuplicateServerError,
    DuplicateServiceError,
    EmptyPoolError,
    MissingValueError,
    OverlappingRouteError,
    UnknownKeyError,
    UnknownZoneError,
    VersionMismatchError,
)
from magnoliaslip.config.snapshot import BackendServer, Pool, Route, Snapshot
from magnoliaslip.core.address import Address

INDEX_KEY = "index"
ZONES_KEY = "zones"
MAX_NAME_LENGTH = 100
MAX_VERSION = 2**63 - 1  # versions are sent as 64-bit integers between instances
MAX_CAPACITY = 1_000_000  # slots or connections of one backend server

_SHARD_PATTERN = compile_pattern(r"(routes|pools)/[A-Za-z0-9._-]{1,100}")

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
Version = Annotated[int, Meta(ge=1, le=MAX_VERSION)]
Port = Annotated[int, Meta(ge=1, le=65535)]
Capacity = Annotated[int, Meta(ge=0, le=MAX_CAPACITY)]


class IndexValue(Struct, forbid_unknown_fields=True, frozen=True):
    """The ``index`` value: the version of each value in the set."""

    version: Version
    values: dict[str, Version]


class PublishedRoute(Struct, forbid_unknown_fields=True, frozen=True):
    """One route as published."""

    address: str
    port: Port
    service: Name


class RoutesValue(Struct, forbid_unknown_fields=True, frozen=True):
    """A ``routes/<k>`` value."""

    version: Version
    routes: list[PublishedRoute]


class PublishedServer(Struct, forbid_unknown_fields=True, frozen=True):
    """One backend server as published."""

    name: Name
    address: str
    port: Port
    zone: Name
    slots: Capacity = 0
    connections: Capacity = 0
    drain: bool = False
    health: str | None = None


class PublishedPool(Struct, forbid_unknown_fields=True, frozen=True):
    """One pool as published."""

    service: Name
    servers: list[PublishedServer]


class PoolsValue(Struct, forbid_unknown_fields=True, frozen=True):
    """A ``pools/<k>`` value."""

    version: Version
    pools: list[PublishedPool]


class ZonesValue(Struct, forbid_unknown_fields=True, frozen=True):
    """The ``zones`` value."""

    version: Version
    zones: dict[Name, Literal["in", "out"]]


TableValue = RoutesValue | PoolsValue | ZonesValue

_INDEX_DECODER = Decoder(IndexValue)
_ZONES_DECODER = Decoder(ZonesValue)
_ROUTES_DECODER = Decoder(RoutesValue)
_POOLS_DECODER = Decoder(PoolsValue)


@dataclass(slots=True, frozen=True)
class Table:
    """One decoded value, with its published document.

    Attributes:
        key: Name of the value.
        version: Its version.
        data: JSON document as published.
        routes: Routes of a ``routes/<k>`` value.
        pools: Pools of a ``pools/<k>`` value.
        zones: Name of each availability zone of the ``zones`` value, with whether it
            is in service.
        server_zones: Availability zones that the backend servers are in.
    """

    key: str
    version: int
    data: bytes
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    zones: tuple[tuple[str, bool], ...] = ()
    server_zones: frozenset[str] = frozenset()

    @classmethod
    def parse(cls, key: str, data: bytes) -> Self:
        """Decode a value and check it independently of the other values.

        Raises:
            ConfigError: The value is invalid.
        """
        if key == ZONES_KEY:
            return cls.build(key, decode_value(key, data, _ZONES_DECODER), data)
        if key.startswith("routes/"):
            return cls.build(key, decode_value(key, data, _ROUTES_DECODER), data)
        return cls.build(key, decode_value(key, data, _POOLS_DECODER), data)

    @classmethod
    def build(cls, key: str, value: TableValue, data: bytes = b"") -> Self:
        """Check a decoded value.

        Args:
            key: Name of the value, or of the file that it comes from.
            value: The value.
            data: JSON document as published.

        Raises:
            ConfigError: The value is invalid.
        """
        if isinstance(value, ZonesValue):
            states = sorted(value.zones.items())
            zones = tuple((zone, state == "in") for zone, state in states)
            return cls(key, value.version, data, zones=zones)
        if isinstance(value, RoutesValue):
            routes = tuple(
                Route(
                    _parse_address(published, f"{key}: routes[{n}]"), published.service
                )
                for n, published in enumerate(value.routes)
            )
            return cls(key, value.version, data, routes=routes)
        pools = tuple(
            _parse_pool(published, value.version, f"{key}: pools[{n}]")
            for n, published in enumerate(value.pools)
        )
        server_zones = frozenset(
            server.zone for pool in pools for server in pool.servers
        )
        return cls(key, value.version, data, pools=pools, server_zones=server_zones)

    def has_same_content(self, other: "Table") -> bool:
        """Check whether version and content are equal, regardless of formatting."""
        return (self.version, self.routes, self.pools, self.zones) == (
            other.version,
            other.routes,
            other.pools,
            other.zones,
        )


@dataclass(slots=True, frozen=True)
class TableSet:
    """All values that one version of the index names.

    Attributes:
        version: Version of the index.
        index: The ``index`` value as published.
        tables: Decoded values by key, in the order of their keys.
    """

    version: int
    index: bytes
    tables: dict[str, Table]

    @classmethod
    def parse(
        cls, values: Mapping[str, bytes], *, base: "TableSet | None" = None
    ) -> Self:
        """Decode the set that ``values["index"]`` names.

        Args:
            values: Published values by key. Values that the index does not name
                are ignored.
            base: A set whose tables are used for unchanged values that ``values``
                omits; equal values share memory with it.

        Raises:
            ConfigError: A value is missing or invalid.
        """
        if INDEX_KEY not in values:
            raise MissingValueError(
                "the value was not found",
                place=INDEX_KEY,
                remedy="publish an index that names the tables",
            )
        index = parse_index(values[INDEX_KEY])
        tables = {}
        for key, version in sorted(index.values.items()):
            table = base.tables.get(key) if base else None
            data = values.get(key)
            if data is None and (table is None or table.version != version):
                raise MissingValueError(
                    f"version {version}, named by the index, was not found",
                    place=key,
                    remedy="publish the value, then the index",
                )
            if table is None or (data is not None and table.data != data):
                table = Table.parse(key, data or b"")
            if table.version != version:
                raise VersionMismatchError(
                    f"the value has version {table.version}, the index names {version}",
                    place=f"{key}: version",
                    remedy="publish an index that names the published versions",
                )
            tables[key] = table
        return cls(index.version, values[INDEX_KEY], tables)

    @property
    def values(self) -> dict[str, bytes]:
        """The published values by key, the index included."""
        values = {key: table.data for key, table in self.tables.items()}
        return {INDEX_KEY: self.index, **values}

    def build_snapshot(self) -> Snapshot:
        """Check the tables against each other and build the snapshot.

        Raises:
            ConfigError: The tables contradict each other.
        """
        zones = dict(self.tables[ZONES_KEY].zones)
        pools: dict[str, Pool] = {}
        for place, pool in self._pools_with_places():
            if pool.service in pools:
                raise DuplicateServiceError(
                    f"service {pool.service!r} already has a pool",
                    place=f"{place}.service",
                    remedy="merge the pools of the service into one",
                )
            pools[pool.service] = pool
        for table in self.tables.values():
            # Only tables with an unknown zone are searched server by server.
            if not table.server_zones <= zones.keys():
                _raise_unknown_zone(table, zones)
        return Snapshot(
            version=self.version,
            routes=self._build_routes(pools),
            pools=pools,
            zones_out=frozenset(
                zone for zone, in_service in zones.items() if not in_service
            ),
            values={key: table.version for key, table in self.tables.items()},
        )

    def _pools_with_places(self) -> Iterator[tuple[str, Pool]]:
        for key, table in self.tables.items():
            for n, pool in enumerate(table.pools):
                yield f"{key}: pools[{n}]", pool

    def _build_routes(self, pools: Mapping[str, Pool]) -> dict[Address, Route]:
        routes: dict[Address, Route] = {}
        for key, table in self.tables.items():
            for n, route in enumerate(table.routes):
                place = f"{key}: routes[{n}]"
                if route.address in routes:
                    raise OverlappingRouteError(
                        f"address {route.address} already has a route to service "
                        f"{routes[route.address].service!r}",
                        place=f"{place}.address",
                        remedy="remove one of the two routes",
                    )
                if route.service not in pools:
                    raise DanglingServiceError(
                        f"service {route.service!r} has no pool",
                        place=f"{place}.service",
                        remedy="add a pool for the service or remove the route",
                    )
                routes[route.address] = route
        return routes


def parse_index(data: bytes) -> IndexValue:
    """Decode the ``index`` value and check the keys that it names.

    Raises:
        ConfigError: The value is invalid.
    """
    index = decode_value(INDEX_KEY, data, _INDEX_DECODER)
    for key in index.values:
        if key != ZONES_KEY and not _SHARD_PATTERN.fullmatch(key):
            raise UnknownKeyError(
                f"key {key!r} does not name a table",
                place=f"{INDEX_KEY}: values[{key!r}]",
                remedy="use routes/<shard>, pools/<shard> and zones",
            )
    if ZONES_KEY not in index.values:
        raise MissingValueError(
            "the index does not name the availability zones",
            place=f"{INDEX_KEY}: values",
            remedy="publish zones and name its version in the index",
        )
    return index


def _parse_address(published: PublishedRoute | PublishedServer, place: str) -> Address:
    """Return the address of a published route or server.

    IPv6 is rejected: the data path of this version drops it, so an accepted table
    with IPv6 addresses would serve no caller.
    """
    try:
        host = IPv4Address(published.address)
    except AddressValueError as exc:
        raise BadAddressError(
            f"{published.address!r} is not an IPv4 address",
            place=f"{place}.address",
            remedy="use an IPv4 address such as 198.51.100.10",
        ) from exc
    if host.is_unspecified or host.is_multicast:
        raise BadAddressError(
            f"{published.address} is not the address of a single host",
            place=f"{place}.address",
            remedy="use the unicast address of a host",
        )
    return Address(str(host), published.port)


def _parse_pool(published: PublishedPool, version: int, place: str) -> Pool:
    if not published.servers:
        raise EmptyPoolError(
            f"the pool of service {published.service!r} has no backend server",
            place=f"{place}.servers",
            remedy="add a backend server, or remove the pool and its routes",
        )
    names: set[str] = set()
    addresses: dict[Address, str] = {}
    servers = []
    for n, server in enumerate(published.servers):
        server_place = f"{place}.servers[{n}]"
        address = _parse_address(server, server_place)
        if server.name in names:
            raise DuplicateServerError(
                f"backend server {server.name!r} is already in the pool",
                place=f"{server_place}.name",
                remedy="give each backend server of the pool its own name",
            )
        if address in addresses:
            raise DuplicateServerAddressError(
                f"address {address} already belongs to {addresses[address]!r}",
                place=f"{server_place}.address",
                remedy="give each backend server of the pool its own address",
            )
        names.add(server.name)
        addresses[address] = server.name
        servers.append(
            BackendServer(
                server.name,
                address,
                server.zone,
                server.slots,
                server.connections,
                server.drain,
                _parse_health_address(server, server_place),
            )
        )
    return Pool(published.service, version, tuple(servers))


def _parse_health_address(published: PublishedServer, place: str) -> Address | None:
    if published.health is None:
        return None
    try:
        return Address.parse(published.health)
    except ValueError as exc:
        raise BadAddressError(
            str(exc),
            place=f"{place}.health",
            remedy="use ADDRESS:PORT, or remove the key",
        ) from exc


def _raise_unknown_zone(table: Table, zones: Mapping[str, bool]) -> None:
    for n, pool in enumerate(table.pools):
        for m, server in enumerate(pool.servers):
            if server.zone not in zones:
                raise UnknownZoneError(
                    f"availability zone {server.zone!r} is not listed in zones",
                    place=f"{table.key}: pools[{n}].servers[{m}].zone",
                    remedy="add the availability zone to zones or correct its name",
                )
