"""Renders the operators' tables into values to publish."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, TypeVar

from msgspec.json import encode

from magnoliaslip.config.decoding import MAX_VALUE_BYTES
from magnoliaslip.config.errors import OversizeValueError
from magnoliaslip.config.snapshot import Pool, Route
from magnoliaslip.config.tables import INDEX_KEY, ZONES_KEY, Table, TableSet
from magnoliaslip.ops.source import SourceTables
from magnoliaslip.placement.hashing import name_hash

MAX_SHARDS = 4096
# Leaves room for the version and for growth, so that a small change does not split
# every shard.
MAX_SHARD_BYTES = MAX_VALUE_BYTES - 100_000

Entry = TypeVar("Entry", Route, Pool)


@dataclass(slots=True, frozen=True)
class RenderedSet:
    """A rendered table set.

    Attributes:
        tables: All values.
        changed: Keys to publish, in order; the index is last.
    """

    tables: TableSet
    changed: tuple[str, ...]


def render_tables(source: SourceTables, in_force: TableSet | None) -> RenderedSet:
    """Render a table set that replaces the one in force.

    Changed values and the index get the same version, one above all versions in
    force. A shard that is removed and added again therefore never reuses a version
    that instances have seen.

    Args:
        source: The tables, already checked.
        in_force: The table set in force; None for the first publication.

    Raises:
        OversizeValueError: A shard exceeds `MAX_SHARD_BYTES` even with `MAX_SHARDS`
            shards, usually because of a single large service.
    """
    published = in_force.tables if in_force else {}
    highest_version = max((table.version for table in published.values()), default=0)
    version = max(highest_version, in_force.version if in_force else 0) + 1
    documents = {
        **_build_shards("routes", source.routes, _route_document, published),
        **_build_shards("pools", source.pools, _pool_document, published),
        ZONES_KEY: {
            "zones": {
                name: "in" if in_service else "out" for name, in_service in source.zones
            }
        },
    }
    tables = {}
    for key, document in sorted(documents.items()):
        table = Table.parse(key, encode({"version": version, **document}))
        old = published.get(key)
        tables[key] = (
            old if old is not None and _equals_except_version(table, old) else table
        )
    changed = [key for key, table in tables.items() if published.get(key) is not table]
    if in_force is not None and not changed and tables.keys() == published.keys():
        return RenderedSet(in_force, ())
    value_versions = {key: table.version for key, table in tables.items()}
    index = encode({"version": version, "values": value_versions})
    return RenderedSet(TableSet(version, index, tables), (*changed, INDEX_KEY))


def _equals_except_version(table: Table, old: Table) -> bool:
    """Check whether two tables are equal, apart from their versions."""
    return (
        table.routes == old.routes
        and table.zones == old.zones
        and [(pool.service, pool.servers) for pool in table.pools]
        == [(pool.service, pool.servers) for pool in old.pools]
    )


def _build_shards(
    kind: str,
    entries: Iterable[Entry],
    document: Callable[[Entry], dict[str, Any]],
    published: dict[str, Table],
) -> dict[str, dict[str, Any]]:
    """Distribute entries over shards by the hash of their service.

    The number of shards is a power of two and never decreases. Doubling it splits
    each shard in two: a service stays in its shard or moves to a new one.
    """
    entries = sorted(entries, key=lambda entry: entry.service)
    hashed_entries = [(name_hash(entry.service), document(entry)) for entry in entries]
    entry_bytes = [
        len(encode(entry_document)) + 1 for _, entry_document in hashed_entries
    ]
    shards = _published_shard_count(kind, published)
    while shards <= MAX_SHARDS:
        sizes = [0] * shards
        for (service_hash, _), size in zip(hashed_entries, entry_bytes, strict=True):
            sizes[service_hash % shards] += size
        if max(sizes) <= MAX_SHARD_BYTES:
            break
        shards *= 2
    else:
        raise OversizeValueError(
            f"a shard exceeds the limit of {MAX_SHARD_BYTES} bytes even with the "
            "maximum number of shards",
            place=kind,
            remedy="split the largest service into several services",
        )
    documents: list[list[dict[str, Any]]] = [[] for _ in range(shards)]
    for service_hash, entry_document in hashed_entries:
        documents[service_hash % shards].append(entry_document)
    return {f"{kind}/{n}": {kind: shard} for n, shard in enumerate(documents)}


def _published_shard_count(kind: str, published: dict[str, Table]) -> int:
    """Return the number of shards in force; 1 if their names are not 0 to 2^n - 1."""
    names = {key.partition("/")[2] for key in published if key.startswith(f"{kind}/")}
    count = len(names)
    is_power = count & (count - 1) == 0
    if count and is_power and names == {str(n) for n in range(count)}:
        return count
    return 1


def _route_document(route: Route) -> dict[str, Any]:
    host, port = route.address
    return {"address": host, "port": port, "service": route.service}


def _pool_document(pool: Pool) -> dict[str, Any]:
    return {
        "service": pool.service,
        "servers": [
            {
                "name": server.name,
                "address": server.address.host,
                "port": server.address.port,
                "zone": server.zone,
                "slots": server.slots,
                "connections": server.connections,
                "drain": server.drain,
            }
            | ({} if server.health is None else {"health": str(server.health)})
            for server in pool.servers
        ],
    }
