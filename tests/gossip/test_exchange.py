"""Guards against loads and suspicions that are lost, counted twice or over-applied."""

from hypothesis import given
from hypothesis import strategies as st

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.gossip.digest import (
    DIGEST_FORMAT,
    MAX_AGE_MS,
    Digest,
    MemberEntry,
    ServerEvidence,
    ServerLoad,
    ZoneReport,
    decode_digest,
    encode_digest,
)
from magnoliaslip.gossip.exchange import GOSSIP_PERIOD_S, MIN_REPLY_INTERVAL_S
from magnoliaslip.gossip.membership import MESH_TIMEOUT_S
from magnoliaslip.registry.store_client import ChangeBatch, ServerChange
from magnoliaslip.steering.reachability import SUSPICION_REPORT_S
from tests.gossip.fleet import PORT, Node, deliver, fleet
from tests.steering.harness import server


def test_all_instances_discover_each_other_through_one_seed():
    clock, nodes = fleet("a", "a", "b", "b")
    live = [len(node.members.live(clock.monotonic())) for node in nodes]
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
    assert len(seed.members.live(clock.monotonic())) == 1
    assert len(first.members.live(clock.monotonic())) == 1


def test_peer_loads_are_summed_and_expire_with_the_peers():
    clock, nodes = fleet("a", "a", "b")
    now = clock.monotonic()
    for node in nodes:
        for _ in range(10):
            node.tracked("i-1").record_request(now)
        node.exchange.send_once()
    deliver(nodes)
    for node in nodes:
        node.exchange.send_once()
    assert nodes[0].tracked("i-1").peer_requests_per_s == 20.0
    clock.advance(MESH_TIMEOUT_S + 0.1)
    nodes[0].exchange.send_once()
    assert nodes[0].tracked("i-1").peer_requests_per_s == 0.0


def test_suspicion_applies_to_other_zones_only_from_the_zone_of_the_server():
    clock, nodes = fleet("a", "a", "b")
    now = clock.monotonic()
    nodes[0].tracked("i-2").record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    # Zone a may be partitioned from the server, so zone b, where it is, ignores this.
    assert nodes[1].tracked("i-2").suspected_by_peers
    assert not nodes[2].tracked("i-2").suspected_by_peers
    nodes[0].tracked("i-1").record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    # A suspicion from the server's own zone shows that the server itself has failed.
    assert nodes[2].tracked("i-1").suspected_by_peers


