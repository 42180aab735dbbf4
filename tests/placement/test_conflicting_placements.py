"""Flows that owners on both sides of a partition have placed."""

from magnoliaslip.packet.flow_key import ACK, PSH
from magnoliaslip.packet.segment import Segment
from magnoliaslip.placement.conflicting_placements import (
    MAX_CONFLICTS,
    ConflictingPlacements,
)
from tests.placement.fleet import Fleet, find_flow, flow


def test_reset_flow_switches_to_the_server_of_the_other_side():
    # Guards against a reset of an established flow after a partition: the owner keeps
    # its own placement, which the caller has not accepted, and its server resets the
    # flow.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    router = fleet.nodes[owner].router
    own = fleet.default(key)
    other = next(name for name in fleet.servers if name != own)
    fleet.servers[own].mode = "silent"
    fleet.send_syn(key, via=owner)
    fleet.servers[own].mode = "refuse"
    fleet.servers[other].flows.add(key)
    now = fleet.clock.monotonic()
    router._state.services[0].slices.restart_settling(now)
    router._exceptions.apply("rota", key, other, now)
    fleet.run(0.2)
    for _ in range(3):
        fleet.send_segment(key)
        fleet.run(0.2)
    assert not fleet.was_reset(key)
    assert other in fleet.answered_by(key)


def test_late_reset_of_the_former_server_changes_nothing():
    # Guards against an owner that gives up the other side's server for a reset of the
    # server to which it forwarded packets before it learned of the other one.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    router = fleet.nodes[owner].router
    own = fleet.default(key)
    other = next(name for name in fleet.servers if name != own)
    fleet.servers[other].flows.add(key)
    fleet.servers[own].mode = "silent"
    fleet.send_segment(key, via=owner)
    now = fleet.clock.monotonic()
    fleet.set_view(unreachable=[next(name for name in fleet.nodes if name != owner)])
    fleet.set_view()
    router._state.services[0].slices.restart_settling(now)
    router._exceptions.apply("rota", key, other, now)
    late = Segment(key, PSH | ACK, seq=101, ack=1, payload=b"x").reset_reply()
    fleet.servers[own].answer(late)
    fleet.deliver()
    fleet.run(0.2)
    fleet.send_segment(key, via=owner)
    assert not fleet.was_reset(key)
    assert fleet.answered_by(key) == [other]


def test_server_of_a_zone_that_is_out_takes_no_precedence():
    # Guards against a reset of a flow that the other side placed: the owner keeps its
    # own unanswered placement, whose zone is out.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    own = fleet.default(key)
    zone = _zone_of(fleet, own)
    other = next(name for name in fleet.servers if _zone_of(fleet, name) != zone)
    fleet.servers[own].mode = "silent"
    fleet.send_syn(key, via=owner)
    fleet.publish(zones_out=[zone])
    assert fleet.owner(key, at=owner) == owner
    fleet.servers[other].flows.add(key)
    now = fleet.clock.monotonic()
    fleet.nodes[owner].router._exceptions.apply("rota", key, other, now)
    fleet.send_segment(key, via=owner)
    assert not fleet.was_reset(key)
    assert fleet.answered_by(key) == [other]


def test_owner_revokes_a_half_open_flow_of_the_other_side():
    # Guards against packets that a member of the cut-off side forwards to its own
    # server after the heal, while the owner has placed the flow on another one.
    fleet = Fleet(5)
    key = find_flow(
        lambda key: (
            fleet.owner(key) != "i1"
            and _zone_of(fleet, fleet.default(key)) != fleet.zone("i1")
        )
    )
    owner, own = fleet.owner(key), fleet.default(key)
    others = [name for name in fleet.nodes if name != "i1"]
    for server in fleet.servers.values():
        server.mode = "silent"
    fleet.partitions = {("i1", name) for name in others}
    fleet.set_view(at=["i1"], unreachable=others)
    fleet.set_view(at=others, unreachable=["i1"])
    fleet.run(3.5)
    for _ in range(10):  # the first are held until leases have expired
        fleet.send_syn(key, via="i1")
        fleet.run(0.2)
    fleet.send_syn(key, via=owner)
    assert fleet.servers_of(key) > {own}
    fleet.partitions = set()
    fleet.set_view()
    fleet.run(1.0)
    fleet.servers[own].mode = "accept"
    fleet.send_syn(key, via=owner)
    assert fleet.established(key)
    fleet.send_segment(key, via="i1")
    assert fleet.answered_by(key) == [own]


def _zone_of(fleet, name):
    servers = fleet.history[-1].snapshot.pools["rota"].servers
    return next(server.zone for server in servers if server.name == name)


def test_conflicts_are_bounded():
    # Guards against memory that grows with every partition.
    conflicts = ConflictingPlacements()
    for number in range(MAX_CONFLICTS + 1):
        conflicts.add(number.to_bytes(4, "big"), 1, 0.0)
    assert conflicts.swap(bytes(4), 2, 1.0) is None
    assert conflicts.swap((1).to_bytes(4, "big"), 2, 1.0) == 1


def test_conflict_expires():
    # Guards against a later flow with the same key that is sent to an unrelated server.
    conflicts = ConflictingPlacements()
    conflicts.add(b"flow", 1, 0.0)
    assert conflicts.swap(b"flow", 2, 31.0) is None
