"""Guards against flows that switch servers or reach another service."""

import pytest

from magnoliaslip.registry.store_client import RoutesChange, ServerChange, ZoneChange
from magnoliaslip.steering.packet import PacketFlags
from magnoliaslip.steering.servers import REGISTRATION_GRACE_S, ServerSet
from magnoliaslip.steering.tags import server_tag
from tests.steering.harness import (
    DESK_ENDPOINT,
    LAB_ENDPOINT,
    START_TIME_S,
    Harness,
    routes,
    server,
)


def test_syn_gets_the_tag_of_its_server():
    harness = Harness(server("i-1"))
    assert harness.open() == "i-1"
    assert harness.link.sent[-1][2] == harness.tag("i-1") != 0


def test_packets_follow_their_tag_on_an_instance_that_never_saw_the_flow():
    harness = Harness(server("i-1"), server("i-2"), server("i-3"))
    for name in ("i-1", "i-2", "i-3"):
        assert harness.handle(flow=name.encode(), tag=harness.tag(name)) == [name]


def test_tag_of_another_service_is_dropped():
    harness = Harness(server("i-1"), server("i-2", service="lab"))
    assert harness.handle(tag=harness.tag("i-2", LAB_ENDPOINT)) == []
    assert harness.counters["drop_unknown_tag"] == 1


def test_unknown_tag_is_dropped_and_not_reset():
    harness = Harness(server("i-1"))
    assert harness.handle(tag=12345) == []
    assert not harness.link.resets


def test_only_a_syn_without_a_route_is_reset():
    harness = Harness(server("i-1"), table=routes(endpoints=[DESK_ENDPOINT]))
    harness.handle(endpoint=LAB_ENDPOINT, tag=harness.tag("i-1"))
    assert not harness.link.resets
    harness.handle(endpoint=LAB_ENDPOINT, flags=PacketFlags.SYN)
    assert len(harness.link.resets) == 1


def test_nothing_is_reset_before_routes_are_read():
    harness = Harness()
    harness.directory.table = None
    harness.handle(endpoint=LAB_ENDPOINT, flags=PacketFlags.SYN)
    assert not harness.link.resets


def test_draining_server_keeps_its_flows_and_gets_no_new_ones():
    harness = Harness(server("i-1"), server("i-2"))
    tag = harness.tag("i-1")
    harness.publish(ServerChange("i-1", server("i-1", draining=True)))
    assert {harness.open(flow=bytes([n])) for n in range(20)} == {"i-2"}
    assert harness.handle(flow=b"old", tag=tag) == ["i-1"]


@pytest.mark.parametrize("left", [False, True])
def test_server_that_drained_before_the_store_was_restored_gets_no_new_flows(left):
    # The older copy has the registration from before it drained.
    ready, other = server("i-1"), server("i-2")
    harness = Harness(ready, other)
    harness.publish(ServerChange("i-1", server("i-1", draining=True)))
    if left:
        harness.publish(ServerChange("i-1", None))
    harness.restore(ServerChange("i-1", ready), ServerChange("i-2", other))
    assert {harness.open(flow=bytes([n])) for n in range(20)} == {"i-2"}


@pytest.mark.parametrize("starts_ms", [(1, 2), (0, 0)])
def test_restart_under_the_identifier_of_a_drained_server_gets_new_flows(starts_ms):
    # A server that does not state its start can't be told from its predecessor.
    first, second = starts_ms
    harness = Harness(server("i-1", started_ms=first))
    drained = server("i-1", started_ms=first, draining=True)
    harness.publish(ServerChange("i-1", drained))
    harness.publish(ServerChange("i-1", None))
    harness.publish(ServerChange("i-1", server("i-1", started_ms=second)))
    assert harness.open() == "i-1"


def test_removed_server_keeps_its_flows_for_the_retention_time():
    harness = Harness(server("i-1"), server("i-2"))
    tag = harness.tag("i-1")
    harness.publish(ServerChange("i-1", None))
    assert harness.handle(flow=b"old", tag=tag) == ["i-1"]
    harness.now += 61
    harness.router.on_tick(harness.now)
    harness.router.on_tick(harness.now)
    assert harness.handle(flow=b"old", tag=tag) == []


