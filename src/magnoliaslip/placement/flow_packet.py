"""The parts of an inner packet that placement uses."""

from struct import Struct

from magnoliaslip.core.links import Direction
from magnoliaslip.packet.flow_key import (
    ACK,
    FIN,
    RST,
    SYN,
    has_fixed_offsets,
    reverse_key,
)
from magnoliaslip.packet.segment import Segment
from magnoliaslip.placement.bucket_table import BUCKET_MASK
from magnoliaslip.placement.hashing import flow_hash

OWNER_FLAGS = SYN | FIN | RST
# Total length, flow key, sequence and acknowledgement number, data offset, flags.
_FIXED_OFFSET_FIELDS = Struct("!2xH8x12sIIBB")


class FlowPacket:
    """A packet with its flow key in request direction.

    Attributes:
        data: The inner packet.
        direction: Direction inside the flow.
        hops: Number of times the packet was relayed so far.
        key: Flow key in request direction.
        flags: TCP flag bits.
        seq: Sequence number.
        ack: Acknowledgement number.
        payload: Length of the TCP payload in bytes.
        hash: Hash of the key.
        bucket: The bucket of the flow.

    Raises:
        PacketError: The packet is malformed, or not an unfragmented TCP segment.
    """

    __slots__ = (
        "ack",
        "bucket",
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
        if has_fixed_offsets(data):
            length, key, self.seq, self.ack, offset, self.flags = (
                _FIXED_OFFSET_FIELDS.unpack_from(data)
            )
            self.payload = max(0, length - 20 - (offset >> 4) * 4)
        else:
            segment = Segment.decode(data)
            key = segment.key
            self.flags = segment.flags
            self.seq = segment.seq
            self.ack = segment.ack
            self.payload = len(segment.payload)
        self.key = reverse_key(key) if direction is Direction.ANSWER else key
        self.hash = flow_hash(self.key)
        self.bucket = self.hash & BUCKET_MASK

    @property
    def service_key(self) -> bytes:
        """Service address and port in network order."""
        return self.key[4:8] + self.key[10:12]

    @property
    def is_syn(self) -> bool:
        """Whether this is a SYN without ACK, the first segment of a flow."""
        return self.flags & (SYN | ACK) == SYN

    @property
    def goes_through_owner(self) -> bool:
        """Whether the owner must handle the packet."""
        return bool(self.flags & OWNER_FLAGS)

    @property
    def kind(self) -> str:
        """The kind of segment as stated in history records."""
        if self.flags & RST:
            return "reset" if self.direction is Direction.ANSWER else "other"
        if self.flags & SYN:
            return "open"
        return "payload" if self.payload else "other"
