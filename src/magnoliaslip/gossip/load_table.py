"""Loads of backend servers over all instances, estimated from digests."""

from collections.abc import Iterable

from magnoliaslip.gossip.digest import Digest, ServerLoad, age_ms
from magnoliaslip.gossip.membership import MESH_TIMEOUT_S, Membership
from magnoliaslip.steering.servers import ServerSet, TrackedServer

# Minimum load in requests per second that is reported; lower loads are omitted to keep
# the digest small.
MIN_REPORTED_LOAD_PER_S = 0.2
# Servers in a digest, those with the highest load first.
MAX_LOADS_IN_DIGEST = 40
# Groups of servers in a zone report, those with the highest load first.
MAX_GROUPS_IN_REPORT = 8


class _HeardLoads:
    """Loads that one instance reported, and when."""

    __slots__ = ("loads", "received_at", "zone")

    def __init__(self, zone: str, loads: tuple[ServerLoad, ...], now: float) -> None:
        self.zone = zone
        self.loads = loads
        self.received_at = now


class LoadTable:
    """Sums the loads that other instances forward to each server.

    In a small fleet every instance is heard, and the sums are exact. In a large one,
    a sample of the own zone is heard and scaled up to its size; the loads from other
    zones are known per group of servers, and are spread over the group evenly.

    What is done in a period grows with the servers that have a load, not with all.

    Args:
        zone: Availability zone of this instance.
        membership: The other instances.
        servers: Tracked servers; the sums are recorded on them.

    Attributes:
        zone_loads: What the own zone forwards to each group of servers, in tenths of a
            request per second.
    """

    __slots__ = (
        "_heard",
        "_loaded",
        "_membership",
        "_servers",
        "_zone",
        "zone_loads",
    )

    def __init__(self, zone: str, membership: Membership, servers: ServerSet) -> None:
        self._zone = zone
        self._membership = membership
        self._servers = servers
        self._heard: dict[str, _HeardLoads] = {}
        # Servers that others were last known to forward requests to.
        self._loaded: list[TrackedServer] = []
        self.zone_loads: dict[int, int] = {}

    def record_digest(self, host: str, digest: Digest, now: float) -> None:
        """Record the loads that an instance reports itself."""
        if digest.leaving:
            self._heard.pop(host, None)
        else:
            self._heard[host] = _HeardLoads(digest.zone, digest.loads, now)

    def apply(self, now: float) -> None:
        """Compute the sums and record them on the servers."""
        for host, heard in list(self._heard.items()):
            if now - heard.received_at >= MESH_TIMEOUT_S:
                del self._heard[host]
        scales = self._scales(now)
        zone_loads = self._sum(scales, own_zone=True)
        other_loads = self._sum(scales, own_zone=False)
        for tracked in self._loaded:
            tracked.peer_requests_per_s = 0.0
        self._loaded = self._find(zone_loads.keys() | other_loads.keys())
        for tracked in self._loaded:
            tag = tracked.tag
            tracked.peer_requests_per_s = zone_loads.get(tag, 0.0) + other_loads.get(
                tag, 0.0
            )
        group_loads = self._group_loads(now)
        for group in self._servers.groups:
            load = group_loads.get(group.number, 0.0)
            group.peer_requests_per_s = load / max(1, group.registered)
        self.zone_loads = self._loads_by_group(zone_loads, now)

    def own_loads(self, now: float) -> tuple[ServerLoad, ...]:
        """Return the loads that this instance forwards itself."""
        loads = []
        for tracked in self._servers.active(now):
            load = tracked.requests.per_s(now)
            if tracked.registered and load >= MIN_REPORTED_LOAD_PER_S:
                answer_ms = age_ms(tracked.reachability.last_answer_at, now)
                loads.append(ServerLoad(tracked.tag, round(load * 10), answer_ms))
        if len(loads) > MAX_LOADS_IN_DIGEST:
            loads.sort(key=lambda item: item.load, reverse=True)
        return tuple(loads[:MAX_LOADS_IN_DIGEST])

    def _find(self, tags: Iterable[int]) -> list[TrackedServer]:
        found = map(self._servers.find, tags)
        return [tracked for tracked in found if tracked is not None]

    def _sum(self, scales: dict[str, float], *, own_zone: bool) -> dict[int, float]:
        """Return the requests per second that others forward to each server, by tag."""
        loads: dict[int, float] = {}
        for heard in self._heard.values():
            scale = scales.get(heard.zone, 0.0)
            if scale and (heard.zone == self._zone) == own_zone:
                for item in heard.loads:
                    loads[item.tag] = loads.get(item.tag, 0.0) + item.load / 10 * scale
        return loads

    def _loads_by_group(
        self, zone_loads: dict[int, float], now: float
    ) -> dict[int, int]:
        """Return what the own zone forwards to each group, in tenths per second."""
        loads: dict[int, float] = {}
        for tracked in {*self._servers.active(now), *self._find(zone_loads)}:
            load = tracked.requests.per_s(now) + zone_loads.get(tracked.tag, 0.0)
            if load >= MIN_REPORTED_LOAD_PER_S:
                group = tracked.group.number
                loads[group] = loads.get(group, 0.0) + load
        largest = sorted(loads, key=loads.__getitem__, reverse=True)
        return {
            group: round(loads[group] * 10) for group in largest[:MAX_GROUPS_IN_REPORT]
        }

    def _scales(self, now: float) -> dict[str, float]:
        """Return by zone the factor for the loads of the instances that were heard.

        In a large fleet, other zones are left out; see `_group_loads`.
        """
        heard: dict[str, int] = {}
        for item in self._heard.values():
            heard[item.zone] = heard.get(item.zone, 0) + 1
        scales = {}
        for zone, count in heard.items():
            if zone == self._zone:
                live = len(self._membership.live_in_zone(now))
                scales[zone] = max(1.0, live / count)
            elif self._membership.is_mesh:
                scales[zone] = 1.0
        return scales

    def _group_loads(self, now: float) -> dict[int, float]:
        """Return the requests per second that other zones forward to each group."""
        loads: dict[int, float] = {}
        if self._membership.is_mesh:
            return loads
        for zone, report in self._membership.reports.items():
            if not self._membership.report_is_recent(zone, now):
                continue
            for group, load in report.loads:
                loads[group] = loads.get(group, 0.0) + load / 10
        return loads
