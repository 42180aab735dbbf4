"""Packets held while the view of the instance is suspect."""

from collections import deque

from magnoliaslip.core.links import Direction

MAX_HELD_PACKETS = 4_096
MAX_HOLD_S = 0.5
# After a pause other instances are serving in the meantime, so packets can be held for
# longer. Peers on a busy machine took more than 0.5 s to answer, and packets were then
# sent to a zone that had been taken out.
MAX_HOLD_AFTER_PAUSE_S = 2.0


class SuspectQueue:
    """A bounded queue of packets with a deadline for holding them.

    Attributes:
        deadline: Monotonic time until which packets are held.
    """

    __slots__ = ("_held", "deadline")

    def __init__(self) -> None:
        self._held: deque[tuple[bytes, Direction, int]] = deque()
        self.deadline = 0.0

    def start(self, now: float, *, paused: bool) -> None:
        """Set the deadline, which is later after a pause of the process."""
        limit = MAX_HOLD_AFTER_PAUSE_S if paused else MAX_HOLD_S
        self.deadline = max(self.deadline, now + limit)

    def add(self, packet: bytes, direction: Direction, hops: int) -> bool:
        """Add a packet; returns False when the queue is full."""
        if len(self._held) >= MAX_HELD_PACKETS:
            return False
        self._held.append((packet, direction, hops))
        return True

    def pop_all(self) -> deque[tuple[bytes, Direction, int]]:
        """Remove and return the held packets, oldest first."""
        held, self._held = self._held, deque()
        return held
