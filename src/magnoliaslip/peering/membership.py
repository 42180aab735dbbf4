"""The members of the group, from the platform's list and from what is heard."""

from collections.abc import Iterable, Sequence
from ipaddress import IPv4Network, IPv6Network, ip_address
from logging import getLogger

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.group import GroupView, InstanceEntry, Member, MemberState

LIVE_S = 2.0  # a member is live while it was heard within this time
DIRECT_S = 1.25  # two heartbeats lost: messages go through a third member as well
ACCEPT_FORMER_S = 600.0  # the list lags; a delisted source stays accepted this long

logger = getLogger(__name__)


class PeerRecord:
    """What is known of one other instance from its heartbeats.

    Attributes:
        incarnation: The highest incarnation heard.
        number: The highest heartbeat number of that incarnation.
        state: The state stated in that heartbeat.
        direct_at: Monotonic time of the last heartbeat over the instance's own link.
        any_at: Monotonic time of the last heartbeat, forwarded ones included.
        heard: Members that the instance stated to have heard directly.
        config_version: Version in force at the instance.
        instances_version: Version of its list of instances.
    """

    __slots__ = (
        "any_at",
        "config_version",
        "direct_at",
        "heard",
        "incarnation",
        "instances_version",
        "number",
        "state",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.number = 0
        self.state = MemberState.JOINING
        self.direct_at = float("-inf")
        self.any_at = float("-inf")
        self.heard: frozenset[str] = frozenset()
        self.config_version = 0
        self.instances_version = 0


class Membership:
    """Which instances are listed, live and unheard.

    An instance that the list does not name yet counts itself as joining, because
    the other members do not rank it either. Without any list it trusts its own
    state.

    Args:
        instance_id: Identifier of this instance.
        zone: Its availability zone.
        incarnation: Number that rises with every start of the process.
        clock: Source of monotonic time.
        seeds: Instances of the settings. They are dialled and accepted, but are no
            members until a list names them.
        allowed_networks: Networks whose addresses are accepted although unlisted.

    Attributes:
        list_version: Version of the list in force; 0 before the first one.
        listed_zones: Number of availability zones that the list names.

    >>> from magnoliaslip.core.clock import ManualClock
    >>> membership = Membership("i1", "a", 1, clock=ManualClock())
    >>> membership.set_state(MemberState.SERVING)
    >>> sorted(membership.view().members)
    ['i1']
    """

    __slots__ = (
        "_allowed",
        "_clock",
        "_former",
        "_listed",
        "_peers",
        "_seeds",
        "_state",
        "_view",
        "incarnation",
        "instance_id",
        "list_version",
        "listed_zones",
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
        self.listed_zones = 0
        self._clock = clock
        self._seeds = {entry.id: entry for entry in seeds}
        self._allowed = tuple(allowed_networks)
        self._listed: dict[str, InstanceEntry] = {}
        self._former: dict[InstanceEntry, float] = {}  # accepted until
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
        """Take over a list of the platform, read here or learned from a peer.

        Args:
            instances: All listed instances.
            version: Version of the list; an older or equal one is ignored.

        Returns:
            Whether the list came into force.
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
                self._former[entry] = now + ACCEPT_FORMER_S
        self._former = {
            entry: until
            for entry, until in self._former.items()
            if until > now and entries.get(entry.id) != entry
        }
        self._listed = entries
        self.listed_zones = len({entry.zone for entry in instances})
        self.list_version = version
        self._forget_strangers(now)
        return True

    def _forget_strangers(self, now: float) -> None:
        known = {entry.id for entry in self._former} | self._listed.keys()
        self._peers = {
            peer: record
            for peer, record in self._peers.items()
            if peer in known or peer in self._seeds or now - record.any_at < LIVE_S
        }

    def on_heartbeat(
        self,
        peer: str,
        incarnation: int,
        *,
        number: int,
        state: MemberState,
        heard: Iterable[str] = (),
        config_version: int = 0,
        instances_version: int = 0,
        direct: bool = True,
    ) -> bool:
        """Note a heartbeat.

        A repeated, reordered or former incarnation's heartbeat proves nothing about
        the present and is ignored. A forwarded one makes its sender live, but not
        heard directly.

        Returns:
            Whether the heartbeat is newer than all before it.
        """
        record = self._peers.get(peer)
        if record is None or incarnation > record.incarnation:
            record = self._peers[peer] = PeerRecord(incarnation)
        elif incarnation < record.incarnation:
            return False
        now = self._clock.monotonic()
        if number <= record.number:
            # The direct copy of a heartbeat may arrive after its forwarded copy.
            if direct and number == record.number:
                record.direct_at = max(record.direct_at, record.any_at)
            return False
        record.number = number
        record.state = state
        record.heard = frozenset(heard)
        record.config_version = config_version
        record.instances_version = instances_version
        record.any_at = now
        if direct:
            record.direct_at = now
        return True

    def skip_pause(self, seconds: float) -> None:
        """Leave a time in which this process stood still out of all ages.

        Otherwise all members would look dead to an instance that wakes late, and it
        would own every slice until it hears them again.
        """
        for record in self._peers.values():
            record.any_at += seconds
            record.direct_at += seconds

    def accepts_message(self, peer: str, incarnation: int) -> bool:
        """Return whether a message is not from a former incarnation."""
        record = self._peers.get(peer)
        return record is None or incarnation >= record.incarnation

    def record(self, peer: str) -> PeerRecord | None:
        """Return what is known from the heartbeats of an instance."""
        return self._peers.get(peer)

    def heard_directly(self) -> list[str]:
        """Return the instances heard over their own link within 2 s, sorted."""
        since = self._clock.monotonic() - LIVE_S
        return sorted(p for p, rec in self._peers.items() if rec.direct_at > since)

    def last_heard(self) -> float:
        """Return the monotonic time at which any instance was last heard."""
        return max((rec.any_at for rec in self._peers.values()), default=float("-inf"))

    def live(self) -> set[str]:
        """Return the other instances that are live, listed or not."""
        since = self._clock.monotonic() - LIVE_S
        live = {p for p, rec in self._peers.items() if rec.any_at > since}
        reported = set().union(*(self._peers[p].heard for p in live))
        return (live | reported) - {self.instance_id}

    def view(self) -> GroupView:
        """Return the group view; its version rises when its content changed."""
        live = self.live()
        members = {self.instance_id: self._own_member()}
        unheard = set()
        for peer, entry in self._listed.items():
            if peer == self.instance_id:
                continue
            record = self._peers.get(peer)
            if peer in live:
                members[peer] = _member(entry, record)
            elif record is None or record.state is not MemberState.LEAVING:
                unheard.add(peer)
        if members != self._view.members or unheard != self._view.unreachable:
            self._log_change(members)
            members = {peer: members[peer] for peer in sorted(members)}
            zones = {self._listed[peer].zone for peer in unheard}
            zones -= {member.zone for member in members.values()}
            self._view = GroupView(
                self._view.version + 1, members, frozenset(unheard), frozenset(zones)
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

    def targets(self) -> list[str]:
        """Return the instances that get heartbeats, sorted.

        These are the listed ones, seeds, and delisted ones that are still heard: the
        list may be wrong, and an instance that runs needs the news of the others.
        """
        names = self._listed.keys() | self._seeds.keys() | self._heard_former().keys()
        return sorted(names - {self.instance_id})

    def entry(self, peer: str) -> InstanceEntry | None:
        """Return the addresses of an instance; None when it gets no heartbeats."""
        listed = self._listed.get(peer) or self._seeds.get(peer)
        return listed or self._heard_former().get(peer)

    def _heard_former(self) -> dict[str, InstanceEntry]:
        now = self._clock.monotonic()
        heard = {}
        for entry, until in self._former.items():
            record = self._peers.get(entry.id)
            if record and until > now and now - record.any_at < LIVE_S:
                heard[entry.id] = entry
        return heard

    def accepts_address(self, host: str) -> bool:
        """Return whether control connections from an IP address are accepted."""
        now = self._clock.monotonic()
        hosts = {entry.control.host for entry in self._listed.values()}
        hosts.update(entry.control.host for entry in self._seeds.values())
        hosts.update(e.control.host for e, until in self._former.items() if until > now)
        if host in hosts:
            return True
        address = ip_address(host)
        return any(address in network for network in self._allowed)

    def accepts_sender(self, peer: str) -> bool:
        """Return whether messages of an instance may be taken.

        Unlisted senders are taken only when their networks were allowed by the
        settings: a fresh instance is heard before the lagging list names it.
        """
        if peer in self._listed or peer in self._seeds or self._allowed:
            return peer != self.instance_id
        now = self._clock.monotonic()
        return any(e.id == peer and until > now for e, until in self._former.items())

    def third_member(self, peer: str) -> str | None:
        """Return a member through which messages to ``peer`` go as well.

        Returns:
            None when the direct way works in both directions, or when no instance
            that is heard directly reports the peer; else the first such instance.
        """
        now = self._clock.monotonic()
        record = self._peers.get(peer)
        if (
            record is not None
            and now - record.direct_at < DIRECT_S
            and self.instance_id in record.heard
        ):
            return None
        for name in sorted(self._peers):
            third = self._peers[name]
            hears_both = {peer, self.instance_id} <= third.heard
            if name != peer and hears_both and now - third.direct_at < DIRECT_S:
                return name
        return None


def _member(entry: InstanceEntry, record: PeerRecord | None) -> Member:
    if record is None:
        return Member(entry.id, entry.zone, MemberState.JOINING)
    return Member(entry.id, entry.zone, record.state, record.incarnation)
