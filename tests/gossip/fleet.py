"""Simulated instances that exchange digests in virtual time."""

from random import Random

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.gossip.digest import MAX_DIGEST_BYTES
from magnoliaslip.gossip.exchange import FIRST_WATCH_DELAY_S, GossipExchange
from magnoliaslip.gossip.membership import GOSSIP_PERIOD_S
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.snapshot import decode_snapshot, encode_snapshot
from magnoliaslip.registry.store_client import ChangeBatch, ServerChange
from magnoliaslip.steering.servers import ServerSet
from tests.steering.harness import server

PORT = 8166
STEP_S = 0.05  # also the time that a datagram travels
START_UNIX_S = 1_800_000_000


class FakeSocket:
    """A socket that keeps sent datagrams for the test to deliver.

    Attributes:
        waiting: Datagrams in the receive queue, each with its source.
    """

    def __init__(self, host):
        self.host = host
        self.sent = []
        self.waiting = []

    def getsockname(self):
        return self.host, PORT

    def recvfrom(self, size):
        if not self.waiting:
            raise BlockingIOError
        return self.waiting.pop(0)

    def sendto(self, data, address):
        assert len(data) <= MAX_DIGEST_BYTES
        self.sent.append((data, address[0]))


class Node:
    """One instance; by default with two servers in zones a and b."""

    def __init__(self, host, zone, clock, *, seeds=("10.0.0.1",), servers=None):
        self.sock = FakeSocket(host)
        self.host, self.zone = host, zone
        self.clock = clock
        self.reads_store = True
        self.directory = Directory()
        servers = servers or (server("i-1", zone="a"), server("i-2", zone="b"))
        self.directory.apply(
            ChangeBatch(1, tuple(ServerChange(each.id, each) for each in servers))
        )
        self.servers = ServerSet(retention_s=60)
        self.servers.apply(self.directory, clock.monotonic())
        self.newer_hosts = []
        self.exchange = GossipExchange(
            self.sock,
            zone=zone,
            seeds=[Address(seed, PORT) for seed in seeds],
            started_ms=round((START_UNIX_S + clock.monotonic()) * 1000),
            directory=self.directory,
            servers=self.servers,
            clock=clock,
            rng=Random(host),
            reads_store=lambda: self.reads_store,
            on_newer_directory=lambda host, position: self.newer_hosts.append(host),
            on_directory_change=self.on_directory_change,
        )
        self.members = self.exchange.members

    def on_directory_change(self):
        self.servers.apply(self.directory, self.clock.monotonic())
        self.exchange.announce_directory()

    def tracked(self, name):
        return next(tracked for tracked in self.servers if tracked.server.id == name)

    def receive(self, data, host):
        self.exchange.receive_datagram(data, Address(host, PORT))


def deliver(nodes):
    """Deliver datagrams until no node has sent any."""
    by_host = {node.host: node for node in nodes}
    while any(node.sock.sent for node in nodes):
        for node in nodes:
            sent, node.sock.sent = node.sock.sent, []
            for data, host in sent:
                if host in by_host:
                    by_host[host].receive(data, node.host)


def fleet(*zones):
    """Return a clock and one instance per zone name, which know each other."""
    clock = ManualClock(start=100.0)
    nodes = [Node(f"10.0.0.{n}", zone, clock) for n, zone in enumerate(zones, 1)]
    for _ in range(3):
        for node in nodes:
            node.exchange.send_once()
        deliver(nodes)
        clock.advance(FIRST_WATCH_DELAY_S / 3 + 0.01)
    return clock, nodes


