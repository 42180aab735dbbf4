"""The server of a new flow."""

from collections.abc import Collection

from xxhash import xxh32_intdigest

from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import Endpoint, ServiceRoute
from magnoliaslip.steering.bounded_load_selector import BoundedLoadSelector
from magnoliaslip.steering.flow_tags import FlowTags
from magnoliaslip.steering.servers import ServerSet, TrackedServer


def service_of(route: ServiceRoute, flow: bytes) -> str:
    """Return the service of a new flow; a retransmitted SYN gets the same one."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    point = xxh32_intdigest(flow) / 2**32 * sum(t.weight for t in targets)
    for target in targets:
        point -= target.weight
        if point < 0:
            return target.service
    return targets[-1].service


class ServerChoice:
    """Chooses the server of a new flow, only one that its own tag identifies.

    Two servers may have the same tag for an endpoint; only one of them then gets flows.

    Args:
        zone: Availability zone of this instance.
        directory: Limits of the services as published.
        servers: Servers that may get new flows.
        flow_tags: Tags of all servers.

    Attributes:
        cold_share: Share of this instance in the rates that cold servers can handle; 0
            until the size of the fleet is known.
        instance_count: Instances that place flows, including this one.
    """

    __slots__ = (
        "_directory",
        "_flow_tags",
        "_selector",
        "_servers",
        "_zone",
        "cold_share",
        "instance_count",
    )

    def __init__(
        self,
        zone: str,
        *,
        directory: Directory,
        servers: ServerSet,
        flow_tags: FlowTags,
    ) -> None:
        self._zone = zone
        self._directory = directory
        self._servers = servers
        self._flow_tags = flow_tags
        self._selector = BoundedLoadSelector(zone)
        self.cold_share = 0.0
        self.instance_count = 1

    def choose(
        self,
        endpoint: Endpoint,
        service: str,
        flow: bytes,
        tried: Collection[TrackedServer],
        now: float,
    ) -> TrackedServer | None:
        """Choose a server; None when none may get the flow.

        Args:
            endpoint: Address and port that the caller sends to.
            service: The service of the flow.
            flow: The flow.
            tried: Servers that did not answer this flow, or another of its caller.
            now: Monotonic time in seconds.
        """
        candidates = self._servers.candidates(service)
        near = self._servers.candidates(service, self._zone)
        cold_opens_per_s = self._cold_opens_share_per_s(service)
        while True:
            tracked = self._selector.choose(
                candidates,
                flow,
                now,
                near=near,
                tried=tried,
                cold_opens_per_s=cold_opens_per_s,
                instance_count=self.instance_count,
            )
            if tracked is None or self._flow_tags.identifies(endpoint, tracked):
                return tracked
            candidates = [other for other in candidates if other is not tracked]
            near = [other for other in near if other is not tracked]

    def _cold_opens_share_per_s(self, service: str) -> float | None:
        """Return this instance's share of the rate that a cold server can handle.

        None if no rate is stated.
        """
        table = self._directory.table
        limits = table.services.get(service) if table else None
        if limits is None or not limits.cold_opens_per_s:
            return None
        return limits.cold_opens_per_s * self.cold_share
