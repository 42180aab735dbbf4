"""Transfer of exceptions and young flows on owner changes, joins and stops."""

from magnoliaslip.core.group import MemberState
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.placement.hashing import flow_hash
from tests.placement.fleet import (
    Fleet,
    bucket,
    drop_logs_to,
    find_flow,
    flow,
    make_pool,
    send_via_all,
)


def test_flow_survives_a_crash_of_its_owner_after_the_syn():
    # Guards against an exception that only its failed owner held.
    fleet = Fleet(7)
    key = flow(1)
    fleet.place_exception(key)
    assert fleet.established(key)
    owner = fleet.owner(key)
    fleet.kill(owner)
    for _ in range(3):
        fleet.run(1.0)
        send_via_all(fleet, key)
    fleet.set_view(unreachable=[owner])
    send_via_all(fleet, key)
    fleet.run(8.0)
    send_via_all(fleet, key)
    assert len(set(fleet.answered_by(key))) == 1
    assert not fleet.was_reset(key)


def test_new_owner_without_the_exception_uses_the_replica_that_has_it():
    # Guards against a reset by a new owner that never received the exception: a SYN
    # waits for the acknowledgement of only one replica.
    fleet = Fleet(7)
    key = flow(1)
    owner = fleet.owner(key)
    router = fleet.nodes[owner].router
    service = router._state.services[0]
    next_owner, *others = service.slices.holders(bucket(key)).replicas
    assert others
    fleet.drop_if = drop_logs_to(next_owner)
    fleet.place_exception(key)
    fleet.run(2.0)
    assert fleet.established(key)
    fleet.kill(owner)
    fleet.drop_if = lambda *_: False
    fleet.set_view(unreachable=[owner])
    assert fleet.owner(key, at=next_owner) == next_owner
    send_via_all(fleet, key)
    fleet.run(1.0)
    send_via_all(fleet, key)
    assert len(set(fleet.answered_by(key))) == 1
    assert not fleet.was_reset(key)


def test_flow_survives_two_changes_of_its_owner():
    # Guards against exceptions that a new owner does not replicate again.
    fleet = Fleet(7)
    keys = [flow(number) for number in range(1, 13)]
    for key in keys:
        fleet.place_exception(key)
        fleet.run(2.0)
    first = fleet.owner(keys[0])
    fleet.kill(first)
    fleet.set_view(unreachable=[first])
    fleet.run(5.0)
    second = next(fleet.owner(keys[0], at=n) for n in fleet.nodes if n != first)
    fleet.kill(second)
    fleet.set_view(unreachable=[first, second])
    fleet.run(3.5)
    for key in keys:
        send_via_all(fleet, key)
        assert not fleet.was_reset(key)
        assert len(set(fleet.answered_by(key))) == 1


def test_leaving_instance_hands_over_before_it_may_stop():
    # Guards against flows that are reset by a planned stop.
    fleet = Fleet(7)
    keys = [flow(number) for number in range(1, 9)]
    for key in keys:
        fleet.place_exception(key)
        fleet.run(2.0)
    young_flow = flow(50)
    fleet.send_syn(young_flow)
    leaving_id = fleet.owner(young_flow)
    router = fleet.nodes[leaving_id].router
    router.begin_leaving()
    fleet.send_syn(flow(60), via=leaving_id)
    assert fleet.established(flow(60)), "SYN dropped between two views"
    fleet.nodes[leaving_id].state = MemberState.LEAVING
    fleet.set_view()
    assert not router.may_stop
    new_owner = fleet.owner(young_flow)
    assert new_owner != leaving_id
    fleet.run(4.0)
    assert router.may_stop
    state = fleet.nodes[new_owner].router._state
    assert state.records.get(young_flow, flow_hash(young_flow)) is not None
    del fleet.nodes[leaving_id]
    fleet.set_view()
    fleet.run(5.0)
    for key in [*keys, young_flow, flow(60)]:
        send_via_all(fleet, key)
        assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_joining_instance_requests_exceptions_before_it_owns_slices():
    # Guards against a new owner that sends a flow with an exception to its default.
    fleet = Fleet(3)
    keys = [flow(number) for number in range(1, 30)]
    for key in keys:
        fleet.place_exception(key)
        fleet.run(2.0)
    node = fleet.add_node("i4", state=MemberState.JOINING)
    fleet.set_view()
    assert not node.router.exceptions_ready
    fleet.deliver()
    assert node.router.exceptions_ready
    assert node.router.exceptions_held
    assert all(fleet.owner(key) != "i4" for key in keys)
    node.state = MemberState.SERVING
    fleet.set_view()
    for key in keys:
        send_via_all(fleet, key)
    fleet.run(3.0)
    for key in keys:
        send_via_all(fleet, key)
        assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)
    isolated = fleet.add_node("i5", state=MemberState.JOINING)
    fleet.drop_if = lambda sender, to, item: to == "i5"
    fleet.set_view()
    fleet.run(2.8)
    assert not isolated.router.exceptions_ready
    fleet.run(0.4)
    assert isolated.router.exceptions_ready