class LargeFleet:
    """Instances of several zones that run in steps, with losses and partitions.

    Attributes:
        nodes: All instances by host, those without power included.
        sent: Datagrams that each instance has sent.
        received: Datagrams that each instance has received.
        crossed: Bytes that were sent from one zone to another.
        fetched: Snapshots fetched over HTTP.
    """

    def __init__(self, *zone_sizes, loss=0.0, seed=1, servers=None):
        self.clock = ManualClock(start=100.0)
        self.rng = Random(seed)
        self.loss = loss
        self.zones = [f"zone-{n}" for n in range(len(zone_sizes))]
        self.servers = servers
        self.nodes, self.off, self.cut = {}, set(), set()
        self.seeds = [f"10.{zone}.0.1" for zone in range(min(3, len(zone_sizes)))]
        self._next_period, self._in_transit = {}, []
        for zone, size in enumerate(zone_sizes):
            self.add(zone, size)
        self.reset_counts()

    def add(self, zone, count):
        """Start instances in a zone."""
        first = sum(node.zone == self.zones[zone] for node in self.nodes.values()) + 1
        hosts = [f"10.{zone}.{n // 200}.{n % 200}" for n in range(first, first + count)]
        for host in hosts:
            self.start(host, self.zones[zone])
        return hosts

    def start(self, host, zone):
        """Start a process at a host, also after an earlier one there ended."""
        node = Node(host, zone, self.clock, seeds=self.seeds, servers=self.servers)
        # The store has the latest revision.
        latest = max(self.nodes.values(), key=lambda n: n.directory.position, default=0)
        if latest:
            self._fetch(node, latest)
        self.nodes[host] = node
        self.off.discard(host)
        jitter = self.rng.random() * GOSSIP_PERIOD_S
        self._next_period[host] = self.clock.monotonic() + jitter
        return node

    def lose_power(self, seconds):
        """Stop all instances, and start them together after some seconds."""
        hosts = {host: node.zone for host, node in self.nodes.items()}
        self.off |= set(hosts)
        self.run(seconds)
        for host, zone in hosts.items():
            self.start(host, zone)
        self.reset_counts()

    def reset_counts(self):
        self.sent = dict.fromkeys(self.nodes, 0)
        self.received = dict.fromkeys(self.nodes, 0)
        self.sent_bytes = dict.fromkeys(self.nodes, 0)
        self.crossed = self.fetched = 0

    def running(self, zone=None):
        return [
            node
            for host, node in self.nodes.items()
            if host not in self.off and zone in (None, node.zone)
        ]

    def run(self, seconds, until=None):
        """Run; returns the seconds until a condition held, or None if it never did."""
        started = self.clock.monotonic()
        while self.clock.monotonic() < started + seconds:
            self.step()
            if until is not None and until():
                return self.clock.monotonic() - started
        return None

    def step(self):
        self.clock.advance(STEP_S)
        now = self.clock.monotonic()
        arriving, self._in_transit = self._in_transit, []
        for data, source, host in arriving:
            if host not in self.off and source not in self.off:
                self.received[host] = self.received.get(host, 0) + 1
                self.nodes[host].receive(data, source)
        for node in self.running():
            if now >= self._next_period[node.host]:
                self._next_period[node.host] += GOSSIP_PERIOD_S
                node.exchange.send_once()
            node.exchange.send_due_announcement()
            self._collect(node)
            self._fetch_newer(node)

    def _collect(self, node):
        sent, node.sock.sent = node.sock.sent, []
        self.sent[node.host] = self.sent.get(node.host, 0) + len(sent)
        for data, host in sent:
            size = len(data) + 28
            self.sent_bytes[node.host] = self.sent_bytes.get(node.host, 0) + size
            receiver = self.nodes.get(host)
            if receiver is None:
                continue
            if receiver.zone != node.zone:
                self.crossed += size
                if {receiver.zone, node.zone} & self.cut:
                    continue
            if self.rng.random() >= self.loss:
                self._in_transit.append((data, node.host, host))

    def _fetch_newer(self, node):
        while node.newer_hosts:
            source = self.nodes[node.newer_hosts.pop()]
            reachable = (
                source.zone == node.zone or not {source.zone, node.zone} & self.cut
            )
            if (
                source.directory.position > node.directory.position
                and source.host not in self.off
                and reachable
            ):
                self.fetched += 1
                self._fetch(node, source)
                node.on_directory_change()

    def _fetch(self, node, source):
        snapshot = decode_snapshot(encode_snapshot(source.directory))
        node.directory.replace(snapshot.batch)
        node.servers.apply(node.directory, self.clock.monotonic())
