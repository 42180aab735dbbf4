"""Encodes and decodes a directory, or changes to it, for other instances."""

from socket import inet_aton
from typing import Annotated

from msgspec import DecodeError, Meta, Struct, ValidationError
from msgspec.json import Decoder, Encoder
from msgspec.structs import replace

from magnoliaslip.core.errors import PeerError
from magnoliaslip.core.value_object import ValueObject
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import (
    RegisteredServer,
    RouteTable,
    ServiceLimits,
    ServiceRoute,
    StorePosition,
    WeightedService,
)
from magnoliaslip.registry.store_client import (
    Change,
    ChangeBatch,
    RoutesChange,
    ServerChange,
    ZoneChange,
)

# Numbers that an instance can use and pass on.
_Integer = Annotated[int, Meta(gt=-(1 << 63), le=(1 << 63) - 1)]
_Count = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
_Port = Annotated[int, Meta(gt=0, lt=1 << 16)]
_Ipv4 = Annotated[int, Meta(ge=0, lt=1 << 32)]
_Weight = Annotated[float, Meta(gt=0)]


class _Route(Struct, array_like=True, frozen=True):
    host: _Ipv4
    port: _Integer
    targets: list[tuple[str, _Weight]]
    idempotent: bool


class _Service(Struct, array_like=True, frozen=True):
    name: str
    cold_opens_per_s: float
    max_connections: _Integer


class _Table(Struct, array_like=True, frozen=True):
    version: _Integer
    idle_timeout_s: float
    routes: list[_Route]
    services: list[_Service]


class _Server(Struct, array_like=True, frozen=True):
    id: str
    started_ms: _Integer
    service: str
    host: str
    port: _Port
    zone: str
    slots: _Count
    draining: bool
    cold_ms: _Count


class _Document(Struct, array_like=True, frozen=True):
    revision: _Count
    complete: bool
    table: _Table | None
    zones_out: list[str]
    zones_in: list[str]
    servers: list[_Server]
    removed: list[str]
    era: _Count = 0


_ENCODER = Encoder()
_DECODER = Decoder(_Document)


class DirectorySnapshot(ValueObject):
    """The directory of another instance, or changes to it.

    Attributes:
        batch: The changes.
        complete: Whether they replace the directory instead of being applied to it.
    """

    __slots__ = ("batch", "complete")

    def __init__(self, batch: ChangeBatch, *, complete: bool) -> None:
        self.batch = batch
        self.complete = complete


def encode_snapshot(
    directory: Directory, *, after: StorePosition | None = None
) -> bytes:
    """Encode a directory as JSON.

    Args:
        directory: The directory.
        after: Position that the receiver has, if any; only later changes are encoded
            if the history still covers them.
    """
    batch = directory.changes_since(after) if after and after.revision else None
    if batch is not None:
        return _ENCODER.encode(_encode_batch(batch))
    table = directory.table
    document = _Document(
        directory.revision,
        True,
        _encode_table(table) if table else None,
        sorted(directory.zones_out),
        [],
        [_encode_server(server) for server in directory.servers.values()],
        [],
        directory.era,
    )
    return _ENCODER.encode(document)


def decode_snapshot(data: bytes, *, default_era: int = 0) -> DirectorySnapshot:
    """Decode a directory or changes to it.

    Args:
        data: The document.
        default_era: Era of a document of an earlier version, which states none.

    Raises:
        PeerError: The document is not a valid snapshot.
    """
    try:
        document = _DECODER.decode(data)
        for server in document.servers:
            inet_aton(server.host)
    except (DecodeError, ValidationError, OSError, ValueError) as exc:
        raise PeerError(f"the snapshot can't be decoded: {exc}") from exc
    changes: list[Change] = []
    if document.table is not None:
        changes.append(RoutesChange(_decode_table(document.table)))
    changes += [ZoneChange(zone, out=True) for zone in document.zones_out]
    changes += [ZoneChange(zone, out=False) for zone in document.zones_in]
    changes += [
        ServerChange(item.id, _decode_server(item)) for item in document.servers
    ]
    changes += [ServerChange(identifier, None) for identifier in document.removed]
    return DirectorySnapshot(
        ChangeBatch(document.revision, tuple(changes), era=document.era or default_era),
        complete=document.complete,
    )


def _encode_batch(batch: ChangeBatch) -> _Document:
    document = _Document(batch.revision, False, None, [], [], [], [], batch.era)
    table: _Table | None = None
    for change in batch.changes:
        if isinstance(change, RoutesChange):
            table = _encode_table(change.table)
        elif isinstance(change, ZoneChange):
            zones = document.zones_out if change.out else document.zones_in
            zones.append(change.zone)
        elif isinstance(change, ServerChange) and change.server is not None:
            document.servers.append(_encode_server(change.server))
        elif isinstance(change, ServerChange):
            document.removed.append(change.id)
    return replace(document, table=table)


def _encode_server(server: RegisteredServer) -> _Server:
    return _Server(
        server.id,
        server.started_ms,
        server.service,
        *server.address,
        server.zone,
        server.slots,
        server.draining,
        server.cold_ms,
    )


def _decode_server(item: _Server) -> RegisteredServer:
    return RegisteredServer(
        item.id,
        item.started_ms,
        item.service,
        (item.host, item.port),
        item.zone,
        max(1, item.slots),
        draining=item.draining,
        cold_ms=item.cold_ms,
    )


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
            (item.host, item.port),
            tuple(WeightedService(name, weight) for name, weight in item.targets),
            idempotent=item.idempotent,
        )
        for item in table.routes
    ]
    return RouteTable(
        table.version,
        {route.endpoint: route for route in routes},
        {
            item.name: ServiceLimits(
                item.name,
                cold_opens_per_s=item.cold_opens_per_s,
                max_connections=item.max_connections,
            )
            for item in table.services
        },
        idle_timeout_s=table.idle_timeout_s,
    )
