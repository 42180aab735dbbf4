"""Group membership, derived from the platform's list and received heartbeats."""

from collections.abc import Iterable, Sequence
from ipaddress import IPv4Network, IPv6Network, ip_address
from logging import getLogger

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.group import GroupView, InstanceEntry, Member, MemberState

# An instance is live while a heartbeat was received from it within this time, or while
# such an instance reports receiving from it directly.
LIVENESS_TIMEOUT_S = 2.0
# After two lost heartbeats, messages are also sent through a forwarding member.
DIRECT_PATH_TIMEOUT_S = 1.25
# The list may be outdated, so a delisted instance is still accepted for this long.
DELISTED_ACCEPTANCE_S = 600.0

logger = getLogger(__name__)


class PeerRecord:
    """The state of one other instance, as its heartbeats report it.

    Attributes:
        incarnation: The highest incarnation received.
        heartbeat_number: The highest heartbeat number of that incarnation.
        state: The state reported in that heartbeat.
        last_direct_at: Monotonic time of the last heartbeat that was not forwarded.
        last_received_at: The same, forwarded heartbeats included.
        receives_from: Members from which the instance reported receiving directly.
        config_version: Configuration version in force at the instance.
        instances_version: Version of its list of instances.
    """

    __slots__ = (
        "config_version",
        "heartbeat_number",
        "incarnation",
        "instances_version",
        "last_direct_at",
        "last_received_at",
        "receives_from",
        "state",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.heartbeat_number = 0
        self.state = MemberState.JOINING
        self.last_direct_at = float("-inf")
        self.last_received_at = float("-inf")
        self.receives_from: frozenset[str] = frozenset()
        self.config_version = 0
        self.instances_version = 0


class Membership:
    """Tracks which instances are listed, live and unreachable.

    While the list in force does not name this instance, the instance announces joining
    instead of serving, because the other members assign no slices to it either. Before
    the first list it announces the state that was set.

    Args:
        instance_id: Identifier of this instance.
        zone: Its availability zone.
        incarnation: Number that rises with every start of the process.
        clock: Source of monotonic time.
        seeds: Instances from the settings. They are dialled and accepted, but become
            members only when a list names them.
        allowed_networks: Networks whose addresses are accepted even when unlisted.

    Attributes:
        list_version: Version of the list in force; 0 before the first one.
        listed_zone_count: Number of availability zones on the list.

    >>> from magnoliaslip.core.clock import ManualClock
    >>> membership = Membership("i1", "a", 1, clock=ManualClock())
    >>> membership.set_state(MemberState.SERVING)
    >>> sorted(membership.view().members)
    ['i1']
    """

    __slots__ = (
        "_allowed_networks",
        "_clock",
        "_delisted",
        "_listed",
        "_peers",
        "_seeds",
        "_state",
        "_unlisted_hosts",
        "_view",
        "incarnation",
        "instance_id",
        "list_version",
        "listed_zone_count",
        "zone",
    )

    def __init__(
        self,
        instance_id: str,
        zone: str,
        incarnation: int,
        *,
        clock: Clock,
        seeds: Iterable[InstanceEntry] = (),
        allowed_networks: Iterable[IPv4Network | IPv6Network] = (),
    ) -> None:
        self.instance_id = instance_id
        self.zone = zone
        self.incarnation = incarnation
        self.list_version = 0
        self.listed_zone_count = 0
        self._clock = clock
        self._seeds = {entry.id: entry for entry in seeds}
        self._allowed_networks = tuple(allowed_networks)
        self._listed: dict[str, InstanceEntry] = {}
        # Former entries and the monotonic time until which they are accepted,
        # also those of instances whose entry on the list has changed.
        self._delisted: dict[InstanceEntry, float] = {}
        # Addresses of instances that are not listed yet, and the monotonic time until
        # which their relays are accepted.
        self._unlisted_hosts: dict[str, float] = {}
        self._peers: dict[str, PeerRecord] = {}
        self._state = MemberState.JOINING
        self._view = GroupView(0)

    @property
    def state(self) -> MemberState:
        """The state that this instance announces."""
        unlisted = self.list_version and self.instance_id not in self._listed
        if unlisted and self._state is MemberState.SERVING:
            return MemberState.JOINING
        return self._state

    def set_state(self, state: MemberState) -> None:
        """Change the state of this instance."""
        self._state = state

    @property
    def listed_count(self) -> int:
        """The number of instances on the list."""
        return len(self._listed)

    def apply_list(self, instances: Sequence[InstanceEntry], version: int) -> bool:
        """Apply a list that was read from the platform or received from a peer.

        Args:
            instances: All listed instances.
            version: Version of the list; ignored unless newer than the one in force.

        Returns:
            Whether the list is now in force.
        """
        entries = {entry.id: entry for entry in instances}
        if version <= self.list_version:
            if version < self.list_version or entries != self._listed:
                conflict = version == self.list_version
                log_event(
                    logger,
                    Event.CONFIG_CONFLICT if conflict else Event.CONFIG_STALE,
                    key="instances",
                    version=version,
                    in_force=self.list_version,
                )
            return False
        now = self._clock.monotonic()
        for entry in self._listed.values():
            if entries.get(entry.id) != entry:
                self._delisted[entry] = now + DELISTED_ACCEPTANCE_S
        self._delisted = {
            entry: until
            for entry, until in self._delisted.items()
            if until > now and entries.get(entry.id) != entry
        }
        self._listed = entries
        self.listed_zone_count = len({entry.zone for entry in instances})
        self.list_version = version
        self._remove_unlisted_peers(now)
        return True

    def _remove_unlisted_peers(self, now: float) -> None:
        retained = {entry.id for entry in self._delisted} | self._listed.keys()
        self._peers = {
            peer: record
            for peer, record in self._peers.items()
            if peer in retained
            or peer in self._seeds
            or now - record.last_received_at < LIVENESS_TIMEOUT_S
        }

    def on_heartbeat(
        self,
        peer: str,
        incarnation: int,
        *,
        number: int,
        state: MemberState,
        receives_from: Iterable[str] = (),
        config_version: int = 0,
        instances_version: int = 0,
        direct: bool = True,
    ) -> bool:
        """Record a heartbeat.

        A heartbeat that is repeated, reordered or from a former incarnation is
        outdated and ignored. A forwarded one makes its sender live, but does not count
        as received directly.

        Returns:
            Whether the heartbeat is newer than all received before.
        """
        record = self._peers.get(peer)
        if record is None or incarnation > record.incarnation:
            record = self._peers[peer] = PeerRecord(incarnation)
        elif incarnation < record.incarnation:
            return False
        now = self._clock.monotonic()
        if number <= record.heartbeat_number:
            # A heartbeat may arrive directly after its forwarded duplicate.
            if direct and number == record.heartbeat_number:
                record.last_direct_at = max(
                    record.last_direct_at, record.last_received_at
                )
            return False
        record.heartbeat_number = number
        record.state = state
        record.receives_from = frozenset(receives_from)
        record.config_version = config_version
        record.instances_version = instances_version
        record.last_received_at = now
        if direct:
            record.last_direct_at = now
        return True

    def exclude_pause(self, seconds: float) -> None:
        """Exclude a pause of this process from the ages of all heartbeats.

        Otherwise an instance that resumes after a pause would consider all members
        unreachable and own every slice until it receives their next heartbeats.
        """
        for record in self._peers.values():
            record.last_received_at += seconds
            record.last_direct_at += seconds

    def accepts_incarnation(self, peer: str, incarnation: int) -> bool:
        """Check that no heartbeat of a higher incarnation was received."""
        record = self._peers.get(peer)
        return record is None or incarnation >= record.incarnation

    def record(self, peer: str) -> PeerRecord | None:
        """Return the record of an instance, if it has one."""
        return self._peers.get(peer)

    def received_directly(self) -> list[str]:
        """Return the instances whose heartbeats arrived directly within 2 s, sorted."""
        since = self._clock.monotonic() - LIVENESS_TIMEOUT_S
        return sorted(p for p, rec in self._peers.items() if rec.last_direct_at > since)

    def last_heartbeat_at(self) -> float:
        """Return the monotonic time of the last heartbeat; -inf before the first."""
        return max(
            (rec.last_received_at for rec in self._peers.values()),
            default=float("-inf"),
        )

    def live(self) -> set[str]:
        """Return the other instances that are live, listed or not.

        An instance is also live if another one, from which a heartbeat was received
        within 2 s, reports receiving from it directly.
        """
        since = self._clock.monotonic() - LIVENESS_TIMEOUT_S
        live = {p for p, rec in self._peers.items() if rec.last_received_at > since}
        reported = set().union(*(self._peers[p].receives_from for p in live))
        return (live | reported) - {self.instance_id}

    def view(self) -> GroupView:
        """Return the group view, with a higher version if its content changed."""
        live = self.live()
        members = {self.instance_id: self._own_member()}
        unreachable = set()
        for peer, entry in self._listed.items():
            if peer == self.instance_id:
                continue
            record = self._peers.get(peer)
            if peer in live:
                members[peer] = _member(entry, record)
            elif record is None or record.state is not MemberState.LEAVING:
                unreachable.add(peer)
        if members != self._view.members or unreachable != self._view.unreachable:
            self._log_change(members)
            members = {peer: members[peer] for peer in sorted(members)}
            zones = {self._listed[peer].zone for peer in unreachable}
            zones -= {member.zone for member in members.values()}
            self._view = GroupView(
                self._view.version + 1,
                members,
                frozenset(unreachable),
                frozenset(zones),
            )
        return self._view

    def _own_member(self) -> Member:
        return Member(self.instance_id, self.zone, self.state, self.incarnation)

    def _log_change(self, members: dict[str, Member]) -> None:
        before = self._view.members.keys()
        for peer in sorted(members.keys() - before - {self.instance_id}):
            log_event(logger, Event.MEMBER_LIVE, member=peer)
        for peer in sorted(before - members.keys()):
            log_event(logger, Event.MEMBER_LOST, member=peer)

    def heartbeat_targets(self) -> list[str]:
        """Return the instances to which heartbeats are sent, sorted.

        These are the listed ones, the seeds, and delisted ones that are still live: the
        list may be wrong, and a running instance needs the updates of the others.
        """
        names = self._listed.keys() | self._seeds.keys() | self._live_delisted().keys()
        return sorted(names - {self.instance_id})

    def entry(self, peer: str) -> InstanceEntry | None:
        """Return the entry of a listed, seed or live delisted instance, or None.

        A delisted instance counts as live only by its own heartbeats.
        """
        listed = self._listed.get(peer) or self._seeds.get(peer)
        return listed or self._live_delisted().get(peer)

    def _live_delisted(self) -> dict[str, InstanceEntry]:
        now = self._clock.monotonic()
        entries = {}
        for entry, until in self._delisted.items():
            record = self._peers.get(entry.id)
            if (
                record
                and until > now
                and now - record.last_received_at < LIVENESS_TIMEOUT_S
            ):
                entries[entry.id] = entry
        return entries

    def accepts_address(self, host: str) -> bool:
        """Check whether an IP address may open control connections."""
        return self._is_member_host(host) or self._is_allowed_host(host)

    def accepts_relay(self, host: str) -> bool:
        """Check whether relays from an IP address are accepted.

        It is that of a member, or of an instance on whose stream messages arrived; the
        allowed networks alone don't make an operator's host a member.
        """
        until = self._unlisted_hosts.get(host, 0.0)
        return until > self._clock.monotonic() or self._is_member_host(host)

    def record_stream(self, host: str) -> None:
        """Record that a message of an instance arrived from an accepted address."""
        now = self._clock.monotonic()
        if not self._is_member_host(host):
            self._unlisted_hosts = {
                each: until
                for each, until in self._unlisted_hosts.items()
                if until > now
            }
            self._unlisted_hosts[host] = now + DELISTED_ACCEPTANCE_S

    def _is_member_host(self, host: str) -> bool:
        now = self._clock.monotonic()
        return (
            any(entry.control.host == host for entry in self._listed.values())
            or any(entry.control.host == host for entry in self._seeds.values())
            or any(
                entry.control.host == host and until > now
                for entry, until in self._delisted.items()
            )
        )

    def _is_allowed_host(self, host: str) -> bool:
        address = ip_address(host)
        return any(address in network for network in self._allowed_networks)

    def accepts_sender(self, peer: str) -> bool:
        """Check whether messages from an instance are accepted.

        Besides listed instances, seeds and recently delisted instances, others are
        accepted only when the settings allow at least one network: a new instance
        sends messages before the list names it. A message without a sender never is.
        """
        if not peer:
            return False
        if peer in self._listed or peer in self._seeds or self._allowed_networks:
            return peer != self.instance_id
        now = self._clock.monotonic()
        return any(e.id == peer and until > now for e, until in self._delisted.items())

    def forwarding_member(self, peer: str) -> str | None:
        """Return a member through which messages to ``peer`` are also sent.

        Returns:
            None when the direct path works in both directions. Otherwise the first
            instance whose heartbeats arrive directly and that reports receiving from
            both the peer and this instance; None when there is none.
        """
        now = self._clock.monotonic()
        record = self._peers.get(peer)
        if (
            record is not None
            and now - record.last_direct_at < DIRECT_PATH_TIMEOUT_S
            and self.instance_id in record.receives_from
        ):
            return None
        for name in sorted(self._peers):
            candidate = self._peers[name]
            receives_from_both = {peer, self.instance_id} <= candidate.receives_from
            if (
                name != peer
                and receives_from_both
                and now - candidate.last_direct_at < DIRECT_PATH_TIMEOUT_S
            ):
                return name
        return None


def _member(entry: InstanceEntry, record: PeerRecord | None) -> Member:
    if record is None:
        return Member(entry.id, entry.zone, MemberState.JOINING)
    return Member(entry.id, entry.zone, record.state, record.incarnation)
