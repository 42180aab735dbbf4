"""Members that pause, return or differ: faults that random histories have shown."""

from tests.placement.fleet import Fleet, flow, make_pool, send_via_all


def pause(fleet, name):
    """Pause a member until the others take it out of their views."""
    fleet.nodes[name].paused = True
    fleet.run(2.0)
    others = [each for each in fleet.nodes if each != name]
    fleet.set_view(at=others, unreachable=[name])


def wake(fleet, name):
    """Let a member read what arrived meanwhile; its view is confirmed later."""
    fleet.resume(name)
    fleet.nodes[name].router.mark_view_suspect()
    fleet.run(0.4)
    fleet.set_view()
    fleet.nodes[name].router.confirm_view()
    fleet.deliver()


def test_woken_owner_neither_refuses_nor_places_an_old_open():
    # Guards against a false refusal, and a flow at two servers, by an owner that
    # reads the SYN of a flow which its successor has placed.
    for drain in ([], [f"s{n}" for n in range(1, 8)]):
        fleet = Fleet(5)
        key = flow(1)
        sleeper = fleet.owner(key)
        pause(fleet, sleeper)
        fleet.send_syn(key, via=sleeper)
        fleet.open_exception(key, via=next(n for n in fleet.nodes if n != sleeper))
        fleet.run(1.6)
        assert fleet.established(key)
        servers = fleet.servers_of(key)
        fleet.publish(make_pool(7, version=2, drain=drain))
        wake(fleet, sleeper)
        fleet.run(1.0)
        send_via_all(fleet, key)
        assert not fleet.was_reset(key)
        assert fleet.servers_of(key) == servers
        assert len(set(fleet.answered_by(key))) == 1


def test_woken_member_passes_no_old_open_on():
    # Guards against a false refusal: the owner had forgotten the flow, which had run
    # and ended while the SYN waited in the socket of a paused member.
    fleet = Fleet(5)
    key = flow(1)
    sleeper = next(name for name in fleet.nodes if name != fleet.owner(key))
    pause(fleet, sleeper)
    fleet.send_syn(key, via=sleeper)
    fleet.publish(make_pool(7, version=2, drain=[f"s{n}" for n in range(1, 8)]))
    fleet.run(4.0)
    wake(fleet, sleeper)
    fleet.run(1.0)
    assert not fleet.was_reset(key)
    assert not fleet.servers_of(key)


def test_returned_member_learns_the_dirty_buckets_again():
    # Guards against a member that was out of the view and trusts certificates for
    # a log that its peers have started anew.
    fleet = Fleet(5)
    first, key = flow(1), flow(2)
    fleet.open_exception(first)
    fleet.run(1.0)
    owner = fleet.owner(key)
    sleeper = next(name for name in fleet.nodes if name != owner)
    pause(fleet, sleeper)
    fleet.open_exception(key, via=owner)
    fleet.run(1.6)
    assert fleet.established(key)
    # The sleeper hears heartbeats again before its peers take it into their views.
    fleet.resume(sleeper)
    fleet.nodes[sleeper].router.mark_view_suspect()
    fleet.run(2.0)
    fleet.send_segment(key, via=sleeper)
    fleet.set_view()
    fleet.send_segment(key, via=sleeper)
    fleet.run(2.0)
    send_via_all(fleet, key)
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)
    assert fleet.nodes[sleeper].router.direct(flow(3)) is not None


def test_exception_for_an_unknown_server_gives_way_to_its_retry():
    # Guards against a copy that names a refused server once the configuration
    # which contains it arrives.
    fleet = Fleet(5)
    wider = Fleet(1, pool=make_pool(8))
    key = next(flow(n) for n in range(1, 999) if wider.default(flow(n)) == "s8")
    assert fleet.owner(key) != "i1"
    told = [name for name in fleet.nodes if name != "i1"]
    fleet.publish(make_pool(8, version=2), to=told)
    fleet.run(31.0)
    fleet.open_exception(key, via=told[0])
    fleet.run(1.0)
    assert "s8" in fleet.servers_of(key) and fleet.established(key)
    fleet.apply_history(["i1"])
    send_via_all(fleet, key)
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_reset_of_an_unknown_flow_is_dropped_while_slices_differ():
    # Guards against two owners of one bucket, of which one does not know the flow
    # and lets the reset of a wrong server pass.
    fleet = Fleet(5, pool=make_pool(8))
    old = fleet.owner(flow(1))
    told = [name for name in fleet.nodes if name != old][:2]
    fleet.publish(make_pool(8, slots=64, version=2), to=told)
    fleet.run(5.0)
    keys = [flow(n) for n in range(1, 99)]
    key = next(each for each in keys if fleet.owner(each, at=told[0]) != old)
    fleet.send_segment(key, via=old)
    assert fleet.servers_of(key) and not fleet.was_reset(key)
    fleet.apply_history(list(fleet.nodes))
    fleet.run(5.0)
    fleet.send_segment(key, via=fleet.owner(key))
    assert fleet.was_reset(key)


def test_returned_zone_is_used_once_every_member_has_it_back():
    # Guards against new flows in a zone that a member with an older configuration
    # still takes to be out, and would reset.
    fleet = Fleet(5)
    owner = fleet.owner(flow(1))
    zone = next(
        fleet.zone(n) for n in fleet.nodes if fleet.zone(n) != fleet.zone(owner)
    )
    fleet.publish(zones_out=[zone])
    fleet.run(2.0)
    late = next(name for name in fleet.nodes if name != owner)
    told = [name for name in fleet.nodes if name != late]
    fleet.publish(to=told)
    fleet.run(1.0)
    fleet.delivered.clear()
    early = [flow(number) for number in range(1, 60)]
    for key in early:
        fleet.send_syn(key, via=told[0])
        fleet.run(0.3)
    assert all(fleet.zone(n) != zone for key in early for n in fleet.servers_of(key))
    fleet.apply_history([late])
    fleet.run(1.0)
    for number in range(100, 160):
        fleet.send_syn(flow(number))
        fleet.run(0.5)
    assert any(
        fleet.zone(n) == zone for key in fleet.delivered for n in fleet.servers_of(key)
    )
    for key in early:
        send_via_all(fleet, key)
        assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_stated_uptime_shows_a_restart():
    # Guards against full load on a server that restarted between two opens.
    fleet = Fleet(1)
    router = fleet.nodes["i1"].router
    router.health.record_uptime("rota", "s1", 1.0)
    router.health.record_uptime("rota", "s2", 31.0)
    router.health.record_uptime("rota", "unknown", 1.0)
    for number in range(40):
        fleet.send_syn(flow(number))
    assert len(fleet.servers["s1"].flows) == 1
    assert len(fleet.servers["s2"].flows) >= 4


def test_reset_of_an_unanswered_open_does_not_reach_the_caller():
    # Guards against the reset of a server whose SYN was lost, for a flow that the
    # other side of a cut has placed.
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