def test_suspicion_ends_with_an_answer():
    clock, nodes = fleet("a", "a")
    now = clock.monotonic()
    tracked = nodes[0].tracked("i-1")
    tracked.record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    assert not nodes[1].tracked("i-1").admits(now)
    tracked.record_answer(now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    assert nodes[1].tracked("i-1").admits(now)


def test_suspicion_without_fresh_evidence_is_no_longer_reported():
    # Guards against an instance without flows for the server that reports it suspect
    # indefinitely, so that no other instance uses it again.
    clock, nodes = fleet("a", "a")
    now = clock.monotonic()
    nodes[0].tracked("i-1").record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    deliver(nodes)
    assert nodes[1].tracked("i-1").suspected_by_peers
    clock.advance(SUSPICION_REPORT_S)
    for node in nodes:
        node.exchange.send_once()
    deliver(nodes)
    assert not nodes[1].tracked("i-1").suspected_by_peers


def test_newer_directory_is_reported():
    _, nodes = fleet("a", "a")
    nodes[1].directory.apply(ChangeBatch(7, ()))
    nodes[1].exchange.send_once()
    deliver(nodes)
    assert set(nodes[0].newer_hosts) == {"10.0.0.2"}
    assert not nodes[1].newer_hosts


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
        tracked.record_request(now)
    nodes[0].tracked("i-18f00").record_unanswered_syn(b"flow", now, now)
    nodes[0].exchange.send_once()
    [(data, _)] = nodes[0].sock.sent
    assert [line.tag for line in decode_digest(data).evidence] == [
        nodes[0].tracked("i-18f00").tag
    ]


def test_two_instances_of_a_zone_watch_the_store_and_are_replaced():
    clock, nodes = fleet("a", "a", "a", "a", "b")
    watchers = [node for node in nodes[:4] if node.exchange.is_watcher()]
    assert len(watchers) == 2
    assert nodes[4].exchange.is_watcher()
    rest = [node for node in nodes if node is not watchers[0]]
    clock.advance(MESH_TIMEOUT_S)
    for node in rest:
        node.exchange.send_once()
    deliver(rest)
    assert sum(node.exchange.is_watcher() for node in rest[:3]) == 2


@given(st.binary(max_size=200))
def test_any_datagram_is_accepted_or_counted_as_rejected(data):
    node = Node("10.0.0.1", "a", ManualClock(start=1.0))
    node.receive(data, "10.0.0.9")
    assert node.exchange.rejected + len(node.members) >= 1


NUMBERS = st.integers(-(2**31), 2**63)
ADDRESSES = st.sampled_from([b"", b"\n\0\0\x01", b"\n\0\0\x05", bytes(16), bytes(5)])


@given(
    st.builds(
        Digest,
        st.just(DIGEST_FORMAT),
        st.sampled_from("abc"),
        NUMBERS,
        NUMBERS,
        loads=st.lists(st.builds(ServerLoad, NUMBERS, NUMBERS, NUMBERS)).map(tuple),
        evidence=st.lists(
            st.builds(
                ServerEvidence,
                NUMBERS,
                st.booleans(),
                NUMBERS,
                NUMBERS,
                NUMBERS,
                NUMBERS,
                st.lists(NUMBERS).map(tuple),
            )
        ).map(tuple),
        members=st.lists(st.builds(MemberEntry, ADDRESSES, NUMBERS)).map(tuple),
        zones=st.lists(
            st.builds(
                ZoneReport,
                st.sampled_from("abc"),
                NUMBERS,
                NUMBERS,
                NUMBERS,
                st.lists(ADDRESSES).map(tuple),
                st.lists(st.tuples(NUMBERS, NUMBERS)).map(tuple),
            )
        ).map(tuple),
        changes_after=NUMBERS,
        changes=st.binary(max_size=40),
    )
)
def test_any_digest_leaves_the_instance_able_to_send(digest):
    # Guards against a malformed digest that ends the process, at once or when its
    # content is used for the next digest.
    node = Node("10.0.0.1", "a", ManualClock(start=1.0))
    for host in ("10.0.0.9", "10.0.0.8"):
        node.receive(encode_digest(digest), host)
    node.exchange.send_once()
    node.exchange.announce()


def test_digest_round_trips_through_its_encoding():
    digest = Digest(
        DIGEST_FORMAT,
        "a",
        5,
        6,
        loads=(ServerLoad(9, 15, 20),),
        evidence=(ServerEvidence(9, True, 3, 40, 0, MAX_AGE_MS, (1, 2)),),
        members=(MemberEntry(bytes(4), 8),),
        zones=(ZoneReport("b", 4, 3, 2, (bytes(4),), ((7, 8),)),),
        changes_after=3,
        changes=b"x",
    )
    assert decode_digest(encode_digest(digest)) == digest


def add_three_unresponsive_flows(name, first, second, now):
    first.tracked(name).record_retransmission(b"1", now, arrived_after=now)
    second.tracked(name).record_retransmission(b"2", now, arrived_after=now)
    second.tracked(name).record_retransmission(b"3", now, arrived_after=now)
    assert second.tracked(name).reachability.suspect


def receive_answer(node, name, now):
    node.tracked(name).record_request(now)
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
    assert not first.tracked("i-1").is_unreachable(now, from_zone=first.zone)
    # No instance has received an answer since: the server is unreachable.
    clock.advance(0.4)
    add_three_unresponsive_flows("i-1", first, second, clock.monotonic())
    first.exchange.announce()
    second.exchange.announce()
    deliver(nodes)
    assert first.tracked("i-1").is_unreachable(clock.monotonic(), from_zone=first.zone)


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
    assert first.tracked("i-2").is_unreachable(clock.monotonic(), from_zone=first.zone)


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
        node.tracked(unresponsive).record_retransmission(b"1", now, arrived_after=now)
        receive_answer(node, responsive, now)
    first.exchange.announce()
    rounds = 0
    while any(node.sock.sent for node in nodes) and rounds < 20:
        rounds += 1
        for node, other in ((first, second), (second, first)):
            sent, node.sock.sent = node.sock.sent, []
            for data, _ in sent:
                other.receive(data, node.host)
    assert rounds <= 3


def test_digest_from_the_own_address_is_not_answered():
    # Guards against a forged or reflected datagram that crashes the receiving task, or
    # is answered to the own address, which receives and answers it without end.
    clock, nodes = fleet("a", "b")
    node = nodes[0]
    clock.advance(GOSSIP_PERIOD_S)
    joining = Digest(DIGEST_FORMAT, "a", 1, 99, joining=True)
    for data in (encode_digest(joining), encode_digest(node.exchange.digest(0.0))):
        node.exchange.receive_datagram(data, Address(node.host, PORT))
        assert not node.sock.sent
        assert not node.newer_hosts
    assert node.exchange.rejected == 2
    assert len(node.members) == 1


def test_own_address_in_a_digest_gets_none():
    # Guards against an instance that lists itself, or has itself as a seed, and then
    # sends digests to itself.
    clock, nodes = fleet("a", "a", "b")
    for _ in range(20):
        clock.advance(GOSSIP_PERIOD_S)
        for node in nodes:
            node.exchange.send_once()
            assert node.host not in {host for _, host in node.sock.sent}
        deliver(nodes)


def test_two_joining_instances_do_not_answer_each_other_without_end():
    clock = ManualClock(start=100.0)
    nodes = [Node(f"10.0.0.{n}", "a", clock) for n in (1, 2)]
    for node in nodes:
        node.exchange.send_once()
    rounds = 0
    while any(node.sock.sent for node in nodes) and rounds < 20:
        rounds += 1
        for node, other in (nodes, nodes[::-1]):
            sent, node.sock.sent = node.sock.sent, []
            for data, _ in sent:
                other.receive(data, node.host)
    assert rounds <= 3
    assert MIN_REPLY_INTERVAL_S > 0


def test_small_changes_travel_with_digests():
    # Guards against a fetch by every instance for each registration that changes.
    _, nodes = fleet("a", "a", "b")
    first = nodes[0]
    first.exchange.digest(first.clock.monotonic())  # records the revision before
    added = server("i-3", zone="b")
    first.directory.table = nodes[1].directory.table = nodes[2].directory.table = (
        object()
    )
    first.directory.apply(ChangeBatch(4, (ServerChange("i-3", added),)))
    first.exchange.announce()
    deliver(nodes)
    for node in nodes[1:]:
        assert node.directory.revision == 4
        assert node.tracked("i-3").server == added
        assert not node.newer_hosts


def test_changes_that_do_not_follow_the_own_revision_are_not_applied():
    _, nodes = fleet("a", "a")
    ahead, behind = nodes
    for revision in (3, 4):
        ahead.exchange.digest(ahead.clock.monotonic())
        change = ServerChange(f"i-{revision}", server(f"i-{revision}"))
        ahead.directory.apply(ChangeBatch(revision, (change,)))
    for _ in range(3):  # the datagrams of one direction are lost
        ahead.clock.advance(1.0)
        behind.exchange.send_once()
        deliver([behind])
        ahead.receive(encode_digest(behind.exchange.digest(0.0)), behind.host)
        ahead.exchange.digest(ahead.clock.monotonic())
    ahead.directory.apply(ChangeBatch(5, (ServerChange("i-5", server("i-5")),)))
    ahead.exchange.announce()
    deliver(nodes)
    assert behind.directory.revision == 1
    assert set(behind.newer_hosts) == {ahead.host}


def test_digest_with_long_names_neither_stops_the_process_nor_is_passed_on():
    # Guards against a datagram whose content, passed on, does not fit the next digest.
    _, nodes = fleet("a", "a")
    node = nodes[0]
    reports = [
        ZoneReport(f"{n}" + "z" * 600, 9, 3, 3, (bytes(4),) * 16, ((7, 8),) * 16)
        for n in range(2)
    ]
    for zone in ("a", "z" * 1200):
        digest = Digest(DIGEST_FORMAT, zone, 9, 1, zones=tuple(reports))
        node.receive(encode_digest(digest), "10.0.0.9")
    assert node.exchange.rejected == 2
    for _ in range(20):
        node.exchange.send_once()


def test_reports_of_the_largest_size_leave_a_digest_that_fits():
    # The fake socket checks the size of each datagram.
    _, nodes = fleet("a", "a")
    node = nodes[0]
    for n in range(8):
        name = f"{n}" + "z" * 99
        report = ZoneReport(
            name, 2**40, 3, 3, (bytes(16),) * 16, ((2**32 - 1, 2**40),) * 16
        )
        digest = Digest(DIGEST_FORMAT, name, 2**40, 1, zones=(report,))
        node.receive(encode_digest(digest), f"10.0.1.{n}")
    assert node.exchange.rejected == 0
    for _ in range(20):
        node.exchange.send_once()
