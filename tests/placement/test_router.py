"""The router in a fleet of instances with in-memory links."""

from random import Random

import pytest

from magnoliaslip.core.address import Address
from magnoliaslip.core.links import Direction
from magnoliaslip.packet.flow_key import ACK, FIN, RST, SYN, make_key, reverse_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.placement.settings import PlacementConfig
from tests.placement.fleet import (
    SERVICE,
    Fleet,
    bucket,
    find_flow,
    flow,
    make_pool,
    send_via_all,
)


def test_packet_for_unrouted_address_is_dropped():
    # Guards against a packet that reaches a service although no route matches it.
    fleet = Fleet(1)
    key = make_key(Address("10.0.0.1", 1000), Address(SERVICE.host, 444))
    fleet.send_syn(key)
    assert not fleet.delivered
    assert fleet.nodes["i1"].records[-1] == (
        "drop",
        {"flow": key.hex(), "reason": "no_route"},
    )


def test_default_flow_is_forwarded_directly_by_every_member():
    # Guards against certificates that never become valid.
    fleet = Fleet(7)
    key = flow(1)
    fleet.send_syn(key)
    for node in fleet.nodes.values():
        assert node.router.direct_deadline > fleet.clock.monotonic()
        server = fleet.server_at[node.router.direct(key)]
        assert {server} == fleet.servers_of(key)
    send_via_all(fleet, key)
    assert fleet.answered_by(key) == [server] * 7


def test_certificates_expire_during_a_pause():
    # Guards against a process that resumes after a pause and forwards by its old view.
    fleet = Fleet(4)
    key = flow(1)
    owner = fleet.owner(key)
    paused = next(name for name in fleet.nodes if name != owner)
    router = fleet.nodes[paused].router
    assert router.direct(key) is not None
    fleet.nodes[paused].paused = True
    fleet.place_exception(key, via=owner)
    fleet.run(2.0)
    assert fleet.established(key)
    assert router.direct_deadline < fleet.clock.monotonic()
    assert router.direct(key) is None
    fleet.send_segment(key, via=owner)
    fleet.nodes[paused].paused = False
    direct_generation = router.direct_generation
    fleet.send_segment(key, via=paused)
    router.on_tick()
    assert router.direct_generation > direct_generation
    assert len(set(fleet.answered_by(key))) == 1 and not fleet.was_reset(key)


def test_suspect_view_holds_packets_for_a_bounded_time():
    # Guards against packets that are sent to a zone that was taken out during a pause,
    # and against an instance that never serves again.
    fleet = Fleet(1)
    node = fleet.nodes["i1"]
    key = flow(1)
    node.router.mark_view_suspect()
    assert node.router.suspect and node.router.direct(key) is None
    fleet.send_syn(flow(5001))
    for number in range(1, 5001):
        fleet.send_segment(flow(number))
    assert not fleet.delivered
    fleet.run(0.4)
    assert not fleet.delivered
    fleet.run(0.2)
    assert not node.router.suspect
    assert len(fleet.delivered) == 4095
    assert not fleet.servers_of(flow(5001)), "a stale SYN was placed"
    node.router.mark_view_suspect()
    fleet.send_segment(key)
    delivered = len(fleet.delivered[key])
    node.router.confirm_view()
    fleet.deliver()
    assert len(fleet.delivered[key]) == delivered + 1


@pytest.mark.parametrize("stale", ["owner", "other"])
@pytest.mark.parametrize("change", ["pool", "zone"])
def test_flows_keep_their_server_while_one_member_has_an_outdated_configuration(
    stale, change
):
    # Guards against two members that use different defaults for one flow.
    fleet = Fleet(7)
    owner = fleet.owner(flow(1))
    others = [name for name in fleet.nodes if name != owner]
    late = owner if stale == "owner" else others[0]
    out = fleet.zone(late) if late != owner else fleet.zone(others[1])
    if out == fleet.zone(owner):
        out = next(fleet.zone(n) for n in others if fleet.zone(n) != fleet.zone(owner))
    old = [flow(number) for number in range(1, 20)]
    for key in old:
        fleet.send_syn(key)
        fleet.run(0.3)
    updated = [name for name in fleet.nodes if name != late]
    if change == "pool":
        fleet.publish(make_pool(8, version=2), to=updated)
    else:
        fleet.publish(zones_out=[out], to=updated)
    new = [flow(number) for number in range(100, 140)]
    for key in new:
        fleet.send_syn(key)
        fleet.run(0.3)
    for _ in range(3):
        for key in old + new:
            send_via_all(fleet, key)
        fleet.run(1.0)
    fleet.apply_history([late])
    fleet.run(2.0)
    for key in old + new:
        send_via_all(fleet, key)
        names = set(fleet.answered_by(key))
        servers = fleet.servers_of(key)
        zone_was_out = change == "zone" and any(
            fleet.zone(name) == out for name in servers
        )
        assert zone_was_out or len(servers) == len(names) == 1, (servers, names)


