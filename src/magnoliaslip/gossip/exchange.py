"""Exchanges digests with other instances."""

from collections.abc import Callable, Sequence
from logging import getLogger
from random import Random
from socket import socket as Socket  # noqa: N812

from anyio import Event as Signal
from anyio import move_on_after, sleep
from msgspec.structs import replace

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.error_text import error_text
from magnoliaslip.core.errors import PeerError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.dataplane.udp_reader import (
    read_datagrams_with_source,
    receive_batch_with_source,
)
from magnoliaslip.gossip.announcement_limiter import AnnouncementLimiter
from magnoliaslip.gossip.digest import (
    DIGEST_FORMAT,
    MAX_DIGEST_BYTES,
    Digest,
    decode_digest,
    encode_digest,
)
from magnoliaslip.gossip.evidence_table import EvidenceTable
from magnoliaslip.gossip.load_table import LoadTable
from magnoliaslip.gossip.membership import (
    GOSSIP_PERIOD_S,
    Member,
    Membership,
    first_heartbeat,
)
from magnoliaslip.gossip.recent_changes import RecentChanges
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import StorePosition
from magnoliaslip.steering.servers import ServerSet

# Announcements per second, and those that may follow each other at once.
ANNOUNCEMENTS_PER_S = 5.0
ANNOUNCEMENT_BURST = 3
# Minimum time in seconds between two digests to an instance that has asked for one.
MIN_REPLY_INTERVAL_S = 0.4
# A process asks for digests in return for this time in seconds after its start.
JOINING_DURATION_S = 3.0
# A process does not watch the store before this time in seconds after its start: until
# then it does not know the others, and each would watch.
FIRST_WATCH_DELAY_S = 1.0
# Digests to a seed in a period, over the whole fleet.
SEED_DIGESTS_PER_PERIOD = 4
# Summaries of other zones in a digest.
MAX_OTHER_ZONES_IN_DIGEST = 3
# Hosts that a log line lists.
MAX_LOGGED_HOSTS = 8

logger = getLogger(__name__)


