"""A packet of a flow that carries a tag of its backend server."""

from enum import IntFlag

from magnoliaslip.registry.model import Endpoint


class PacketKind(IntFlag):
    """What a packet does to its flow."""

    SYN = 1
    ACK = 2
    FIN = 4
    RST = 8


class TaggedPacket:
    """One packet as it came from a caller.

    Attributes:
        flow: Addresses and ports of both ends; identifies the flow.
        endpoint: Address and port that the caller sent it to.
        kind: What it does to the flow.
        caller: Address of the caller, without its port; empty but for an opening
            packet.
        retransmission: Number of earlier copies of an opening packet.
        seq: Sequence number of its first byte, 32 bits.
        acked: Next byte that the caller expects, 32 bits; 0 when it opens.
        size: Bytes of data that it carries.
        tag: Tag of the backend server, 32 bits; 0 when it has none.
        raw: The packet as received.
    """

    __slots__ = (
        "acked",
        "caller",
        "endpoint",
        "flow",
        "kind",
        "raw",
        "retransmission",
        "seq",
        "size",
        "tag",
    )

    def __init__(
        self,
        flow: bytes,
        endpoint: Endpoint,
        kind: int,
        *,
        caller: bytes = b"",
        retransmission: int = 0,
        seq: int = 0,
        acked: int = 0,
        size: int = 0,
        tag: int = 0,
        raw: bytes = b"",
    ) -> None:
        self.flow = flow
        self.endpoint = endpoint
        self.kind = kind
        self.caller = caller
        self.retransmission = retransmission
        self.seq = seq
        self.acked = acked
        self.size = size
        self.tag = tag
        self.raw = raw
