"""The other instances of the fleet, as far as this instance knows them."""

from collections.abc import Iterable, Iterator, Mapping
from random import Random

from magnoliaslip.gossip.digest import Digest, MemberEntry, ZoneReport
from magnoliaslip.gossip.hosts import pack_host, unpack_host
from magnoliaslip.placement.hashing import rank

# Time in seconds between two digests of an instance; loads change within a second.
GOSSIP_PERIOD_S = 0.5
# In a fleet of at most this many instances, each sends its digests to all others.
MESH_SIZE = 20
# In a larger fleet, each sends its digests to this many random members of its zone.
ZONE_FANOUT = 4
# In a larger fleet, about this many instances of a zone send a digest to each other
# zone in a period, whatever the size of the zone.
CROSS_ZONE_SENDERS = 3
# Members of the own zone that a digest lists.
MAX_MEMBERS_IN_DIGEST = 16
# Other hosts that a zone report lists, and hosts that are kept of another zone.
MAX_HOSTS_IN_REPORT = 3
MAX_CONTACTS_PER_ZONE = MESH_SIZE

# Members of the own zone that are kept; datagrams can name any number of hosts.
MAX_MEMBERS = 4_096

# An instance that every member hears directly is no longer live without a digest for
# this time in seconds: three and a half periods, so that two consecutive lost
# datagrams are tolerated.
MESH_TIMEOUT_S = 1.75
# In a larger fleet, heartbeats arrive by way of other members.
MIN_TIMEOUT_S = 4.0
# Mean times between two arrivals of a member's heartbeat after which it is not live.
MISSED_REFRESHES = 16
# An instance that is silent for this time in seconds is removed, if others are not.
# Until then it may still run on the other side of a partition.
MEMBER_EXPIRY_S = 60.0
# A summary of another zone is replaced by one with a lower number after this time in
# seconds: its author may have stopped, and clocks differ between machines.
ZONE_REPORT_AGE_S = 5.0
# A newly discovered instance is sent digests for this time in seconds until it answers.
# After a power loss, all instances start within about 2 s of each other.
DISCOVERY_DURATION_S = 5.0
# Instances per zone that watch the store. The second one covers the time from the
# failure of the first one until the others detect it.
STORE_WATCHERS_PER_ZONE = 2

_HEARTBEAT_EPOCH_S = 1_735_689_600  # 2025-01-01 in Unix seconds
# More than the periods in a second, so that a restarted process continues above its
# predecessor.
_HEARTBEATS_PER_S = 4
# A higher number than that of a process started a week later is forged.
MAX_HEARTBEAT_LEAD = 7 * 86_400 * _HEARTBEATS_PER_S


def first_heartbeat(started_s: float) -> int:
    """Return the first heartbeat of a process.

    Args:
        started_s: Time of its start in Unix seconds.
    """
    return max(1, int((started_s - _HEARTBEAT_EPOCH_S) * _HEARTBEATS_PER_S))


def is_watcher(own_host: str, hosts: Iterable[str]) -> bool:
    """Check whether an instance watches the store for its availability zone.

    Rendezvous hashing over the live instances of the zone chooses
    `STORE_WATCHERS_PER_ZONE`; when one is no longer live, the next one replaces it.

    Args:
        own_host: Host of the instance.
        hosts: Hosts of the other live instances of its zone.

    >>> sum(is_watcher(h, {"a", "b", "c"} - {h}) for h in ("a", "b", "c"))
    2
    """
    return own_host in rank("reader", [own_host, *hosts])[:STORE_WATCHERS_PER_ZONE]


class Member:
    """Another instance of the own zone, or one of another zone that was heard from.

    Attributes:
        host: Its IP address; all instances use the same port.
        zone: Its availability zone.
        heartbeat: The highest number received, directly or from others; 0 if it is
            known by its address only.
        advanced_at: Monotonic time in seconds at which the number last increased.
        discovered_at: Monotonic time in seconds at which it was added.
        listed_at: Monotonic time in seconds at which a summary of its zone last listed
            it as live.
        leaving: Whether it is about to stop.
        reads_store: Whether its last read of the store succeeded.
        replied_at: Monotonic time in seconds of the last reply to it.
    """

    __slots__ = (
        "advanced_at",
        "discovered_at",
        "heartbeat",
        "host",
        "leaving",
        "listed_at",
        "reads_store",
        "replied_at",
        "zone",
    )

    def __init__(self, host: str, zone: str, now: float) -> None:
        self.host = host
        self.zone = zone
        self.heartbeat = 0
        self.advanced_at = float("-inf")
        self.discovered_at = now
        self.listed_at = float("-inf")
        self.leaving = False
        self.reads_store = True
        self.replied_at = float("-inf")

    @property
    def known_at(self) -> float:
        """Monotonic time in seconds at which it was last known to run."""
        return max(self.advanced_at, self.listed_at)

    def advance(
        self, heartbeat: int, now: float, *, leaving: bool, reads_store: bool
    ) -> bool:
        """Apply a heartbeat; returns whether it is newer than the last one."""
        if heartbeat <= self.heartbeat:
            return False
        self.heartbeat = heartbeat
        self.advanced_at = now
        self.leaving = leaving
        self.reads_store = reads_store
        return True


