"""The router in a fleet: each test names the failure that it guards against."""

from random import Random

import pytest

from magnoliaslip.core.address import Address
from magnoliaslip.core.group import MemberState
from magnoliaslip.core.links import Direction
from magnoliaslip.packet.flow_key import ACK, FIN, RST, SYN, make_key, reverse_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.settings import PlacementConfig
from tests.placement.fleet import SERVICE, Fleet, bucket, flow, make_pool


def flow_where(predicate, start=1):
    return next(flow(n) for n in range(start, start + 20_000) if predicate(flow(n)))


def lose_logs_to(*names):
    return lambda sender, to, item: (
        to in names and hasattr(item, "log") and item.WhichOneof("body") == "log"
    )


def say_everywhere(fleet, key):
    for name, node in fleet.nodes.items():
        if node.alive and not node.paused:
            fleet.say(key, via=name)


def test_packet_for_unrouted_address_goes_nowhere():
    # Guards against a packet that reaches a service which no route names.
    fleet = Fleet(1)
    key = make_key(Address("10.0.0.1", 1000), Address(SERVICE.host, 444))
    fleet.syn(key)
    assert not fleet.handed
    assert fleet.nodes["i1"].records[-1] == (
        "drop",
        {"flow": key.hex(), "reason": "no_route"},
    )


def test_default_flow_is_forwarded_directly_by_every_member():
    # Guards against certificates that never come to hold.
    fleet = Fleet(7)
    key = flow(1)
    fleet.syn(key)
    for node in fleet.nodes.values():
        assert node.router.direct_deadline > fleet.clock.monotonic()
        server = fleet.server_at[node.router.direct(key)]
        assert {server} == fleet.servers_of(key)
    say_everywhere(fleet, key)
    assert fleet.answered_by(key) == [server] * 7


def test_flow_survives_its_owner_killed_after_the_opening_packet():
    # Guards against an exception that only its dead owner knew.
    fleet = Fleet(7)
    key = flow(1)
    fleet.open_exception(key)
    assert fleet.established(key)
    owner = fleet.owner(key)
    fleet.kill(owner)
    for _ in range(3):
        fleet.run(1.0)
        say_everywhere(fleet, key)
    fleet.set_view(unheard=[owner])
    say_everywhere(fleet, key)
    fleet.run(8.0)
    say_everywhere(fleet, key)
    assert len(set(fleet.answered_by(key))) == 1
    assert not fleet.was_reset(key)


def test_new_owner_without_the_exception_finds_the_replica_that_has_it():
    # Guards against a takeover by a member that the exception did not reach, since
    # the opening packet waits for one replica only.
    fleet = Fleet(7)
    key = flow(1)
    owner = fleet.owner(key)
    router = fleet.nodes[owner].router
    service = router._state.services[0]
    successor, *others = service.slices.holders(bucket(key)).replicas
    assert others
    fleet.lose = lose_logs_to(successor)
    fleet.open_exception(key)
    fleet.run(2.0)
    assert fleet.established(key)
    fleet.kill(owner)
    fleet.lose = lambda *_: False
    fleet.set_view(unheard=[owner])
    assert fleet.owner(key, at=successor) == successor
    say_everywhere(fleet, key)
    fleet.run(1.0)
    say_everywhere(fleet, key)
    assert len(set(fleet.answered_by(key))) == 1
    assert not fleet.was_reset(key)


def test_flow_survives_a_double_takeover():
    # Guards against exceptions that are not replicated again after a takeover.
    fleet = Fleet(7)
    keys = [flow(number) for number in range(1, 13)]
    for key in keys:
        fleet.open_exception(key)
        fleet.run(2.0)
    first = fleet.owner(keys[0])
    fleet.kill(first)
    fleet.set_view(unheard=[first])
    fleet.run(5.0)
    second = next(fleet.owner(keys[0], at=n) for n in fleet.nodes if n != first)
    fleet.kill(second)
    fleet.set_view(unheard=[first, second])
    fleet.run(3.5)
    for key in keys:
        say_everywhere(fleet, key)
        assert not fleet.was_reset(key)
        assert len(set(fleet.answered_by(key))) == 1


