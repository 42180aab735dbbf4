"""Guards against live servers that are avoided and failed ones that are not."""

import pytest

from magnoliaslip.registry.store_client import ServerChange
from magnoliaslip.steering.packet import PacketFlags
from magnoliaslip.steering.reachability import (
    CORRECTION_TIME_S,
    EVIDENCE_MAX_AGE_S,
    PROBE_INTERVAL_S,
    SYN_ANSWER_TIMEOUT_S,
)
from tests.steering.harness import LAB_ENDPOINT, Harness, server


def establish(harness, flow, name, **fields):
    """Handle the first packet of a flow after its handshake."""
    harness.handle(flow=flow, tag=harness.tag(name), seq=1, ack=1, **fields)


def request(harness, flow, name, **fields):
    """Send one request on a flow."""
    return harness.handle(
        flow=flow, tag=harness.tag(name), seq=100, ack=1, data_bytes=90, **fields
    )


def empty_receive_queue_after(harness, seconds):
    harness.now += seconds
    harness.router.on_receive_queue_empty(harness.now)


def test_server_that_resets_syns_does_not_attract_flows():
    # Refused SYNs leave a server without load; it must not be chosen as least loaded.
    harness = Harness(server("i-1"), server("i-2"))
    refusing = harness.open(flow=b"first")
    empty_receive_queue_after(harness, SYN_ANSWER_TIMEOUT_S + 0.01)
    assert {harness.open(flow=bytes([n])) for n in range(10)} == {"i-1", "i-2"} - {
        refusing
    }


def test_syn_answered_in_time_is_no_evidence():
    harness = Harness(server("i-1"), server("i-2"))
    chosen = harness.open(flow=b"first")
    harness.now += 0.02
    establish(harness, b"first", chosen)
    empty_receive_queue_after(harness, SYN_ANSWER_TIMEOUT_S)
    assert all(tracked.admits(harness.now) for tracked in harness.router.servers)


def test_answer_in_the_receive_queue_after_a_pause_prevents_suspicion():
    harness = Harness(server("i-1"), server("i-2"))
    chosen = harness.open(flow=b"first")
    harness.now += 0.5
    with harness.queued():
        harness.handle(flow=b"other", flags=PacketFlags.SYN)
        establish(harness, b"first", chosen)
    assert all(tracked.admits(harness.now) for tracked in harness.router.servers)


def test_suspect_server_is_probed_with_one_flow():
    harness = Harness(server("i-1"), server("i-2"))
    refusing = harness.open(flow=b"first")
    empty_receive_queue_after(harness, SYN_ANSWER_TIMEOUT_S + 0.01)
    harness.now += PROBE_INTERVAL_S
    probes = [harness.open(flow=bytes([n])) for n in range(10)]
    assert probes.count(refusing) == 1


def test_suspect_servers_are_used_when_no_others_remain():
    harness = Harness(server("i-1"), server("i-2"))
    for n in range(2):
        harness.open(flow=bytes([n]))
        empty_receive_queue_after(harness, SYN_ANSWER_TIMEOUT_S + 0.01)
    assert harness.open(flow=b"next") is not None


def leave_unanswered(harness, name, flows, **fields):
    """Send requests on some flows, and again without an answer."""
    for n in range(flows):
        establish(harness, bytes([n]), name, **fields)
        request(harness, bytes([n]), name, **fields)
    harness.now += 0.2
    for n in range(flows):
        request(harness, bytes([n]), name, **fields)


def test_flows_of_an_unreachable_server_are_reset():
    harness = Harness(server("i-1"), server("i-2"))
    leave_unanswered(harness, "i-1", 3)
    assert len(harness.link.resets) == 1
    establish(harness, b"idle", "i-1")


def test_reset_is_logged_with_what_tells_a_late_instance_from_a_silent_server():
    harness = Harness(server("i-1"), server("i-2"))
    establish(harness, b"old", "i-1")
    request(harness, b"old", "i-1")
    harness.handle(flow=b"old", tag=harness.tag("i-1"), seq=190, ack=900)
    harness.now += 0.5
    harness.router.queued_packets = 7
    leave_unanswered(harness, "i-1", 3)
    events = {event: fields for event, _, fields in harness.log.decisions}
    for event in ("SERVER_SUSPECT", "FLOW_RESET"):
        fields = events[event]
        assert (fields["queued"], fields["answer_s"], fields["any_answer_s"]) == (
            7,
            0.7,
            0.7,
        )


