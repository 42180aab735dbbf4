"""Generates short flows whose packets are sprayed over all instances."""

from magnoliaslip.bench.sim_fleet import SimFleet
from magnoliaslip.packet.flow_key import (
    ACK,
    FIN,
    FLAGS_OFFSET,
    PSH,
    SYN,
    FlowKey,
    fixed_offset_key,
    reverse_key,
    service_key,
)
from magnoliaslip.proof.network import CALLERS

FLOW_DURATION_S = 1.5  # from the SYN-ACK at the caller to the FIN
PAYLOAD = b"p" * 100
CALLER_ISN = 1000
SERVER_ISN = 5000


def tcp_packet(key: FlowKey, flags: int, *, seq: int, payload: bytes = b"") -> bytes:
    """Build a TCP packet without checksums.

    Sequence numbers from `SERVER_ISN` on are those of the server.

    >>> fixed_offset_key(tcp_packet(bytes(range(12)), SYN, seq=1)) == bytes(range(12))
    True
    """
    length = (40 + len(payload)).to_bytes(2, "big")
    ack = (CALLER_ISN if seq >= SERVER_ISN else SERVER_ISN) + 1
    numbers = seq.to_bytes(4, "big") + ack.to_bytes(4, "big")
    header = b"\x45\0" + length + b"\0\0\0\0\x40\x06\0\0" + key + numbers
    return header + bytes((0x50, flags)) + bytes(6) + payload


class FlowWorkload:
    """Starts flows at a constant rate; the backend servers accept all of them.

    Args:
        fleet: Fleet whose tables define four availability zones.
        rate: New flows per second of the whole fleet.

    Attributes:
        syns_sent: SYNs sent.
        established: SYN-ACKs received by callers.
    """

    def __init__(self, fleet: SimFleet, rate: float) -> None:
        self._fleet = fleet
        self._rate = rate
        self._flow_count = 0
        self._end_time = 0.0
        self._instance_ids = list(fleet.entries)
        self._service = service_key(fleet.tables.service_addresses[0])
        self.syns_sent = 0
        self.established = 0
        fleet.receivers.callers = self._on_caller_packet
        for number in range(fleet.tables.servers):
            name = f"server-{number}"
            fleet.network.add(name, fleet.tables.zones[number % 4])
            fleet.receivers.servers[fleet.tables.server_address(number)] = (
                name,
                self._on_server_packet,
            )

    def start(self, duration_s: float) -> None:
        """Start flows for a number of virtual seconds."""
        self._end_time = self._fleet.loop.time() + duration_s
        self._start_flow()

    def _start_flow(self) -> None:
        loop = self._fleet.loop
        if loop.time() >= self._end_time:
            return
        loop.call_later(1 / self._rate, self._start_flow)
        self._flow_count += 1
        self.syns_sent += 1
        number = self._flow_count.to_bytes(5, "big")
        caller, port = b"\x0a" + number[:3], number[3:]
        key = caller + self._service[:4] + port + self._service[4:]
        self._spray(tcp_packet(key, SYN, seq=CALLER_ISN))

    def _on_server_packet(self, packet: bytes) -> None:
        key = reverse_key(fixed_offset_key(packet))
        flags = packet[FLAGS_OFFSET]
        if flags & SYN:
            self._spray(tcp_packet(key, SYN | ACK, seq=SERVER_ISN))
        elif flags & FIN:
            self._spray(tcp_packet(key, FIN | ACK, seq=SERVER_ISN + 1))

    def _on_caller_packet(self, packet: bytes) -> None:
        if packet[FLAGS_OFFSET] & SYN:
            self.established += 1
            key = reverse_key(fixed_offset_key(packet))
            seq = CALLER_ISN + 1
            self._spray(tcp_packet(key, PSH | ACK, seq=seq, payload=PAYLOAD))
            fin = tcp_packet(key, FIN | ACK, seq=seq + len(PAYLOAD))
            self._fleet.loop.call_later(FLOW_DURATION_S, self._spray, fin)

    def _spray(self, packet: bytes) -> None:
        fleet = self._fleet
        instance_id = fleet.rng.choice(self._instance_ids)
        receive = fleet.receivers.datagram_handlers[instance_id]
        fleet.network.send(CALLERS, instance_id, receive, packet)
