"""Members that pause, return or differ: faults that random histories have shown."""

from magnoliaslip.core.group import MemberState
from magnoliaslip.core.links import Direction
from magnoliaslip.packet.flow_key import ACK, SYN
from magnoliaslip.packet.segment import Segment
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.placement.hashing import flow_hash
from tests.placement.fleet import Fleet, flow, make_pool


def say_everywhere(fleet, key):
    for name, node in fleet.nodes.items():
        if node.alive:
            fleet.say(key, via=name)


def pause(fleet, name):
    """Pause a member until the others take it out of their views."""
    fleet.nodes[name].paused = True
    fleet.run(2.0)
    others = [each for each in fleet.nodes if each != name]
    fleet.set_view(at=others, unheard=[name])


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
        fleet.syn(key, via=sleeper)
        fleet.open_exception(key, via=next(n for n in fleet.nodes if n != sleeper))
        fleet.run(1.6)
        assert fleet.established(key)
        servers = fleet.servers_of(key)
        fleet.publish(make_pool(7, version=2, drain=drain))
        wake(fleet, sleeper)
        fleet.run(1.0)
        say_everywhere(fleet, key)
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
    fleet.syn(key, via=sleeper)
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
    fleet.say(key, via=sleeper)
    fleet.set_view()
    fleet.say(key, via=sleeper)
    fleet.run(2.0)
    say_everywhere(fleet, key)
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
    say_everywhere(fleet, key)
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
    fleet.say(key, via=old)
    assert fleet.servers_of(key) and not fleet.was_reset(key)
    fleet.apply_history(list(fleet.nodes))
    fleet.run(5.0)
    fleet.say(key, via=fleet.owner(key))
    assert fleet.was_reset(key)


def test_held_open_of_a_moved_slice_is_left_to_the_new_owner():
    # Guards against an open that is sent on after another member became its owner.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    fleet.servers[fleet.default(key)].mode = "refuse"
    fleet.lose = lambda sender, to, item: sender is not None
    packet = Segment(key, SYN, seq=100).encode()
    fleet.spray(packet, Direction.REQUEST, owner)
    fleet.deliver()
    assert len(fleet.servers_of(key)) == 1, "the retry is held"
    fleet.nodes[owner].state = fleet.nodes[owner].state.LEAVING
    fleet.set_view()
    fleet.lose = lambda *_: False
    fleet.run(4.0)
    assert len(fleet.servers_of(key)) == 1
    fleet.syn(key)
    fleet.run(0.5)
    say_everywhere(fleet, key)
    assert fleet.owner(key) != owner
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


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
    fleet.handed.clear()
    early = [flow(number) for number in range(1, 60)]
    for key in early:
        fleet.syn(key, via=told[0])
        fleet.run(0.3)
    assert all(fleet.zone(n) != zone for key in early for n in fleet.servers_of(key))
    fleet.apply_history([late])
    fleet.run(1.0)
    for number in range(100, 160):
        fleet.syn(flow(number))
        fleet.run(0.5)
    assert any(
        fleet.zone(n) == zone for key in fleet.handed for n in fleet.servers_of(key)
    )
    for key in early:
        say_everywhere(fleet, key)
        assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_joining_member_that_its_peers_do_not_know_yet_asks_again():
    # Guards against a fresh owner without exceptions, because a peer that did not
    # have it in its view answered as if it had nothing to send.
    fleet = Fleet(3)
    for number in range(1, 30):
        fleet.open_exception(flow(number))
        fleet.run(2.0)
    node = fleet.add_node("i4", state=MemberState.JOINING)
    fleet.set_view(at=["i4"])
    fleet.deliver()
    assert not node.router.exceptions_ready
    fleet.set_view()
    fleet.run(0.5)
    assert node.router.exceptions_ready
    assert node.router.exceptions_held


