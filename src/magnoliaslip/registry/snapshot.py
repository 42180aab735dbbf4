"""A directory as one document, for other instances."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder, Encoder

from magnoliaslip.core.errors import PeerError
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import (
    RegisteredServer,
    RouteTable,
    ServiceLimits,
    ServiceRoute,
    WeightedService,
)
from magnoliaslip.registry.source import (
    Change,
    Changes,
    RoutesChange,
    ServerChange,
    ZoneChange,
)


class _Route(Struct, array_like=True, frozen=True):
    host: int
    port: int
    targets: list[tuple[str, float]]
    idempotent: bool


class _Service(Struct, array_like=True, frozen=True):
    name: str
    cold_opens_per_s: float
    max_connections: int


class _Table(Struct, array_like=True, frozen=True):
    version: int
    idle_timeout_s: float
    routes: list[_Route]
    services: list[_Service]


class _Server(Struct, array_like=True, frozen=True):
    id: str
    started_ms: int
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    cold_ms: int


class _Snapshot(Struct, array_like=True, frozen=True):
    revision: int
    table: _Table | None
    zones_out: list[str]
    servers: list[_Server]


_ENCODER = Encoder()
_DECODER = Decoder(_Snapshot)


def encode_snapshot(directory: Directory) -> bytes:
    """Encode a directory as JSON."""
    table = directory.table
    snapshot = _Snapshot(
        directory.revision,
        _encode_table(table) if table else None,
        sorted(directory.zones_out),
        [
            _Server(
                server.id,
                server.started_ms,
                server.service,
                *server.address,
                server.zone,
                server.slots,
                server.draining,
                server.cold_ms,
            )
            for server in directory.servers.values()
        ],
    )
    return _ENCODER.encode(snapshot)


def decode_snapshot(data: bytes) -> Changes:
    """Decode a directory as changes to an empty one.

    Raises:
        PeerError: The document is no snapshot.
    """
    try:
        snapshot = _DECODER.decode(data)
    except (DecodeError, ValidationError) as exc:
        raise PeerError(f"the snapshot can't be decoded: {exc}") from exc
    changes: list[Change] = []
    if snapshot.table is not None:
        changes.append(RoutesChange(_decode_table(snapshot.table)))
    changes += [ZoneChange(zone, out=True) for zone in snapshot.zones_out]
    changes += [
        ServerChange(
            line.id,
            RegisteredServer(
                line.id,
                line.started_ms,
                line.service,
                (line.host, line.port),
                line.zone,
                max(1, line.slots),
                draining=line.draining,
                cold_ms=line.cold_ms,
            ),
        )
        for line in snapshot.servers
    ]
    return Changes(snapshot.revision, tuple(changes))


def _encode_table(table: RouteTable) -> _Table:
    return _Table(
        table.version,
        table.idle_timeout_s,
        [
            _Route(
                *route.endpoint,
                [(target.service, target.weight) for target in route.targets],
                route.idempotent,
            )
            for route in table.routes.values()
        ],
        [
            _Service(service.name, service.cold_opens_per_s, service.max_connections)
            for service in table.services.values()
        ],
    )


def _decode_table(table: _Table) -> RouteTable:
    routes = [
        ServiceRoute(
            (line.host, line.port),
            tuple(WeightedService(name, weight) for name, weight in line.targets),
            idempotent=line.idempotent,
        )
        for line in table.routes
    ]
    return RouteTable(
        table.version,
        {route.endpoint: route for route in routes},
        {
            line.name: ServiceLimits(
                line.name,
                cold_opens_per_s=line.cold_opens_per_s,
                max_connections=line.max_connections,
            )
            for line in table.services
        },
        idle_timeout_s=table.idle_timeout_s,
    )
