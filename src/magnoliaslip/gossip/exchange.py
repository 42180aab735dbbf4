"""Exchanges digests with other instances."""

from collections.abc import Callable, Sequence
from logging import getLogger
from socket import socket as Socket  # noqa: N812

from anyio import sleep

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import PeerError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.dataplane.udp_reader import read_datagrams_with_source
from magnoliaslip.gossip.digest import (
    DIGEST_FORMAT,
    MAX_ANSWER_AGE_MS,
    MAX_DIGEST_BYTES,
    Digest,
    ServerDigest,
    decode_digest,
    encode_digest,
)
from magnoliaslip.gossip.peers import Peer, PeerTable, is_watcher
from magnoliaslip.registry.directory import Directory
from magnoliaslip.steering.reachability import RETRANSMISSION_TIMEOUT_S
from magnoliaslip.steering.servers import ServerSet

# Time in seconds between two digests to an instance; loads change within a second.
GOSSIP_PERIOD_S = 0.5
# Minimum time in seconds between two announcements.
MIN_ANNOUNCE_INTERVAL_S = 0.1
# Gossip periods between two digests to an instance that is not live.
NON_LIVE_RETRY_PERIODS = 4
# A newly discovered instance is sent a digest in every gossip period for this time in
# seconds. After a power loss, all instances start within about 2 s of each other.
DISCOVERY_DURATION_S = 5.0
# Maximum number of hosts that a digest lists.
MAX_PEERS_IN_DIGEST = 16
# Maximum number of servers in a digest, so that it fits into one datagram. Suspects
# come first, then the servers with the highest load.
MAX_SERVERS_IN_DIGEST = 80
# Minimum load in requests per second that is reported; lower loads are omitted to keep
# the digest small.
MIN_REPORTED_LOAD_PER_S = 0.2

logger = getLogger(__name__)


