"""Guards against packets that are decoded or sent wrongly, or crash the process."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fleet_adapter.packets import (
    HEADER_BYTES,
    FleetLink,
    decode_packet,
    encode_reset,
    encode_server_id,
)
from magnoliaslip.core.errors import PacketError
from magnoliaslip.registry.model import RegisteredServer
from magnoliaslip.steering.packet import PacketFlags

SYN_PACKET = bytes.fromhex(
    "9c4101bb64400007c6120001112233440000000000001000 00000000 a1b2c3d5"
)
RESET_PACKET = bytes.fromhex(
    "01bb9c41c6120001644000070000000000000000000004000000000000000000"
)


class FakeSocket:
    """Records sent datagrams; raises instead if `fail` is set."""

    def __init__(self, *, fail=False):
        self.sent = []
        self.fail = fail

    def getsockname(self):
        return "10.1.0.10", 8172

    def sendto(self, data, address):
        if self.fail:
            raise BlockingIOError
        self.sent.append((data, address))


SERVER = RegisteredServer("i-7f3a91c2", 5, "desk", ("10.2.0.9", 80), "a", 4)


def test_decodes_the_fields_of_a_syn():
    packet = decode_packet(SYN_PACKET)
    assert packet.flags == PacketFlags.SYN
    assert packet.endpoint == (0xC6120001, 443)
    assert packet.seq == 0x11223344
    assert (packet.retransmission, packet.ack, packet.data_bytes, packet.tag) == (
        0,
        0,
        0,
        0,
    )


def test_retransmissions_of_a_syn_are_counted():
    second = SYN_PACKET[:16] + (1).to_bytes(4, "big") + SYN_PACKET[20:]
    assert decode_packet(second).retransmission == 1
    assert decode_packet(second).flow == decode_packet(SYN_PACKET).flow


def test_reset_is_addressed_to_the_caller():
    assert encode_reset(decode_packet(SYN_PACKET)) == RESET_PACKET


def test_reset_of_an_established_flow_has_the_sequence_number_that_the_caller_expects():
    ack = (
        SYN_PACKET[:16]
        + (77).to_bytes(4, "big")
        + SYN_PACKET[20:22]
        + b"\2"
        + SYN_PACKET[23:]
    )
    assert encode_reset(decode_packet(ack))[12:16] == (77).to_bytes(4, "big")


def test_only_the_tag_of_a_forwarded_packet_changes():
    sock = FakeSocket()
    FleetLink(sock).send_to_server(SERVER, decode_packet(SYN_PACKET), 0xDEADBEEF)
    [(data, address)] = sock.sent
    assert address == ("10.2.0.9", 80)
    assert data[:8] == encode_server_id("i-7f3a91c2")
    packet = data[8:]
    assert packet[24:28] == b"\xde\xad\xbe\xef"
    assert packet[:24] + packet[28:] == SYN_PACKET[:24] + SYN_PACKET[28:]


def test_reset_goes_to_the_listener_port_of_the_caller():
    sock = FakeSocket()
    FleetLink(sock).send_reset(decode_packet(SYN_PACKET))
    assert sock.sent == [(RESET_PACKET, ("100.64.0.7", 8172))]


def test_packet_dropped_by_a_full_queue_is_counted():
    link = FleetLink(FakeSocket(fail=True))
    link.send_to_server(SERVER, decode_packet(SYN_PACKET), 1)
    assert link.lost == 1


@given(st.binary(max_size=1300))
def test_any_datagram_is_decoded_or_rejected(datagram):
    try:
        packet = decode_packet(datagram)
    except PacketError:
        return
    assert packet.data_bytes == len(datagram) - HEADER_BYTES


@pytest.mark.parametrize("flags", [32, 16 | 2, 16 | 32])
def test_flags_that_callers_do_not_send_are_rejected(flags):
    datagram = SYN_PACKET[:22] + bytes([flags]) + SYN_PACKET[23:]
    with pytest.raises(PacketError):
        decode_packet(datagram)
