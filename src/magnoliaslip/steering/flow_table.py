"""State that an instance keeps of the flows that it forwards."""

from magnoliaslip.steering.packet import ACK, TaggedPacket
from magnoliaslip.steering.servers import TrackedServer
from magnoliaslip.steering.syn_copies import SYN_LIFETIME_S

MAX_FLOWS = 100_000
_HALF_RANGE = 1 << 31
_MASK_32_BITS = (1 << 32) - 1
# Packets of one flow that reach this instance have sequence numbers within this number
# of bytes of each other, unless others forwarded more in between. Two flows of the same
# addresses and ports begin with random numbers.
MAX_GAP_BYTES = 1 << 20


def is_after(seq: int, other: int) -> bool:
    """Check whether a 32-bit sequence number comes after another.

    >>> is_after(3, 0xFFFFFFFE)
    True
    >>> is_after(5, 5)
    False
    """
    return seq != other and (seq - other) & _MASK_32_BITS < _HALF_RANGE


def is_near(seq: int, other: int) -> bool:
    """Check whether two 32-bit sequence numbers are within `MAX_GAP_BYTES`.

    >>> is_near(5, 0xFFFFFFFE), is_near(0xFFFFFFFE, 5), is_near(0, 1 << 30)
    (True, True, False)
    """
    return (seq - other + MAX_GAP_BYTES) & _MASK_32_BITS <= 2 * MAX_GAP_BYTES


class FlowEntry:
    """Observations of one flow; losing them does not break the flow.

    Attributes:
        server: The server that the flow was last sent to.
        tag: Tag that its packets to that server carry.
        tried: Servers that earlier transmissions of the SYN were sent to.
        retransmission: Number of earlier transmissions of the last SYN received.
        next_request_counted: Whether its next request is already counted as load; the
            first one is when the flow is placed.
        established: Whether the caller has answered the server's SYN-ACK.
        syn_seq: Sequence number of its SYN; None if the SYN was not seen here.
        syn_sent_at: Monotonic time in seconds at which the SYN was last forwarded.
        last_seq: Sequence number of the last packet of the established flow.
        seq: Highest sequence number of a packet with data; None before the first.
        sent_at: Monotonic time in seconds at which that packet first arrived here.
        ack: Highest acknowledgement number of the caller.
        unanswered_since: Monotonic time in seconds of the first data packet without an
            answer; 0 when there is none.
        last_seen_at: Monotonic time in seconds of the last packet.
    """

    __slots__ = (
        "ack",
        "established",
        "last_seen_at",
        "last_seq",
        "next_request_counted",
        "retransmission",
        "sent_at",
        "seq",
        "server",
        "syn_sent_at",
        "syn_seq",
        "tag",
        "tried",
        "unanswered_since",
    )

    def __init__(self, now: float) -> None:
        self.server: TrackedServer | None = None
        self.tag = 0
        self.tried: tuple[TrackedServer, ...] = ()
        self.retransmission = 0
        self.next_request_counted = False
        self.established = False
        self.syn_seq: int | None = None
        self.syn_sent_at = 0.0
        self.last_seq = 0
        self.seq: int | None = None
        self.sent_at = 0.0
        self.ack = 0
        self.unanswered_since = 0.0
        self.last_seen_at = now

    def is_late_copy(self, packet: TaggedPacket, now: float) -> bool:
        """Check whether a SYN is a copy that a later packet of the flow overtook.

        Another server would answer it, and the caller would repeat that server's tag.
        """
        return (
            packet.seq == self.syn_seq
            and (self.established or packet.retransmission < self.retransmission)
            and now - self.syn_sent_at < SYN_LIFETIME_S
        )

    def continues(self, packet: TaggedPacket) -> bool:
        """Check whether a packet belongs to the established flow of this entry.

        If not, the addresses and ports are used by another flow, whose beginning was
        not seen here.
        """
        return is_near(packet.seq, self.last_seq) and (
            not packet.flags & ACK or is_near(packet.ack, self.ack)
        )


class FlowTable:
    """Entries by flow, bounded in number and age."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[bytes, FlowEntry] = {}

    def get(self, flow: bytes) -> FlowEntry | None:
        """Return the entry of a flow."""
        return self._entries.get(flow)

    def create(self, flow: bytes, now: float) -> FlowEntry:
        """Create or replace an entry; a full table evicts the flow added first."""
        if len(self._entries) >= MAX_FLOWS:
            del self._entries[next(iter(self._entries))]
        entry = self._entries[flow] = FlowEntry(now)
        return entry

    def remove(self, flow: bytes) -> None:
        """Remove the entry of a flow."""
        self._entries.pop(flow, None)

    def expire(self, before: float) -> None:
        """Remove the entries of flows that were last seen before a time.

        Args:
            before: Monotonic time in seconds.
        """
        expired = [
            flow for flow, entry in self._entries.items() if entry.last_seen_at < before
        ]
        for flow in expired:
            del self._entries[flow]

    def __len__(self) -> int:
        return len(self._entries)
