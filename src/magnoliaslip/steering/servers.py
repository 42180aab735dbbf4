"""Backend servers that an instance tracks, including recently removed ones."""

from collections.abc import Collection, Iterator

from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import RegisteredServer
from magnoliaslip.steering.reachability import (
    UNREACHABLE_FLOWS,
    UNREACHABLE_FLOWS_IN_PARTITION,
    Reachability,
)
from magnoliaslip.steering.request_rate import RequestRate
from magnoliaslip.steering.server_group import ServerGroup
from magnoliaslip.steering.tags import server_key, server_tag
from magnoliaslip.steering.warmup import WarmUpBudget

# Suspicions reported by other instances are about this old, in seconds; an answer that
# this instance observed within this time outweighs them.
PEER_REPORT_AGE_S = 0.5
# Registrations that lapse during an outage of the store, and whatever is missing after
# it was restored from an older copy, are written again within this time in seconds
# (platform); after it a server counts as gone and a zone as back in service.
REGISTRATION_GRACE_S = 2.0
# A server to which fewer requests per second are forwarded is not active, unless there
# is evidence on it to report.
MIN_ACTIVE_RATE_PER_S = 0.01
# A server whose registration lapsed counts as running if one of its flows got an answer
# within this time in seconds.
RECENT_ANSWER_S = 0.5

Incarnation = tuple[str, int]  # identifier, start in Unix milliseconds


class TrackedServer:
    """One incarnation of a backend server and what this instance observed of it.

    Attributes:
        server: Its registration.
        draining: Whether it was ever registered as draining; an older copy of its
            registration does not make it available again, unless registrations don't
            state when it started.
        tag: Tag that digests name it by.
        key: Key from which the tags of its flows are computed.
        registered: Whether the registration is still published.
        removed_at: Monotonic time in seconds at which the registration was removed;
            valid only while not `registered`.
        cold_until: Monotonic time in seconds from which it counts as warm.
        warm_up: Budget of new flows from this instance while it is cold.
        reachability: Evidence on the path to it.
        zone_reachability: Evidence on the path to its whole availability zone.
        group: The servers of its service in its zone.
        requests: Rate of requests that this instance forwarded.
        peer_requests_per_s: Requests per second that other instances report to have
            forwarded; those known for its group only are not included.
        suspected_by_peers: Whether other instances report it as suspect.
    """

    __slots__ = (
        "_active",
        "cold_until",
        "draining",
        "group",
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
        group: ServerGroup | None = None,
        active: "set[TrackedServer] | None" = None,
    ) -> None:
        self.server = server
        self.draining = server.draining
        self.group = group or ServerGroup(server.service, server.zone)
        self._active = set() if active is None else active
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

    def record_request(self, now: float) -> None:
        """Record a request that this instance forwarded."""
        self._active.add(self)
        self.requests.add(now)

    def record_placement(self, now: float) -> None:
        """Record that a new flow was placed on it.

        The first request of the flow counts at once, so that a burst of new flows is
        spread over the servers.
        """
        self.record_request(now)
        self.reachability.record_placement(now)
        if self.cold_until > now:
            self.warm_up.consume()

    def record_answer(self, now: float) -> bool:
        """Record an answer to a flow; return whether the server was suspect."""
        self.zone_reachability.record_answer(now)
        return self.reachability.record_answer(now)

    def record_retransmission(
        self, flow: bytes, now: float, *, arrived_after: float
    ) -> bool:
        """Record retransmitted data; return whether the server became suspect.

        Args:
            flow: The flow of the data.
            now: Monotonic time in seconds.
            arrived_after: See `Reachability.record_retransmission`.
        """
        self._active.add(self)
        self.zone_reachability.record_retransmission(
            flow, now, arrived_after=arrived_after
        )
        return self.reachability.record_retransmission(
            flow, now, arrived_after=arrived_after
        )

    def record_unanswered_syn(self, flow: bytes, sent_at: float, now: float) -> bool:
        """Record an unanswered SYN; return whether the server became suspect."""
        self._active.add(self)
        self.zone_reachability.record_unanswered_syn(flow, sent_at, now)
        return self.reachability.record_unanswered_syn(flow, sent_at, now)

    def is_unreachable(
        self, now: float, *, from_zone: str, correction_time_s: float = 0.0
    ) -> bool:
        """Check whether recent evidence of several flows shows it to be unreachable.

        Fewer flows are enough if its zone seems to be partitioned from this instance,
        which is only possible for another zone.

        Args:
            now: Monotonic time in seconds.
            from_zone: Availability zone of this instance.
            correction_time_s: See `Reachability.is_unreachable`.
        """
        partitioned = (
            self.server.zone != from_zone and self.zone_reachability.is_partitioned(now)
        )
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
        return (
            self.requests.per_s(now)
            + self.peer_requests_per_s
            + self.group.peer_requests_per_s
        ) / self.server.slots

    def is_active(self, now: float) -> bool:
        """Check whether this instance has a load or evidence of it to report."""
        return (
            self.requests.per_s(now) >= MIN_ACTIVE_RATE_PER_S
            or self.reachability.should_report(now)
            or bool(self.reachability.unresponsive(now))
        )