def test_restarted_peer_gets_its_log_from_the_start():
    # Guards against certificates for a log whose start the restarted process lacks.
    fleet = Fleet(4)
    key = flow(1)
    fleet.place_exception(key)
    fleet.run(1.0)
    owner = fleet.owner(key)
    name = next(name for name in fleet.nodes if name != owner)
    del fleet.nodes[name]
    node = fleet.add_node(name, state=MemberState.JOINING)
    node.incarnation = 2
    fleet.set_view()
    assert node.router.direct(key) is None
    fleet.run(2.0)
    clean = find_flow(lambda each: bucket(each) != bucket(key), start=2)
    assert node.router.direct(clean) is not None
    fleet.send_segment(key, via=name)
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_joining_member_repeats_its_request_until_peers_have_it_in_view():
    # Guards against a new owner without exceptions, because a peer that does not have
    # it in its view replies as if there were nothing to send.
    fleet = Fleet(3)
    for number in range(1, 30):
        fleet.place_exception(flow(number))
        fleet.run(2.0)
    node = fleet.add_node("i4", state=MemberState.JOINING)
    fleet.set_view(at=["i4"])
    fleet.deliver()
    assert not node.router.exceptions_ready
    fleet.set_view()
    fleet.run(0.5)
    assert node.router.exceptions_ready
    assert node.router.exceptions_held


def test_restarted_log_of_a_new_owner_removes_no_replicas():
    # Guards against flows that are reset after a change of owner. A new member first
    # gets its peers from reports, without incarnation, and restarts its empty log when
    # it receives their heartbeats. The former holders must not remove the exceptions
    # that they are transferring to it.
    fleet = Fleet(3, pool=make_pool(64))  # eight slices
    keys = [flow(number) for number in range(1, 30)]
    for key in keys:
        fleet.place_exception(key)
        fleet.run(2.0)
    fleet.add_node("i4", state=MemberState.JOINING)
    peers = [fleet.nodes[name] for name in ("i1", "i2", "i3")]
    fleet.drop_if = lambda sender, to, item: (
        isinstance(item, PeerMessage) and to == "i4"
    )
    for node in peers:
        node.incarnation = 0
    fleet.set_view(at=["i4"])
    for node in peers:
        node.incarnation = 1
    fleet.set_view(at=["i1", "i2", "i3"])
    fleet.run(3.2)
    fleet.nodes["i4"].state = MemberState.SERVING
    fleet.set_view(at=["i1", "i2", "i3"])
    moved = [key for key in keys if fleet.owner(key) == "i4"]
    fleet.drop_if = lambda sender, to, item: (
        isinstance(item, PeerMessage) and to == "i4" and not item.HasField("heartbeat")
    )
    fleet.run(1.0)
    assert moved
    for key in moved:
        held = [node.router._state.records.get(key, flow_hash(key)) for node in peers]
        assert any(held)


