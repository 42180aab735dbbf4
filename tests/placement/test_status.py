"""The status of a router: load, limit and state of each server."""

from random import Random
from unittest.mock import Mock

from magnoliaslip.config.snapshot import (
    BackendServer,
    HistoryEntry,
    Pool,
    Route,
    Snapshot,
)
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.group import GroupView, Member
from magnoliaslip.core.links import Direction
from magnoliaslip.core.recorder import NullRecorder
from magnoliaslip.packet.flow_key import SYN, make_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.placement.router import FlowRouter

SERVICE = Address("198.51.100.10", 443)


def snapshot(version, zones_out):
    servers = tuple(
        BackendServer(f"ro-{zone}", Address("10.0.0.1", n), zone, slots=4)
        for n, zone in enumerate("ab", start=1)
    )
    pools = {"rota": Pool("rota", 1, servers)}
    routes = {SERVICE: Route(SERVICE, "rota")}
    return Snapshot(version, routes, pools, frozenset(zones_out))


def test_status_shows_load_limit_and_state_of_each_server():
    # Guards against a status that hides the load or slow start of a server.
    clock = ManualClock(start=100.0)
    router = FlowRouter(
        "i1",
        clock=clock,
        packets=Mock(),
        peers=Mock(),
        recorder=NullRecorder(),
        rng=Random(1),
    )
    router.apply_view(GroupView(1, {"i1": Member("i1", "a", incarnation=1)}))
    history = [HistoryEntry(snapshot(1, "b"), 100.0)]
    router.apply_history(history)
    for port in range(3):
        packet = Segment(make_key(Address("192.0.2.7", 40000 + port), SERVICE), SYN)
        router.handle_packet(packet.encode(), direction=Direction.REQUEST)
    assert [server.state for server in router.status().servers] == ["warm", "out"]
    clock.advance(0.5)
    router.apply_history([*history, HistoryEntry(snapshot(2, ""), 100.5)])
    state = router.status()
    assert state.flows == 3
    assert [(s.server, s.work, s.limit, s.state) for s in state.servers] == [
        ("ro-a", 3, 4, "warm"),
        ("ro-b", 0, 1, "cold"),
    ]
