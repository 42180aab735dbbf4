"""Measures the memory per flow of one router with tracemalloc."""

from gc import collect
from random import Random
from tracemalloc import get_traced_memory, start, stop

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
from magnoliaslip.core.links import Direction, PacketLink, PeerLink
from magnoliaslip.core.recorder import NullRecorder
from magnoliaslip.packet.flow_key import ACK, SYN, make_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.placement.router import FlowRouter

FLOW_COUNT = 50_000
FLOW_GAP_S = 0.001
TICK_S = 0.1
EXPIRY_WAIT_S = 30.0  # longer than half-open flows are kept
SERVICE = Address("198.51.100.10", 443)
OWN_ID = "i1"


class _NullPacketLink(PacketLink):
    __slots__ = ()

    def send_to_server(self, server: Address, packet: bytes) -> None:
        """Discard the packet."""

    def send_to_caller(self, packet: bytes) -> None:
        """Discard the packet."""

    def relay(
        self, instance_id: str, packet: bytes, *, direction: Direction, hops: int
    ) -> None:
        """Discard the packet."""


class _NullPeerLink(PeerLink):
    __slots__ = ()

    def send(self, instance_id: str, msg: PeerMessage) -> None:
        """Discard the message."""


def bytes_per_record(policy: str, *, flows: int = FLOW_COUNT) -> float:
    """Return the bytes that one router keeps for each established flow.

    The router owns every slice and sees the handshake of each flow. The servers report
    no slots, so that every flow is placed on its default server.

    Args:
        policy: Placement policy of the router.
        flows: Number of flows.
    """
    clock = ManualClock(start=1000.0)
    router = FlowRouter(
        OWN_ID,
        clock=clock,
        packets=_NullPacketLink(),
        peers=_NullPeerLink(),
        recorder=NullRecorder(),
        rng=Random(1),
        policy=policy,
    )
    servers = tuple(
        BackendServer(f"s{n}", Address(f"127.2.0.{n}", 6080), "a", 0, 0)
        for n in range(1, 8)
    )
    pools = {"kit-desk": Pool("kit-desk", 1, servers)}
    routes = {SERVICE: Route(SERVICE, "kit-desk")}
    router.apply_history([HistoryEntry(Snapshot(1, routes, pools), 0.0)])
    router.apply_view(GroupView(1, {OWN_ID: Member(OWN_ID, "a")}))
    clock.advance(60.0)
    # Allocates the tables and caches that do not grow with the number of flows.
    _establish_flows(router, clock, 0, 1000)
    collect()
    start()
    before = get_traced_memory()[0]
    _establish_flows(router, clock, 1000, flows)
    _expire_half_open_flows(router, clock)
    collect()
    after = get_traced_memory()[0]
    stop()
    return (after - before) / flows


def _expire_half_open_flows(router: FlowRouter, clock: ManualClock) -> None:
    """Let the state that is kept only for new flows expire."""
    for _ in range(int(EXPIRY_WAIT_S / TICK_S)):
        clock.advance(TICK_S)
        router.on_tick()


def _establish_flows(
    router: FlowRouter, clock: ManualClock, first: int, count: int
) -> None:
    for number in range(first, first + count):
        host = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}"
        key = make_key(Address(host, 1024 + number % 60_000), SERVICE)
        syn = Segment(key, SYN, seq=number)
        router.handle_packet(syn.encode(), direction=Direction.REQUEST)
        reverse = Segment(make_key(SERVICE, Address(host, 1024 + number % 60_000)), 0)
        syn_ack = Segment(reverse.key, SYN | ACK, seq=number, ack=number + 1)
        router.handle_packet(syn_ack.encode(), direction=Direction.ANSWER)
        clock.advance(FLOW_GAP_S)
        if number % 100 == 0:
            router.on_tick()
