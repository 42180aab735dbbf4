"""Guards against a packet that ends the process that forwards it."""

from socket import AF_INET, SOCK_DGRAM
from socket import socket as Socket  # noqa: N812

from hypothesis import given
from hypothesis import strategies as st

from fleet_adapter.packets import FleetLink, decode_packet
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.registry.store_client import ChangeBatch, RoutesChange, ServerChange
from magnoliaslip.runtime.forwarder import TagForwarder
from magnoliaslip.steering.reachability import CORRECTION_TIME_S
from magnoliaslip.steering.tags import flow_tag, server_key
from tests.steering.harness import DESK_ENDPOINT, RecordingLog, routes, server

SYN = bytes.fromhex("9c4101bb64400007c6120001112233440000000000001000") + bytes(8)


def forwarder(sock, *, link=None):
    each = TagForwarder(
        "a",
        sock=sock,
        link=link or FleetLink(sock),
        decode=decode_packet,
        clock=ManualClock(start=100.0),
    )
    each.router.log = RecordingLog()
    changes = (RoutesChange(routes()), ServerChange("i-1", server("i-1")))
    each.directory.apply(ChangeBatch(1, changes))
    each.apply_directory()
    return each


class FaultyLink(FleetLink):
    """A link with a fault in its first packet."""

    __slots__ = ("sent",)

    def __init__(self, sock):
        super().__init__(sock)
        self.sent = 0

    def send_to_server(self, server, packet, tag):
        self.sent += 1
        if self.sent == 1:
            raise OverflowError("int too big to convert")


def test_unexpected_error_with_one_packet_does_not_stop_the_others():
    with Socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        each = forwarder(sock, link=FaultyLink(sock))
        other = SYN[:1] + b"\x42" + SYN[2:]
        each.handle_batch([SYN, other])
        assert each.router._link.sent == 2
    assert each.counters["drop_error"] == 1
    errors = [f for event, _, f in each.router.log.decisions if "UNEXPECTED" in event]
    assert "int too big" in errors[0]["error"]


def data(port):
    """Return a packet with 90 bytes of an open flow."""
    tag = flow_tag(server_key(server("i-1")), DESK_ENDPOINT)
    head = SYN[:1] + bytes([port]) + SYN[2:20] + bytes([0, 90, 2, 0])
    return head + tag.to_bytes(4, "big") + bytes(4 + 90)


def test_unexpected_error_with_a_deferred_packet_does_not_lose_the_others():
    with Socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        each = forwarder(sock, link=FaultyLink(sock))
        each.router._link.sent = 1  # past its fault
        packets = [data(port) for port in range(2)]
        each.handle_batch(packets)
        assert each.router._link.sent == 3
        each.router._link.sent = 0
        each._clock.advance(0.2)
        each.handle_batch(packets)
        assert each.router._link.sent == 2
    assert each.counters["drop_error"] == 1


def test_flows_are_not_reset_without_time_for_corrections_during_the_start():
    with Socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        assert forwarder(sock).router.correction_time_s == CORRECTION_TIME_S
        assert forwarder(sock).router.server_choice.cold_share == 0.0


def test_router_knows_how_many_packets_waited_together():
    with Socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        each = forwarder(sock)
        each.handle_batch([SYN] * 5)
        assert each.router.queued_packets == 5


@given(st.lists(st.binary(max_size=80), max_size=5))
def test_any_datagrams_are_forwarded_dropped_or_reset(datagrams):
    with Socket(AF_INET, SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        each = forwarder(sock)
        each.handle_batch(
            datagrams + [SYN[:20] + data + SYN[20:] for data in datagrams]
        )
    assert "drop_error" not in each.counters


def test_pending_datagrams_are_handled_before_the_socket_is_closed():
    # Guards against SYNs that arrive while the event loop ends, and are lost with it.
    with Socket(AF_INET, SOCK_DGRAM) as sock, Socket(AF_INET, SOCK_DGRAM) as caller:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        each = forwarder(sock)
        for number in range(200):
            data = SYN[:1] + bytes([number]) + SYN[2:]
            caller.sendto(data, sock.getsockname())
        each.handle_pending()
    assert each.counters["forwarded"] == 200