def test_opening_packet_waits_for_every_certificate():
    # Guards against a member that forwards an exception's packets to the default
    # because the news of the dirty bucket has not reached it.
    fleet = Fleet(4)
    key = flow(1)
    owner = fleet.owner(key)
    stale = next(name for name in fleet.nodes if name != owner)
    fleet.lose = lambda sender, to, item: stale in (sender, to) and hasattr(item, "log")
    fleet.open_exception(key, via=owner)
    fleet.run(0.4)
    assert len(fleet.servers_of(key)) == 1, "sent on before the lease ended"
    assert fleet.nodes[stale].router.direct(key) is not None
    fleet.run(1.5)
    assert fleet.nodes[stale].router.direct(key) is None
    assert fleet.established(key)


def test_opening_packet_waits_at_most_250_ms_for_a_replica():
    # Guards against opens that hang while every replica is unreachable.
    fleet = Fleet(4, policy="owner")
    key = flow(1)
    fleet.lose = lose_logs_to(*fleet.nodes)
    fleet.open_exception(key)
    fleet.run(0.2)
    assert not fleet.established(key)
    fleet.run(0.2)
    assert fleet.established(key)


def test_certificates_end_during_a_pause():
    # Guards against a process that wakes late and forwards with its old view.
    fleet = Fleet(4)
    key = flow(1)
    owner = fleet.owner(key)
    sleeper = next(name for name in fleet.nodes if name != owner)
    router = fleet.nodes[sleeper].router
    assert router.direct(key) is not None
    fleet.nodes[sleeper].paused = True
    fleet.open_exception(key, via=owner)
    fleet.run(2.0)
    assert fleet.established(key)
    assert router.direct_deadline < fleet.clock.monotonic()
    assert router.direct(key) is None
    fleet.say(key, via=owner)
    fleet.nodes[sleeper].paused = False
    epoch = router.epoch
    fleet.say(key, via=sleeper)
    router.on_tick()
    assert router.epoch > epoch
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_suspect_view_holds_packets_for_a_bounded_time():
    # Guards against packets that are sent to a zone which went out during a pause,
    # and against an instance that never serves again.
    fleet = Fleet(1)
    node = fleet.nodes["i1"]
    key = flow(1)
    node.router.mark_view_suspect()
    assert node.router.suspect and node.router.direct(key) is None
    fleet.syn(flow(5001))
    for number in range(1, 5001):
        fleet.say(flow(number))
    assert not fleet.handed
    fleet.run(0.4)
    assert not fleet.handed
    fleet.run(0.2)
    assert not node.router.suspect
    assert len(fleet.handed) == 4095
    assert not fleet.servers_of(flow(5001)), "an old SYN was placed"
    node.router.mark_view_suspect()
    fleet.say(key)
    handed = len(fleet.handed[key])
    node.router.confirm_view()
    fleet.deliver()
    assert len(fleet.handed[key]) == handed + 1


