"""Finds the server of a flow by the tag that its packets carry."""

from collections import OrderedDict
from collections.abc import Iterable

from magnoliaslip.registry.model import Endpoint
from magnoliaslip.steering.servers import TrackedServer
from magnoliaslip.steering.tags import flow_tag

# Endpoints whose tags are kept; those of others are computed again when needed.
MAX_ENDPOINTS = 256


class FlowTags:
    """Tags of all servers for each endpoint in use.

    The tag alone decides about a packet of an open flow: it was written by an instance
    whose routes allowed the server's service for the endpoint. The flow therefore stays
    with its server when the route moves to another service or is dropped, also on an
    instance that started later, or whose routes are older than the flow.

    If two servers have the same tag for an endpoint, the one that was added first keeps
    it.
    """

    __slots__ = ("_by_endpoint", "_servers")

    def __init__(self) -> None:
        self._servers: dict[int, TrackedServer] = {}
        self._by_endpoint: OrderedDict[Endpoint, dict[int, TrackedServer]] = (
            OrderedDict()
        )

    def update(self, servers: Iterable[TrackedServer]) -> None:
        """Apply the servers that packets may be sent to, removed ones included."""
        current = {tracked.key: tracked for tracked in servers}
        if current.keys() == self._servers.keys():
            return
        for key in self._servers.keys() - current.keys():
            self._remove(self._servers.pop(key))
        for key, tracked in current.items():
            if key not in self._servers:
                self._servers[key] = tracked
                for endpoint, tags in self._by_endpoint.items():
                    tags.setdefault(flow_tag(key, endpoint), tracked)

    def find(self, endpoint: Endpoint, tag: int) -> TrackedServer | None:
        """Return the server that a tag identifies for an endpoint."""
        return self._tags(endpoint).get(tag)

    def identifies(self, endpoint: Endpoint, tracked: TrackedServer) -> bool:
        """Check whether the tag of a server for an endpoint is not another server's."""
        return self.find(endpoint, flow_tag(tracked.key, endpoint)) is tracked

    def _tags(self, endpoint: Endpoint) -> dict[int, TrackedServer]:
        tags = self._by_endpoint.get(endpoint)
        if tags is not None:
            return tags
        if len(self._by_endpoint) >= MAX_ENDPOINTS:
            self._by_endpoint.popitem(last=False)
        tags = self._by_endpoint[endpoint] = {}
        for key, tracked in self._servers.items():
            tags.setdefault(flow_tag(key, endpoint), tracked)
        return tags

    def _remove(self, tracked: TrackedServer) -> None:
        for endpoint, tags in self._by_endpoint.items():
            tag = flow_tag(tracked.key, endpoint)
            if tags.get(tag) is tracked:
                del tags[tag]
