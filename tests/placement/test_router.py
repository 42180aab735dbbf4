from random import Random

from magnoliaslip.config.snapshot import (
    BackendServer,
    HistoryEntry,
    Pool,
    Route,
    Snapshot,
)
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.links import Direction, PacketLink
from magnoliaslip.core.recorder import NullRecorder
from magnoliaslip.packet.flow_key import SYN, make_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.placement.router import FlowRouter

SERVICE = Address("198.51.100.10", 443)


class _Packets(PacketLink):
    def __init__(self):
        self.sent = []

    def send_to_server(self, server, packet):
        self.sent.append(server)

    def send_to_caller(self, packet):
        self.sent.append("caller")

    def relay(self, instance_id, packet, *, direction, hops):
        self.sent.append(instance_id)


def test_packet_for_unrouted_address_goes_nowhere():
    # Guards against a packet that reaches a service which no route names.
    server = BackendServer("s1", Address("127.0.0.1", 6001), "a")
    snapshot = Snapshot(
        1, {SERVICE: Route(SERVICE, "rota")}, {"rota": Pool("rota", 1, (server,))}
    )
    packets = _Packets()
    router = FlowRouter(
        "i1",
        clock=ManualClock(),
        packets=packets,
        peers=None,
        recorder=NullRecorder(),
        rng=Random(1),
        policy="stateless",
    )
    router.apply_history([HistoryEntry(snapshot, 0.0)])
    caller = Address("10.0.0.1", 1000)
    for port in (443, 444):
        key = make_key(caller, Address(SERVICE.host, port))
        router.handle_packet(Segment(key, SYN).encode(), direction=Direction.REQUEST)
    assert packets.sent == [server.address]