@pytest.mark.parametrize("stale", ["owner", "other"])
@pytest.mark.parametrize("change", ["pool", "zone"])
def test_flows_hold_while_one_member_has_a_stale_configuration(stale, change):
    # Guards against two members that assume different defaults for one flow.
    fleet = Fleet(7)
    owner = fleet.owner(flow(1))
    others = [name for name in fleet.nodes if name != owner]
    late = owner if stale == "owner" else others[0]
    out = fleet.zone(late) if late != owner else fleet.zone(others[1])
    if out == fleet.zone(owner):
        out = next(fleet.zone(n) for n in others if fleet.zone(n) != fleet.zone(owner))
    old = [flow(number) for number in range(1, 20)]
    for key in old:
        fleet.syn(key)
        fleet.run(0.3)
    told = [name for name in fleet.nodes if name != late]
    if change == "pool":
        fleet.publish(make_pool(8, version=2), to=told)
    else:
        fleet.publish(zones_out=[out], to=told)
    new = [flow(number) for number in range(100, 140)]
    for key in new:
        fleet.syn(key)
        fleet.run(0.3)
    for _ in range(3):
        for key in old + new:
            say_everywhere(fleet, key)
        fleet.run(1.0)
    fleet.apply_history([late])
    fleet.run(2.0)
    for key in old + new:
        say_everywhere(fleet, key)
        names = set(fleet.answered_by(key))
        servers = fleet.servers_of(key)
        given_up = change == "zone" and any(fleet.zone(name) == out for name in servers)
        assert given_up or len(servers) == len(names) == 1, (servers, names)


def test_refusal_is_sent_only_by_a_settled_owner():
    # Guards against a false "not run": another owner may have placed the flow.
    fleet = Fleet(4, pool=make_pool(7, drain=[f"s{n}" for n in range(1, 8)]))
    key = flow(1)
    owner = fleet.owner(key)
    missing = next(name for name in fleet.nodes if name != owner)
    fleet.set_view(unheard=[missing])
    fleet.run(5.0)
    fleet.syn(key, via=owner)
    assert not fleet.was_reset(key), "refused with an incomplete view"
    fleet.set_view()
    fleet.run(5.0)
    fleet.syn(key, via=owner)
    assert fleet.was_reset(key)
    fleet.kill(owner)
    del fleet.nodes[owner]
    fleet.set_view()
    fleet.syn(flow(2))
    assert not fleet.was_reset(flow(2)), "refused just after a takeover"
    fleet.run(5.0)
    fleet.syn(flow(2))
    assert fleet.was_reset(flow(2))


def test_refused_open_is_placed_elsewhere_but_never_after_payload():
    # Guards against a request that runs twice.
    fleet = Fleet(4)
    key = flow(1)
    fleet.open_exception(key)
    fleet.run(0.5)
    assert len(fleet.servers_of(key)) == 2 and not fleet.was_reset(key)
    fleet.say(key)
    server = fleet.servers[fleet.answered_by(key)[0]]
    server.known.clear()
    fleet.say(key)
    assert fleet.was_reset(key)
    assert len(fleet.servers_of(key)) == 2


def test_retransmitted_open_keeps_its_server_and_marks_a_silent_one():
    # Guards against one flow at two servers, and against a silent server that goes
    # on receiving new flows.
    fleet = Fleet(1)
    key = flow(1)
    name = fleet.default(key)
    fleet.servers[name].mode = "silent"
    for _ in range(3):
        fleet.run(1.0)
        fleet.syn(key)
    assert fleet.servers_of(key) == {name}
    other = flow_where(lambda each: fleet.default(each) == name, start=2)
    fleet.syn(other)
    assert name not in fleet.servers_of(other)


def test_server_that_answers_late_stays_warm():
    # Guards against a busy machine on which every server that answers the third
    # copy of a SYN falls into a slow start, until all opens are refused.
    fleet = Fleet(1)
    key = flow(1)
    server = fleet.servers[fleet.default(key)]
    server.mode = "silent"
    for _ in range(3):
        fleet.run(0.2)
        fleet.syn(key)
    server.mode = "accept"
    fleet.syn(key)
    assert fleet.established(key)
    servers = fleet.nodes["i1"].router.status().servers
    assert all(each.state != "cold" for each in servers)


def test_second_syn_ack_with_another_number_is_dropped():
    # Guards against a caller that establishes with a server which is not the one
    # of its record.
    fleet = Fleet(4)
    key = flow(1)
    fleet.syn(key)
    late = Segment(reverse_key(key), SYN | ACK, seq=99, ack=101)
    fleet.spray(late.encode(), Direction.ANSWER)
    fleet.deliver()
    assert [s.seq for s in fleet.answers[key]] == [
        fleet.servers[fleet.default(key)].isn
    ]