def test_restart_under_the_same_identifier_gets_another_tag():
    harness = Harness(server("i-1"))
    old = harness.tag("i-1")
    harness.publish(ServerChange("i-1", server("i-1", started_ms=2)))
    assert harness.open() == "i-1"
    assert harness.link.sent[-1][2] != old


def test_server_whose_tag_is_taken_gets_no_flows(monkeypatch):
    monkeypatch.setattr("magnoliaslip.steering.servers.server_tag", lambda server: 7)
    harness = Harness(server("i-1"), server("i-2"))
    chosen = {harness.open(flow=bytes([n])) for n in range(20)}
    assert len(chosen) == 1


def test_server_whose_flow_tag_is_taken_gets_no_flows(monkeypatch):
    for module in ("router", "flow_tags"):
        name = f"magnoliaslip.steering.{module}.flow_tag"
        monkeypatch.setattr(name, lambda key, endpoint: 7)
    harness = Harness(server("i-1"), server("i-2"))
    chosen = {harness.open(flow=bytes([n])) for n in range(20)}
    assert len(chosen) == 1
    assert harness.handle(flow=b"old", tag=7) == list(chosen)


def test_zone_out_of_service_keeps_its_flows_and_gets_no_new_ones():
    harness = Harness(server("i-1", zone="a"), server("i-2", zone="b"))
    harness.publish(ZoneChange("a", out=True))
    assert {harness.open(flow=bytes([n])) for n in range(20)} == {"i-2"}
    assert harness.handle(flow=b"old", tag=harness.tag("i-1")) == ["i-1"]
    harness.publish(ZoneChange("a", out=False))
    assert "i-1" in {harness.open(flow=bytes([99, n])) for n in range(20)}


def test_zone_that_was_out_before_the_store_was_restored_stays_out_for_a_while():
    # The older copy lacks it until it is written again.
    servers = [server("i-1", zone="b"), server("i-2", zone="c")]
    listed = [ServerChange(each.id, each) for each in servers]
    harness = Harness(*servers)
    harness.publish(ZoneChange("b", out=True), ZoneChange("c", out=True))
    harness.publish(ZoneChange("c", out=False))
    harness.restore(*listed)
    assert {harness.open(flow=bytes([n])) for n in range(20)} == {"i-2"}
    harness.now += 1.0
    harness.publish(ZoneChange("c", out=True))
    assert harness.open(flow=b"none left") is None
    harness.publish(ZoneChange("c", out=False))
    harness.now += REGISTRATION_GRACE_S
    harness.router.on_tick(harness.now)
    assert {harness.open(flow=bytes([n, 1])) for n in range(20)} == {"i-1", "i-2"}


def test_zone_that_is_written_again_stays_out():
    servers = [server("i-1", zone="b"), server("i-2", zone="c")]
    harness = Harness(*servers)
    harness.publish(ZoneChange("b", out=True))
    harness.restore(*(ServerChange(each.id, each) for each in servers))
    harness.publish(ZoneChange("b", out=True))
    harness.now += REGISTRATION_GRACE_S
    harness.router.on_tick(harness.now)
    assert {harness.open(flow=bytes([n])) for n in range(20)} == {"i-2"}


def test_retransmitted_syn_tries_another_server():
    harness = Harness(server("i-1"), server("i-2"))
    first = harness.open()
    harness.now += 0.2
    second = harness.open(retransmission=1)
    assert {first, second} == {"i-1", "i-2"}


def test_duplicate_of_a_retransmission_goes_to_the_same_server():
    harness = Harness(server("i-1"), server("i-2"))
    assert harness.open(retransmission=1) == harness.open(retransmission=1)


def test_late_answer_of_a_second_server_does_not_move_an_established_flow():
    harness = Harness(server("i-1"), server("i-2"))
    first = harness.open()
    harness.now += 0.2
    second = harness.open(retransmission=1)
    harness.handle(tag=harness.tag(second), seq=1, ack=9)
    assert harness.handle(tag=harness.tag(first), seq=1, ack=9, data_bytes=5) == [
        second
    ]