def test_overloaded_instance_resets_no_flows():
    # An instance that sends late has unanswered packets at servers of every zone.
    harness = Harness(server("i-1"), server("i-2", zone="b"))
    establish(harness, b"far", "i-2")
    request(harness, b"far", "i-2")
    harness.now += 0.2
    request(harness, b"far", "i-2")
    leave_unanswered(harness, "i-1", 5)
    assert not harness.link.resets
    # An answer from the other zone shows that the path is fine.
    harness.handle(flow=b"far", tag=harness.tag("i-2"), seq=190, ack=50)
    request(harness, b"\0", "i-1")
    assert len(harness.link.resets) == 1


def test_retransmissions_that_waited_in_the_receive_queue_are_no_evidence():
    # An instance that is too slow handles a packet and its copy long after they came.
    harness = Harness(server("i-1"), server("i-2"))
    with harness.queued():
        harness.router.on_backlog(harness.now)
        leave_unanswered(harness, "i-1", 4)
    assert not harness.link.resets
    harness.now += 0.4
    for n in range(4):
        request(harness, bytes([n]), "i-1")
    assert harness.link.resets


def answer(harness, flow, name):
    """Handle the caller's acknowledgement of an answer."""
    harness.handle(flow=flow, tag=harness.tag(name), seq=190, ack=900)


def test_answers_behind_retransmissions_in_the_receive_queue_prevent_resets():
    # A paused instance finds copies in its queue before the answers that came later.
    harness = Harness(server("i-1"), server("i-2"))
    flows = [bytes([n]) for n in range(3)]
    for flow in flows:
        establish(harness, flow, "i-1")
        request(harness, flow, "i-1")
    harness.now += 0.25
    with harness.queued():
        for flow in flows:
            request(harness, flow, "i-1")
        for flow in flows:
            answer(harness, flow, "i-1")
    assert not harness.link.resets
    assert all(tracked.admits(harness.now) for tracked in harness.router.servers)


def test_answers_behind_a_request_in_the_receive_queue_prevent_its_reset():
    # The evidence of the time before a pause says nothing about the time after it.
    harness = Harness(server("i-1"), server("i-2"))
    harness.router.correction_time_s = CORRECTION_TIME_S
    leave_unanswered(harness, "i-1", 4)
    harness.now += CORRECTION_TIME_S + 0.05
    with harness.queued():
        establish(harness, b"next", "i-1")
        request(harness, b"next", "i-1")
        answer(harness, b"\0", "i-1")
    assert not harness.link.resets
    assert [
        name for name, packet, _ in harness.link.sent if packet.flow == b"next"
    ] == [
        "i-1",
        "i-1",
    ]


@pytest.mark.parametrize("delay_s", [0.0, 0.1, 0.15, 0.3])
def test_copies_that_are_read_late_are_no_evidence_of_a_longer_silence(delay_s):
    # The server answered one flow 0.1 s before the copies of the others arrived.
    harness = Harness(server("i-1"), server("i-2"))
    flows = [bytes([n]) for n in range(4)]
    for flow in (*flows, b"idle"):
        establish(harness, flow, "i-1")
    for flow in flows:
        request(harness, flow, "i-1")
    harness.now += 0.1
    answer(harness, flows[3], "i-1")
    harness.now += 0.1 + delay_s
    with harness.queued():
        for flow in flows[:3]:
            request(harness, flow, "i-1")
        request(harness, b"idle", "i-1")
    assert not harness.link.resets


def test_deferred_packets_are_sent_on_while_more_packets_wait():
    harness = Harness(server("i-1"), server("i-2"))
    leave_unanswered(harness, "i-1", 3)
    resets = len(harness.link.resets)
    with harness.queued():
        establish(harness, b"next", "i-1")
        assert request(harness, b"next", "i-1") == []
        harness.router.on_backlog(harness.now)
        assert harness.link.sent[-1][1].flow == b"next"
    assert len(harness.link.resets) == resets


@pytest.mark.parametrize(
    "last", [PacketFlags.RST, PacketFlags.SYN, PacketFlags.FIN | PacketFlags.ACK]
)
def test_deferred_data_is_sent_before_the_end_of_its_flow(last):
    # Guards against a reset of the next flow between the same addresses and ports.
    harness = Harness(server("i-1"))
    leave_unanswered(harness, "i-1", 4)
    resets = len(harness.link.resets)
    with harness.queued():
        establish(harness, b"next", "i-1")
        request(harness, b"next", "i-1")
        harness.handle(flow=b"next", tag=harness.tag("i-1"), flags=last)
    sent = [packet for _, packet, _ in harness.link.sent if packet.flow == b"next"]
    assert [packet.flags for packet in sent][-1] == last
    assert sent[-2].data_bytes
    assert len(harness.link.resets) == resets