def test_late_refusal_does_not_end_an_established_flow():
    # Guards against an exception that is forgotten because the refusal of an
    # earlier SYN came late.
    fleet = Fleet(4)
    key = flow(1)
    fleet.open_exception(key)
    fleet.run(0.5)
    refusal = Segment(key, SYN, seq=100).reset_reply()
    fleet.spray(refusal.encode(), Direction.ANSWER)
    fleet.deliver()
    fleet.run(12.0)
    say_everywhere(fleet, key)
    assert not fleet.was_reset(key) and len(set(fleet.answered_by(key))) == 1


def test_reset_of_an_unknown_flow_passes_only_with_a_complete_view():
    # Guards against a connection that is cut although another instance knows its
    # server.
    fleet = Fleet(4)
    key = flow(1)
    owner = fleet.owner(key)
    missing = next(name for name in fleet.nodes if name != owner)
    fleet.set_view(unheard=[missing])
    fleet.run(5.0)
    fleet.say(key, via=owner)
    assert fleet.servers_of(key) and not fleet.was_reset(key)
    fleet.set_view()
    fleet.run(5.0)
    fleet.say(key, via=owner)
    assert fleet.was_reset(key)


def test_zone_out_ends_its_flows_and_makes_no_exceptions():
    # Guards against packets to a zone that is out.
    fleet = Fleet(7)
    key = flow_where(lambda each: fleet.default(each) == "s4")
    kept = flow_where(lambda each: fleet.default(each) == "s2")
    fleet.syn(key)
    fleet.syn(kept)
    fleet.publish(zones_out=["a"])
    fleet.handed.clear()
    fleet.run(4.0)
    for each in (key, kept):
        say_everywhere(fleet, each)
    assert fleet.was_reset(key) and not fleet.was_reset(kept)
    fresh = [flow(number) for number in range(300, 360)]
    for each in fresh:
        fleet.syn(each)
        fleet.run(0.5)
    handed = {name for each in fresh for name in fleet.servers_of(each)}
    assert handed == {"s1", "s2", "s3", "s5", "s6", "s7"}
    assert "s4" not in fleet.servers_of(key)
    assert not any(n.router.exceptions_held for n in fleet.nodes.values())
    assert fleet.zone(fleet.owner(key)) != "a"


@pytest.mark.parametrize("nodes", [1, 7])
def test_cold_server_stays_within_the_budget_of_the_fleet(nodes):
    # Guards against seven owners that each use the whole budget of a cold server.
    pool = make_pool(64)
    fleet = Fleet(nodes, pool=pool)
    fleet.publish(make_pool(65, version=2))
    for second in range(20):
        before = len(fleet.servers["s65"].known)
        for number in range(300):
            fleet.syn(flow(second * 300 + number))
        fleet.run(1.0)
        opened = len(fleet.servers["s65"].known) - before
        # Four slots on a ramp of 30 s; an open counts for 5 s.
        assert opened <= max(1, 4 * (second + 1) / 30) + 0.5
    assert fleet.servers["s65"].known


def test_full_server_is_relieved_by_the_least_loaded_one():
    # Guards against more requests than slots while other servers are idle.
    fleet = Fleet(3)
    for number in range(28):
        fleet.syn(flow(number))
        fleet.deliver()
    assert {len(server.known) for server in fleet.servers.values()} == {4}


def test_more_than_half_bad_spreads_over_all():
    # Guards against all load on the last servers that look good.
    fleet = Fleet(1)
    for name in ("s1", "s2", "s3", "s4"):
        fleet.servers[name].mode = "refuse"
    for number in range(40):
        fleet.syn(flow(number))
    for server in fleet.servers.values():
        server.mode = "accept"
    fleet.run(0.3)
    before = {name: len(fleet.servers[name].known) for name in fleet.servers}
    for number in range(100, 160):
        fleet.syn(flow(number))
    assert any(len(fleet.servers[n].known) > before[n] for n in ("s1", "s2", "s3"))


