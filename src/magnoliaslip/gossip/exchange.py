"""Sends digests to other instances and takes in theirs."""

from collections.abc import Callable, Sequence
from logging import getLogger
from socket import socket as Socket  # noqa: N812

from anyio import sleep

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import PeerError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.dataplane.udp import read_batches_from
from magnoliaslip.gossip.digest import (
    FORMAT,
    MAX_DIGEST_BYTES,
    NEVER_MS,
    Digest,
    ServerDigest,
    decode_digest,
    encode_digest,
)
from magnoliaslip.gossip.peers import Peer, PeerTable, is_reader
from magnoliaslip.registry.directory import Directory
from magnoliaslip.steering.reachability import RETRANSMISSION_TIMEOUT_S
from magnoliaslip.steering.servers import ServerSet

# Time in seconds between two digests to an instance: loads change within a second.
PERIOD_S = 0.5
# Least time in seconds between two digests that new evidence causes.
ANNOUNCE_S = 0.1
# Periods between two digests to an instance that is not heard.
RETRY_PERIODS = 4
# An instance that became known a short time ago is greeted in every period for this
# time in seconds: after a power loss all instances start within about 2 s.
GREETING_S = 5.0
# Hosts that a digest names at most.
MAX_NAMED_PEERS = 16
# Servers in a digest at most, so that it fits one datagram: suspects first, then those
# with the highest load.
MAX_SERVERS = 80
# Loads below this many requests per second are not worth their bytes.
MIN_LOAD_PER_S = 0.2

logger = getLogger(__name__)


