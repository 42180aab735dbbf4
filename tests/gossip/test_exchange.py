"""Guards against loads and suspicions that are lost, counted twice or over-applied."""

from hypothesis import given
from hypothesis import strategies as st

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.gossip.digest import (
    DIGEST_FORMAT,
    MAX_DIGEST_BYTES,
    Digest,
    ServerDigest,
    decode_digest,
    encode_digest,
)
from magnoliaslip.gossip.exchange import GOSSIP_PERIOD_S, GossipExchange
from magnoliaslip.gossip.peers import DIGEST_TIMEOUT_S
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.store_client import ChangeBatch, ServerChange
from magnoliaslip.steering.reachability import SUSPICION_REPORT_S
from magnoliaslip.steering.servers import ServerSet
from tests.steering.harness import server

PORT = 8166


class FakeSocket:
    """A socket that keeps sent datagrams for the test to deliver."""

    def __init__(self, host):
        self.host = host
        self.sent = []

    def getsockname(self):
        return self.host, PORT

    def sendto(self, data, address):
        assert len(data) <= MAX_DIGEST_BYTES
        self.sent.append((data, address[0]))


class Node:
    """One instance with two servers in zones a and b."""

    def __init__(self, host, zone, clock, seeds=("10.0.0.1",)):
        self.sock = FakeSocket(host)
        self.clock = clock
        self.directory = Directory()
        self.directory.apply(
            ChangeBatch(
                1,
                (
                    ServerChange("i-1", server("i-1", zone="a")),
                    ServerChange("i-2", server("i-2", zone="b")),
                ),
            )
        )
        self.servers = ServerSet(retention_s=60)
        self.servers.apply(self.directory, clock.monotonic())
        self.newer_peers = []
        self.exchange = GossipExchange(
            self.sock,
            zone=zone,
            seeds=[Address(seed, PORT) for seed in seeds],
            started_ms=1,
            directory=self.directory,
            servers=self.servers,
            clock=clock,
            on_newer_revision=lambda peer: self.newer_peers.append(peer.host),
        )

    def tracked(self, name):
        return next(tracked for tracked in self.servers if tracked.server.id == name)


def deliver(nodes):
    """Deliver datagrams until no node has sent any."""
    by_host = {node.sock.host: node for node in nodes}
    while any(node.sock.sent for node in nodes):
        for node in nodes:
            sent, node.sock.sent = node.sock.sent, []
            for data, host in sent:
                if host in by_host:
                    by_host[host].exchange.receive_datagram(
                        data, Address(node.sock.host, PORT)
                    )


def fleet(*zones):
    clock = ManualClock(start=100.0)
    nodes = [Node(f"10.0.0.{n}", zone, clock) for n, zone in enumerate(zones, 1)]
    for node in nodes:
        node.exchange.send_once()
    deliver(nodes)
    return clock, nodes


def test_all_instances_discover_each_other_through_one_seed():
    clock, nodes = fleet("a", "a", "b", "b")
    for _ in range(2):
        for node in nodes:
            node.exchange.send_once()
        deliver(nodes)
    live = [len(node.exchange.peers.live(clock.monotonic())) for node in nodes]
    assert live == [3, 3, 3, 3]


def test_seed_that_starts_later_is_discovered_in_the_next_period():
    # After a power loss, the first digest may be sent before the seed has started.
    clock = ManualClock(start=100.0)
    first = Node("10.0.0.2", "a", clock)
    first.exchange.send_once()
    deliver([first])
    clock.advance(GOSSIP_PERIOD_S)
    seed = Node("10.0.0.1", "a", clock)
    first.exchange.send_once()
    deliver([first, seed])
    assert len(seed.exchange.peers.live(clock.monotonic())) == 1
    assert len(first.exchange.peers.live(clock.monotonic())) == 1


def test_peer_loads_are_summed_and_expire_with_the_peers():
    clock, nodes = fleet("a", "a", "b")
    now = clock.monotonic()
    for node in nodes:
        for _ in range(10):
            node.tracked("i-1").requests.add(now)
        node.exchange.send_once()
    deliver(nodes)
    for node in nodes:
        node.exchange.send_once()
    assert nodes[0].tracked("i-1").peer_requests_per_s == 20.0
    clock.advance(DIGEST_TIMEOUT_S + 0.1)
    nodes[0].exchange.send_once()
    assert nodes[0].tracked("i-1").peer_requests_per_s == 0.0


def test_suspicion_applies_to_other_zones_only_from_the_zone_of_the_server():
    clock, nodes = fleet("a", "a", "b")
    now = clock.monotonic()
    nodes[0].tracked("i-2").reachability.record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    # Zone a may be partitioned from the server, so zone b, where it is, ignores this.
    assert nodes[1].tracked("i-2").suspected_by_peers
    assert not nodes[2].tracked("i-2").suspected_by_peers
    nodes[0].tracked("i-1").reachability.record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    # A suspicion from the server's own zone shows that the server itself has failed.
    assert nodes[2].tracked("i-1").suspected_by_peers


