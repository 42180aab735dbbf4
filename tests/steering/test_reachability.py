"""Guards against live servers that are avoided and failed ones that are not."""

from magnoliaslip.registry.source import ServerChange
from magnoliaslip.steering.packet import PacketKind
from magnoliaslip.steering.reachability import (
    EVIDENCE_MAX_AGE_S,
    PROBE_INTERVAL_S,
    SYN_ANSWER_TIMEOUT_S,
)
from tests.steering.rig import LAB_ENDPOINT, Rig, server


def establish(rig, flow, name, **fields):
    """Handle the first packet of a flow after its handshake."""
    rig.handle(flow=flow, tag=rig.tag(name), seq=1, acked=1, **fields)


def request(rig, flow, name, **fields):
    """Send one request on a flow."""
    return rig.handle(flow=flow, tag=rig.tag(name), seq=100, acked=1, size=90, **fields)


def empty_receive_queue_after(rig, seconds):
    rig.now += seconds
    rig.router.on_receive_queue_empty(rig.now)


def test_server_that_resets_syns_does_not_attract_flows():
    # Refused SYNs leave a server without load; it must not be chosen as least loaded.
    rig = Rig(server("i-1"), server("i-2"))
    refusing = rig.open(flow=b"first")
    empty_receive_queue_after(rig, SYN_ANSWER_TIMEOUT_S + 0.01)
    assert {rig.open(flow=bytes([n])) for n in range(10)} == {"i-1", "i-2"} - {refusing}


def test_syn_answered_in_time_is_no_evidence():
    rig = Rig(server("i-1"), server("i-2"))
    chosen = rig.open(flow=b"first")
    rig.now += 0.02
    establish(rig, b"first", chosen)
    empty_receive_queue_after(rig, SYN_ANSWER_TIMEOUT_S)
    assert all(tracked.admits(rig.now) for tracked in rig.router.servers)


def test_answer_in_the_receive_queue_after_a_pause_prevents_suspicion():
    rig = Rig(server("i-1"), server("i-2"))
    chosen = rig.open(flow=b"first")
    rig.now += 0.5
    rig.handle(flow=b"other", kind=PacketKind.SYN)
    establish(rig, b"first", chosen)
    rig.router.on_receive_queue_empty(rig.now)
    assert all(tracked.admits(rig.now) for tracked in rig.router.servers)


def test_suspect_server_is_probed_with_one_flow():
    rig = Rig(server("i-1"), server("i-2"))
    refusing = rig.open(flow=b"first")
    empty_receive_queue_after(rig, SYN_ANSWER_TIMEOUT_S + 0.01)
    rig.now += PROBE_INTERVAL_S
    probes = [rig.open(flow=bytes([n])) for n in range(10)]
    assert probes.count(refusing) == 1


def test_suspect_servers_are_used_when_no_others_remain():
    rig = Rig(server("i-1"), server("i-2"))
    for n in range(2):
        rig.open(flow=bytes([n]))
        empty_receive_queue_after(rig, SYN_ANSWER_TIMEOUT_S + 0.01)
    assert rig.open(flow=b"next") is not None


def leave_unanswered(rig, name, flows, **fields):
    """Send requests on some flows, and again without an answer."""
    for n in range(flows):
        establish(rig, bytes([n]), name, **fields)
        request(rig, bytes([n]), name, **fields)
    rig.now += 0.2
    for n in range(flows):
        request(rig, bytes([n]), name, **fields)


def test_flows_of_an_unreachable_server_are_reset():
    rig = Rig(server("i-1"), server("i-2"))
    leave_unanswered(rig, "i-1", 3)
    assert len(rig.link.resets) == 1
    establish(rig, b"idle", "i-1")


def test_zone_partition_is_detected_from_flows_of_several_servers():
    rig = Rig(*(server(f"i-{n}", zone="b") for n in range(1, 4)), server("i-9"))
    for n in range(1, 4):
        establish(rig, bytes([n]), f"i-{n}")
        request(rig, bytes([n]), f"i-{n}")
    rig.now += 0.2
    for n in range(1, 4):
        request(rig, bytes([n]), f"i-{n}")
    assert {rig.open(flow=bytes([99, n])) for n in range(9)} == {"i-9"}
    # One unresponsive flow of a server does not justify resets: the other servers of
    # the zone may be gone while this one lost a packet.
    assert not rig.link.resets
    establish(rig, b"second", "i-1")
    request(rig, b"second", "i-1")
    rig.now += 0.2
    request(rig, b"second", "i-1")
    assert len(rig.link.resets) == 1


def test_flows_of_a_live_server_continue_when_others_of_its_zone_fail():
    rig = Rig(*(server(f"i-{n}", zone="b") for n in range(1, 4)), server("i-9"))
    leave_unanswered(rig, "i-1", 4)
    count = len(rig.link.resets)
    establish(rig, b"other", "i-2")
    assert request(rig, b"other", "i-2") == ["i-2"]
    assert len(rig.link.resets) == count


def test_flows_of_a_server_at_its_connection_limit_are_not_reset():
    # A server at its connection limit does not answer SYNs.
    rig = Rig(server("i-1"))
    for n in range(5):
        rig.open(flow=bytes([n]))
    empty_receive_queue_after(rig, SYN_ANSWER_TIMEOUT_S + 0.01)
    establish(rig, b"old", "i-1")
    assert request(rig, b"old", "i-1") == ["i-1"]
    assert not rig.link.resets


def test_two_lost_packets_reset_nothing():
    rig = Rig(server("i-1"), server("i-2"))
    leave_unanswered(rig, "i-1", 2)
    assert not rig.link.resets


def test_flows_of_non_idempotent_routes_are_never_reset():
    rig = Rig(server("i-1", service="lab"), server("i-2", service="lab"))
    leave_unanswered(rig, "i-1", 5, endpoint=LAB_ENDPOINT)
    assert not rig.link.resets


def test_server_that_answers_one_flow_is_not_unreachable():
    rig = Rig(server("i-1"), server("i-2"))
    for n in range(4):
        establish(rig, bytes([n]), "i-1")
        request(rig, bytes([n]), "i-1")
    rig.now += 0.2
    rig.handle(flow=bytes([3]), tag=rig.tag("i-1"), seq=190, acked=900)
    for n in range(3):
        request(rig, bytes([n]), "i-1")
    assert not rig.link.resets


def test_server_is_reachable_again_without_fresh_evidence():
    # Resets stop the packets that could show that the path has recovered.
    rig = Rig(server("i-1"), server("i-2"))
    leave_unanswered(rig, "i-1", 3)
    rig.now += EVIDENCE_MAX_AGE_S + 0.01
    establish(rig, b"late", "i-1")
    assert request(rig, b"late", "i-1") == ["i-1"]


def test_first_packet_of_a_moved_flow_does_not_count_as_an_answer():
    # Most flows move to another instance when one joins or leaves.
    rig = Rig(server("i-1"), server("i-2"))
    leave_unanswered(rig, "i-1", 3)
    establish(rig, b"moved", "i-1")
    assert request(rig, b"moved", "i-1") == []
    assert len(rig.link.resets) == 2


def test_removed_server_without_answers_is_unreachable():
    rig = Rig(server("i-1"), server("i-2"))
    for n in range(3):
        establish(rig, bytes([n]), "i-1")
        request(rig, bytes([n]), "i-1")
    tag = rig.tag("i-1")
    rig.publish(ServerChange("i-1", None))
    rig.now += 0.2
    for n in range(3):
        rig.handle(flow=bytes([n]), tag=tag, seq=100, acked=1, size=90)
    assert len(rig.link.resets) == 1