class GossipExchange:
    """Sends and receives digests and applies what other instances report.

    What an instance sends and handles in a second does not grow with the fleet: each
    digest goes to a bounded number of instances, and news travels from one to the next.

    Args:
        sock: Socket bound to the control address.
        zone: Availability zone of this instance.
        seeds: Control addresses of the first instances to contact; their ports are
            ignored, as all instances use the same one.
        started_ms: Start time of this process in Unix milliseconds.
        directory: Directory of this instance.
        servers: Tracked servers; what other instances report is recorded on them.
        clock: Source of time.
        rng: Chooses the receivers of digests.
        reads_store: Returns whether the last read of the store succeeded.
        on_newer_directory: Called with the host of an instance that has a newer
            directory, and its position.
        on_directory_change: Called after changes from a digest were applied.

    Attributes:
        members: The other instances.
        rejected: Number of datagrams that could not be decoded.
    """

    __slots__ = (
        "_announcement_due",
        "_clock",
        "_directory",
        "_evidence",
        "_leaving",
        "_limiter",
        "_loads",
        "_on_directory_change",
        "_on_newer_directory",
        "_port",
        "_reads_store",
        "_recent_changes",
        "_rng",
        "_seeds",
        "_servers",
        "_sock",
        "_started_at",
        "_zone",
        "members",
        "rejected",
    )

    def __init__(
        self,
        sock: Socket,
        *,
        zone: str,
        seeds: Sequence[Address],
        started_ms: int,
        directory: Directory,
        servers: ServerSet,
        clock: Clock,
        rng: Random,
        reads_store: Callable[[], bool],
        on_newer_directory: Callable[[str, StorePosition], None],
        on_directory_change: Callable[[], None],
    ) -> None:
        host, self._port = sock.getsockname()[:2]
        self._sock = sock
        self._zone = zone
        self._seeds = [seed.host for seed in seeds if seed.host != host]
        self._directory = directory
        self._servers = servers
        self._clock = clock
        self._rng = rng
        self._reads_store = reads_store
        self._on_newer_directory = on_newer_directory
        self._on_directory_change = on_directory_change
        self._leaving = False
        self._started_at = clock.monotonic()
        self._limiter = AnnouncementLimiter(
            per_s=ANNOUNCEMENTS_PER_S, burst=ANNOUNCEMENT_BURST
        )
        self._announcement_due = Signal()
        self.members = Membership(
            host, zone, heartbeat=first_heartbeat(started_ms / 1000)
        )
        self._evidence = EvidenceTable(host, zone, servers)
        self._loads = LoadTable(zone, self.members, servers)
        self._recent_changes = RecentChanges(directory)
        self.rejected = 0

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Apply the seeds of changed settings; known instances are kept."""
        host = self._sock.getsockname()[0]
        self._seeds = [seed.host for seed in seeds if seed.host != host]

    async def send_periodically(self) -> None:
        """Send digests in every gossip period, and announcements, until cancelled."""
        while True:
            self.send_once()
            period_end = self._clock.monotonic() + GOSSIP_PERIOD_S
            while (remaining_s := period_end - self._clock.monotonic()) > 0:
                with move_on_after(remaining_s):
                    await self._announcement_due.wait()
                    await sleep(self._limiter.delay_s(self._clock.monotonic()))
                self.send_due_announcement()

    def send_once(self) -> None:
        """Begin a gossip period: update what is known, and send the digests."""
        now = self._clock.monotonic()
        members = self.members
        members.heartbeat += 1
        members.expire(now)
        self._announcement_due = Signal()
        self._log_member_changes(now)
        self._loads.apply(now)
        self._evidence.observe(now)
        self._evidence.apply(now)
        hosts = {
            *members.targets(now, self._rng),
            *members.undiscovered(now, self._rng),
        }
        self._send(hosts | self._due_seeds(now))

    def announce(self) -> None:
        """Send a digest without waiting for the period.

        Called on new evidence or a new directory. If the rate limit is reached, it is
        sent as soon as the limit allows, or with the next period.
        """
        if self._limiter.take(self._clock.monotonic()):
            self._announce()
        else:
            self._announcement_due.set()

    def send_due_announcement(self) -> None:
        """Send an announcement that waited for the rate limit, if it allows it now."""
        if self._announcement_due.is_set() and self._limiter.take(
            self._clock.monotonic()
        ):
            self._announcement_due = Signal()
            self._announce()

    def announce_directory(self) -> None:
        """Announce a newer directory.

        In a small fleet, the instances that watch the store reach all others.
        """
        if self.is_watcher() or not self.members.is_mesh:
            self.announce()

    def announce_leaving(self) -> None:
        """Notify other instances that this one is about to stop."""
        self._leaving = True
        self.members.heartbeat += 1
        self._announce()

    async def receive(self) -> None:
        """Receive digests until cancelled."""
        await read_datagrams_with_source(self._sock, self.receive_datagram)

    def update_evidence(self) -> None:
        """Bring the evidence of other instances up to date.

        Receives the digests that have already arrived, one batch at most: after a pause
        of this instance, corrections of its evidence may be among them. Evidence that
        is no longer fresh is removed. An unexpected error is logged, as the packets of
        callers wait for the result.
        """
        try:
            for data, source in receive_batch_with_source(self._sock):
                self.receive_datagram(data, source)
            self._evidence.apply(self._clock.monotonic())
        except Exception:
            task = "GossipExchange.update_evidence"
            log_event(logger, Event.UNEXPECTED_ERROR, task=task, error=error_text())

    def receive_datagram(self, data: bytes, source: Address) -> None:
        """Decode a datagram and apply the digest that it contains."""
        if source.host == self._sock.getsockname()[0]:
            self.rejected += 1  # reflected or forged; an answer would be one, too
            return
        try:
            digest = decode_digest(data)
        except PeerError as exc:
            self.rejected += 1
            log_event(logger, Event.PEER_REJECTED, source=source, reason=exc.message)
            return
        if not digest.era:
            # An earlier version of this program; it is compared by its revision.
            digest = replace(digest, era=self._directory.era)
        now = self._clock.monotonic()
        member = self.members.record_digest(source.host, digest, now)
        self._loads.record_digest(source.host, digest, now)
        if digest.zone == self._zone:
            self._record_answers(digest, now)
        has_news = self._evidence.merge(digest, now)
        if digest.joining and now >= member.replied_at + MIN_REPLY_INTERVAL_S:
            self._reply(member, now)
        if digest.position > self._directory.position:
            if self._recent_changes.apply(digest):
                self._on_directory_change()
            else:
                self._on_newer_directory(source.host, digest.position)
        if has_news:
            self.announce()

    def is_watcher(self) -> bool:
        """Check whether this instance watches the store for its zone."""
        now = self._clock.monotonic()
        if now < self._started_at + FIRST_WATCH_DELAY_S and self._directory.ready:
            return False
        return self.members.watches_store(now, reads_store=self._reads_store())

    def is_small_fleet(self) -> bool:
        """Check whether each instance sends its digests to all others.

        False until this one has had the time to learn of the others.
        """
        return self.members.is_mesh and not self._is_joining()

    def cold_share(self) -> float:
        """Return this instance's share in the rates that cold servers can handle.

        0 until this instance has had the time to learn of the others: when hundreds
        start at once, each would take the whole rate.
        """
        return 0.0 if self._is_joining() else 1 / self.members.fleet_size

    def digest(self, now: float, *, other_zone: bool = False) -> Digest:
        """Return the digest of this instance.

        Args:
            now: Monotonic time in seconds.
            other_zone: Whether the receiver is in another zone, and needs a summary of
                this one in place of its members and of what applies to it only.
        """
        members, rng = self.members, self._rng
        reports = list(members.reports.values())
        zones = tuple(rng.sample(reports, min(MAX_OTHER_ZONES_IN_DIGEST, len(reports))))
        if other_zone:
            own_report = members.own_report(now, rng, self._loads.zone_loads)
            zones = (own_report, *zones)
        after, changes = self._recent_changes.encode(now)
        return Digest(
            DIGEST_FORMAT,
            self._zone,
            members.heartbeat,
            self._directory.revision,
            self._leaving,
            self._is_joining(),
            self._reads_store(),
            () if other_zone and not members.is_mesh else self._loads.own_loads(now),
            self._evidence.items(now, other_zone=other_zone),
            () if other_zone else members.entries(now, rng),
            zones,
            after,
            changes,
            self._directory.era,
        )

    def _is_joining(self) -> bool:
        return self._clock.monotonic() < self._started_at + JOINING_DURATION_S

    def _record_answers(self, digest: Digest, now: float) -> None:
        """Record which servers answer an instance of the own zone."""
        for item in digest.loads:
            tracked = self._servers.find(item.tag)
            if tracked is not None:
                tracked.reachability.record_peer_answer(now - item.answer_ms / 1000)

    def _announce(self) -> None:
        now = self._clock.monotonic()
        self._evidence.observe(now)
        self._send(set(self.members.targets(now, self._rng)))

    def _reply(self, member: Member, now: float) -> None:
        member.replied_at = now
        self._send({member.host})

    def _due_seeds(self, now: float) -> set[str]:
        """Return the seeds that get a digest in this period.

        All of them until another instance is known; then each gets about
        `SEED_DIGESTS_PER_PERIOD`, so that parts of the fleet that don't know each other
        meet there.
        """
        if not self.members.live(now):
            return set(self._seeds)
        probability = SEED_DIGESTS_PER_PERIOD / self.members.fleet_size
        return {seed for seed in self._seeds if self._rng.random() < probability}

    def _send(self, hosts: set[str]) -> None:
        if not hosts:
            return
        now = self._clock.monotonic()
        in_zone = {member.host for member in self.members if member.zone == self._zone}
        for other_zone, group in ((False, hosts & in_zone), (True, hosts - in_zone)):
            if not group:
                continue
            data = self._encode(now, other_zone=other_zone)
            for host in sorted(group):
                try:
                    self._sock.sendto(data, (host, self._port))
                except OSError:
                    continue  # equivalent to a lost datagram; sent again next period

    def _encode(self, now: float, *, other_zone: bool) -> bytes:
        """Encode the digest; what is least needed is left out if it is too large."""
        digest = self.digest(now, other_zone=other_zone)
        data = encode_digest(digest)
        if len(data) > MAX_DIGEST_BYTES:
            digest = replace(digest, changes_after=0, changes=b"")
            data = encode_digest(digest)
        while len(data) > MAX_DIGEST_BYTES and _is_reducible(digest):
            digest = replace(
                digest,
                loads=digest.loads[: len(digest.loads) // 2],
                evidence=digest.evidence[: len(digest.evidence) * 3 // 4],
                members=digest.members[: len(digest.members) // 2],
                zones=digest.zones[: max(1, len(digest.zones) // 2)],
            )
            data = encode_digest(digest)
        return data

    def _log_member_changes(self, now: float) -> None:
        """Write one line for all members that joined or were lost in a period."""
        joined, lost = self.members.changes(now)
        for event, hosts in ((Event.MEMBER_LIVE, joined), (Event.MEMBER_LOST, lost)):
            if hosts:
                log_event(
                    logger,
                    event,
                    count=len(hosts),
                    members=hosts[:MAX_LOGGED_HOSTS],
                    zone=self._zone,
                    fleet=self.members.fleet_size,
                )


def _is_reducible(digest: Digest) -> bool:
    return bool(
        digest.loads or digest.evidence or digest.members or len(digest.zones) > 1
    )