class GossipExchange:
    """Sends and receives digests and applies what other instances report.

    Args:
        sock: Socket bound to the control address.
        zone: Availability zone of this instance.
        seeds: Control addresses of the first instances to contact; their ports are
            ignored, as all instances use the same one.
        started_ms: Start time of this process in Unix milliseconds.
        directory: Directory of this instance.
        servers: Tracked servers; what other instances report is recorded on them.
        clock: Source of time.
        on_newer_revision: Called with an instance that has a newer directory.

    Attributes:
        peers: The other instances.
        rejected: Number of datagrams that could not be decoded.
    """

    __slots__ = (
        "_clock",
        "_directory",
        "_last_announced_at",
        "_leaving",
        "_on_newer_revision",
        "_period_number",
        "_port",
        "_seeds",
        "_servers",
        "_sock",
        "_started_ms",
        "_zone",
        "peers",
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
        on_newer_revision: Callable[[Peer], None],
    ) -> None:
        host, self._port = sock.getsockname()[:2]
        self._sock = sock
        self._zone = zone
        self._seeds = [seed.host for seed in seeds]
        self._started_ms = started_ms
        self._directory = directory
        self._servers = servers
        self._clock = clock
        self._on_newer_revision = on_newer_revision
        self._leaving = False
        self._last_announced_at = float("-inf")
        self._period_number = 0
        self.peers = PeerTable(host)
        self.rejected = 0

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Apply the seeds of changed settings; tracked instances are kept."""
        self._seeds = [seed.host for seed in seeds]

    async def send_periodically(self) -> None:
        """Call `send_once` in every gossip period until cancelled."""
        while True:
            self.send_once()
            await sleep(GOSSIP_PERIOD_S)

    def send_once(self) -> None:
        """Update peers and their reports; send a digest to the peers that are due."""
        now = self._clock.monotonic()
        for host in self._seeds:
            self.peers.add(host, now)
        self.peers.expire(now)
        self._apply_reports(now)
        self._send([peer.host for peer in self.peers if self._is_due(peer, now)])
        self._period_number += 1

    async def receive(self) -> None:
        """Receive digests until cancelled."""
        await read_datagrams_with_source(self._sock, self.receive_datagram)

    def announce_leaving(self) -> None:
        """Notify the other instances that this one is about to stop."""
        self._leaving = True
        self._send([peer.host for peer in self.peers])

    def announce(self) -> None:
        """Send a digest to the live instances without waiting for the period.

        Called on new evidence or a new directory; sends nothing within
        `MIN_ANNOUNCE_INTERVAL_S` after the last announcement.
        """
        now = self._clock.monotonic()
        if now >= self._last_announced_at + MIN_ANNOUNCE_INTERVAL_S:
            self._last_announced_at = now
            self._send([peer.host for peer in self.peers.live(now)])

    def receive_datagram(self, data: bytes, source: Address) -> None:
        """Decode a datagram and apply the digest that it contains."""
        try:
            digest = decode_digest(data)
        except PeerError as exc:
            self.rejected += 1
            log_event(logger, Event.PEER_REJECTED, source=source, reason=exc.message)
            return
        now = self._clock.monotonic()
        previous = self.peers.record_digest(source.host, digest, now)
        new_hosts = [host for host in digest.peers if self.peers.add(host, now)]
        if previous is None:
            log_event(logger, Event.MEMBER_LIVE, member=source.host, zone=digest.zone)
            new_hosts.append(source.host)
        if new_hosts:
            self._send(new_hosts)
        if digest.zone == self._zone:
            self._apply_answers(digest, source.host, now)
        if previous is None or _evidence(previous) != _evidence(digest):
            self._apply_reports(now)
        peer = self.peers.get(source.host)
        if peer is not None and digest.revision > self._directory.revision:
            self._on_newer_revision(peer)

    def _apply_answers(self, digest: Digest, host: str, now: float) -> None:
        """Record which servers answer an instance of the own zone.

        An instance that reports unresponsive flows of a server that answers this one is
        sent a digest at once, as a correction.
        """
        needs_correction = False
        for report in digest.servers:
            tracked = self._servers.find(report.tag)
            if tracked is None:
                continue
            tracked.reachability.record_peer_answer(now - report.heard_ms / 1000)
            if report.silent and tracked.reachability.answered_since(
                now - RETRANSMISSION_TIMEOUT_S
            ):
                needs_correction = True
        if needs_correction and self.peers.allow_correction(host, now):
            self._send([host])

    def is_watcher(self) -> bool:
        """Check whether this instance watches the store for its zone."""
        zone_hosts = [
            peer.host
            for peer in self.peers.live(self._clock.monotonic())
            if peer.digest is not None and peer.digest.zone == self._zone
        ]
        return is_watcher(self._sock.getsockname()[0], zone_hosts)

    def digest(self, now: float) -> Digest:
        """Return the digest of this instance."""
        table = self._directory.table
        return Digest(
            DIGEST_FORMAT,
            self._zone,
            self._started_ms,
            self._directory.revision,
            table.version if table else 0,
            self._leaving,
            tuple(self._server_digests(now)),
            tuple(peer.host for peer in self.peers.live(now)[:MAX_PEERS_IN_DIGEST]),
        )

    def _server_digests(self, now: float) -> list[ServerDigest]:
        digests: list[ServerDigest] = []
        for tracked in self._servers:
            load = tracked.requests.per_s(now)
            suspect = tracked.reachability.should_report(now)
            unresponsive_flows = tracked.reachability.unresponsive_flows(now)
            if tracked.registered and (
                load >= MIN_REPORTED_LOAD_PER_S or suspect or unresponsive_flows
            ):
                digests.append(
                    ServerDigest(
                        tracked.tag,
                        round(load * 10),
                        suspect,
                        unresponsive_flows,
                        _age_ms(tracked.reachability.last_answer_at, now),
                    )
                )
        if len(digests) > MAX_SERVERS_IN_DIGEST:
            digests.sort(key=lambda report: (report.suspect, report.load), reverse=True)
            del digests[MAX_SERVERS_IN_DIGEST:]
        return digests

    def _is_due(self, peer: Peer, now: float) -> bool:
        return (
            peer.is_live(now)
            or now - peer.discovered_at < DISCOVERY_DURATION_S
            or self._period_number % NON_LIVE_RETRY_PERIODS == 0
        )

    def _send(self, hosts: list[str]) -> None:
        data = encode_digest(self.digest(self._clock.monotonic()))
        if len(data) > MAX_DIGEST_BYTES:
            log_event(logger, Event.DIGEST_TOO_LARGE, bytes=len(data))
            return
        for host in hosts:
            try:
                self._sock.sendto(data, (host, self._port))
            except OSError:
                continue  # equivalent to a lost datagram; sent again next period

    def _apply_reports(self, now: float) -> None:
        """Aggregate the loads and suspicions that live instances report."""
        loads: dict[int, float] = {}
        suspects: set[int] = set()
        unresponsive_flows: dict[int, int] = {}
        for peer in self.peers.live(now):
            assert peer.digest is not None
            for report in peer.digest.servers:
                loads[report.tag] = loads.get(report.tag, 0.0) + report.load / 10
                if report.suspect and self._suspicion_applies(
                    peer.digest.zone, report.tag
                ):
                    suspects.add(report.tag)
                    unresponsive_flows[report.tag] = (
                        unresponsive_flows.get(report.tag, 0) + report.silent
                    )
        flows_by_zone: dict[str, int] = {}
        for tracked in self._servers:
            zone = tracked.server.zone
            flows_by_zone[zone] = flows_by_zone.get(zone, 0) + unresponsive_flows.get(
                tracked.tag, 0
            )
        for tracked in self._servers:
            tracked.peer_requests_per_s = loads.get(tracked.tag, 0.0)
            tracked.reachability.peer_unresponsive_flows = unresponsive_flows.get(
                tracked.tag, 0
            )
            tracked.zone_reachability.peer_unresponsive_flows = flows_by_zone[
                tracked.server.zone
            ]
            tracked.suspected_by_peers = tracked.tag in suspects

    def _suspicion_applies(self, zone: str, tag: int) -> bool:
        """Check whether a suspicion reported from a zone applies to this instance.

        A partition may affect the paths from one zone only, so the suspicion applies to
        instances of that zone. A suspicion reported from the server's own zone applies
        everywhere, as it shows that the server itself has failed.
        """
        tracked = self._servers.find(tag)
        return zone == self._zone or (
            tracked is not None and tracked.server.zone == zone
        )


def _evidence(digest: Digest) -> list[tuple[int, bool, int]]:
    return [
        (report.tag, report.suspect, report.silent)
        for report in digest.servers
        if report.suspect or report.silent
    ]


def _age_ms(moment: float, now: float) -> int:
    return round(min(MAX_ANSWER_AGE_MS, (now - moment) * 1000))