def test_suspicion_ends_with_an_answer():
    clock, nodes = fleet("a", "a")
    now = clock.monotonic()
    reachability = nodes[0].tracked("i-1").reachability
    reachability.record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    assert not nodes[1].tracked("i-1").admits(now)
    reachability.record_answer(now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    assert nodes[1].tracked("i-1").admits(now)


def test_suspicion_without_fresh_evidence_is_no_longer_reported():
    # Guards against an instance without flows for the server that reports it suspect
    # indefinitely, so that no other instance uses it again.
    clock, nodes = fleet("a", "a")
    now = clock.monotonic()
    nodes[0].tracked("i-1").reachability.record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    assert nodes[1].tracked("i-1").suspected_by_peers
    clock.advance(SUSPICION_REPORT_S)
    nodes[0].exchange.send_once()
    deliver(nodes)
    assert not nodes[1].tracked("i-1").suspected_by_peers


def test_newer_directory_is_reported():
    _, nodes = fleet("a", "a")
    nodes[1].directory.apply(ChangeBatch(7, ()))
    nodes[1].exchange.send_once()
    deliver(nodes)
    assert nodes[0].newer_peers == ["10.0.0.2"]
    assert not nodes[1].newer_peers


def test_digest_of_many_servers_fits_a_datagram_and_keeps_the_suspects():
    clock, nodes = fleet("a", "a")
    now = clock.monotonic()
    for n in range(400):
        name = f"i-{n:x}00"
        nodes[0].directory.apply(
            ChangeBatch(2 + n, (ServerChange(name, server(name)),))
        )
    nodes[0].servers.apply(nodes[0].directory, now)
    for tracked in nodes[0].servers:
        tracked.requests.add(now)
    nodes[0].tracked("i-18f00").reachability.record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    [(data, _)] = nodes[0].sock.sent
    suspects = [line for line in decode_digest(data).servers if line.suspect]
    assert [line.tag for line in suspects] == [nodes[0].tracked("i-18f00").tag]


def test_two_instances_of_a_zone_watch_the_store_and_are_replaced():
    clock, nodes = fleet("a", "a", "a", "a", "b")
    for node in nodes:
        node.exchange.send_once()
    deliver(nodes)
    watchers = [node for node in nodes[:4] if node.exchange.is_watcher()]
    assert len(watchers) == 2
    assert nodes[4].exchange.is_watcher()
    rest = [node for node in nodes if node is not watchers[0]]
    clock.advance(DIGEST_TIMEOUT_S)
    for node in rest:
        node.exchange.send_once()
    deliver(rest)
    assert sum(node.exchange.is_watcher() for node in rest[:3]) == 2


@given(st.binary(max_size=200))
def test_any_datagram_is_accepted_or_counted_as_rejected(data):
    node = Node("10.0.0.1", "a", ManualClock(start=1.0))
    node.exchange.receive_datagram(data, Address("10.0.0.9", PORT))
    assert node.exchange.rejected + len(node.exchange.peers) >= 1


def test_digest_round_trips_through_its_encoding():
    digest = Digest(
        DIGEST_FORMAT, "a", 5, 6, 7, False, (ServerDigest(9, 15, True),), ("h",)
    )
    assert decode_digest(encode_digest(digest)) == digest


def add_three_unresponsive_flows(name, first, second, now):
    first.tracked(name).reachability.record_retransmission(b"1", now)
    second.tracked(name).reachability.record_retransmission(b"2", now)
    second.tracked(name).reachability.record_retransmission(b"3", now)
    assert second.tracked(name).reachability.suspect


def receive_answer(node, name, now):
    node.tracked(name).requests.add(now)
    node.tracked(name).record_answer(now)


def test_server_that_answers_another_instance_of_the_zone_is_not_unreachable():
    # Guards against established flows that are reset while their server serves: in a
    # zone of many instances, slow answers to flows of three of them were added up and
    # the server was taken to be unreachable.
    clock, nodes = fleet("a", "a", "a")
    first, second, receiving = nodes
    now = clock.monotonic()
    add_three_unresponsive_flows("i-1", first, second, now)
    receive_answer(receiving, "i-1", now)
    first.exchange.announce()
    second.exchange.announce()
    deliver(nodes)
    assert not first.tracked("i-1").is_unreachable(now)
    # No instance has received an answer since: the server is unreachable.
    clock.advance(0.4)
    now = clock.monotonic()
    first.tracked("i-1").reachability.record_retransmission(b"1", now)
    first.exchange.announce()
    deliver(nodes)
    assert first.tracked("i-1").is_unreachable(now)


def test_answers_to_an_instance_of_another_zone_do_not_count():
    # A partition may affect the own zone only, while other zones reach the server.
    clock, nodes = fleet("a", "a", "b")
    first, second, receiving = nodes
    now = clock.monotonic()
    add_three_unresponsive_flows("i-2", first, second, now)
    receive_answer(receiving, "i-2", now)
    for node in nodes:
        node.exchange.announce()
    deliver(nodes)
    assert first.tracked("i-2").is_unreachable(now)


def test_corrections_between_two_instances_are_rate_limited():
    # Guards against a loop of datagrams at network speed when each instance receives
    # answers from the server that is unresponsive for the other one.
    clock, nodes = fleet("a", "a")
    first, second = nodes
    now = clock.monotonic()
    for node, unresponsive, responsive in (
        (first, "i-1", "i-2"),
        (second, "i-2", "i-1"),
    ):
        node.tracked(unresponsive).reachability.record_retransmission(b"1", now)
        receive_answer(node, responsive, now)
    first.exchange.announce()
    rounds = 0
    while any(node.sock.sent for node in nodes) and rounds < 20:
        rounds += 1
        for node, other in ((first, second), (second, first)):
            sent, node.sock.sent = node.sock.sent, []
            for data, _ in sent:
                other.exchange.receive_datagram(data, Address(node.sock.host, PORT))
    assert rounds <= 3


def test_digest_from_the_own_address_is_ignored():
    # Guards against a forged or reflected datagram that crashes the receiving task.
    _, nodes = fleet("a", "b")
    data = encode_digest(Digest(DIGEST_FORMAT, "a", 1, 99, 1, False))
    nodes[0].exchange.receive_datagram(data, Address(nodes[0].sock.host, PORT))
    assert not nodes[0].newer_peers
    assert len(nodes[0].exchange.peers) == 1