def test_exception_is_removed_everywhere_when_its_flow_ends():
    # Guards against copies that outlive their flow and catch a later one with the
    # same key, and against buckets that stay dirty for ever.
    fleet = Fleet(4)
    key = flow(1)
    fleet.open_exception(key)
    fleet.run(1.0)
    fleet.say(key, flags=FIN | ACK, payload=b"")
    fin = Segment(reverse_key(key), FIN | ACK)
    fleet.spray(fin.encode(), Direction.ANSWER)
    fleet.run(25.0)
    for node in fleet.nodes.values():
        assert node.router.exceptions_held == node.router.flows_held == 0
        assert node.router.direct(key) is not None
    fleet.syn(key)
    say_everywhere(fleet, key)
    assert fleet.answered_by(key) == [fleet.default(key)] * 4


def test_leaving_instance_hands_over_before_it_may_stop():
    # Guards against flows that break at a planned stop.
    fleet = Fleet(7)
    keys = [flow(number) for number in range(1, 9)]
    for key in keys:
        fleet.open_exception(key)
        fleet.run(2.0)
    young = flow(50)
    fleet.syn(young)
    leaver = fleet.owner(young)
    router = fleet.nodes[leaver].router
    router.begin_leaving()
    fleet.syn(flow(60), via=leaver)
    assert fleet.established(flow(60)), "dropped between two views"
    fleet.nodes[leaver].state = MemberState.LEAVING
    fleet.set_view()
    assert not router.may_stop
    heir = fleet.owner(young)
    assert heir != leaver
    fleet.run(4.0)
    assert router.may_stop
    state = fleet.nodes[heir].router._state
    assert state.records.get(young, flow_hash(young)) is not None
    del fleet.nodes[leaver]
    fleet.set_view()
    fleet.run(5.0)
    for key in [*keys, young, flow(60)]:
        say_everywhere(fleet, key)
        assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_joining_instance_asks_for_exceptions_and_owns_nothing_before():
    # Guards against a fresh owner that sends an exception to its default.
    fleet = Fleet(3)
    keys = [flow(number) for number in range(1, 30)]
    for key in keys:
        fleet.open_exception(key)
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
        say_everywhere(fleet, key)
    fleet.run(3.0)
    for key in keys:
        say_everywhere(fleet, key)
        assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)
    alone = fleet.add_node("i5", state=MemberState.JOINING)
    fleet.lose = lambda sender, to, item: to == "i5"
    fleet.set_view()
    fleet.run(2.8)
    assert not alone.router.exceptions_ready
    fleet.run(0.4)
    assert alone.router.exceptions_ready


def test_restarted_peer_gets_its_log_from_the_start():
    # Guards against certificates for a log whose beginning a process has lost.
    fleet = Fleet(4)
    key = flow(1)
    fleet.open_exception(key)
    fleet.run(1.0)
    owner = fleet.owner(key)
    name = next(name for name in fleet.nodes if name != owner)
    del fleet.nodes[name]
    node = fleet.add_node(name, state=MemberState.JOINING)
    node.incarnation = 2
    fleet.set_view()
    assert node.router.direct(key) is None
    fleet.run(2.0)
    clean = flow_where(lambda each: bucket(each) != bucket(key), start=2)
    assert node.router.direct(clean) is not None
    fleet.say(key, via=name)
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_flow_on_a_former_default_outlives_the_history_window():
    # Guards against flows that break when their epoch leaves the window, and
    # against exceptions that stay after every member uses the new base.
    cfg = PlacementConfig(history_window=60.0, direct_grace=10.0)
    fleet = Fleet(4, cfg=cfg)
    old = [flow(number) for number in range(1, 60)]
    for key in old:
        fleet.syn(key)
        fleet.run(0.3)
    fleet.publish(make_pool(14, version=2))
    new = [flow(number) for number in range(100, 130)]
    for _ in range(35):
        fleet.run(1.0)
    for key in new:
        fleet.syn(key)
        fleet.run(0.3)
    peak = sum(node.router.exceptions_held for node in fleet.nodes.values())
    assert peak
    for _ in range(60):
        fleet.run(1.0)
        for key in old[:5] + new[:5]:
            fleet.say(key)
    fleet.run(30.0)
    for key in old + new:
        say_everywhere(fleet, key)
        assert len(fleet.servers_of(key)) == 1 and not fleet.was_reset(key)
    for key in new:
        if fleet.servers_of(key) == {fleet.default(key)}:
            assert fleet.nodes["i1"].router.explain(key).reason != "exception"


