from random import Random

import pytest

from magnoliaslip.core.address import Address
from magnoliaslip.lab.tcp import TcpEndpoint, TcpFailure, TcpState
from magnoliaslip.packet.flow_key import RST, make_key
from magnoliaslip.packet.segment import Segment
from tests.lab.virtual_net import VirtualNet

KEY = make_key(Address("10.1.0.1", 5000), Address("198.51.100.10", 443))


class EndpointPair:
    """A connecting endpoint and the endpoint that accepts its SYN."""

    def __init__(self, **net):
        self.net = VirtualNet(**net)
        self.server = None
        self.received = bytearray()
        endpoint_options = {"clock": self.net.clock, "rng": Random(7)}
        to_client = self.net.link(lambda packet: self.on_client(packet))

        def on_server(packet):
            segment = Segment.decode(packet)
            if self.server is None and segment.is_syn:
                self.server = TcpEndpoint.accept(
                    segment, send=to_client, **endpoint_options
                )
                self.net.models.append(self.server)
            elif self.server is not None:
                self.server.on_segment(segment)
                self.received += self.server.read()

        self.client = TcpEndpoint(
            KEY, send=self.net.link(on_server), **endpoint_options
        )
        self.net.models.append(self.client)

    def on_client(self, packet):
        self.client.on_segment(Segment.decode(packet))


@pytest.mark.parametrize("seed", range(8))
def test_stream_is_complete_despite_loss_duplication_and_reordering(seed):
    """Guards against lost, duplicated or reordered bytes in the received stream."""
    pair = EndpointPair(seed=seed, loss=0.1, delay=(0.001, 0.02), duplication=0.1)
    data = Random(seed).randbytes(60_000)
    pair.client.write(data)
    pair.client.close()
    pair.net.run(120, until=lambda: pair.server and pair.server.eof)
    assert bytes(pair.received) == data
    pair.server.write(b"done")
    pair.server.close()
    pair.net.run(60, until=lambda: pair.client.is_finished and pair.server.is_finished)
    assert pair.client.read() == b"done"
    assert pair.client.state is TcpState.CLOSED
    assert pair.client.failure is None


def test_connection_attempt_times_out_after_maximum_retransmissions():
    """Guards against a SYN that is retransmitted for ever."""
    net = VirtualNet(loss=1.0)
    client = TcpEndpoint(KEY, clock=net.clock, rng=Random(1), send=net.link(None))
    net.models.append(client)
    net.run(60)
    assert client.failure is TcpFailure.TIMEOUT
    assert net.sent == 11


def test_refusal_fails_connection_attempt_and_unrelated_reset_does_not():
    """Guards against a stray RST that fails a connection, and a missed refusal."""
    sent = []
    net = VirtualNet()
    client = TcpEndpoint(KEY, clock=net.clock, rng=Random(1), send=sent.append)
    refusal = Segment.decode(sent[0]).reset_reply()
    client.on_segment(Segment(refusal.key, RST, seq=refusal.ack))
    assert client.state is TcpState.SYN_SENT
    client.on_segment(refusal)
    assert client.failure is TcpFailure.REFUSED


def test_reset_is_accepted_only_at_expected_sequence_number():
    """Guards against a stale RST that breaks an established flow (RFC 5961)."""
    pair = EndpointPair()
    pair.client.write(b"x")
    pair.net.run(1)
    sent = []
    pair.client._send = sent.append
    pair.client.write(b"y")
    segment = Segment.decode(sent[0])
    for offset in (-1, 1):
        seq = (segment.ack + offset) % (1 << 32)
        pair.client.on_segment(Segment(pair.server.key, RST, seq=seq))
        assert pair.client.state is TcpState.ESTABLISHED
    pair.client.on_segment(segment.reset_reply())
    assert pair.client.failure is TcpFailure.RESET