def test_log_that_a_new_owner_starts_again_costs_no_copies():
    # Guards against flows that break after a takeover. A fresh member knows its peers
    # first by report, without incarnation, and starts its empty log again once it
    # hears them; the former holders dropped what they were handing over to it.
    fleet = Fleet(3, pool=make_pool(64))  # eight slices
    keys = [flow(number) for number in range(1, 30)]
    for key in keys:
        fleet.open_exception(key)
        fleet.run(2.0)
    fleet.add_node("i4", state=MemberState.JOINING)
    peers = [fleet.nodes[name] for name in ("i1", "i2", "i3")]
    fleet.lose = lambda sender, to, item: isinstance(item, PeerMessage) and to == "i4"
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
    fleet.lose = lambda sender, to, item: (
        isinstance(item, PeerMessage) and to == "i4" and not item.HasField("heartbeat")
    )
    fleet.run(1.0)
    assert moved
    for key in moved:
        held = [node.router._state.records.get(key, flow_hash(key)) for node in peers]
        assert any(held)


def test_stated_uptime_shows_a_restart():
    # Guards against full load on a server that restarted between two opens.
    fleet = Fleet(1)
    router = fleet.nodes["i1"].router
    router.health.note_uptime("rota", "s1", 1.0)
    router.health.note_uptime("rota", "s2", 31.0)
    router.health.note_uptime("rota", "unknown", 1.0)
    for number in range(40):
        fleet.syn(flow(number))
    assert len(fleet.servers["s1"].known) == 1
    assert len(fleet.servers["s2"].known) >= 4


def test_retry_waits_until_no_replica_names_the_refusing_server():
    # Guards against a replica that missed the retry and sends the flow's packets to
    # the server that refused it.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    for server in fleet.servers.values():
        server.mode = "refuse"
    fleet.syn(key, via=owner)
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

    def lose(sender, to, item):
        # The replica gets the first exception only.
        if to != replica or not hasattr(item, "log") or not item.log.exceptions:
            return False
        lost.append(item)
        return len(lost) > 1

    fleet.lose = lose
    fleet.syn(key, via=owner)
    fleet.run(0.5)
    assert default in fleet.servers_of(key) and len(fleet.servers_of(key)) == 2
    fleet.run(2.0)
    fleet.lose = lambda *_: False
    assert fleet.established(key) and len(fleet.servers_of(key)) == 3


def _refuse_first(server, refusals):
    receive = server.receive

    def wrapped(segment):
        server.mode = next(refusals, "accept")
        receive(segment)

    return wrapped


def test_log_starts_anew_for_a_peer_that_dropped_it():
    # Guards against a log that is stuck, because a peer took its sender out of the
    # view for a moment and has forgotten the start.
    fleet = Fleet(5)
    fleet.open_exception(flow(1))
    fleet.run(1.0)
    owner = fleet.owner(flow(2))
    peer = next(name for name in fleet.nodes if name != owner)
    fleet.set_view(at=[peer], unheard=[owner])
    fleet.run(0.3)
    fleet.set_view(at=[peer])
    fleet.run(3.0)
    assert fleet.nodes[owner].router._state.logs[peer].backlog == 0
    assert fleet.nodes[peer].router.direct_deadline > fleet.clock.monotonic()
    fleet.open_exception(flow(2))
    fleet.run(0.3)
    assert fleet.established(flow(2))
    say_everywhere(fleet, flow(2))
    assert len(set(fleet.answered_by(flow(2)))) == 1


def test_second_owner_by_an_old_configuration_takes_the_change_of_a_copy():
    # Guards against a member that owns a slice by its old set of zones, keeps the
    # first copy of an exception and passes it on after a retry elsewhere.
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
    fleet.syn(key, via=owner)
    fleet.run(2.0)
    assert fleet.established(key) and len(fleet.servers_of(key)) == 3
    say_everywhere(fleet, key)
    assert fleet.answered_by(key) == fleet.answered_by(key)[:1] * 7