class ServerSet:
    """All servers that packets may be sent to.

    A removed server keeps its tags for `retention_s`, as it may still hold flows. Each
    packet names the server that it is meant for, so no other server accepts it.

    Args:
        retention_s: Seconds for which a removed server is kept.

    Attributes:
        zones_out: Availability zones whose servers get no new flows: those out of
            service, and for `REGISTRATION_GRACE_S` those that were out before the
            store was restored from an older copy.
    """

    __slots__ = (
        "_active",
        "_by_incarnation",
        "_by_tag",
        "_candidates",
        "_era",
        "_generation",
        "_groups",
        "_has_lapsing",
        "_registered",
        "_removed",
        "_retention_s",
        "_zone_reachability",
        "_zones_out_until",
        "zones_out",
    )

    def __init__(self, *, retention_s: float) -> None:
        self._retention_s = retention_s
        self._by_incarnation: dict[Incarnation, TrackedServer] = {}
        self._by_tag: dict[int, TrackedServer] = {}
        # By service and zone, and by service with an empty zone.
        self._candidates: dict[tuple[str, str], list[TrackedServer]] = {}
        self._groups: dict[tuple[str, str], ServerGroup] = {}
        self._zone_reachability: dict[str, Reachability] = {}
        self._active: set[TrackedServer] = set()
        # What was applied last: the registrations by identifier, and the generation.
        self._registered: dict[str, RegisteredServer] = {}
        self._generation = -1
        self._era = 0
        self.zones_out: set[str] = set()
        # Zones that were out before a restore, and the monotonic time of their return.
        self._zones_out_until: dict[str, float] = {}
        self._removed: dict[Incarnation, TrackedServer] = {}
        # Whether the candidates depend on the time: they include removed servers, or
        # lack zones that are out of service for a limited time.
        self._has_lapsing = False

    def apply(self, directory: Directory, now: float) -> bool:
        """Apply the registrations and zones of a directory.

        Takes little time if the directory has not changed.

        Returns:
            Whether servers were added or discarded.
        """
        count = len(self._by_incarnation)
        self._discard_expired(now)
        has_changed = len(self._by_incarnation) != count
        is_new_generation = directory.generation != self._generation
        if is_new_generation:
            self._generation = directory.generation
            has_changed |= self._apply_registrations(directory, now)
        if is_new_generation or self._has_lapsing:
            self._apply_zones(directory, now)
            self._update_candidates(now)
        return has_changed

    def find(self, tag: int) -> TrackedServer | None:
        """Return the server that digests name by a tag."""
        return self._by_tag.get(tag)

    def candidates(self, service: str, zone: str = "") -> list[TrackedServer]:
        """Return the servers of a service that may get new flows.

        Includes those removed just now, see `TrackedServer.counts_as_registered`.

        Args:
            service: Name of the service.
            zone: Availability zone of the servers; empty for all zones.
        """
        return self._candidates.get((service, zone), [])

    def active(self, now: float) -> list[TrackedServer]:
        """Return the servers of which this instance has something to report."""
        # The servers add themselves to this set, so it is changed in place.
        self._active -= {each for each in self._active if not each.is_active(now)}
        return list(self._active)

    def is_own_path_suspect(self, zone: str, now: float) -> bool:
        """Check whether this instance rather than the servers may be the cause.

        An instance that is overloaded, or whose link is, gets late answers from all
        servers: from those of its own zone, which no partition separates from it, and
        from those of other zones.

        Args:
            zone: Availability zone of this instance.
            now: Monotonic time in seconds.
        """
        own_zone = self._zone_reachability.get(zone)
        return (
            own_zone is not None
            and own_zone.is_unanswered(now)
            and any(
                other.is_unanswered(now)
                for other in self._zone_reachability.values()
                if other is not own_zone
            )
        )

    @property
    def last_answer_at(self) -> float:
        """Monotonic time in seconds of the last answer of any server; -inf for none."""
        return max(
            (zone.last_answer_at for zone in self._zone_reachability.values()),
            default=float("-inf"),
        )

    @property
    def groups(self) -> Collection[ServerGroup]:
        """The servers of each service in each zone."""
        return self._groups.values()

    def __iter__(self) -> Iterator[TrackedServer]:
        return iter(self._by_incarnation.values())

    def __len__(self) -> int:
        return len(self._by_incarnation)

    def _apply_registrations(self, directory: Directory, now: float) -> bool:
        """Apply what differs from the last registrations.

        Returns:
            Whether servers were added.
        """
        count = len(self._by_incarnation)
        former = self._registered
        self._registered = dict(directory.servers)
        for identifier in former.keys() - self._registered.keys():
            self._deregister(former[identifier], now)
        for identifier, server in self._registered.items():
            previous = former.get(identifier)
            if previous is server:
                continue
            if previous is not None and previous.incarnation != server.incarnation:
                self._deregister(previous, now)
            self._register(server, now)
        return len(self._by_incarnation) != count

    def _apply_zones(self, directory: Directory, now: float) -> None:
        """Record which zones are out of service, or still are in a new era."""
        if directory.era != self._era:
            self._era = directory.era
            for zone in self.zones_out - directory.zones_out:
                self._zones_out_until[zone] = now + REGISTRATION_GRACE_S
        for zone, until in list(self._zones_out_until.items()):
            if now >= until:
                del self._zones_out_until[zone]
        self.zones_out = directory.zones_out | self._zones_out_until.keys()

    def _update_candidates(self, now: float) -> None:
        self._candidates = {}
        self._has_lapsing = bool(self._zones_out_until)
        for group in self._groups.values():
            group.registered = 0
        for tracked in self._by_incarnation.values():
            server = tracked.server
            if tracked.registered:
                tracked.group.registered += 1
            elif server.id in self._registered:
                continue  # it has started again, and holds nothing of before
            elif now - tracked.removed_at < REGISTRATION_GRACE_S:
                self._has_lapsing = True
            else:
                continue
            if (
                not tracked.draining
                and server.zone not in self.zones_out
                and self._by_tag.get(tracked.tag) is tracked
            ):
                for zone in ("", server.zone):
                    key = (server.service, zone)
                    self._candidates.setdefault(key, []).append(tracked)

    def _register(self, server: RegisteredServer, now: float) -> None:
        tracked = self._by_incarnation.get(server.incarnation)
        cold_until = now + server.cold_ms / 1000
        key = (server.service, server.zone)
        group = self._groups.get(key)
        if group is None:
            group = self._groups[key] = ServerGroup(*key)
        if tracked is None:
            zone_reachability = self._zone_reachability.setdefault(
                server.zone, Reachability()
            )
            tracked = TrackedServer(
                server,
                cold_until=cold_until,
                zone_reachability=zone_reachability,
                group=group,
                active=self._active,
            )
            self._by_incarnation[server.incarnation] = tracked
            # If two servers have the same tag, digests report the first one only, and
            # the other gets no flows.
            self._by_tag.setdefault(tracked.tag, tracked)
        else:
            tracked.server = server
            # Without a start time, it may be another incarnation.
            drained = tracked.draining and server.started_ms > 0
            tracked.draining = drained or server.draining
            tracked.group = group
            tracked.cold_until = cold_until
        tracked.registered = True
        self._removed.pop(server.incarnation, None)

    def _deregister(self, server: RegisteredServer, now: float) -> None:
        tracked = self._by_incarnation[server.incarnation]
        tracked.registered = False
        tracked.removed_at = now
        self._removed[server.incarnation] = tracked

    def _discard_expired(self, now: float) -> None:
        """Discard the servers that were removed more than the retention time ago."""
        for incarnation, tracked in list(self._removed.items()):
            if now <= tracked.removed_at + self._retention_s:
                break  # the others were removed later
            del self._removed[incarnation]
            del self._by_incarnation[incarnation]
            if self._by_tag.get(tracked.tag) is tracked:
                del self._by_tag[tracked.tag]