def test_reused_port_starts_a_new_flow():
    harness = Harness(server("i-1"), server("i-2"))
    harness.handle(tag=harness.tag("i-1"), seq=1, ack=9)
    harness.publish(ServerChange("i-1", server("i-1", draining=True)))
    assert harness.open() == "i-2"
    assert harness.handle(tag=harness.tag("i-2"), seq=1, ack=9) == ["i-2"]


def test_older_routes_are_not_applied():
    harness = Harness(server("i-1"), table=routes(version=5))
    harness.publish(RoutesChange(routes(version=3, endpoints=[LAB_ENDPOINT])))
    assert harness.open() == "i-1"


def test_tags_are_never_zero():
    assert server_tag(server("i-1")) != 0
    assert ServerSet(retention_s=1).find(0) is None
    assert START_TIME_S > 0


def test_copy_of_a_syn_that_arrives_with_it_goes_to_the_same_server():
    # With two servers, the caller may repeat the tag of the one that it does not use.
    harness = Harness(server("i-1"), server("i-2"))
    first = harness.open()
    harness.now += 0.01
    assert harness.open(retransmission=1) == first
    harness.now += 0.01
    assert harness.open(retransmission=2) == first


def test_late_copy_of_the_syn_of_an_established_flow_is_dropped():
    # A second server would answer it and change the tag that the caller repeats.
    harness = Harness(server("i-1"), server("i-2"))
    first = harness.open(seq=50)
    harness.handle(tag=harness.tag(first), seq=51, ack=9)
    harness.now += 0.2
    assert harness.open(seq=50, retransmission=1) is None
    assert harness.handle(tag=harness.tag(first), seq=51, ack=9, data_bytes=5) == [
        first
    ]


def test_copy_of_a_syn_that_a_later_copy_overtook_is_dropped():
    harness = Harness(server("i-1"), server("i-2"))
    assert harness.open(seq=50, retransmission=1)
    assert harness.open(seq=50) is None
    assert harness.open(seq=60)  # another flow of the same port


def test_reused_port_starts_a_new_flow_also_with_the_same_sequence_number():
    harness = Harness(server("i-1"))
    first = harness.open(seq=50)
    harness.handle(tag=harness.tag(first), seq=51, ack=9)
    harness.now += 2.0
    assert harness.open(seq=50) == "i-1"


def test_reused_port_whose_syn_was_forwarded_by_others_follows_its_tag():
    # Guards against an entry of the flow before that sends it to a server without it.
    harness = Harness(server("i-1"), server("i-2"))
    harness.handle(tag=harness.tag("i-1"), seq=1, ack=9, data_bytes=5)
    other = {"tag": harness.tag("i-2"), "seq": 1 << 30, "ack": 3 << 30}
    assert harness.handle(**other, data_bytes=5) == ["i-2"]
    # It is an established flow from now on, also with the tag of a late answer.
    other["tag"] = harness.tag("i-1")
    assert harness.handle(**other, data_bytes=5) == ["i-2"]


def test_flow_that_returns_from_another_instance_keeps_its_server():
    # Guards against taking a flow that others forwarded for a while for another one.
    harness = Harness(server("i-1"), server("i-2"))
    harness.handle(tag=harness.tag("i-1"), seq=2**32 - 1, ack=2**32 - 1, data_bytes=5)
    assert harness.handle(
        tag=harness.tag("i-2"), seq=100_000, ack=900_000, data_bytes=5
    ) == ["i-1"]


@pytest.mark.parametrize("lapsed", [False, True])
def test_server_that_starts_again_cold_loses_the_share_of_its_former_incarnation(
    lapsed,
):
    # The new process answers for both, as they have the same identifier and address.
    harness = Harness(server("i-1"), server("i-2"))
    assert "i-1" in {harness.open(flow=bytes([n])) for n in range(20)}
    harness.handle(flow=b"old", tag=harness.tag("i-1"), ack=1)
    harness.handle(flow=b"old", tag=harness.tag("i-1"), ack=2)
    if lapsed:
        harness.publish(ServerChange("i-1", None))
    cold = server("i-1", started_ms=2, cold_ms=2000)
    harness.publish(ServerChange("i-1", cold))
    assert {harness.open(flow=bytes([9, n])) for n in range(20)} == {"i-2"}
