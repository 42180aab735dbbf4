"""New flows that are placed, held, placed again or refused."""

import pytest

from magnoliaslip.core.links import Direction
from magnoliaslip.packet.flow_key import ACK, SYN
from magnoliaslip.packet.segment import Segment
from magnoliaslip.placement.hashing import flow_hash
from tests.placement.fleet import (
    Fleet,
    drop_logs_to,
    find_flow,
    flow,
    make_pool,
    send_via_all,
)


def test_syn_waits_for_every_member_with_a_certificate():
    # Guards against a member that forwards an exception's packets to the default
    # because it does not know yet that the bucket is dirty.
    fleet = Fleet(4)
    key = flow(1)
    owner = fleet.owner(key)
    stale = next(name for name in fleet.nodes if name != owner)
    fleet.drop_if = lambda sender, to, item: (
        stale in (sender, to) and hasattr(item, "log")
    )
    fleet.place_exception(key, via=owner)
    fleet.run(0.4)
    assert len(fleet.servers_of(key)) == 1, "forwarded before the lease expired"
    assert fleet.nodes[stale].router.direct(key) is not None
    fleet.run(1.5)
    assert fleet.nodes[stale].router.direct(key) is None
    assert fleet.established(key)


def test_syn_waits_at_most_250_ms_for_a_replica():
    # Guards against SYNs that are held forever while all replicas are unreachable.
    fleet = Fleet(4, policy="owner")
    key = flow(1)
    fleet.drop_if = drop_logs_to(*fleet.nodes)
    fleet.place_exception(key)
    fleet.run(0.2)
    assert not fleet.established(key)
    fleet.run(0.2)
    assert fleet.established(key)


def test_refusal_is_sent_only_by_a_settled_owner():
    # Guards against a false refusal: another owner may have placed the flow.
    fleet = Fleet(4, pool=make_pool(7, drain=[f"s{n}" for n in range(1, 8)]))
    key = flow(1)
    owner = fleet.owner(key)
    missing = next(name for name in fleet.nodes if name != owner)
    fleet.set_view(unreachable=[missing])
    fleet.run(5.0)
    fleet.send_syn(key, via=owner)
    assert not fleet.was_reset(key), "refused with an incomplete view"
    fleet.set_view()
    fleet.run(5.0)
    fleet.send_syn(key, via=owner)
    assert fleet.was_reset(key)
    fleet.kill(owner)
    del fleet.nodes[owner]
    fleet.set_view()
    fleet.send_syn(flow(2))
    assert not fleet.was_reset(flow(2)), "refused shortly after a takeover"
    fleet.run(5.0)
    fleet.send_syn(flow(2))
    assert fleet.was_reset(flow(2))


def test_refused_flow_is_placed_elsewhere_but_never_after_payload():
    # Guards against a request that is executed twice.
    fleet = Fleet(4)
    key = flow(1)
    fleet.place_exception(key)
    fleet.run(0.5)
    assert len(fleet.servers_of(key)) == 2 and not fleet.was_reset(key)
    fleet.send_segment(key)
    server = fleet.servers[fleet.answered_by(key)[0]]
    server.flows.clear()
    fleet.send_segment(key)
    assert fleet.was_reset(key)
    assert len(fleet.servers_of(key)) == 2


def test_retransmitted_syn_keeps_its_server_and_marks_an_unresponsive_one():
    # Guards against one flow on two servers, and against an unresponsive server that
    # keeps receiving new flows.
    fleet = Fleet(1)
    key = flow(1)
    name = fleet.default(key)
    fleet.servers[name].mode = "silent"
    for _ in range(3):
        fleet.run(1.0)
        fleet.send_syn(key)
    assert fleet.servers_of(key) == {name}
    other = find_flow(lambda each: fleet.default(each) == name, start=2)
    fleet.send_syn(other)
    assert name not in fleet.servers_of(other)


def test_server_that_answers_late_stays_warm():
    # Guards against slow starts of servers that are only late: on a busy machine
    # servers answer the third transmission of a SYN, and once all of them are in slow
    # start, all new flows are refused.
    fleet = Fleet(1)
    key = flow(1)
    server = fleet.servers[fleet.default(key)]
    server.mode = "silent"
    for _ in range(3):
        fleet.run(0.2)
        fleet.send_syn(key)
    server.mode = "accept"
    fleet.send_syn(key)
    assert fleet.established(key)
    servers = fleet.nodes["i1"].router.status().servers
    assert all(each.state != "cold" for each in servers)


