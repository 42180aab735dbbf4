"""Members that pause, return, or have another configuration than the others."""

from tests.placement.fleet import Fleet, flow, make_pool, send_via_all


def pause(fleet, name):
    """Pause a member until the others remove it from their views."""
    fleet.nodes[name].paused = True
    fleet.run(2.0)
    others = [each for each in fleet.nodes if each != name]
    fleet.set_view(at=others, unreachable=[name])


def resume_and_confirm_view(fleet, name):
    """Let a member read its queued packets first; confirm its view afterwards."""
    fleet.resume(name)
    fleet.nodes[name].router.mark_view_suspect()
    fleet.run(0.4)
    fleet.set_view()
    fleet.nodes[name].router.confirm_view()
    fleet.deliver()


def test_resumed_owner_neither_refuses_nor_places_an_old_syn():
    # Guards against a false refusal, and against a flow on two servers. The resumed
    # owner reads the SYN of a flow that the next owner has already placed.
    for drain in ([], [f"s{n}" for n in range(1, 8)]):
        fleet = Fleet(5)
        key = flow(1)
        paused_id = fleet.owner(key)
        pause(fleet, paused_id)
        fleet.send_syn(key, via=paused_id)
        fleet.place_exception(key, via=next(n for n in fleet.nodes if n != paused_id))
        fleet.run(1.6)
        assert fleet.established(key)
        servers = fleet.servers_of(key)
        fleet.publish(make_pool(7, version=2, drain=drain))
        resume_and_confirm_view(fleet, paused_id)
        fleet.run(1.0)
        send_via_all(fleet, key)
        assert not fleet.was_reset(key)
        assert fleet.servers_of(key) == servers
        assert len(set(fleet.answered_by(key))) == 1


def test_resumed_member_relays_no_old_syn():
    # Guards against a false refusal. The flow had been established and closed, and its
    # owner had removed it, while the SYN waited in the socket of a paused member.
    fleet = Fleet(5)
    key = flow(1)
    paused_id = next(name for name in fleet.nodes if name != fleet.owner(key))
    pause(fleet, paused_id)
    fleet.send_syn(key, via=paused_id)
    fleet.publish(make_pool(7, version=2, drain=[f"s{n}" for n in range(1, 8)]))
    fleet.run(4.0)
    resume_and_confirm_view(fleet, paused_id)
    fleet.run(1.0)
    assert not fleet.was_reset(key)
    assert not fleet.servers_of(key)


def test_returned_member_receives_the_dirty_buckets_again():
    # Guards against a member that was out of the view and still relies on certificates
    # for a log that its peers have restarted.
    fleet = Fleet(5)
    first, key = flow(1), flow(2)
    fleet.place_exception(first)
    fleet.run(1.0)
    owner = fleet.owner(key)
    paused_id = next(name for name in fleet.nodes if name != owner)
    pause(fleet, paused_id)
    fleet.place_exception(key, via=owner)
    fleet.run(1.6)
    assert fleet.established(key)
    # The member receives heartbeats again before its peers add it to their views.
    fleet.resume(paused_id)
    fleet.nodes[paused_id].router.mark_view_suspect()
    fleet.run(2.0)
    fleet.send_segment(key, via=paused_id)
    fleet.set_view()
    fleet.send_segment(key, via=paused_id)
    fleet.run(2.0)
    send_via_all(fleet, key)
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)
    assert fleet.nodes[paused_id].router.direct(flow(3)) is not None


def test_exception_for_an_unknown_server_is_replaced_after_a_retry():
    # Guards against a replica that names a server which has refused the flow. It would
    # take effect when the configuration with that server arrives.
    fleet = Fleet(5)
    wider = Fleet(1, pool=make_pool(8))
    key = next(flow(n) for n in range(1, 999) if wider.default(flow(n)) == "s8")
    assert fleet.owner(key) != "i1"
    updated_ids = [name for name in fleet.nodes if name != "i1"]
    fleet.publish(make_pool(8, version=2), to=updated_ids)
    fleet.run(31.0)
    fleet.place_exception(key, via=updated_ids[0])
    fleet.run(1.0)
    assert "s8" in fleet.servers_of(key) and fleet.established(key)
    fleet.apply_history(["i1"])
    send_via_all(fleet, key)
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_reset_of_an_unknown_flow_is_dropped_while_slices_differ():
    # Guards against two owners of one bucket, of which one lacks the record of the flow
    # and forwards the reset of a wrong server.
    fleet = Fleet(5, pool=make_pool(8))
    old = fleet.owner(flow(1))
    updated_ids = [name for name in fleet.nodes if name != old][:2]
    fleet.publish(make_pool(8, slots=64, version=2), to=updated_ids)
    fleet.run(5.0)
    keys = [flow(n) for n in range(1, 99)]
    key = next(each for each in keys if fleet.owner(each, at=updated_ids[0]) != old)
    fleet.send_segment(key, via=old)
    assert fleet.servers_of(key) and not fleet.was_reset(key)
    fleet.apply_history(list(fleet.nodes))
    fleet.run(5.0)
    fleet.send_segment(key, via=fleet.owner(key))
    assert fleet.was_reset(key)


def test_returned_zone_is_used_once_every_member_has_it_back():
    # Guards against new flows in a zone that is still out for a member with an older
    # configuration, which would reset them.
    fleet = Fleet(5)
    owner = fleet.owner(flow(1))
    zone = next(
        fleet.zone(n) for n in fleet.nodes if fleet.zone(n) != fleet.zone(owner)
    )
    fleet.publish(zones_out=[zone])
    fleet.run(2.0)
    outdated_id = next(name for name in fleet.nodes if name != owner)
    updated_ids = [name for name in fleet.nodes if name != outdated_id]
    fleet.publish(to=updated_ids)
    fleet.run(1.0)
    fleet.delivered.clear()
    early_flows = [flow(number) for number in range(1, 60)]
    for key in early_flows:
        fleet.send_syn(key, via=updated_ids[0])
        fleet.run(0.3)
    assert all(
        fleet.zone(n) != zone for key in early_flows for n in fleet.servers_of(key)
    )
    fleet.apply_history([outdated_id])
    fleet.run(1.0)
    for number in range(100, 160):
        fleet.send_syn(flow(number))
        fleet.run(0.5)
    assert any(
        fleet.zone(n) == zone for key in fleet.delivered for n in fleet.servers_of(key)
    )
    for key in early_flows:
        send_via_all(fleet, key)
        assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_reported_uptime_reveals_a_restart():
    # Guards against full load on a server that restarted between two new flows.
    fleet = Fleet(1)
    router = fleet.nodes["i1"].router
    router.polled_servers.record_uptime("rota", "s1", 1.0)
    router.polled_servers.record_uptime("rota", "s2", 31.0)
    router.polled_servers.record_uptime("rota", "unknown", 1.0)
    for number in range(40):
        fleet.send_syn(flow(number))
    assert len(fleet.servers["s1"].flows) == 1
    assert len(fleet.servers["s2"].flows) >= 4


def test_reset_of_an_unanswered_syn_does_not_reach_the_caller():
    # Guards against a reset by a server that never received the SYN, for a flow that
    # the other side of a partition has placed.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    server = fleet.servers[fleet.default(key)]
    server.mode = "silent"
    fleet.send_syn(key, via=owner)
    server.mode = "accept"
    fleet.send_segment(key, via=owner)
    assert server.name in fleet.servers_of(key)
    assert not fleet.was_reset(key)