class Membership:
    """Instances of the own zone, and what is known of other zones.

    Members of the own zone are known completely: each digest lists some of them with
    their heartbeats, so that news of a member reaches all in a time that grows with the
    logarithm of their number, while each sends a bounded number of bytes. Of other
    zones, the number of instances and a few hosts are known.

    Args:
        host: IP address of this instance.
        zone: Its availability zone.
        heartbeat: Its first heartbeat.

    Attributes:
        heartbeat: Number that this instance last sent.
        reports: The latest summary of each other zone.
    """

    __slots__ = (
        "_contacts",
        "_host",
        "_received_at",
        "_was_live",
        "_zone",
        "_zone_members",
        "heartbeat",
        "reports",
    )

    def __init__(self, host: str, zone: str, *, heartbeat: int) -> None:
        self._host = host
        self._zone = zone
        self.heartbeat = heartbeat
        self._zone_members: dict[str, Member] = {}
        self._contacts: dict[str, dict[str, Member]] = {}
        self.reports: dict[str, ZoneReport] = {}
        self._received_at: dict[str, float] = {}  # of each report
        self._was_live: set[str] = set()

    def record_digest(self, host: str, digest: Digest, now: float) -> Member:
        """Record a digest of another instance, with all that it says of others."""
        member = self._add(host, digest.zone, now)
        member.advance(
            digest.heartbeat,
            now,
            leaving=digest.leaving,
            reads_store=digest.reads_store,
        )
        if digest.zone == self._zone:
            for entry in digest.members:
                self._record_entry(entry, now)
        for report in digest.zones:
            self._record_report(report, now, joining=digest.joining)
        return member

    def live(self, now: float) -> list[Member]:
        """Return the live members of the own zone, and live contacts in others."""
        timeout_s = self.timeout_s()
        return [
            member
            for member in self
            if not member.leaving and now - member.advanced_at < timeout_s
        ]

    def live_in_zone(self, now: float) -> list[Member]:
        """Return the other live members of the own zone."""
        timeout_s = self.timeout_s()
        return [
            member
            for member in self._zone_members.values()
            if not member.leaving and now - member.advanced_at < timeout_s
        ]

    def timeout_s(self) -> float:
        """Return the time in seconds after which a silent member is not live."""
        if self.is_mesh:
            return MESH_TIMEOUT_S
        per_s = MAX_MEMBERS_IN_DIGEST * ZONE_FANOUT / GOSSIP_PERIOD_S
        mean_refresh_s = len(self._zone_members) / per_s
        return max(MIN_TIMEOUT_S, MISSED_REFRESHES * mean_refresh_s)

    @property
    def is_mesh(self) -> bool:
        """Whether the fleet is so small that each instance sends to all others."""
        return self.fleet_size <= MESH_SIZE

    @property
    def fleet_size(self) -> int:
        """Instances that may be running, this one included.

        Silent instances count: they may run on the other side of a partition.
        """
        others = sum(
            max(
                report.count if (report := self.reports.get(zone)) else 0,
                len(self._contacts.get(zone, ())),
            )
            for zone in self._contacts.keys() | self.reports.keys()
        )
        return 1 + self._running_in_zone() + others

    def watches_store(self, now: float, *, reads_store: bool) -> bool:
        """Check whether this instance watches the store for its zone.

        Members that can't read the store are passed over if any can.

        Args:
            now: Monotonic time in seconds.
            reads_store: Whether the last read of this instance succeeded.
        """
        live = self.live_in_zone(now)
        readers = [member.host for member in live if member.reads_store]
        if reads_store:
            return is_watcher(self._host, readers)
        if readers:
            return False
        return is_watcher(self._host, [member.host for member in live])

    def targets(self, now: float, rng: Random) -> list[str]:
        """Return the hosts to send a digest to.

        In a large fleet, a bounded number of random members of the own zone, and of
        each other zone one host with a probability that falls with the size of the own
        zone.
        """
        zone_hosts = [member.host for member in self.live_in_zone(now)]
        if self.is_mesh:
            return [member.host for member in self.live(now)]
        hosts = rng.sample(zone_hosts, min(ZONE_FANOUT, len(zone_hosts)))
        probability = CROSS_ZONE_SENDERS / (1 + len(zone_hosts))
        for contacts in self._contacts.values():
            if contacts and rng.random() < probability:
                running = [
                    member.host
                    for member in contacts.values()
                    if now - member.known_at < ZONE_REPORT_AGE_S
                ]
                hosts.append(rng.choice(running or list(contacts)))
        return hosts

    def undiscovered(self, now: float, rng: Random) -> list[str]:
        """Return hosts to which a digest is sent although they are not live.

        Newly discovered ones, as many as a digest is sent to anyway, and one of those
        that became silent, so that both sides of a partition find each other again. In
        a large fleet, of the own zone only: `targets` chooses from all hosts of others.
        """
        timeout_s = self.timeout_s()
        members = self if self.is_mesh else self._zone_members.values()
        silent = [m for m in members if now - m.advanced_at >= timeout_s]
        new = [m for m in silent if now - m.discovered_at < DISCOVERY_DURATION_S]
        limit = MESH_SIZE if self.is_mesh else ZONE_FANOUT
        hosts = {m.host for m in rng.sample(new, min(limit, len(new)))}
        if silent:
            hosts.add(rng.choice(silent).host)
        return sorted(hosts)

    def entries(self, now: float, rng: Random) -> tuple[MemberEntry, ...]:
        """Return some members of the own zone for a digest: live or leaving ones."""
        timeout_s = self.timeout_s()
        known = [
            member
            for member in self._zone_members.values()
            if now - member.advanced_at < timeout_s
        ]
        chosen = rng.sample(known, min(MAX_MEMBERS_IN_DIGEST, len(known)))
        return tuple(
            MemberEntry(
                pack_host(member.host),
                member.heartbeat,
                member.leaving,
                member.reads_store,
            )
            for member in chosen
        )

    def own_report(
        self, now: float, rng: Random, loads: Mapping[int, int]
    ) -> ZoneReport:
        """Return the summary of the own zone."""
        live = [member.host for member in self.live_in_zone(now)]
        hosts = rng.sample(live, min(MAX_HOSTS_IN_REPORT, len(live)))
        return ZoneReport(
            self._zone,
            self.heartbeat,
            1 + self._running_in_zone(),
            1 + len(live),
            tuple(map(pack_host, [self._host, *hosts])),
            tuple(loads.items()),
        )

    def expire(self, now: float) -> None:
        """Remove members that are silent for `MEMBER_EXPIRY_S`, if any other is not.

        An instance that hears nothing is cut off itself, and keeps what it knew.
        """
        if not self.live(now):
            return
        for members in (self._zone_members, *self._contacts.values()):
            for host, member in list(members.items()):
                last = max(member.known_at, member.discovered_at)
                if now - last > MEMBER_EXPIRY_S:
                    del members[host]

    def changes(self, now: float) -> tuple[list[str], list[str]]:
        """Return the hosts that became live and those no longer live since last time.

        Those of the own zone only.
        """
        live = {member.host for member in self.live_in_zone(now)}
        joined, lost = sorted(live - self._was_live), sorted(self._was_live - live)
        self._was_live = live
        return joined, lost

    def report_is_recent(self, zone: str, now: float) -> bool:
        """Check whether the summary of a zone is not older than `ZONE_REPORT_AGE_S`."""
        return now - self._received_at.get(zone, float("-inf")) < ZONE_REPORT_AGE_S

    def _running_in_zone(self) -> int:
        return sum(
            member.heartbeat > 0 and not member.leaving
            for member in self._zone_members.values()
        )

    def _add(self, host: str, zone: str, now: float) -> Member:
        if zone == self._zone:
            members = self._zone_members
        else:
            members = self._contacts.setdefault(zone, {})
        member = members.get(host)
        if member is None:
            member = members[host] = Member(host, zone, now)
            limit = MAX_MEMBERS if zone == self._zone else MAX_CONTACTS_PER_ZONE
            if len(members) > limit:
                oldest = min(members.values(), key=lambda each: each.known_at)
                del members[oldest.host]
        return member

    def _record_entry(self, entry: MemberEntry, now: float) -> None:
        host = unpack_host(entry.host)
        if host == self._host:
            # An earlier process at this address was ahead: the clock was set back.
            if entry.heartbeat - self.heartbeat <= MAX_HEARTBEAT_LEAD:
                self.heartbeat = max(self.heartbeat, entry.heartbeat)
            return
        self._add(host, self._zone, now).advance(
            entry.heartbeat, now, leaving=entry.leaving, reads_store=entry.reads_store
        )

    def _record_report(
        self, report: ZoneReport, now: float, *, joining: bool = False
    ) -> None:
        """Apply a summary of a zone unless a better one is known.

        Args:
            report: The summary.
            now: Monotonic time in seconds.
            joining: Whether the sender has just started; what it has heard of so far
                is no reason to believe that a zone has become smaller.
        """
        held = self.reports.get(report.zone)
        if (
            held is not None
            and self.report_is_recent(report.zone, now)
            and (
                report.number <= held.number or (joining and report.count < held.count)
            )
        ):
            return
        for data in report.hosts:
            host = unpack_host(data)
            if host != self._host:
                self._add(host, report.zone, now).listed_at = now
        if report.zone != self._zone:
            self.reports[report.zone] = report
            self._received_at[report.zone] = now

    def __iter__(self) -> Iterator[Member]:
        yield from list(self._zone_members.values())
        for members in list(self._contacts.values()):
            yield from list(members.values())

    def __len__(self) -> int:
        return len(self._zone_members) + sum(map(len, self._contacts.values()))