def test_log_restarts_for_a_peer_that_discarded_it():
    # Guards against a log that makes no progress after a peer has removed the sender
    # from its view for a moment, and so has discarded the start of the log.
    fleet = Fleet(5)
    fleet.place_exception(flow(1))
    fleet.run(1.0)
    owner = fleet.owner(flow(2))
    peer = next(name for name in fleet.nodes if name != owner)
    fleet.set_view(at=[peer], unreachable=[owner])
    fleet.run(0.3)
    fleet.set_view(at=[peer])
    fleet.run(3.0)
    assert fleet.nodes[owner].router._state.logs[peer].backlog == 0
    assert fleet.nodes[peer].router.direct_deadline > fleet.clock.monotonic()
    fleet.place_exception(flow(2))
    fleet.run(0.3)
    assert fleet.established(flow(2))
    send_via_all(fleet, flow(2))
    assert len(set(fleet.answered_by(flow(2)))) == 1


def test_replicas_resend_for_an_owner_that_crashes_before_its_handover():
    # Guards against a lost exception: a returning zone changes the owner, and the
    # former owner fails before the others have the new configuration.
    fleet = Fleet(7)
    key = flow(1)
    returned = fleet.owner(key)
    fleet.publish(zones_out=[fleet.zone(returned)])
    fleet.run(3.5)
    former = fleet.owner(key)
    assert former != returned
    fleet.place_exception(key, via=former)
    fleet.run(1.0)
    assert fleet.established(key)
    fleet.kill(former)
    fleet.publish(to=[name for name in fleet.nodes if name != former])
    fleet.run(2.0)
    fleet.set_view(unreachable=[former])
    fleet.run(5.0)
    send_via_all(fleet, key)
    assert fleet.owner(key, at=returned) == returned
    answers = fleet.answered_by(key)
    assert answers == answers[:1] * 6 and not fleet.was_reset(key)


def test_restarted_log_removes_no_exceptions_in_transit_to_its_sender():
    # Guards against flows that are reset after a log restart: members that transfer
    # flows to the new owner must not remove their replicas when its log restarts,
    # before the new owner has received them.
    fleet = Fleet(3, pool=make_pool(64))  # eight slices
    fresh = fleet.add_node("i4", state=MemberState.JOINING)
    for number in range(1, 30):
        fleet.place_exception(flow(number))
        fleet.run(2.0)
    fleet.set_view()
    fleet.run(1.0)
    assert fresh.router.exceptions_held
    keys = [flow(number) for number in range(30, 60)]
    for key in keys:
        fleet.place_exception(key)
        fleet.run(2.0)
    peers = [fleet.nodes[name] for name in ("i1", "i2", "i3")]
    fresh.state = MemberState.SERVING
    fleet.set_view(at=["i1", "i2", "i3"])
    moved = [key for key in keys if fleet.owner(key) == "i4"]
    fleet.drop_if = lambda sender, to, item: (
        isinstance(item, PeerMessage) and to == "i4"
    )
    exchange = fresh.router._exchange
    for log in fresh.router._state.logs.values():
        exchange._restart(log, log.incarnation)
        log.flush(fleet.clock.monotonic())
    fleet.deliver()
    assert moved
    for key in moved:
        held = [node.router._state.records.get(key, flow_hash(key)) for node in peers]
        assert any(held)
    fleet.drop_if = lambda sender, to, item: False
    fleet.set_view()
    fleet.run(1.0)
    for key in moved:
        fleet.send_segment(key, via="i4")
        assert not fleet.was_reset(key)


def test_member_withdraws_a_removed_exception_that_it_handed_on():
    # Guards against an exception that stays at a member which returns after a
    # partition: a replica hands it on before the owner has that member in its view.
    fleet = Fleet(7)
    key = flow(1)
    service = fleet.nodes["i1"].router._state.services[0]
    owner, replicas = service.slices.holders(bucket(key))
    returning, replica, *_ = replicas
    fleet.set_view(unreachable=[returning])
    fleet.place_exception(key, via=owner)
    fleet.set_view(at=[returning, replica])
    fleet.run(0.1)
    assert _holds(fleet, replica, key) and _holds(fleet, returning, key)
    # The held SYN is stale by now, so its owner removes the placement.
    fleet.run(2.0)
    assert not _holds(fleet, owner, key) and not _holds(fleet, replica, key)
    assert not _holds(fleet, returning, key)


def _holds(fleet, name, key):
    return fleet.nodes[name].router._state.records.get(key, flow_hash(key)) is not None
