"""Packets that carry the tag of their backend server."""

from enum import IntFlag

from magnoliaslip.registry.model import Endpoint


class PacketFlags(IntFlag):
    """Flags of a packet, as in TCP."""

    SYN = 1
    ACK = 2
    FIN = 4
    RST = 8


# Plain integers, as operations on members of an enum are slow.
SYN = int(PacketFlags.SYN)
ACK = int(PacketFlags.ACK)
FIN = int(PacketFlags.FIN)
RST = int(PacketFlags.RST)


class TaggedPacket:
    """One packet received from a caller.

    Attributes:
        flow: Addresses and ports of both ends; identifies the flow.
        endpoint: Address and port that the caller sent it to.
        flags: Its flags, a combination of `PacketFlags`.
        caller: Address of the caller, without its port; empty except in a SYN.
        retransmission: Number of earlier transmissions of a SYN; 0 in other packets.
        seq: Sequence number of its first byte, 32 bits.
        ack: Acknowledgement number, the next byte that the caller expects, 32 bits; 0
            in a SYN.
        data_bytes: Bytes of data that it carries.
        tag: Tag of the backend server, 32 bits; 0 when it has none.
        raw: The packet as received.
    """

    __slots__ = (
        "ack",
        "caller",
        "data_bytes",
        "endpoint",
        "flags",
        "flow",
        "raw",
        "retransmission",
        "seq",
        "tag",
    )

    def __init__(
        self,
        flow: bytes,
        endpoint: Endpoint,
        flags: int,
        *,
        caller: bytes = b"",
        retransmission: int = 0,
        seq: int = 0,
        ack: int = 0,
        data_bytes: int = 0,
        tag: int = 0,
        raw: bytes = b"",
    ) -> None:
        self.flow = flow
        self.endpoint = endpoint
        self.flags = flags
        self.caller = caller
        self.retransmission = retransmission
        self.seq = seq
        self.ack = ack
        self.data_bytes = data_bytes
        self.tag = tag
        self.raw = raw