class GossipExchange:
    """Digests to and from the other instances.

    Args:
        sock: Socket bound to the control address.
        zone: Availability zone of this instance.
        seeds: Control addresses to start from.
        started_ms: Unix milliseconds of the start of this process.
        directory: What this instance read.
        servers: Servers that it observes; receives loads and suspicions of others.
        clock: Source of time.
        on_news: Called with an instance that has a newer directory.
    """

    __slots__ = (
        "_announced_at",
        "_clock",
        "_directory",
        "_leaving",
        "_on_news",
        "_period",
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
        on_news: Callable[[Peer], None],
    ) -> None:
        host, self._port = sock.getsockname()[:2]
        self._sock = sock
        self._zone = zone
        self._seeds = [seed.host for seed in seeds]
        self._started_ms = started_ms
        self._directory = directory
        self._servers = servers
        self._clock = clock
        self._on_news = on_news
        self._leaving = False
        self._announced_at = float("-inf")
        self._period = 0
        self.peers = PeerTable(host)
        self.rejected = 0

    def replace_seeds(self, seeds: Sequence[Address]) -> None:
        """Take over seeds of changed settings; known instances stay known."""
        self._seeds = [seed.host for seed in seeds]

    async def send_periodically(self) -> None:
        """Send a digest to each instance in every period until cancelled."""
        while True:
            self.send_once()
            await sleep(PERIOD_S)

    def send_once(self) -> None:
        """Send a digest to the instances whose turn it is."""
        now = self._clock.monotonic()
        for host in self._seeds:
            self.peers.name(host, now)
        self.peers.expire(now)
        self._apply(now)
        self._send([peer.host for peer in self.peers if self._is_due(peer, now)])
        self._period += 1

    async def receive(self) -> None:
        """Take in digests until cancelled."""
        await read_batches_from(self._sock, self.take)

    def announce_leaving(self) -> None:
        """Tell the others that this instance is about to stop."""
        self._leaving = True
        self._send([peer.host for peer in self.peers])

    def announce(self) -> None:
        """Send a digest to the live instances soon: new evidence should not wait."""
        now = self._clock.monotonic()
        if now >= self._announced_at + ANNOUNCE_S:
            self._announced_at = now
            self._send([peer.host for peer in self.peers.live(now)])

    def take(self, data: bytes, source: Address) -> None:
        """Take in a datagram."""
        try:
            digest = decode_digest(data)
        except PeerError as exc:
            self.rejected += 1
            log_event(logger, Event.PEER_REJECTED, source=source, reason=exc.message)
            return
        now = self._clock.monotonic()
        before = self.peers.hear(source.host, digest, now)
        unknown = [host for host in digest.peers if self.peers.name(host, now)]
        if before is None:
            log_event(logger, Event.MEMBER_LIVE, member=source.host, zone=digest.zone)
            unknown.append(source.host)
        if unknown:
            self._send(unknown)
        if digest.zone == self._zone:
            self._take_answers(digest, source.host, now)
        if before is None or _evidence(before) != _evidence(digest):
            self._apply(now)
        peer = self.peers.get(source.host)
        if peer is not None and digest.revision > self._directory.revision:
            self._on_news(peer)

    def _take_answers(self, digest: Digest, host: str, now: float) -> None:
        """Note which servers an instance of the zone hears, and tell it of others."""
        contradicts = False
        for line in digest.servers:
            known = self._servers.find(line.tag)
            if known is None:
                continue
            known.reachability.record_peer_answer(now - line.heard_ms / 1000)
            if line.silent and known.reachability.answered_since(
                now - RETRANSMISSION_TIMEOUT_S
            ):
                contradicts = True
        if contradicts and self.peers.may_contradict(host, now):
            self._send([host])

    def is_reader(self) -> bool:
        """Return whether this instance watches the store for its zone."""
        zone = [
            peer.host
            for peer in self.peers.live(self._clock.monotonic())
            if peer.digest is not None and peer.digest.zone == self._zone
        ]
        return is_reader(self._sock.getsockname()[0], zone)

    def digest(self, now: float) -> Digest:
        """Return the state of this instance."""
        table = self._directory.table
        return Digest(
            FORMAT,
            self._zone,
            self._started_ms,
            self._directory.revision,
            table.version if table else 0,
            self._leaving,
            tuple(self._server_digests(now)),
            tuple(peer.host for peer in self.peers.live(now)[:MAX_NAMED_PEERS]),
        )

    def _server_digests(self, now: float) -> list[ServerDigest]:
        digests: list[ServerDigest] = []
        for known in self._servers:
            load = known.requests.per_s(now)
            suspect = known.reachability.is_reported(now)
            silent = known.reachability.unresponsive_flows(now)
            if known.registered and (load >= MIN_LOAD_PER_S or suspect or silent):
                digests.append(
                    ServerDigest(
                        known.tag,
                        round(load * 10),
                        suspect,
                        silent,
                        _age_ms(known.reachability.last_answer_at, now),
                    )
                )
        if len(digests) > MAX_SERVERS:
            digests.sort(key=lambda line: (line.suspect, line.load), reverse=True)
            del digests[MAX_SERVERS:]
        return digests

    def _is_due(self, peer: Peer, now: float) -> bool:
        return (
            peer.is_live(now)
            or now - peer.named_at < GREETING_S
            or self._period % RETRY_PERIODS == 0
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
                continue  # lost like any datagram; the next period sends again

    def _apply(self, now: float) -> None:
        """Sum up the loads and suspicions of the live instances."""
        loads: dict[int, float] = {}
        suspects: set[int] = set()
        silent: dict[int, int] = {}
        for peer in self.peers.live(now):
            assert peer.digest is not None
            for line in peer.digest.servers:
                loads[line.tag] = loads.get(line.tag, 0.0) + line.load / 10
                if line.suspect and self._counts(peer.digest.zone, line.tag):
                    suspects.add(line.tag)
                    silent[line.tag] = silent.get(line.tag, 0) + line.silent
        zones: dict[str, int] = {}
        for known in self._servers:
            zone = known.server.zone
            zones[zone] = zones.get(zone, 0) + silent.get(known.tag, 0)
        for known in self._servers:
            known.peer_load = loads.get(known.tag, 0.0)
            known.reachability.peer_unresponsive_flows = silent.get(known.tag, 0)
            known.zone_reachability.peer_unresponsive_flows = zones[known.server.zone]
            known.suspected_by_peers = known.tag in suspects

    def _counts(self, zone: str, tag: int) -> bool:
        """Return whether a suspicion from a zone holds for this instance.

        A path may be cut for one zone only, so it holds for instances of that zone;
        an instance in the server's own zone shows that the server itself is gone.
        """
        known = self._servers.find(tag)
        return zone == self._zone or (known is not None and known.server.zone == zone)


def _evidence(digest: Digest) -> list[tuple[int, bool, int]]:
    return [
        (line.tag, line.suspect, line.silent)
        for line in digest.servers
        if line.suspect or line.silent
    ]


def _age_ms(moment: float, now: float) -> int:
    return round(min(NEVER_MS, (now - moment) * 1000))
