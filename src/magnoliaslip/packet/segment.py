"""TCP segments in IPv4 packets, decoded and encoded by ``dpkt``."""

from dataclasses import dataclass

from dpkt import UnpackError
from dpkt.ip import IP, IP_PROTO_TCP
from dpkt.tcp import TCP

from magnoliaslip.core.errors import PacketError
from magnoliaslip.packet.flow_key import ACK, FIN, RST, SYN, FlowKey, reverse_key

SEQUENCE_MODULUS = 1 << 32
DEFAULT_TTL = 64


@dataclass(slots=True, frozen=True)
class Segment:
    """A decoded TCP segment.

    Attributes:
        key: Flow key in the direction of the packet.
        flags: TCP flag bits.
        seq: Sequence number.
        ack: Acknowledgement number.
        payload: Bytes after the TCP header.
    """

    key: FlowKey
    flags: int
    seq: int = 0
    ack: int = 0
    payload: bytes = b""

    @classmethod
    def decode(cls, packet: bytes) -> "Segment":
        """Decode an inner IPv4 packet, with or without IP options.

        Raises:
            PacketError: The packet is truncated, malformed, a fragment, or not TCP.
        """
        try:
            ip = IP(packet)
        except (UnpackError, ValueError, IndexError) as exc:
            raise PacketError(f"malformed IP packet: {exc}") from exc
        if ip.v != 4:
            raise PacketError(f"IP version {ip.v} is not supported")
        if ip.mf or ip.offset:
            raise PacketError("fragments are not supported")
        if ip.p != IP_PROTO_TCP or not isinstance(ip.data, TCP):
            raise PacketError(f"protocol {ip.p} is not TCP, or its header is truncated")
        tcp = ip.data
        ports = tcp.sport.to_bytes(2, "big") + tcp.dport.to_bytes(2, "big")
        return cls(ip.src + ip.dst + ports, tcp.flags, tcp.seq, tcp.ack, tcp.data)

    def encode(self) -> bytes:
        """Encode the segment as an IPv4 packet with valid checksums."""
        tcp = TCP(
            sport=int.from_bytes(self.key[8:10], "big"),
            dport=int.from_bytes(self.key[10:12], "big"),
            seq=self.seq,
            ack=self.ack,
            flags=self.flags,
            data=self.payload,
        )
        ip = IP(
            src=self.key[0:4],
            dst=self.key[4:8],
            p=IP_PROTO_TCP,
            ttl=DEFAULT_TTL,
            data=tcp,
        )
        ip.len = len(ip)
        return bytes(ip)

    @property
    def is_syn(self) -> bool:
        """Whether this is a SYN without ACK, which starts a new flow."""
        return self.flags & (SYN | ACK) == SYN

    @property
    def sequence_length(self) -> int:
        """The sequence space that the segment occupies: payload, SYN and FIN."""
        return len(self.payload) + bool(self.flags & SYN) + bool(self.flags & FIN)

    def reset_reply(self) -> "Segment":
        """Build the RST that answers this segment, see RFC 9293 section 3.10.7.1.

        A segment without ACK is answered by RST with ACK; any other by RST alone.
        """
        key = reverse_key(self.key)
        if self.flags & ACK:
            return Segment(key, RST, seq=self.ack)
        ack = (self.seq + self.sequence_length) % SEQUENCE_MODULUS
        return Segment(key, RST | ACK, ack=ack)