def test_retry_on_an_unknown_server_ends_the_copy_of_the_first():
    # Guards against a replica with an older configuration that goes on using the
    # server which refused the flow.
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
        fleet.syn(key, via=owner)
        fleet.run(1.0)
    for key in keys:
        if fleet.established(key):
            fleet.say(key, via=late)
            assert not fleet.reset_after_open(key)
            assert len(set(fleet.answered_by(key))) == 1


def opens_of(fleet, key):
    return [name for name, segment in fleet.handed[key] if segment.is_open]


def test_held_open_is_abandoned_when_its_caller_is_established_elsewhere():
    # Guards against a SYN that reaches a second server, because its owner held it
    # while an owner on the other side of a cut got the flow accepted.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    fleet.cut |= {(owner, name) for name in fleet.nodes if name != owner}
    fleet.open_exception(key, via=owner)
    assert opens_of(fleet, key) == [fleet.default(key)]
    fleet.say(key, via=owner)
    fleet.run(2.0)
    assert opens_of(fleet, key) == [fleet.default(key)]


def test_reset_of_an_unanswered_open_does_not_reach_the_caller():
    # Guards against the reset of a server whose SYN was lost, for a flow that the
    # other side of a cut has placed.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    server = fleet.servers[fleet.default(key)]
    server.mode = "silent"
    fleet.syn(key, via=owner)
    server.mode = "accept"
    fleet.say(key, via=owner)
    assert server.name in fleet.servers_of(key)
    assert not fleet.was_reset(key)


def test_open_is_abandoned_when_the_caller_took_another_syn_ack():
    # Guards against a flow that breaks after a cut heals, because the owner keeps its
    # own open although the caller is established by that of the other side.
    fleet = Fleet(5)
    key = flow(1)
    owner = fleet.owner(key)
    fleet.syn(key, via=owner)
    records = fleet.nodes[owner].router._state.records
    isn = records.get(key, flow_hash(key)).isn
    assert isn
    other = Segment(key, ACK, seq=101, ack=(isn + (1 << 31) + 7) % (1 << 32))
    fleet.spray(other.encode(), Direction.REQUEST, owner)
    fleet.deliver()
    assert not records.get(key, flow_hash(key)).isn
    assert not fleet.was_reset(key)


def test_opens_avoid_servers_of_a_zone_that_is_not_heard():
    # Guards against opens that are lost in a zone that is cut off from here.
    fleet = Fleet(7)
    lost = [name for name in fleet.nodes if fleet.zone(name) == fleet.zone("i1")]
    here = [name for name in fleet.nodes if name not in lost]
    fleet.set_view(at=here, unheard=lost)
    fleet.run(3.5)
    for number in range(40):
        fleet.syn(flow(number), via=here[number % len(here)])
    servers = fleet.history[-1].snapshot.pools["rota"].servers
    beyond = {each.name for each in servers if each.zone == fleet.zone("i1")}
    used = set().union(*(fleet.servers_of(flow(number)) for number in range(40)))
    assert beyond and used and not used & beyond


def test_replicas_stand_in_for_an_owner_that_dies_before_it_hands_over():
    # Guards against a lost exception when ownership moves, as a zone returns, and the
    # former owner dies before the others know.
    fleet = Fleet(7)
    key = flow(1)
    returned = fleet.owner(key)
    fleet.publish(zones_out=[fleet.zone(returned)])
    fleet.run(3.5)
    former = fleet.owner(key)
    assert former != returned
    fleet.open_exception(key, via=former)
    fleet.run(1.0)
    assert fleet.established(key)
    fleet.kill(former)
    fleet.publish(to=[name for name in fleet.nodes if name != former])
    fleet.run(2.0)
    fleet.set_view(unheard=[former])
    fleet.run(5.0)
    say_everywhere(fleet, key)
    assert fleet.owner(key, at=returned) == returned
    answers = fleet.answered_by(key)
    assert answers == answers[:1] * 6 and not fleet.was_reset(key)
