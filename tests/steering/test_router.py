"""Guards against flows that switch servers or reach another service."""

from magnoliaslip.registry.source import RoutesChange, ServerChange, ZoneChange
from magnoliaslip.steering.packet import PacketKind
from magnoliaslip.steering.servers import ServerSet
from magnoliaslip.steering.tags import server_tag
from tests.steering.rig import (
    DESK_ENDPOINT,
    LAB_ENDPOINT,
    START_TIME_S,
    Rig,
    routes,
    server,
)


def test_syn_gets_the_tag_of_its_server():
    rig = Rig(server("i-1"))
    assert rig.open() == "i-1"
    assert rig.link.sent[-1][2] == rig.tag("i-1") != 0


def test_packets_follow_their_tag_on_an_instance_that_never_saw_the_flow():
    rig = Rig(server("i-1"), server("i-2"), server("i-3"))
    for name in ("i-1", "i-2", "i-3"):
        assert rig.handle(flow=name.encode(), tag=rig.tag(name)) == [name]


def test_tag_of_another_service_is_dropped():
    rig = Rig(server("i-1"), server("i-2", service="lab"))
    assert rig.handle(tag=rig.tag("i-2")) == []
    assert rig.counters["drop_foreign_tag"] == 1


def test_unknown_tag_is_dropped_and_not_reset():
    rig = Rig(server("i-1"))
    assert rig.handle(tag=12345) == []
    assert not rig.link.resets


def test_only_a_syn_without_a_route_is_reset():
    rig = Rig(server("i-1"), table=routes(endpoints=[DESK_ENDPOINT]))
    rig.handle(endpoint=LAB_ENDPOINT, tag=rig.tag("i-1"))
    assert not rig.link.resets
    rig.handle(endpoint=LAB_ENDPOINT, kind=PacketKind.SYN)
    assert len(rig.link.resets) == 1


def test_nothing_is_reset_before_routes_are_read():
    rig = Rig()
    rig.directory.table = None
    rig.handle(endpoint=LAB_ENDPOINT, kind=PacketKind.SYN)
    assert not rig.link.resets


def test_draining_server_keeps_its_flows_and_gets_no_new_ones():
    rig = Rig(server("i-1"), server("i-2"))
    tag = rig.tag("i-1")
    rig.publish(ServerChange("i-1", server("i-1", draining=True)))
    assert {rig.open(flow=bytes([n])) for n in range(20)} == {"i-2"}
    assert rig.handle(flow=b"old", tag=tag) == ["i-1"]


def test_removed_server_keeps_its_flows_for_the_retention_time():
    rig = Rig(server("i-1"), server("i-2"))
    tag = rig.tag("i-1")
    rig.publish(ServerChange("i-1", None))
    assert rig.handle(flow=b"old", tag=tag) == ["i-1"]
    rig.now += 61
    rig.router.on_tick(rig.now)
    rig.router.on_tick(rig.now)
    assert rig.handle(flow=b"old", tag=tag) == []


def test_restart_under_the_same_identifier_gets_another_tag():
    rig = Rig(server("i-1"))
    old = rig.tag("i-1")
    rig.publish(ServerChange("i-1", server("i-1", started_ms=2)))
    assert rig.open() == "i-1"
    assert rig.link.sent[-1][2] != old


def test_server_whose_tag_is_taken_gets_no_flows(monkeypatch):
    monkeypatch.setattr("magnoliaslip.steering.servers.server_tag", lambda server: 7)
    rig = Rig(server("i-1"), server("i-2"))
    chosen = {rig.open(flow=bytes([n])) for n in range(20)}
    assert len(chosen) == 1
    assert rig.handle(flow=b"old", tag=7) == list(chosen)


def test_zone_out_of_service_keeps_its_flows_and_gets_no_new_ones():
    rig = Rig(server("i-1", zone="a"), server("i-2", zone="b"))
    rig.publish(ZoneChange("a", out=True))
    assert {rig.open(flow=bytes([n])) for n in range(20)} == {"i-2"}
    assert rig.handle(flow=b"old", tag=rig.tag("i-1")) == ["i-1"]
    rig.publish(ZoneChange("a", out=False))
    assert "i-1" in {rig.open(flow=bytes([99, n])) for n in range(20)}


def test_retransmitted_syn_tries_another_server():
    rig = Rig(server("i-1"), server("i-2"))
    first = rig.open()
    rig.now += 0.2
    second = rig.open(retransmission=1)
    assert {first, second} == {"i-1", "i-2"}


def test_duplicate_of_a_retransmission_goes_to_the_same_server():
    rig = Rig(server("i-1"), server("i-2"))
    assert rig.open(retransmission=1) == rig.open(retransmission=1)


def test_late_answer_of_a_second_server_does_not_move_an_established_flow():
    rig = Rig(server("i-1"), server("i-2"))
    first = rig.open()
    rig.now += 0.2
    second = rig.open(retransmission=1)
    rig.handle(tag=rig.tag(second), seq=1, acked=9)
    assert rig.handle(tag=rig.tag(first), seq=1, acked=9, size=5) == [second]


def test_reused_port_starts_a_new_flow():
    rig = Rig(server("i-1"), server("i-2"))
    rig.handle(tag=rig.tag("i-1"), seq=1, acked=9)
    rig.publish(ServerChange("i-1", server("i-1", draining=True)))
    assert rig.open() == "i-2"
    assert rig.handle(tag=rig.tag("i-2"), seq=1, acked=9) == ["i-2"]


def test_older_routes_are_not_applied():
    rig = Rig(server("i-1"), table=routes(version=5))
    rig.publish(RoutesChange(routes(version=3, endpoints=[LAB_ENDPOINT])))
    assert rig.open() == "i-1"


def test_tags_are_never_zero():
    assert server_tag(server("i-1")) != 0
    assert ServerSet(retention_s=1).find(0) is None
    assert START_TIME_S > 0
