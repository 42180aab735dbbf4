"""Explains placements from tables alone, without a running instance."""

from magnoliaslip.config.snapshot import Snapshot
from magnoliaslip.core.address import Address
from magnoliaslip.ops.diff import eligible_servers
from magnoliaslip.packet.flow_key import make_key
from magnoliaslip.placement.bucket_table import BUCKET_MASK
from magnoliaslip.placement.default_servers import DefaultServers
from magnoliaslip.placement.explanation import Explanation
from magnoliaslip.placement.hashing import flow_hash


def explain_flow(snapshot: Snapshot, caller: Address, service: Address) -> Explanation:
    """Explain the default placement of a new flow.

    Args:
        snapshot: The tables.
        caller: Address and port of the caller.
        service: Service address and port.

    Raises:
        PacketError: An address is not IPv4.
    """
    key = make_key(caller, service)
    bucket = flow_hash(key) & BUCKET_MASK
    route = snapshot.routes.get(service)
    if route is None:
        return Explanation(
            config_version=snapshot.version,
            bucket=bucket,
            reason="no_route",
            steps=(f"no route matches {service}; its packets are dropped",),
        )
    pool = snapshot.pools[route.service]
    steps = [
        f"route {service} belongs to service {route.service}",
        f"the flow is in bucket {bucket} of 65536",
    ]
    for server in pool.servers:
        if server.zone in snapshot.zones_out:
            steps.append(f"{server.name} takes no flow: zone {server.zone} is out")
        elif server.drain:
            steps.append(f"{server.name} takes no new flow: it is draining")
    eligible = eligible_servers(snapshot, route.service)
    server = DefaultServers(route.service, eligible).winner(bucket)
    if server is None:
        steps.append("no backend server is eligible; the SYN is rejected or dropped")
        return Explanation(
            service=route.service,
            config_version=snapshot.version,
            bucket=bucket,
            reason="no_server",
            steps=tuple(steps),
        )
    name, zone = server.name, server.zone
    steps.append(
        f"{name} wins the bucket among {len(eligible)} backend servers; load and "
        "history, which only a running instance has, are not considered"
    )
    return Explanation(
        service=route.service,
        server=name,
        zone=zone,
        reason="default",
        config_version=snapshot.version,
        bucket=bucket,
        steps=tuple(steps),
    )