@pytest.mark.parametrize("nodes", [1, 7])
def test_cold_server_stays_within_the_budget_of_the_fleet(nodes):
    # Guards against seven owners that each use the whole budget of a cold server.
    pool = make_pool(64)
    fleet = Fleet(nodes, pool=pool)
    fleet.publish(make_pool(65, version=2))
    for second in range(20):
        before = len(fleet.servers["s65"].flows)
        for number in range(300):
            fleet.send_syn(flow(second * 300 + number))
        fleet.run(1.0)
        opened = len(fleet.servers["s65"].flows) - before
        # Four slots on a ramp of 30 s; a new flow counts for 5 s.
        assert opened <= max(1, 4 * (second + 1) / 30) + 0.5
    assert fleet.servers["s65"].flows


def test_new_flows_overflow_to_the_least_loaded_server():
    # Guards against more requests than slots while other servers are idle.
    fleet = Fleet(3)
    for number in range(28):
        fleet.send_syn(flow(number))
        fleet.deliver()
    assert {len(server.flows) for server in fleet.servers.values()} == {4}


def test_load_spreads_over_all_servers_when_most_refuse():
    # Guards against concentrating all load on the few servers that are not blocked.
    fleet = Fleet(1)
    for name in ("s1", "s2", "s3", "s4"):
        fleet.servers[name].mode = "refuse"
    for number in range(40):
        fleet.send_syn(flow(number))
    for server in fleet.servers.values():
        server.mode = "accept"
    fleet.run(0.3)
    before = {name: len(fleet.servers[name].flows) for name in fleet.servers}
    for number in range(100, 160):
        fleet.send_syn(flow(number))
    assert any(len(fleet.servers[n].flows) > before[n] for n in ("s1", "s2", "s3"))


def test_held_syn_of_a_moved_slice_is_left_to_the_new_owner():
    # Guards against a SYN that is forwarded after another member became its owner.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    fleet.servers[fleet.default(key)].mode = "refuse"
    fleet.drop_if = lambda sender, to, item: sender is not None
    packet = Segment(key, SYN, seq=100).encode()
    fleet.send_packet(packet, Direction.REQUEST, owner)
    fleet.deliver()
    assert len(fleet.servers_of(key)) == 1, "the retry is held"
    fleet.nodes[owner].state = fleet.nodes[owner].state.LEAVING
    fleet.set_view()
    fleet.drop_if = lambda *_: False
    fleet.run(4.0)
    assert len(fleet.servers_of(key)) == 1
    fleet.send_syn(key)
    fleet.run(0.5)
    send_via_all(fleet, key)
    assert fleet.owner(key) != owner
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_retry_waits_until_no_replica_names_the_refusing_server():
    # Guards against a replica that did not receive the retry and sends the flow's
    # packets to the server that refused it.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    for server in fleet.servers.values():
        server.mode = "refuse"
    fleet.send_syn(key, via=owner)
    fleet.run(2.0)
    first = len(fleet.servers_of(key))
    assert first > 2 and not fleet.established(key)
    key = flow(2)
    fleet = Fleet(5)
    replica = fleet.nodes[owner].router._state.services[0].slices.holders(0).replicas[0]
    default = fleet.default(key)
    refusals = iter(["refuse", "refuse"])
    for server in fleet.servers.values():
        server.receive = _refuse_first(server, refusals)
    lost = []

    def drop_if(sender, to, item):
        # The replica receives the first exception only.
        if to != replica or not hasattr(item, "log") or not item.log.exceptions:
            return False
        lost.append(item)
        return len(lost) > 1

    fleet.drop_if = drop_if
    fleet.send_syn(key, via=owner)
    fleet.run(0.5)
    assert default in fleet.servers_of(key) and len(fleet.servers_of(key)) == 2
    fleet.run(2.0)
    fleet.drop_if = lambda *_: False
    assert fleet.established(key) and len(fleet.servers_of(key)) == 3


def _refuse_first(server, refusals):
    receive = server.receive

    def wrapped(segment):
        server.mode = next(refusals, "accept")
        receive(segment)

    return wrapped


def syn_servers(fleet, key):
    return [name for name, segment in fleet.delivered[key] if segment.is_syn]


def test_held_syn_is_abandoned_when_its_caller_is_established_elsewhere():
    # Guards against a SYN that reaches a second server: its owner held it while an
    # owner on the other side of a partition had the flow accepted.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    fleet.partitions |= {(owner, name) for name in fleet.nodes if name != owner}
    fleet.place_exception(key, via=owner)
    assert syn_servers(fleet, key) == [fleet.default(key)]
    fleet.send_segment(key, via=owner)
    fleet.run(2.0)
    assert syn_servers(fleet, key) == [fleet.default(key)]


