"""Guards against a packet that ends the process that forwards it."""

from contextlib import contextmanager
from socket import AF_INET, SOCK_DGRAM
from socket import socket as Socket  # noqa: N812

import anyio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fleet_adapter.packets import FleetLink, decode_packet
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.dataplane.udp_socket import BATCH_DATAGRAMS
from magnoliaslip.registry.store_client import ChangeBatch, RoutesChange, ServerChange
from magnoliaslip.runtime.forwarder import TagForwarder
from magnoliaslip.runtime.process import SteeringInstance
from magnoliaslip.runtime.startup_loop import StartupLoop
from magnoliaslip.steering.reachability import CORRECTION_TIME_S
from magnoliaslip.steering.tags import flow_tag, server_key
from tests.steering.harness import DESK_ENDPOINT, RecordingLog, routes, server

SYN = bytes.fromhex("9c4101bb64400007c6120001112233440000000000001000") + bytes(8)


def forwarder(sock, *, link=None, **fields):
    each = TagForwarder(
        "a",
        sock=sock,
        link=link or FleetLink(sock),
        decode=decode_packet,
        clock=ManualClock(start=100.0),
        **fields,
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


def syn(copy=0, port=0x41):
    """Return a SYN, or the copy of it with this number."""
    return SYN[:1] + bytes([port]) + SYN[2:16] + copy.to_bytes(4, "big") + SYN[20:]


class RecordingFleetLink(FleetLink):
    """Records the servers that packets were sent to."""

    __slots__ = ("sent",)

    def __init__(self, sock):
        super().__init__(sock)
        self.sent = []

    def send_to_server(self, server, packet, tag):
        self.sent.append((server.id, packet.raw[:20], packet.flags))


@contextmanager
def receiving_forwarder(**fields):
    """Return a forwarder, its clock and a function that sends it a datagram."""
    with Socket(AF_INET, SOCK_DGRAM) as sock, Socket(AF_INET, SOCK_DGRAM) as caller:
        sock.bind(("127.0.0.1", 0))
        sock.setblocking(False)
        caller.connect(sock.getsockname())
        each = forwarder(sock, link=RecordingFleetLink(sock), **fields)
        yield each, each._clock, caller.send


def test_frozen_instance_does_not_place_syns_whose_copies_opened_the_flow_elsewhere():
    # The late SYN+ACK would change the tag that the caller repeats: its next packet
    # then reaches a server without the flow, which resets it.
    with receiving_forwarder() as (each, clock, send):
        each.handle_pending()
        send(syn())
        clock.advance(0.5)  # frozen
        each.handle_pending()
        assert each.router._link.sent == []
        assert each.counters["drop_superseded"] == 1
        # The routers send the open flow here again; its tag is that of its server.
        send(data(0x41))
        each.handle_pending()
        assert [name for name, _, _ in each.router._link.sent] == ["i-1"]


def test_frozen_instance_places_the_copy_that_its_caller_still_waits_for():
    with receiving_forwarder() as (each, clock, send):
        each.handle_pending()
        send(syn())
        send(syn(copy=1))
        clock.advance(0.3)  # frozen
        each.handle_pending()
        assert [raw for _, raw, _ in each.router._link.sent] == [syn(copy=1)[:20]]


def test_syns_that_waited_during_a_short_pause_are_placed():
    with receiving_forwarder() as (each, clock, send):
        each.handle_pending()
        send(syn())
        clock.advance(0.14)
        each.handle_pending()
        assert each.counters["forwarded"] == 1


def test_syns_are_placed_in_a_backlog_that_lasts():
    # A busy instance reads SYNs soon after they arrived, but its queue is never empty.
    with receiving_forwarder() as (each, clock, send):
        each.handle_pending()
        for _ in range(40):
            for port in range(BATCH_DATAGRAMS):
                send(syn(port=port))
            assert each.handle_next_batch()
            clock.advance(0.01)
        assert "drop_superseded" not in each.counters


def test_syns_that_waited_during_a_start_are_placed_if_their_caller_still_waits():
    with receiving_forwarder(open_s=0.35) as (each, _, send):
        send(syn(port=1))
        send(syn(copy=2, port=2))
        each.handle_pending()
        assert [raw for _, raw, _ in each.router._link.sent] == [syn(2, 2)[:20]]


def test_syn_that_arrives_during_a_quiet_start_is_placed():
    # The startup loop empties the socket also when nothing has arrived.
    with receiving_forwarder() as (each, clock, send), Socket() as readiness:
        readiness.bind(("127.0.0.1", 0))
        readiness.listen()
        startup_loop = StartupLoop(each, readiness)
        for _ in range(10):  # imports
            startup_loop.serve_pending()
            clock.advance(0.1)
        send(syn())
        startup_loop.serve_pending()
        assert each.counters["forwarded"] == 1


class EndOfTestError(Exception):
    """Ends a task that runs until cancelled."""


def test_syn_that_arrives_after_a_quiet_time_is_placed(monkeypatch):
    with receiving_forwarder() as (each, clock, send):
        instance = object.__new__(SteeringInstance)
        instance._forwarder = each
        remaining = list(range(10))

        async def advance(seconds):
            clock.advance(seconds)
            if not remaining:
                raise EndOfTestError
            if remaining.pop() == 0:
                send(syn())

        monkeypatch.setattr("magnoliaslip.runtime.process.sleep", advance)
        with pytest.raises(EndOfTestError):
            anyio.run(instance._read_when_idle)
        assert each.counters["forwarded"] == 1
        assert "drop_superseded" not in each.counters
