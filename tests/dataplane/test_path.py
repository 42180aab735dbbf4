"""Tests of the data path with a fake router."""

from hypothesis import given, settings
from hypothesis.strategies import binary

from magnoliaslip.config.snapshot import Route, Snapshot
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.links import Direction
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.dataplane.path import MAX_RELAY_HOPS, DataPath
from magnoliaslip.packet.flow_key import ACK, FIN, SYN, make_key, reverse_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.packet.tunnel import Relay

SERVICE = Address("198.51.100.10", 443)
CALLER = Address("203.0.113.5", 40000)
SERVER = Address("127.0.0.1", 6080)
EGRESS = Address("127.0.0.1", 7200)
KEY = make_key(CALLER, SERVICE)


class FakeRouter:
    def __init__(self):
        self.direct_generation = 0
        self.direct_deadline = 10.0
        self.suspect = False
        self.handled = []

    def mark_view_suspect(self, *, paused):
        self.suspect = paused
        self.direct_generation += 1

    def direct(self, key):
        return SERVER

    def handle_packet(self, packet, *, direction, hops=0):
        self.handled.append((direction, hops))


class Fixture:
    def __init__(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.router = FakeRouter()
        self.sent = []
        self.path = DataPath(
            self.router,
            clock=self.clock,
            metrics=self.metrics,
            send=lambda packet, address: self.sent.append(address),
            egress=EGRESS,
        )
        routes = {SERVICE: Route(SERVICE, "kit-desk")}
        self.path.apply_snapshot(Snapshot(version=1, routes=routes))


def packet(flags=ACK, key=KEY, payload=b"x"):
    return Segment(key, flags, seq=1, ack=1, payload=payload).encode()


def test_second_packet_of_a_cacheable_flow_bypasses_the_router():
    """Guards against a data path that queries the router for every packet."""
    fixture = Fixture()
    fixture.path.handle_batch([packet(), packet()])
    assert len(fixture.router.handled) == 1
    assert fixture.sent == [SERVER]


def test_answers_are_cached_towards_the_egress_address():
    """Guards against answers that are sent to a backend server."""
    fixture = Fixture()
    answer = packet(key=reverse_key(KEY))
    fixture.path.handle_batch([answer, answer])
    assert fixture.router.handled == [(Direction.ANSWER, 0)]
    assert fixture.sent == [EGRESS]


def test_syn_and_fin_packets_always_reach_the_router():
    """Guards against a SYN or FIN that bypasses the owner of the flow."""
    fixture = Fixture()
    fixture.path.handle_batch([packet(), packet(SYN), packet(FIN | ACK)])
    assert len(fixture.router.handled) == 3
    assert not fixture.sent


def test_new_generation_or_passed_deadline_clears_the_cache():
    """Guards against a stale cache that sends packets to a zone out of service."""
    fixture = Fixture()
    fixture.path.handle_batch([packet()])
    fixture.router.direct_generation += 1
    fixture.path.handle_batch([packet()])
    assert len(fixture.router.handled) == 2
    fixture.clock.advance(11.0)
    fixture.path.record_tick()
    fixture.path.handle_batch([packet()])
    assert len(fixture.router.handled) == 3


def test_resumed_process_marks_its_view_suspect_before_forwarding():
    """Guards against packets decided on a view that a pause made outdated."""
    fixture = Fixture()
    fixture.path.handle_batch([packet(), packet()])
    fixture.clock.advance(1.5)
    fixture.path.handle_batch([packet()])
    assert fixture.router.suspect
    assert fixture.sent == [SERVER]


def test_the_cache_ignores_other_protocols_and_fragments_of_the_same_key():
    """Guards against a UDP packet or fragment forwarded as a cached TCP flow."""
    fixture = Fixture()
    udp = bytearray(packet())
    udp[9] = 17
    fragment = bytearray(packet())
    fragment[7] = 1
    fixture.path.handle_batch([packet(), bytes(udp), bytes(fragment)])
    assert not fixture.sent
    assert fixture.metrics.counters["drop_unsupported_protocol"] == 1
    assert fixture.metrics.counters["drop_fragment"] == 1


def test_packet_without_route_is_dropped():
    """Guards against a packet that reaches a service it does not name.

    That is rule R2 of `magnoliaslip.proof`, see ``docs/proof.md``.
    """
    fixture = Fixture()
    other = make_key(CALLER, Address("198.51.100.99", 443))
    fixture.path.handle_batch([packet(key=other)])
    assert not fixture.router.handled
    assert fixture.metrics.counters["drop_no_route"] == 1


def test_relays_over_the_hop_limit_are_dropped():
    """Guards against a relay loop between two instances with different views."""
    fixture = Fixture()
    for hops in (MAX_RELAY_HOPS, MAX_RELAY_HOPS + 1):
        fixture.path.handle_relay(Relay(Direction.REQUEST, hops, packet()).encode())
    assert fixture.router.handled == [(Direction.REQUEST, MAX_RELAY_HOPS)]
    assert fixture.metrics.counters["drop_hop_limit"] == 1


def test_relays_on_the_data_socket_are_dropped():
    """Guards against a relay from a source that is not a member."""
    fixture = Fixture()
    fixture.path.handle_batch([Relay(Direction.REQUEST, 1, packet()).encode()])
    assert not fixture.router.handled
    assert fixture.metrics.counters["drop_not_a_member"] == 1


@settings(max_examples=300, deadline=None)
@given(binary(max_size=80))
def test_no_datagram_raises(payload):
    """Guards against a malformed datagram that crashes the process."""
    fixture = Fixture()
    fixture.path.handle_batch([payload, b"\x01" + payload, b"\x45" + payload])
    fixture.path.handle_relay(payload)