def test_placement_is_abandoned_when_the_caller_acknowledges_another_syn_ack():
    # Guards against a flow that breaks after a partition heals, because the owner keeps
    # its own placement although the caller is connected by that of the other side.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    fleet.send_syn(key, via=owner)
    records = fleet.nodes[owner].router._state.records
    isn = records.get(key, flow_hash(key)).isn
    assert isn
    other = Segment(key, ACK, seq=101, ack=(isn + (1 << 31) + 7) % (1 << 32))
    fleet.send_packet(other.encode(), Direction.REQUEST, owner)
    fleet.deliver()
    assert not records.get(key, flow_hash(key)).isn
    assert not fleet.was_reset(key)


def test_new_flows_avoid_servers_of_an_unreachable_zone():
    # Guards against SYNs that are lost in a zone beyond a partition.
    fleet = Fleet(7)
    lost = [name for name in fleet.nodes if fleet.zone(name) == fleet.zone("i1")]
    here = [name for name in fleet.nodes if name not in lost]
    fleet.set_view(at=here, unreachable=lost)
    fleet.run(3.5)
    for number in range(40):
        fleet.send_syn(flow(number), via=here[number % len(here)])
    servers = fleet.history[-1].snapshot.pools["rota"].servers
    beyond = {each.name for each in servers if each.zone == fleet.zone("i1")}
    used = set().union(*(fleet.servers_of(flow(number)) for number in range(40)))
    assert beyond and used and not used & beyond


def test_owner_by_an_outdated_configuration_applies_a_changed_exception():
    # Guards against a member that owns a slice by its outdated set of zones, keeps the
    # first version of an exception and replicates it after a retry on another server.
    fleet = Fleet(7)
    key = flow(1)
    zone = fleet.zone(fleet.owner(key))
    fleet.publish(zones_out=[zone])
    late = fleet.owner(key)
    fleet.publish(to=[name for name in fleet.nodes if name != late])
    fleet.run(3.5)
    owner = fleet.owner(key)
    assert fleet.owner(key, at=late) == late != owner
    refusals = iter(["refuse", "refuse"])
    for server in fleet.servers.values():
        server.receive = _refuse_first(server, refusals)
    fleet.send_syn(key, via=owner)
    fleet.run(2.0)
    assert fleet.established(key) and len(fleet.servers_of(key)) == 3
    send_via_all(fleet, key)
    assert fleet.answered_by(key) == fleet.answered_by(key)[:1] * 7


def test_retry_on_an_unknown_server_removes_the_replica_of_the_first():
    # Guards against a replica with an older configuration that keeps using the server
    # that refused the flow.
    fleet = Fleet(5, pool=make_pool(7, slots=1))
    owner = fleet.owner(flow(1))
    late = fleet.nodes[owner].router._state.services[0].slices.holders(0).replicas[0]
    wider = make_pool(30, slots=1, version=2)
    fleet.publish(wider, to=[name for name in fleet.nodes if name != late])
    fleet.run(31.0)
    plain = {name: server.receive for name, server in fleet.servers.items()}
    keys = [flow(number) for number in range(1, 80)]
    for key in keys:
        refusals = iter(["refuse", "refuse"])
        for name, server in fleet.servers.items():
            server.receive = plain[name]
            server.receive = _refuse_first(server, refusals)
        fleet.send_syn(key, via=owner)
        fleet.run(1.0)
    for key in keys:
        if fleet.established(key):
            fleet.send_segment(key, via=late)
            assert not fleet.reset_after_syn_ack(key)
            assert len(set(fleet.answered_by(key))) == 1


def test_placement_of_a_stale_held_syn_is_removed_at_the_replicas():
    # Guards against a reset of a flow that the other side of a partition placed: the
    # owner drops the SYN that it held, but replicas keep its placement and forward
    # packets of the caller's connection to a server that does not know it.
    fleet = Fleet(7)
    key = flow(1)
    owner = fleet.owner(key)
    lost_zone = next(z for z in map(fleet.zone, fleet.nodes) if z != fleet.zone(owner))
    beyond = [name for name in fleet.nodes if fleet.zone(name) == lost_zone]
    side = [name for name in fleet.nodes if name not in beyond]
    fleet.partitions |= {(one, other) for one in side for other in beyond}
    fleet.set_view(at=side, unreachable=beyond)
    fleet.place_exception(key, via=owner)

    def with_record():
        nodes = (fleet.nodes[name] for name in side)
        return [n for n in nodes if n.router._state.records.get(key, flow_hash(key))]

    assert len(with_record()) > 1, "the SYN is held and replicas have the exception"
    fleet.run(3.0)
    assert fleet.nodes[owner].router._state.counters["drop_open_stale"] == 1
    assert not with_record()