@pytest.mark.parametrize("policy", ["exceptions", "owner", "replicated"])
@pytest.mark.parametrize("seed", range(6))
def test_flow_is_handed_to_one_server_under_loss_and_takeovers(policy, seed):
    # Guards against a flow at two servers, whatever is lost while owners change. A
    # SYN whose answer died with its owner may be placed again, but the first server
    # gets nothing else and its SYN-ACK does not reach the caller.
    rng = Random(seed)
    fleet = Fleet(5, policy=policy)
    fleet.lose = lambda sender, to, item: rng.random() < 0.1 and to not in fleet.servers
    keys = [flow(number) for number in range(1, 60)]
    refusing = fleet.servers["s3"]
    killed = []
    for number, key in enumerate(keys):
        refusing.mode = "refuse" if number % 3 == 0 else "accept"
        fleet.syn(key)
        fleet.run(0.3)
        for each in rng.sample(keys[: number + 1], min(number + 1, 6)):
            if fleet.established(each):
                fleet.say(each)
            else:
                fleet.syn(each)
        if number in (20, 40):
            killed.append(fleet.owner(key, at=rng.choice(_alive(fleet))))
            fleet.kill(killed[-1])
        if number in (26, 46):
            fleet.set_view(unheard=killed)
    fleet.lose = lambda *_: False
    fleet.run(5.0)
    for key in keys:
        if fleet.established(key):
            say_everywhere(fleet, key)
            assert not fleet.reset_after_open(key)
            payload = {name for name, s in fleet.handed[key] if s.payload}
            isns = {s.seq for s in fleet.answers[key] if s.flags & SYN}
            assert isns == {fleet.servers[name].isn for name in payload}
            assert len(payload) == 1


def _alive(fleet):
    return [name for name, node in fleet.nodes.items() if node.alive]


def test_explanation_names_owner_and_reason():
    # Guards against an operator's answer that differs from what happens.
    fleet = Fleet(4)
    key = flow(1)
    fleet.open_exception(key)
    fleet.run(0.5)
    explanation = fleet.nodes["i1"].router.explain(key)
    assert explanation.reason == "exception"
    assert explanation.server in fleet.servers_of(key)
    assert explanation.bucket == bucket(key)


def test_malformed_packets_are_counted():
    # Guards against an exception that ends the process.
    fleet = Fleet(1)
    node = fleet.nodes["i1"]
    for packet in (b"", b"E" * 10, b"\x60" * 60, bytes(80)):
        for direction in Direction:
            node.router.handle_packet(packet, direction=direction)
    assert node.router._state.counters["drop_malformed"] == 8


def test_caller_reset_ends_the_record():
    # Guards against work that is counted for flows which are gone.
    fleet = Fleet(1)
    key = flow(1)
    fleet.syn(key)
    fleet.say(key, flags=RST, payload=b"")
    fleet.run(12.0)
    assert fleet.nodes["i1"].router.flows_held == 0
