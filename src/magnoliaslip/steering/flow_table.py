"""What an instance remembers of the flows that it saw."""

from magnoliaslip.steering.servers import TrackedServer

MAX_FLOWS = 100_000
_HALF = 1 << 31
_MASK = (1 << 32) - 1


def is_after(seq: int, other: int) -> bool:
    """Return whether a 32-bit sequence number comes after another.

    >>> is_after(3, 0xFFFFFFFE)
    True
    >>> is_after(5, 5)
    False
    """
    return seq != other and (seq - other) & _MASK < _HALF


class FlowEntry:
    """Observations on one flow; losing them breaks nothing.

    Attributes:
        server: The server that the flow was last sent to.
        tried: Servers that copies of the opening packet were sent to.
        retransmission: Number of the last copy of the opening packet.
        counted: Whether its first request counts as load already.
        established: Whether the caller answered the server's handshake.
        seq: Highest sequence number of data.
        sent_at: Monotonic time in seconds at which that data was first sent.
        acked: Highest byte that the caller acknowledged.
        unanswered_since: Monotonic time in seconds of the first data packet that got no
            answer; 0 when none waits.
        seen_at: Monotonic time in seconds of the last packet.
    """

    __slots__ = (
        "acked",
        "counted",
        "established",
        "retransmission",
        "seen_at",
        "sent_at",
        "seq",
        "server",
        "tried",
        "unanswered_since",
    )

    def __init__(self, now: float) -> None:
        self.server: TrackedServer | None = None
        self.tried: tuple[TrackedServer, ...] = ()
        self.retransmission = 0
        self.counted = False
        self.established = False
        self.seq: int | None = None
        self.sent_at = 0.0
        self.acked = 0
        self.unanswered_since = 0.0
        self.seen_at = now


class FlowTable:
    """Notes by flow, bounded in number and age."""

    __slots__ = ("_notes",)

    def __init__(self) -> None:
        self._notes: dict[bytes, FlowEntry] = {}

    def get(self, flow: bytes) -> FlowEntry | None:
        """Return the note of a flow."""
        return self._notes.get(flow)

    def create(self, flow: bytes, now: float) -> FlowEntry:
        """Start a new note; the oldest one goes when there are too many."""
        if len(self._notes) >= MAX_FLOWS:
            del self._notes[next(iter(self._notes))]
        entry = self._notes[flow] = FlowEntry(now)
        return entry

    def forget(self, flow: bytes) -> None:
        """Drop the note of a flow."""
        self._notes.pop(flow, None)

    def expire(self, before: float) -> None:
        """Drop the notes of flows that were last seen before a time."""
        old = [flow for flow, entry in self._notes.items() if entry.seen_at < before]
        for flow in old:
            del self._notes[flow]

    def __len__(self) -> int:
        return len(self._notes)
