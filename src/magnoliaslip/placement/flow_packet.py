"""The parts of an inner packet that placement looks at."""

from magnoliaslip.core.links import Direction
from magnoliaslip.packet.flow_key import (
    ACK,
    FIN,
    FLAGS_OFFSET,
    RST,
    SYN,
    is_plain,
    reverse_key,
)
from magnoliaslip.packet.segment import Segment
from magnoliaslip.placement.bucket_table import BUCKET_MASK
from magnoliaslip.placement.hashing import flow_hash

OWNER_FLAGS = SYN | FIN | RST


class FlowPacket:
    """A packet with its flow key in request direction.

    Attributes:
        data: The inner packet.
        direction: Direction inside the flow.
        hops: Relays so far.
        key: Flow key in request direction.
        flags: TCP flag bits.
        seq: Sequence number.
        ack: Acknowledgement number.
        payload: Bytes of payload.
    """

    __slots__ = (
        "ack",
        "data",
        "direction",
        "flags",
        "hash",
        "hops",
        "key",
        "payload",
        "seq",
    )

    def __init__(self, data: bytes, direction: Direction, hops: int) -> None:
        self.data = data
        self.direction = direction
        self.hops = hops
        if is_plain(data):
            key = data[12:24]
            self.flags = data[FLAGS_OFFSET]
            self.seq = int.from_bytes(data[24:28], "big")
            self.ack = int.from_bytes(data[28:32], "big")
            header = 20 + (data[32] >> 4) * 4
            self.payload = max(0, int.from_bytes(data[2:4], "big") - header)
        else:
            segment = Segment.decode(data)
            key = segment.key
            self.flags = segment.flags
            self.seq = segment.seq
            self.ack = segment.ack
            self.payload = len(segment.payload)
        self.key = reverse_key(key) if direction is Direction.ANSWER else key
        self.hash = flow_hash(self.key)

    @property
    def bucket(self) -> int:
        """The bucket of the flow."""
        return self.hash & BUCKET_MASK

    @property
    def route_key(self) -> bytes:
        """Service address and port in network order."""
        return self.key[4:8] + self.key[10:12]

    @property
    def is_open(self) -> bool:
        """Whether this is the opening segment of a flow."""
        return self.flags & (SYN | ACK) == SYN

    @property
    def goes_through_owner(self) -> bool:
        """Whether the owner must see the packet."""
        return bool(self.flags & OWNER_FLAGS)

    @property
    def kind(self) -> str:
        """The kind of segment as history records name it."""
        if self.flags & RST:
            return "reset" if self.direction is Direction.ANSWER else "other"
        if self.flags & SYN:
            return "open"
        return "payload" if self.payload else "other"
