"""Compares tables to publish with those in force."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from magnoliaslip.config.snapshot import BackendServer, Pool, Snapshot
from magnoliaslip.placement.bucket_table import BUCKETS
from magnoliaslip.placement.default_servers import DefaultServers

# Limit of the hashes computed to compare one service. Larger pools are compared on
# evenly spaced buckets, so that a comparison takes a few seconds at most.
MAX_COMPARED_HASHES = 4_000_000


@dataclass(slots=True, frozen=True)
class FlowMove:
    """The share of new flows of a service that moves to another backend server.

    Attributes:
        service: Name of the service.
        share: Share of new flows that move, from 0 to 1.
        min_share: The least share that any placement with even load must move.
        buckets: Number of buckets compared, of 65,536.
    """

    service: str
    share: float
    min_share: float
    buckets: int


@dataclass(slots=True, frozen=True)
class TableDiff:
    """The differences between two snapshots.

    Attributes:
        lines: Descriptions of the changes, zones first.
        moves: Moved shares of the services that are in both snapshots.
    """

    lines: tuple[str, ...]
    moves: tuple[FlowMove, ...]


def compare_tables(old: Snapshot, new: Snapshot) -> TableDiff:
    """Compare the snapshot in force with the one to publish."""
    moves = tuple(
        _compare_service(
            service, eligible_servers(old, service), eligible_servers(new, service)
        )
        for service in sorted(old.pools.keys() & new.pools.keys())
    )
    return TableDiff(tuple(_describe_changes(old, new)), moves)


def eligible_servers(snapshot: Snapshot, service: str) -> list[BackendServer]:
    """Return the backend servers of a service that accept new flows."""
    return [
        server
        for server in snapshot.pools[service].servers
        if not server.drain and server.zone not in snapshot.zones_out
    ]


def find_warnings(snapshot: Snapshot) -> list[str]:
    """Return descriptions of what is valid but probably a mistake."""
    warnings = []
    routed = {route.service for route in snapshot.routes.values()}
    for service in sorted(snapshot.pools):
        if service not in routed:
            warnings.append(f"service {service} has a pool but no route")
        if not eligible_servers(snapshot, service):
            warnings.append(f"service {service}: no backend server takes new flows")
    return warnings


def min_moved_share(old: set[str], new: set[str]) -> float:
    """Return the least share of flows that must move to keep the load even.

    Each remaining server keeps at most the smaller of its even shares before and
    after the change.

    >>> min_moved_share({"a", "b"}, {"a", "b", "c", "d"})
    0.5
    """
    if not old or not new:
        return float(bool(old or new))
    return 1 - len(old & new) / max(len(old), len(new))


def _compare_service(
    service: str, old: list[BackendServer], new: list[BackendServer]
) -> FlowMove:
    old_names = {server.name for server in old}
    new_names = {server.name for server in new}
    min_share = min_moved_share(old_names, new_names)
    if old_names == new_names:
        return FlowMove(service, 0.0, min_share, BUCKETS)
    before, after = DefaultServers(service, old), DefaultServers(service, new)
    hashes = BUCKETS * (len(old) + len(new))
    step = 1
    while hashes // step > MAX_COMPARED_HASHES and step < BUCKETS:
        step *= 2
    buckets = range(0, BUCKETS, step)
    moved = sum(
        _server_name(before.winner(bucket)) != _server_name(after.winner(bucket))
        for bucket in buckets
    )
    return FlowMove(service, moved / len(buckets), min_share, len(buckets))


def _server_name(server: BackendServer | None) -> str:
    return server.name if server else ""


def _describe_changes(old: Snapshot, new: Snapshot) -> Iterator[str]:
    for zone in sorted(new.zones_out - old.zones_out):
        yield f"zone {zone}: out of service; its established flows are abandoned"
    for zone in sorted(old.zones_out - new.zones_out):
        yield f"zone {zone}: no longer out; its backend servers start cold"
    for service in sorted(old.pools.keys() | new.pools.keys()):
        yield from _describe_pool_changes(
            service, old.pools.get(service), new.pools.get(service)
        )
    for address in sorted(old.routes.keys() | new.routes.keys()):
        before, after = old.routes.get(address), new.routes.get(address)
        if before is None and after is not None:
            yield f"route {address}: added, to {after.service}"
        elif after is None and before is not None:
            yield f"route {address}: removed, was to {before.service}"
        elif before and after and before.service != after.service:
            yield f"route {address}: {before.service} -> {after.service}"


def _describe_pool_changes(
    service: str, old: Pool | None, new: Pool | None
) -> Iterator[str]:
    if old is None or new is None:
        yield f"service {service}: pool {'removed' if new is None else 'added'}"
        return
    before, after = _servers_by_name(old), _servers_by_name(new)
    for name in sorted(before.keys() | after.keys()):
        label = f"service {service}: backend server {name}"
        if name not in before:
            yield f"{label} added, zone {after[name].zone}, {after[name].address}"
        elif name not in after:
            yield f"{label} removed"
        else:
            for change in _describe_server_changes(before[name], after[name]):
                yield f"{label}: {change}"


def _describe_server_changes(old: BackendServer, new: BackendServer) -> Iterator[str]:
    for field in ("address", "zone", "slots", "connections", "drain"):
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield f"{field} {before} -> {after}".lower()


def _servers_by_name(pool: Pool) -> Mapping[str, BackendServer]:
    return {server.name: server for server in pool.servers}