def test_second_syn_ack_with_another_number_is_dropped():
    # Guards against a caller that connects to another server than the one of the flow
    # record.
    fleet = Fleet(4)
    key = flow(1)
    fleet.send_syn(key)
    late = Segment(reverse_key(key), SYN | ACK, seq=99, ack=101)
    fleet.send_packet(late.encode(), Direction.ANSWER)
    fleet.deliver()
    assert [s.seq for s in fleet.answers[key]] == [
        fleet.servers[fleet.default(key)].isn
    ]


def test_late_refusal_does_not_end_an_established_flow():
    # Guards against an exception that is removed because the refusal of an earlier SYN
    # arrived late.
    fleet = Fleet(4)
    key = flow(1)
    fleet.place_exception(key)
    fleet.run(0.5)
    refusal = Segment(key, SYN, seq=100).reset_reply()
    fleet.send_packet(refusal.encode(), Direction.ANSWER)
    fleet.deliver()
    fleet.run(12.0)
    send_via_all(fleet, key)
    assert not fleet.was_reset(key) and len(set(fleet.answered_by(key))) == 1


def test_reset_of_an_unknown_flow_passes_only_with_a_complete_view():
    # Guards against the reset of a connection whose server another instance has on
    # record.
    fleet = Fleet(4)
    key = flow(1)
    owner = fleet.owner(key)
    missing = next(name for name in fleet.nodes if name != owner)
    fleet.set_view(unreachable=[missing])
    fleet.run(5.0)
    fleet.send_segment(key, via=owner)
    assert fleet.servers_of(key) and not fleet.was_reset(key)
    fleet.set_view()
    fleet.run(5.0)
    fleet.send_segment(key, via=owner)
    assert fleet.was_reset(key)


def test_zone_out_closes_its_flows_and_makes_no_exceptions():
    # Guards against packets to a zone that is taken out, and against an exception for
    # each flow that is placed meanwhile.
    fleet = Fleet(7)
    key = find_flow(lambda each: fleet.default(each) == "s4")
    kept = find_flow(lambda each: fleet.default(each) == "s2")
    fleet.send_syn(key)
    fleet.send_syn(kept)
    fleet.publish(zones_out=["a"])
    fleet.delivered.clear()
    fleet.run(4.0)
    for each in (key, kept):
        send_via_all(fleet, each)
    assert fleet.was_reset(key) and not fleet.was_reset(kept)
    fresh = [flow(number) for number in range(300, 360)]
    for each in fresh:
        fleet.send_syn(each)
        fleet.run(0.5)
    delivered = {name for each in fresh for name in fleet.servers_of(each)}
    assert delivered == {"s1", "s2", "s3", "s5", "s6", "s7"}
    assert "s4" not in fleet.servers_of(key)
    assert not any(n.router.exceptions_held for n in fleet.nodes.values())
    assert fleet.zone(fleet.owner(key)) != "a"


def test_exception_is_removed_everywhere_when_its_flow_closes():
    # Guards against replicas that outlive their flow and apply to a later one with the
    # same key, and against buckets that stay dirty forever.
    fleet = Fleet(4)
    key = flow(1)
    fleet.place_exception(key)
    fleet.run(1.0)
    fleet.send_segment(key, flags=FIN | ACK, payload=b"")
    fin = Segment(reverse_key(key), FIN | ACK)
    fleet.send_packet(fin.encode(), Direction.ANSWER)
    fleet.run(25.0)
    for node in fleet.nodes.values():
        assert node.router.exceptions_held == node.router.flow_records_held == 0
        assert node.router.direct(key) is not None
    fleet.send_syn(key)
    send_via_all(fleet, key)
    assert fleet.answered_by(key) == [fleet.default(key)] * 4


