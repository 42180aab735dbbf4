"""Backend servers that an instance tracks, including recently removed ones."""

from collections.abc import Iterator
from math import exp

from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import RegisteredServer
from magnoliaslip.steering.reachability import (
    UNREACHABLE_FLOWS,
    UNREACHABLE_FLOWS_IN_PARTITION,
    Reachability,
)
from magnoliaslip.steering.tags import server_key, server_tag
from magnoliaslip.steering.warmup import WarmUpBudget

# Time constant of the request rate in seconds: about one feed request per user.
RATE_TIME_CONSTANT_S = 1.0
# Suspicions reported by other instances are about this old, in seconds; an answer that
# this instance observed within this time outweighs them.
PEER_REPORT_AGE_S = 0.5
# Registrations that lapse during an outage of the store are renewed within this time in
# seconds (platform); after it the server counts as gone.
REGISTRATION_GRACE_S = 2.0
# A server whose registration lapsed counts as running if one of its flows got an answer
# within this time in seconds.
RECENT_ANSWER_S = 0.5


class RequestRate:
    """Exponentially decaying rate of requests."""

    __slots__ = ("_updated_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, now: float) -> None:
        """Count one request."""
        self._value = self.per_s(now) + 1.0 / RATE_TIME_CONSTANT_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return requests per second."""
        return self._value * exp((self._updated_at - now) / RATE_TIME_CONSTANT_S)


class TrackedServer:
    """One incarnation of a backend server and what this instance observed of it.

    Attributes:
        server: Its registration.
        tag: Tag that digests name it by.
        key: Key from which the tags of its flows are computed.
        registered: Whether the registration is still published.
        removed_at: Monotonic time in seconds at which the registration was removed;
            valid only while not `registered`.
        cold_until: Monotonic time in seconds from which it counts as warm.
        warm_up: Budget of new flows from this instance while it is cold.
        reachability: Evidence on the path to it.
        zone_reachability: Evidence on the path to its whole availability zone.
        requests: Rate of requests that this instance forwarded.
        peer_requests_per_s: Requests per second that other instances forwarded.
        suspected_by_peers: Whether other instances report it as suspect.
    """

    __slots__ = (
        "cold_until",
        "key",
        "peer_requests_per_s",
        "reachability",
        "registered",
        "removed_at",
        "requests",
        "server",
        "suspected_by_peers",
        "tag",
        "warm_up",
        "zone_reachability",
    )

    def __init__(
        self,
        server: RegisteredServer,
        *,
        cold_until: float,
        zone_reachability: Reachability,
    ) -> None:
        self.server = server
        self.tag = server_tag(server)
        self.key = server_key(server)
        self.registered = True
        self.removed_at = 0.0
        self.cold_until = cold_until
        self.warm_up = WarmUpBudget(cold_until - server.cold_ms / 1000)
        self.reachability = Reachability()
        self.zone_reachability = zone_reachability
        self.requests = RequestRate()
        self.peer_requests_per_s = 0.0
        self.suspected_by_peers = False

    def counts_as_registered(self, now: float) -> bool:
        """Check whether it is registered, or its registration has only lapsed.

        Registrations lapse during an outage of the store and are renewed soon after;
        a server whose flows get answers meanwhile is still running.
        """
        return self.registered or (
            now - self.removed_at < REGISTRATION_GRACE_S
            and self.reachability.answered_since(now - RECENT_ANSWER_S)
        )

    def admits(self, now: float) -> bool:
        """Check whether a new flow may be placed on it.

        Considers the evidence of this instance on the server and its zone, and the
        suspicions of other instances.
        """
        if self.suspected_by_peers and not self.reachability.answered_since(
            now - PEER_REPORT_AGE_S
        ):
            return False
        if self.zone_reachability.is_partitioned(now):
            return False
        return self.reachability.admits(now)

    def record_placement(self, now: float) -> None:
        """Record that a new flow was placed on it.

        The first request of the flow counts at once, so that a burst of new flows is
        spread over the servers.
        """
        self.requests.add(now)
        self.reachability.record_placement(now)
        if self.cold_until > now:
            self.warm_up.consume()

    def record_answer(self, now: float) -> bool:
        """Record an answer to a flow; return whether the server was suspect."""
        self.zone_reachability.record_answer(now)
        return self.reachability.record_answer(now)

    def record_retransmission(self, flow: bytes, now: float) -> bool:
        """Record retransmitted data; return whether the server became suspect."""
        self.zone_reachability.record_retransmission(flow, now)
        return self.reachability.record_retransmission(flow, now)

    def record_unanswered_syn(self, flow: bytes, sent_at: float, now: float) -> bool:
        """Record an unanswered SYN; return whether the server became suspect."""
        self.zone_reachability.record_unanswered_syn(flow, sent_at, now)
        return self.reachability.record_unanswered_syn(flow, sent_at, now)

    def is_unreachable(self, now: float, *, correction_time_s: float = 0.0) -> bool:
        """Check whether recent evidence of several flows shows it to be unreachable.

        Args:
            now: Monotonic time in seconds.
            correction_time_s: See `Reachability.is_unreachable`.
        """
        partitioned = self.zone_reachability.is_partitioned(now)
        return self.reachability.is_unreachable(
            now,
            flows=UNREACHABLE_FLOWS_IN_PARTITION if partitioned else UNREACHABLE_FLOWS,
            correction_time_s=correction_time_s,
        )

    def own_load(self, now: float) -> float:
        """Return requests per second and slot that this instance forwards."""
        return self.requests.per_s(now) / self.server.slots

    def load(self, now: float) -> float:
        """Return requests per second and slot over all instances."""
        return (self.requests.per_s(now) + self.peer_requests_per_s) / self.server.slots


class ServerSet:
    """All servers that packets may be sent to.

    A removed server keeps its tags for `retention_s`, as it may still hold flows. Each
    packet names the server that it is meant for, so no other server accepts it.

    Args:
        retention_s: Seconds for which a removed server is kept.
    """

    __slots__ = (
        "_by_incarnation",
        "_by_service",
        "_by_tag",
        "_retention_s",
        "_zone_reachability",
    )

    def __init__(self, *, retention_s: float) -> None:
        self._retention_s = retention_s
        self._by_incarnation: dict[tuple[str, int], TrackedServer] = {}
        self._by_tag: dict[int, TrackedServer] = {}
        self._by_service: dict[str, list[TrackedServer]] = {}
        self._zone_reachability: dict[str, Reachability] = {}

    def apply(self, directory: Directory, now: float) -> None:
        """Apply the registrations and zones of a directory."""
        registered = set()
        for server in directory.servers.values():
            registered.add(server.incarnation)
            self._register(server, now)
        for incarnation, tracked in list(self._by_incarnation.items()):
            if incarnation not in registered:
                self._deregister(incarnation, tracked, now)
        self._by_service = {}
        for tracked in self._by_incarnation.values():
            server = tracked.server
            if (
                (tracked.registered or now - tracked.removed_at < REGISTRATION_GRACE_S)
                and not server.draining
                and server.zone not in directory.zones_out
                and self._by_tag.get(tracked.tag) is tracked
            ):
                self._by_service.setdefault(server.service, []).append(tracked)

    def find(self, tag: int) -> TrackedServer | None:
        """Return the server that digests name by a tag."""
        return self._by_tag.get(tag)

    def candidates(self, service: str) -> list[TrackedServer]:
        """Return the servers of a service that may get new flows.

        Includes servers removed less than `REGISTRATION_GRACE_S` ago, see
        `TrackedServer.counts_as_registered`.
        """
        return self._by_service.get(service, [])

    def __iter__(self) -> Iterator[TrackedServer]:
        return iter(self._by_incarnation.values())

    def __len__(self) -> int:
        return len(self._by_incarnation)

    def _register(self, server: RegisteredServer, now: float) -> None:
        tracked = self._by_incarnation.get(server.incarnation)
        cold_until = now + server.cold_ms / 1000
        if tracked is None:
            zone_reachability = self._zone_reachability.setdefault(
                server.zone, Reachability()
            )
            tracked = TrackedServer(
                server, cold_until=cold_until, zone_reachability=zone_reachability
            )
            self._by_incarnation[server.incarnation] = tracked
            # If two servers have the same tag, digests report the first one only, and
            # the other gets no flows.
            self._by_tag.setdefault(tracked.tag, tracked)
        elif tracked.server is not server:
            tracked.server = server
            tracked.cold_until = cold_until
        tracked.registered = True

    def _deregister(
        self, incarnation: tuple[str, int], tracked: TrackedServer, now: float
    ) -> None:
        """Mark a server as removed, or discard it after its retention time."""
        if tracked.registered:
            tracked.registered = False
            tracked.removed_at = now
        elif now > tracked.removed_at + self._retention_s:
            del self._by_incarnation[incarnation]
            if self._by_tag.get(tracked.tag) is tracked:
                del self._by_tag[tracked.tag]