def test_two_flows_of_a_server_in_the_own_zone_are_not_reset():
    # Guards against resets by a zone's evidence within that zone, as under a burst.
    harness = Harness(*(server(f"i-{n}") for n in range(1, 4)))
    establish(harness, b"other", "i-2")
    request(harness, b"other", "i-2")
    harness.now += 0.2
    request(harness, b"other", "i-2")
    leave_unanswered(harness, "i-1", 2)
    assert not harness.link.resets


def test_zone_partition_is_detected_from_flows_of_several_servers():
    harness = Harness(*(server(f"i-{n}", zone="b") for n in range(1, 4)), server("i-9"))
    for n in range(1, 4):
        establish(harness, bytes([n]), f"i-{n}")
        request(harness, bytes([n]), f"i-{n}")
    harness.now += 0.2
    for n in range(1, 4):
        request(harness, bytes([n]), f"i-{n}")
    assert {harness.open(flow=bytes([99, n])) for n in range(9)} == {"i-9"}
    # One unresponsive flow of a server does not justify resets: the other servers of
    # the zone may be gone while this one lost a packet.
    assert not harness.link.resets
    establish(harness, b"second", "i-1")
    request(harness, b"second", "i-1")
    harness.now += 0.2
    request(harness, b"second", "i-1")
    assert len(harness.link.resets) == 1


def test_flows_of_a_live_server_continue_when_others_of_its_zone_fail():
    harness = Harness(*(server(f"i-{n}", zone="b") for n in range(1, 4)), server("i-9"))
    leave_unanswered(harness, "i-1", 4)
    count = len(harness.link.resets)
    establish(harness, b"other", "i-2")
    assert request(harness, b"other", "i-2") == ["i-2"]
    assert len(harness.link.resets) == count


def test_flows_of_a_server_at_its_connection_limit_are_not_reset():
    # A server at its connection limit does not answer SYNs.
    harness = Harness(server("i-1"))
    for n in range(5):
        harness.open(flow=bytes([n]))
    empty_receive_queue_after(harness, SYN_ANSWER_TIMEOUT_S + 0.01)
    establish(harness, b"old", "i-1")
    assert request(harness, b"old", "i-1") == ["i-1"]
    assert not harness.link.resets


def test_two_lost_packets_reset_nothing():
    harness = Harness(server("i-1"), server("i-2"))
    leave_unanswered(harness, "i-1", 2)
    assert not harness.link.resets


def test_flows_of_non_idempotent_routes_are_never_reset():
    harness = Harness(server("i-1", service="lab"), server("i-2", service="lab"))
    leave_unanswered(harness, "i-1", 5, endpoint=LAB_ENDPOINT)
    assert not harness.link.resets


def test_server_that_answers_one_flow_is_not_unreachable():
    harness = Harness(server("i-1"), server("i-2"))
    for n in range(4):
        establish(harness, bytes([n]), "i-1")
        request(harness, bytes([n]), "i-1")
    harness.now += 0.2
    harness.handle(flow=bytes([3]), tag=harness.tag("i-1"), seq=190, ack=900)
    for n in range(3):
        request(harness, bytes([n]), "i-1")
    assert not harness.link.resets


def test_server_is_reachable_again_without_fresh_evidence():
    # Resets stop the packets that could show that the path has recovered.
    harness = Harness(server("i-1"), server("i-2"))
    leave_unanswered(harness, "i-1", 3)
    harness.now += EVIDENCE_MAX_AGE_S + 0.01
    establish(harness, b"late", "i-1")
    assert request(harness, b"late", "i-1") == ["i-1"]


def test_first_packet_of_a_moved_flow_does_not_count_as_an_answer():
    # Most flows move to another instance when one joins or leaves.
    harness = Harness(server("i-1"), server("i-2"))
    leave_unanswered(harness, "i-1", 3)
    establish(harness, b"moved", "i-1")
    assert request(harness, b"moved", "i-1") == []
    assert len(harness.link.resets) == 2


def test_removed_server_without_answers_is_unreachable():
    harness = Harness(server("i-1"), server("i-2"))
    for n in range(3):
        establish(harness, bytes([n]), "i-1")
        request(harness, bytes([n]), "i-1")
    tag = harness.tag("i-1")
    harness.publish(ServerChange("i-1", None))
    harness.now += 0.2
    for n in range(3):
        harness.handle(flow=bytes([n]), tag=tag, seq=100, ack=1, data_bytes=90)
    assert len(harness.link.resets) == 1