def test_flow_on_a_former_default_outlives_the_history_window():
    # Guards against flows that break when their epoch leaves the window, and against
    # exceptions that remain after every member uses the new base.
    cfg = PlacementConfig(history_window_s=60.0, direct_grace_s=10.0)
    fleet = Fleet(4, cfg=cfg)
    old = [flow(number) for number in range(1, 60)]
    for key in old:
        fleet.send_syn(key)
        fleet.run(0.3)
    fleet.publish(make_pool(14, version=2))
    new = [flow(number) for number in range(100, 130)]
    for _ in range(35):
        fleet.run(1.0)
    for key in new:
        fleet.send_syn(key)
        fleet.run(0.3)
    peak = sum(node.router.exceptions_held for node in fleet.nodes.values())
    assert peak
    for _ in range(60):
        fleet.run(1.0)
        for key in old[:5] + new[:5]:
            fleet.send_segment(key)
    fleet.run(30.0)
    for key in old + new:
        send_via_all(fleet, key)
        assert len(fleet.servers_of(key)) == 1 and not fleet.was_reset(key)
    for key in new:
        if fleet.servers_of(key) == {fleet.default(key)}:
            assert fleet.nodes["i1"].router.explain(key).reason != "exception"


@pytest.mark.parametrize("policy", ["exceptions", "owner", "replicated"])
@pytest.mark.parametrize("seed", range(6))
def test_flow_is_handed_to_one_server_under_loss_and_takeovers(policy, seed):
    # Guards against a flow on two servers, whatever packets are lost while owners
    # change. A SYN whose answer was lost with its owner may be placed again, but the
    # first server receives nothing else and its SYN-ACK does not reach the caller.
    rng = Random(seed)
    fleet = Fleet(5, policy=policy)
    fleet.drop_if = lambda sender, to, item: (
        rng.random() < 0.1 and to not in fleet.servers
    )
    keys = [flow(number) for number in range(1, 60)]
    refusing = fleet.servers["s3"]
    killed = []
    for number, key in enumerate(keys):
        refusing.mode = "refuse" if number % 3 == 0 else "accept"
        fleet.send_syn(key)
        fleet.run(0.3)
        for each in rng.sample(keys[: number + 1], min(number + 1, 6)):
            if fleet.established(each):
                fleet.send_segment(each)
            else:
                fleet.send_syn(each)
        if number in (20, 40):
            killed.append(fleet.owner(key, at=rng.choice(_alive(fleet))))
            fleet.kill(killed[-1])
        if number in (26, 46):
            fleet.set_view(unreachable=killed)
    fleet.drop_if = lambda *_: False
    fleet.run(5.0)
    for key in keys:
        if fleet.established(key):
            send_via_all(fleet, key)
            assert not fleet.reset_after_syn_ack(key)
            payload = {name for name, s in fleet.delivered[key] if s.payload}
            isns = {s.seq for s in fleet.answers[key] if s.flags & SYN}
            assert isns == {fleet.servers[name].isn for name in payload}
            assert len(payload) == 1


def _alive(fleet):
    return [name for name, node in fleet.nodes.items() if node.running]


def test_explanation_names_server_and_reason():
    # Guards against an explanation that differs from the actual forwarding.
    fleet = Fleet(4)
    key = flow(1)
    fleet.place_exception(key)
    fleet.run(0.5)
    explanation = fleet.nodes["i1"].router.explain(key)
    assert explanation.reason == "exception"
    assert explanation.server in fleet.servers_of(key)
    assert explanation.bucket == bucket(key)


def test_malformed_packets_are_counted():
    # Guards against a Python exception that terminates the process.
    fleet = Fleet(1)
    node = fleet.nodes["i1"]
    for packet in (b"", b"E" * 10, b"\x60" * 60, bytes(80)):
        for direction in Direction:
            node.router.handle_packet(packet, direction=direction)
    assert node.router._state.counters["drop_malformed"] == 8


def test_caller_reset_removes_the_record():
    # Guards against records and load of flows that the caller has reset.
    fleet = Fleet(1)
    key = flow(1)
    fleet.send_syn(key)
    fleet.send_segment(key, flags=RST, payload=b"")
    fleet.run(12.0)
    assert fleet.nodes["i1"].router.flow_records_held == 0
