"""Copies of exceptions while a slice moves to another owner."""

from magnoliaslip.core.group import MemberState
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.placement.hashing import flow_hash
from tests.placement.fleet import Fleet, flow, make_pool


def test_log_that_starts_again_costs_no_exceptions_under_way_to_its_sender():
    # Guards against flows that are reset after a restart. The members that handed
    # flows over to the fresh owner dropped their copies when its log started again,
    # before it had got them.
    fleet = Fleet(3, pool=make_pool(64))  # eight slices
    fresh = fleet.add_node("i4", state=MemberState.JOINING)
    for number in range(1, 30):
        fleet.open_exception(flow(number))
        fleet.run(2.0)
    fleet.set_view()
    fleet.run(1.0)
    assert fresh.router.exceptions_held
    keys = [flow(number) for number in range(30, 60)]
    for key in keys:
        fleet.open_exception(key)
        fleet.run(2.0)
    peers = [fleet.nodes[name] for name in ("i1", "i2", "i3")]
    fresh.state = MemberState.SERVING
    fleet.set_view(at=["i1", "i2", "i3"])
    moved = [key for key in keys if fleet.owner(key) == "i4"]
    fleet.lose = lambda sender, to, item: isinstance(item, PeerMessage) and to == "i4"
    exchange = fresh.router._exchange
    for log in fresh.router._state.logs.values():
        exchange._restart(log, log.incarnation)
        log.flush(fleet.clock.monotonic())
    fleet.deliver()
    assert moved
    for key in moved:
        held = [node.router._state.records.get(key, flow_hash(key)) for node in peers]
        assert any(held)
    fleet.lose = lambda sender, to, item: False
    fleet.set_view()
    fleet.run(1.0)
    for key in moved:
        fleet.say(key, via="i4")
        assert not fleet.was_reset(key)
